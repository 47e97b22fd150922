package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedServer is a server whose answers are written by a function of the test.
type scriptedServer struct {
	listener net.Listener
	mu       sync.Mutex
	requests []string // method and path of each request
	conns    int
}

// newScriptedServer starts a server that calls serve with the number of each
// connection and the number of each request on it. The connection is closed once
// serve returns false.
func newScriptedServer(t *testing.T, serve func(c net.Conn, conn, request int) bool) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			n := s.conns
			s.mu.Unlock()
			go s.handle(c, n, serve)
		}
	}()
	return s
}

func (s *scriptedServer) handle(c net.Conn, n int, serve func(c net.Conn, conn, request int) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.URL.Path)
		s.mu.Unlock()
		if !serve(c, n, i) {
			return
		}
	}
}

// count returns how often a request, given by method and path, was received.
func (s *scriptedServer) count(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.requests {
		if r == request {
			n++
		}
	}
	return n
}

func writeOK(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newClient(t *testing.T) *Client {
	c := New((&net.Dialer{}).DialContext)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStaleConnection checks that a booking is sent once after a call whose
// connection was kept and which the service closes on the next request. On that
// connection net/http would send the booking again by itself.
func TestStaleConnection(t *testing.T) {
	for _, method := range []string{"POST", "OPTIONS"} {
		t.Run(method, func(t *testing.T) { staleConnection(t, method) })
	}
}

func staleConnection(t *testing.T, method string) {
	s := newScriptedServer(t, func(c net.Conn, conn, request int) bool {
		if conn == 1 && request == 1 {
			writeOK(c, "first")
			return true
		}
		return false
	})
	client := newClient(t)
	get := Call{ID: "a", Address: s.listener.Addr().String(), Method: "GET", Path: "/load", Idempotent: true}
	resp, err := client.Do(context.Background(), get)
	assert.NilError(t, err)
	_, err = ReadBody(resp)
	assert.NilError(t, err)
	_ = resp.Body.Close()

	call := Call{ID: "b", Address: s.listener.Addr().String(), Method: method, Path: "/book"}
	_, err = client.Do(context.Background(), call)
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, ErrNotSent), "the request was sent")
	assert.Equal(t, s.count(method+" /book"), 1)
}

// TestRefusedConnection checks that a refused connection is reported as
// ErrNotSent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	for _, idempotent := range []bool{false, true} {
		call := Call{ID: "a", Address: address, Method: "POST", Path: "/book", Idempotent: idempotent}
		_, err := newClient(t).Do(context.Background(), call)
		assert.Assert(t, errors.Is(err, ErrNotSent), "idempotent=%t: %v", idempotent, err)
	}
}

// TestCancelledAnswer cancels a request and sends another: the late answer to the
// first must not be returned as the answer to the second.
func TestCancelledAnswer(t *testing.T) {
	release := make(chan struct{})
	s := newScriptedServer(t, func(c net.Conn, conn, _ int) bool {
		if conn == 1 {
			<-release
			writeOK(c, "first")
			return true
		}
		writeOK(c, "second")
		return true
	})
	client := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	call := Call{ID: "a", Address: s.listener.Addr().String(), Method: "GET", Path: "/first", Idempotent: true}
	go func() {
		_, err := client.Do(ctx, call)
		done <- err
	}()
	for s.count("GET /first") == 0 {
		// The first request was not received yet.
	}
	cancel()
	assert.Assert(t, <-done != nil)
	close(release)
	for range 5 {
		call.Path = "/second"
		resp, err := client.Do(context.Background(), call)
		assert.NilError(t, err)
		body, err := ReadBody(resp)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, string(body), "second")
	}
}

// TestReadBody checks that a truncated answer never counts as complete.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name, answer, body string
		whole              bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", true},
		{"truncated length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", true},
		{"truncated chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "", false},
		{"no length", "HTTP/1.0 200 OK\r\n\r\nabc", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, func(conn net.Conn, _, _ int) bool {
				_, _ = io.WriteString(conn, c.answer)
				return false
			})
			call := Call{ID: "a", Address: s.listener.Addr().String(), Method: "POST", Path: "/book"}
			resp, err := newClient(t).Do(context.Background(), call)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := ReadBody(resp)
			assert.Equal(t, err == nil, c.whole)
			assert.Equal(t, string(body), c.body)
		})
	}
}

// TestEvents reads events with and without an ID, a comment and data of two lines.
func TestEvents(t *testing.T) {
	r := NewEventReader(strings.NewReader("id: 0\ndata: a\n\n: remark\ndata: b\ndata: c\n\ndata: [DONE]\n\n"))
	var got []string
	for {
		e, err := r.Next()
		assert.NilError(t, err)
		got = append(got, e.ID+"|"+string(e.Data))
		if e.Done() {
			break
		}
	}
	assert.DeepEqual(t, got, []string{"0|a", "|b\nc", "|[DONE]"})
	_, err := r.Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}

// TestCutEvents guards against an event that is taken as complete though the stream ends
// inside it.
func TestCutEvents(t *testing.T) {
	for _, text := range []string{"data: a", "data: a\n", "data: [DONE]", "data: [DONE]\n", "id: 1\ndata: [DONE]\r\n", "id: 1\n\n"} {
		_, err := NewEventReader(strings.NewReader(text)).Next()
		assert.Equal(t, err, io.ErrUnexpectedEOF, "%q", text)
	}
}

// TestNoFinalStatus guards against what an upstream in trouble sent with a status that is none of a
// final answer, and that is passed on as its answer. The request may have run.
func TestNoFinalStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", status, idempotent), func(t *testing.T) {
				s := newScriptedServer(t, func(conn net.Conn, _, _ int) bool {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 4\r\n\r\nfail")
					return false
				})
				call := Call{ID: "a", Address: s.listener.Addr().String(), Method: "POST", Path: "/book", Idempotent: idempotent}
				_, err := newClient(t).Do(context.Background(), call)
				assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "error %v", err)
			})
		}
	}
}
