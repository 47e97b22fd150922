// Package httpwire sends HTTP/1.1 requests byte for byte over kept connections
// and reads the answers. Unlike the transport of net/http it never repeats a
// request by itself, changes no header, and tells whether any byte has left.
package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout    = 900 * time.Millisecond
	bufferBytes    = 4 << 10
	defaultIdle    = 4 * time.Second        // defaultIdle is how long a connection is kept whose peer names no timeout.
	idleMargin     = 600 * time.Millisecond // idleMargin is how much earlier than its peer a connection is given up.
	shortestIdle   = 500 * time.Millisecond
	maxIdlePerPeer = 48
)

// ErrNotSent means that no byte of the request has left this process.
var ErrNotSent = errors.New("the request was not sent")

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Request is one request as it goes out.
type Request struct {
	Method string
	Target string // Target is the request target as the caller sent it.
	Host   string
	Header http.Header
	Body   []byte
}

// Pool keeps connections by peer. Dial is set before the first call.
type Pool struct {
	Dial Dialer

	mu     sync.Mutex
	idle   map[string][]*Conn
	dialed atomic.Int64
	reused atomic.Int64
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	peer   string
	raw    net.Conn
	reader *bufio.Reader
	head   bytes.Buffer
	Reused bool // Reused tells that a request was answered on it before.

	keep     time.Duration // keep is how long the connection may be idle.
	idleFrom time.Time
	Dialed   time.Duration // Dialed is how long it took to connect.
	timer    *time.Timer   // timer closes the connection when it was idle for too long.
}

// Get returns a connection to the peer. The peer's name keeps connections apart
// when an address passes from one upstream to another. An error means that
// nothing was sent.
func (p *Pool) Get(ctx context.Context, peer, address string) (*Conn, error) {
	for {
		c := p.take(peer)
		if c == nil {
			return p.connect(ctx, peer, address)
		}
		if c.quiet() {
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
}

// take removes the connection that was used last.
func (p *Pool) take(peer string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[peer] = list[:len(list)-1]
	if !c.timer.Stop() {
		// The timer has fired and will close it.
		c.keep = 0
	}
	c.Reused = true
	return c
}

func (p *Pool) connect(ctx context.Context, peer, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	begin := time.Now()
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, &notSentError{cause: errors.Wrapf(err, "dial %s", address)}
	}
	p.dialed.Add(1)
	return &Conn{
		peer:   peer,
		raw:    raw,
		reader: bufio.NewReaderSize(raw, bufferBytes),
		keep:   defaultIdle,
		Dialed: time.Since(begin),
	}, nil
}

// notSentError marks a failure before anything was sent.
type notSentError struct {
	cause error
}

// Error returns the cause.
func (e *notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// Is makes the error equal to ErrNotSent.
func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// Put keeps a connection whose last answer was read whole. It is closed instead
// if the peer wants that or has sent bytes that belong to no request.
func (p *Pool) Put(c *Conn, answer *http.Response) {
	c.learnKeep(answer)
	if answer.Close || c.keep < shortestIdle || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleFrom = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[c.peer]) >= maxIdlePerPeer {
		if p.idle != nil {
			c.Close()
			return
		}
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.peer] = append(p.idle[c.peer], c)
	c.timer = time.AfterFunc(c.keep, func() { p.expire(c) })
}

// learnKeep takes over the timeout that the peer announces.
func (c *Conn) learnKeep(answer *http.Response) {
	for _, item := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			c.keep = time.Duration(n)*time.Second - idleMargin
		}
	}
}

// expire closes a connection that was idle for too long.
func (p *Pool) expire(c *Conn) {
	p.mu.Lock()
	list := p.idle[c.peer]
	for i, other := range list {
		if other == c {
			p.idle[c.peer] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.peer]) == 0 {
		delete(p.idle, c.peer)
	}
	p.mu.Unlock()
	c.Close()
}

// Forget closes the idle connections to a peer.
func (p *Pool) Forget(peer string) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.timer.Stop()
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.timer.Stop()
			c.Close()
		}
	}
	return nil
}

// Counts returns how many connections were dialled and how often one was used
// again.
func (p *Pool) Counts() (dialed, reused int64) {
	return p.dialed.Load(), p.reused.Load()
}

// quiet reports whether an idle connection is still open and silent.
func (c *Conn) quiet() bool {
	if c.keep == 0 || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// Interrupt makes reads and writes under way fail.
func (c *Conn) Interrupt() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
}

// Send writes a request with its whole body.
func (c *Conn) Send(r *Request) error {
	b := &c.head
	b.Reset()
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := r.Header.Write(b); err != nil {
		return &notSentError{cause: err}
	}
	if len(r.Body) > 0 || takesBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{b.Bytes()}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	n, err := buffers.WriteTo(c.raw)
	if err != nil && n == 0 {
		return &notSentError{cause: err}
	}
	return err
}

// takesBody reports whether a request of the method announces an empty body.
func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Read reads the head of the next answer. Its body is read from the connection.
func (c *Conn) Read(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Skip reads an answer to its end, so that the next one can be read.
func Skip(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return errors.New("the answer is too large to be skipped")
	}
	return nil
}

// Framed reports whether the end of the answer's body can be told from a cut.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || (len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked")
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// StripHop removes the headers that concern one connection only.
func StripHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
