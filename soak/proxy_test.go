package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silenceTimeout is the time without data after which data is taken as held back.
const silenceTimeout = 150 * time.Millisecond

// startEcho starts a server that sends back what it receives, and returns its
// address.
func startEcho(t *testing.T) string {
	t.Helper()
	return startServer(t, func(c net.Conn) {
		defer c.Close()
		_, _ = io.Copy(c, c)
	})
}

// startServer starts a server that serves each connection with the function, and returns its
// address.
func startServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// exchangeLine sends a line and returns the line received within the wait.
func exchangeLine(t *testing.T, c net.Conn, wait time.Duration) (string, error) {
	t.Helper()
	if _, err := c.Write([]byte("x\n")); err != nil {
		return "", err
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	return bufio.NewReader(c).ReadString('\n')
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestProxy injects each fault of a proxy and checks its effect on the caller's
// side.
func TestProxy(t *testing.T) {
	p, err := NewProxy(startEcho(t))
	assert.NilError(t, err)
	defer p.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	c := connect(t, p.Address())
	_, err = exchangeLine(t, c, time.Second)
	assert.NilError(t, err)

	for _, f := range []ProxyFaults{{CutIn: true}, {CutOut: true}} {
		p.Set(f)
		_, err = exchangeLine(t, c, silenceTimeout)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%+v: %v", f, err)
		p.Set(ProxyFaults{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		got, err := bufio.NewReader(c).ReadString('\n')
		assert.NilError(t, err, "data that was held back arrives after the cut")
		assert.Equal(t, got, "x\n")
	}

	p.Set(ProxyFaults{Delay: silenceTimeout})
	start := time.Now()
	_, err = exchangeLine(t, c, 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 2*silenceTimeout)
	p.Set(ProxyFaults{})

	p.Silence(rng, 1)
	_, err = exchangeLine(t, c, silenceTimeout)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, p.Silenced(c.LocalAddr().String()))
	c = connect(t, p.Address())
	_, err = exchangeLine(t, c, time.Second)
	assert.NilError(t, err, "a new connection works")
	assert.Assert(t, !p.Silenced(c.LocalAddr().String()))

	p.Reset(rng, 1)
	_, err = exchangeLine(t, c, time.Second)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)

	p.Set(ProxyFaults{Refuse: true})
	// The reset may arrive before or after Dial returns.
	c, err = net.Dial("tcp", p.Address())
	if err == nil {
		defer c.Close()
		_, err = exchangeLine(t, c, time.Second)
	}
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// TestProxyHalfClose checks that a proxy forwards the end of one direction while the
// other stays open.
func TestProxyHalfClose(t *testing.T) {
	p, err := NewProxy(startEcho(t))
	assert.NilError(t, err)
	defer p.Close()
	c := connect(t, p.Address())
	_, err = c.Write([]byte("last"))
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "last")
}

// TestDatagramProxy checks that a proxy forwards datagrams except while it drops
// them.
func TestDatagramProxy(t *testing.T) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer in.Close()
	p, err := NewDatagramProxy(in.LocalAddr().String())
	assert.NilError(t, err)
	defer p.Close()
	out, err := net.Dial("udp", p.Address())
	assert.NilError(t, err)
	defer out.Close()
	buf := make([]byte, 10)
	for _, cut := range []bool{false, true, false} {
		p.Cut(cut)
		_, err = out.Write([]byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, in.SetReadDeadline(time.Now().Add(silenceTimeout)))
		_, _, err = in.ReadFrom(buf)
		assert.Equal(t, errors.Is(err, os.ErrDeadlineExceeded), cut)
	}
}
