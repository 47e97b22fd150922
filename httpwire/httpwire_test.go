package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// serve starts a server that answers the requests of each connection with the
// given texts, and closes the connection after the last if closeAfter is set. It
// returns the server's address and a channel of the requests that it receives.
func serve(t *testing.T, closeAfter bool, texts ...string) (string, chan string) {
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
			go answer(c, closeAfter, texts, got)
		}
	}()
	return l.Addr().String(), got
}

func answer(c net.Conn, closeAfter bool, texts []string, got chan<- string) {
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
	if closeAfter {
		_ = c.Close()
	}
}

var requestCount atomic.Int64

// nextID returns the ID of a further request.
func nextID() string {
	return strconv.FormatInt(requestCount.Add(1), 10)
}

// roundTrip sends one request and reads the whole answer. It returns the body and
// whether the connection was reused.
func roundTrip(t *testing.T, p *ConnPool, address string, keep bool) (string, bool, error) {
	t.Helper()
	c, err := p.Get(context.Background(), "peer", address, nextID())
	if err != nil {
		return "", false, err
	}
	reused := c.Reused
	err = c.Send(&Request{Method: "POST", Target: "/a//b%2F?x", Host: "h", Header: http.Header{"X-One": {"1"}}, Body: []byte("body")})
	if err != nil {
		c.Close()
		return "", reused, err
	}
	resp, err := c.ReadResponse("POST")
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

func newPool() *ConnPool {
	return &ConnPool{Dial: (&net.Dialer{}).DialContext}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestUnchanged checks that a request is received as it was given and that the
// connection is reused.
func TestUnchanged(t *testing.T) {
	address, got := serve(t, false, okAnswer, okAnswer)
	p := newPool()
	defer p.Close()
	for i := range 2 {
		body, reused, err := roundTrip(t, p, address, true)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Equal(t, reused, i == 1)
		assert.Equal(t, <-got, "POST /a//b%2F?x h body")
	}
	dialed, reused := p.Counts()
	assert.Equal(t, dialed, int64(1))
	assert.Equal(t, reused, int64(1))
}

// TestNotKept checks that a connection is not reused after certain answers.
func TestNotKept(t *testing.T) {
	for name, text := range map[string]string{
		"connection closed":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"more bytes than one answer": okAnswer + okAnswer,
		"timeout too short":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, false, text, okAnswer)
			p := newPool()
			defer p.Close()
			_, _, err := roundTrip(t, p, address, true)
			assert.NilError(t, err)
			_, reused, err := roundTrip(t, p, address, true)
			assert.NilError(t, err)
			assert.Assert(t, !reused)
		})
	}
}

// TestClosedWhileIdle checks that after the upstream has closed an idle connection
// the next request uses a new one and is sent once.
func TestClosedWhileIdle(t *testing.T) {
	address, got := serve(t, true, okAnswer)
	p := newPool()
	defer p.Close()
	for range 3 {
		body, reused, err := roundTrip(t, p, address, true)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Assert(t, !reused)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(got), 3)
}

// TestNeverRepeated checks that a request is sent once if the upstream closes the
// connection instead of answering.
func TestNeverRepeated(t *testing.T) {
	address, got := serve(t, true, "")
	p := newPool()
	defer p.Close()
	_, _, err := roundTrip(t, p, address, true)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(got), 1)
}

// TestTruncatedAndRefused checks that a truncated answer is an error, and that a
// refused connection is reported as ErrNotSent.
func TestTruncatedAndRefused(t *testing.T) {
	address, _ := serve(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	p := newPool()
	defer p.Close()
	_, _, err := roundTrip(t, p, address, true)
	assert.ErrorContains(t, err, "unexpected EOF")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	_, _, err = roundTrip(t, p, closed, true)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// TestStripHop checks that the headers of one connection are removed, and those
// that the Connection header names.
func TestStripHop(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"1"}, "Content-Length": {"3"}}
	StripHop(h)
	assert.DeepEqual(t, h, http.Header{"X-Kept": {"1"}})
}

// TestKeepAlive checks that the timeout of the upstream is read.
func TestKeepAlive(t *testing.T) {
	c := &Conn{idleTimeout: defaultIdleTimeout}
	c.readKeepAlive(&http.Response{Header: http.Header{"Keep-Alive": {"max=5, timeout=9"}}})
	assert.Equal(t, c.idleTimeout, 9*time.Second-idleMargin)
	c.readKeepAlive(&http.Response{Header: http.Header{"Keep-Alive": {strings.Repeat("x", 9)}}})
	assert.Equal(t, c.idleTimeout, 9*time.Second-idleMargin)
}

// TestSameRequestID sends two requests with one ID and a third with another: the
// second gets a connection of its own, because the first one's answer may come twice.
func TestSameRequestID(t *testing.T) {
	address, _ := serve(t, false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	p := &ConnPool{Dial: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer p.Close()
	for _, step := range []struct {
		id     string
		reused bool
	}{{"a", false}, {"a", false}, {"b", true}} {
		c, err := p.Get(context.Background(), "peer", address, step.id)
		assert.NilError(t, err)
		assert.Equal(t, c.Reused, step.reused, "request %s", step.id)
		assert.NilError(t, c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}))
		resp, err := c.ReadResponse("GET")
		assert.NilError(t, err)
		assert.NilError(t, DiscardBody(resp, 10))
		p.Put(c, resp)
	}
}

// TestPutAfterClose guards against connections that stay open after the pool was
// closed while they were in use.
func TestPutAfterClose(t *testing.T) {
	address, _ := serve(t, false, okAnswer)
	p := newPool()
	c, err := p.Get(context.Background(), "peer", address, "a")
	assert.NilError(t, err)
	assert.NilError(t, c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}))
	resp, err := c.ReadResponse("GET")
	assert.NilError(t, err)
	assert.NilError(t, DiscardBody(resp, 10))
	assert.NilError(t, p.Close())
	p.Put(c, resp)
	assert.Assert(t, errors.Is(c.raw.SetDeadline(time.Time{}), net.ErrClosed))
}
