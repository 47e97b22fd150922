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

const short = 150 * time.Millisecond // short is how long nothing has to come to be taken as held back.

// echo serves lines back and returns its address.
func echo(t *testing.T) string {
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
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// line sends a line and returns what comes back within the time.
func line(t *testing.T, c net.Conn, wait time.Duration) (string, error) {
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

// TestLink brings about each fault of a link and sees it from the caller's side.
func TestLink(t *testing.T) {
	l, err := NewLink(echo(t))
	assert.NilError(t, err)
	defer l.Close()
	rnd := rand.New(rand.NewPCG(1, 1))
	c := connect(t, l.Address())
	_, err = line(t, c, time.Second)
	assert.NilError(t, err)

	for _, f := range []LinkFaults{{CutIn: true}, {CutOut: true}} {
		l.Set(f)
		_, err = line(t, c, short)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%+v: %v", f, err)
		l.Set(LinkFaults{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		got, err := bufio.NewReader(c).ReadString('\n')
		assert.NilError(t, err, "what was held back comes after the cut")
		assert.Equal(t, got, "x\n")
	}

	l.Set(LinkFaults{Delay: short})
	begun := time.Now()
	_, err = line(t, c, 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begun) >= 2*short)
	l.Set(LinkFaults{})

	l.Silence(rnd, 1)
	_, err = line(t, c, short)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	c = connect(t, l.Address())
	_, err = line(t, c, time.Second)
	assert.NilError(t, err, "a new connection works")

	l.Reset(rnd, 1)
	_, err = line(t, c, time.Second)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)

	l.Set(LinkFaults{Refuse: true})
	// The reset may come before or after the connection counts as made.
	c, err = net.Dial("tcp", l.Address())
	if err == nil {
		defer c.Close()
		_, err = line(t, c, time.Second)
	}
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// TestEnd passes on the end of one direction while the other goes on.
func TestEnd(t *testing.T) {
	l, err := NewLink(echo(t))
	assert.NilError(t, err)
	defer l.Close()
	c := connect(t, l.Address())
	_, err = c.Write([]byte("last"))
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "last")
}

// TestRelay passes on datagrams unless they are cut off.
func TestRelay(t *testing.T) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer in.Close()
	r, err := NewRelay(in.LocalAddr().String())
	assert.NilError(t, err)
	defer r.Close()
	out, err := net.Dial("udp", r.Address())
	assert.NilError(t, err)
	defer out.Close()
	buf := make([]byte, 10)
	for _, cut := range []bool{false, true, false} {
		r.Cut(cut)
		_, err = out.Write([]byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, in.SetReadDeadline(time.Now().Add(short)))
		_, _, err = in.ReadFrom(buf)
		assert.Equal(t, errors.Is(err, os.ErrDeadlineExceeded), cut)
	}
}
