package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listenNarrow returns a listener whose connections take few bytes that are not read.
func listenNarrow(t *testing.T) net.Listener {
	const bufferBytes = 4096
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestAnswerBeforeUploadIsRead guards against a part of an answer without a length that counts as
// complete, because its upstream ended it, and resets the connection, while the upload was still
// being sent.
func TestAnswerBeforeUploadIsRead(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\nanswer"
		framed   = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	)
	for _, c := range []struct {
		name    string
		size    int // of the upload
		answer  string
		readAll bool // the upstream reads the upload before it answers
		reset   bool // the connection is reset before the answer is read
		whole   bool
	}{
		{"upload unread", 1 << 20, unframed, false, false, false},
		{"short upload unread", 10_000, unframed, false, false, false},
		{"upload unread, reset", 10_000, unframed, false, true, false},
		{"upload read", 1 << 20, unframed, true, false, true},
		{"short upload read", 100, unframed, true, false, true},
		{"nothing uploaded", 0, unframed, true, false, true},
		{"upload unread, answer with a length", 1 << 20, framed, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listenNarrow(t)
			answered, read := make(chan struct{}), make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r := bufio.NewReaderSize(conn, 512)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if c.readAll {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.(*net.TCPConn).CloseWrite()
				if c.reset {
					_ = conn.Close() // with unread bytes, a reset
				}
				close(answered)
				<-read
			}()
			defer close(read)
			pool := &ConnPool{Dial: (&net.Dialer{}).DialContext}
			conn, err := pool.Connect(context.Background(), "u", l.Addr().String(), "1")
			assert.NilError(t, err)
			defer conn.Close()
			time.AfterFunc(5*time.Second, conn.Interrupt)
			err = conn.Send(&Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), c.size)})
			<-answered
			time.Sleep(20 * time.Millisecond)
			var body []byte
			if err == nil {
				var resp *http.Response
				if resp, err = conn.ReadResponse("POST"); err == nil {
					body, err = io.ReadAll(resp.Body)
				}
			}
			assert.Equal(t, err == nil, c.whole, "error %v, body %q", err, body)
			assert.Assert(t, !c.whole || string(body) == "answer")
		})
	}
}
