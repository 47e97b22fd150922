package webserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// pipeListener is a listener for connections in memory. After each read its
// connections wait for readDelay.
type pipeListener struct {
	queue     chan net.Conn
	done      chan struct{}
	once      sync.Once
	readDelay time.Duration
}

func newPipeListener(readDelay time.Duration) *pipeListener {
	return &pipeListener{queue: make(chan net.Conn), done: make(chan struct{}), readDelay: readDelay}
}

// listen has the signature of net.Listen.
func (l *pipeListener) listen(_, _ string) (net.Listener, error) { return l, nil }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.queue <- slowConn{Conn: far, readDelay: l.readDelay}
	return near
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowConn is a connection whose received bytes reach the reader with a delay.
type slowConn struct {
	net.Conn
	readDelay time.Duration
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.readDelay)
	}
	return n, err
}

// caller is a caller with one connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newCaller(t *testing.T, l *pipeListener) *caller {
	conn := l.dial()
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request, or the part of one.
func (c *caller) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// answered reports whether a whole answer with status 200 is received.
func (c *caller) answered() bool {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// startServer runs a server that answers each request after a delay.
func startServer(t *testing.T, l *pipeListener, delay time.Duration) *Server {
	s := &Server{Listen: l.listen, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(delay) })}
	assert.NilError(t, s.Run())
	return s
}

// TestShutdownAnswersReadRequest guards against a request on a kept connection that
// was read and is closed without an answer, because the server still counts the
// connection as idle.
func TestShutdownAnswersReadRequest(t *testing.T) {
	const readDelay = 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		parts []string
		after time.Duration // from the last part to the shutdown
	}{
		{"before it is parsed", []string{request}, readDelay / 2},
		{"first bytes only", []string{request[:5], request[5:]}, readDelay / 2},
		{"at the same moment", []string{request}, 0},
		{"while it is handled", []string{request}, 2 * readDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPipeListener(readDelay)
				s := startServer(t, l, 3*readDelay)
				kept := newCaller(t, l)
				assert.NilError(t, kept.send(request))
				assert.Assert(t, kept.answered())
				synctest.Wait()
				for _, part := range c.parts {
					assert.NilError(t, kept.send(part))
				}
				time.Sleep(c.after)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				ended := make(chan error, 1)
				go func() {
					err := s.Shutdown(ctx)
					_ = s.Close()
					ended <- err
				}()
				assert.Check(t, kept.answered(), "the request was read and has no answer")
				assert.Check(t, <-ended)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestShutdownClosesIdle checks that a shutdown closes kept connections without
// reading from them, and does not wait for them.
func TestShutdownClosesIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener(0)
		s := startServer(t, l, 0)
		idle := newCaller(t, l)
		for range 3 {
			assert.NilError(t, idle.send(request))
			assert.Assert(t, idle.answered())
		}
		start := time.Now()
		assert.Check(t, s.Shutdown(t.Context()))
		assert.Check(t, time.Since(start) <= shutdownPollPeriod)
		assert.Check(t, idle.send(request) != nil, "bytes were read from an idle connection")
		assert.NilError(t, s.Close())
	})
}

// TestShutdownAnswersNew checks that the first request on a connection that was
// accepted before the shutdown is answered, and that an answer is not followed by
// another one.
func TestShutdownAnswersNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener(0)
		s := startServer(t, l, 0)
		fresh := newCaller(t, l)
		synctest.Wait()
		ended := make(chan error, 1)
		go func() { ended <- s.Shutdown(t.Context()) }()
		time.Sleep(time.Second)
		assert.Check(t, fresh.send(request))
		assert.Check(t, fresh.answered())
		assert.Check(t, <-ended)
		assert.Check(t, fresh.send(request) != nil)
		assert.NilError(t, s.Close())
	})
}

// TestShutdownAnswersEarlyRequest sends a request while the handler of the one before
// has answered and not yet returned.
func TestShutdownAnswersEarlyRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener(0)
		s := &Server{Listen: l.listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "0")
			assert.Check(t, http.NewResponseController(w).Flush())
			time.Sleep(time.Second)
		})}
		assert.NilError(t, s.Run())
		kept := newCaller(t, l)
		assert.Check(t, kept.send(request))
		assert.Check(t, kept.answered())
		sent := make(chan error, 1)
		go func() { sent <- kept.send(request) }()
		synctest.Wait()
		ended := make(chan error, 1)
		go func() { ended <- s.Shutdown(t.Context()) }()
		assert.Check(t, kept.answered())
		assert.Check(t, <-sent)
		assert.Check(t, <-ended)
		assert.NilError(t, s.Close())
	})
}

// TestShutdownEndsWithContext checks that a shutdown ends with its context while a
// request is in progress.
func TestShutdownEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener(0)
		s := startServer(t, l, time.Minute)
		busy := newCaller(t, l)
		assert.NilError(t, busy.send(request))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := s.Shutdown(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.NilError(t, s.Close())
		time.Sleep(time.Hour)
	})
}

// TestShutdownAnswersPipelinedRequest guards against a request that was read together
// with the one before it and is cancelled, because its connection counts as idle.
func TestShutdownAnswersPipelinedRequest(t *testing.T) {
	for _, body := range []string{"", "body"} {
		synctest.Test(t, func(t *testing.T) {
			l := newPipeListener(0)
			s := &Server{Listen: l.listen, Handler: http.HandlerFunc(serveSlowly)}
			assert.NilError(t, s.Run())
			c := newCaller(t, l)
			pipelined := request
			if body != "" {
				pipelined = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
			}
			assert.NilError(t, c.send(request+pipelined))
			assert.Assert(t, c.answered())
			synctest.Wait()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			time.Sleep(time.Millisecond)
			if body != "" {
				assert.NilError(t, c.send(body))
			}
			assert.Assert(t, c.answered(), "a pipelined request with the body %q is not answered", body)
			assert.NilError(t, <-stopped)
			assert.NilError(t, s.Close())
		})
	}
}

// serveSlowly reads the body and answers after a second, unless the request is cancelled.
func serveSlowly(_ http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(time.Second):
	}
}
