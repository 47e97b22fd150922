package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// serve answers each connection with the given texts, one for each request, and
// closes it after the last if end is set.
func serve(t *testing.T, end bool, texts ...string) (string, chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, end, texts, got)
		}
	}()
	return l.Addr().String(), got
}

func answer(c net.Conn, end bool, texts []string, got chan<- string) {
	reader := bufio.NewReader(c)
	for _, text := range texts {
		req, err := http.ReadRequest(reader)
		if err != nil {
			_ = c.Close()
			return
		}
		body, _ := io.ReadAll(req.Body)
		got <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
		_, _ = io.WriteString(c, text)
	}
	if end {
		_ = c.Close()
	}
}

// exchange sends one request and reads the whole answer.
func exchange(t *testing.T, p *Pool, address string, keep bool) (string, bool, error) {
	t.Helper()
	c, err := p.Get(context.Background(), "peer", address)
	if err != nil {
		return "", false, err
	}
	reused := c.Reused
	err = c.Send(&Request{Method: "POST", Target: "/a//b%2F?x", Host: "h", Header: http.Header{"X-One": {"1"}}, Body: []byte("body")})
	if err != nil {
		c.Close()
		return "", reused, err
	}
	resp, err := c.Read("POST")
	if err != nil {
		c.Close()
		return "", reused, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !keep {
		c.Close()
		return string(body), reused, err
	}
	p.Put(c, resp)
	return string(body), reused, nil
}

func newPool() *Pool {
	return &Pool{Dial: (&net.Dialer{}).DialContext}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestExact checks that a request arrives as it was given and that a connection
// is used again.
func TestExact(t *testing.T) {
	address, got := serve(t, false, whole, whole)
	p := newPool()
	defer p.Close()
	for i := range 2 {
		body, reused, err := exchange(t, p, address, true)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Equal(t, reused, i == 1)
		assert.Equal(t, <-got, "POST /a//b%2F?x h body")
	}
	dialed, reused := p.Counts()
	assert.Equal(t, dialed, int64(1))
	assert.Equal(t, reused, int64(1))
}

// TestNotKept lists answers after which a connection must not be used again.
func TestNotKept(t *testing.T) {
	for name, text := range map[string]string{
		"closes":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"bytes after it":     whole + whole,
		"timeout of nothing": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, false, text, whole)
			p := newPool()
			defer p.Close()
			_, _, err := exchange(t, p, address, true)
			assert.NilError(t, err)
			_, reused, err := exchange(t, p, address, true)
			assert.NilError(t, err)
			assert.Assert(t, !reused)
		})
	}
}

// TestClosedWhileIdle closes a connection at the peer while it is idle: the next
// request goes over a new one and is sent once.
func TestClosedWhileIdle(t *testing.T) {
	address, got := serve(t, true, whole)
	p := newPool()
	defer p.Close()
	for range 3 {
		body, reused, err := exchange(t, p, address, true)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Assert(t, !reused)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(got), 3)
}

// TestNeverRepeated lets the peer close the connection in place of an answer.
func TestNeverRepeated(t *testing.T) {
	address, got := serve(t, true, "")
	p := newPool()
	defer p.Close()
	_, _, err := exchange(t, p, address, true)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(got), 1)
}

// TestCut checks that an answer that is cut is an error, and that a refused
// connection means that nothing was sent.
func TestCut(t *testing.T) {
	address, _ := serve(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	p := newPool()
	defer p.Close()
	_, _, err := exchange(t, p, address, true)
	assert.ErrorContains(t, err, "unexpected EOF")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	_, _, err = exchange(t, p, closed, true)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// TestStripHop removes the headers of one connection and those that it names.
func TestStripHop(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"1"}, "Content-Length": {"3"}}
	StripHop(h)
	assert.DeepEqual(t, h, http.Header{"X-Kept": {"1"}})
}

// TestKeepAlive reads the peer's timeout.
func TestKeepAlive(t *testing.T) {
	c := &Conn{keep: defaultIdle}
	c.learnKeep(&http.Response{Header: http.Header{"Keep-Alive": {"max=5, timeout=9"}}})
	assert.Equal(t, c.keep, 9*time.Second-idleMargin)
	c.learnKeep(&http.Response{Header: http.Header{"Keep-Alive": {strings.Repeat("x", 9)}}})
	assert.Equal(t, c.keep, 9*time.Second-idleMargin)
}
