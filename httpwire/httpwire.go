// Package httpwire sends HTTP/1.1 requests byte for byte over persistent
// connections and reads the answers. Unlike the transport of net/http it never
// retries a request by itself, changes no header, and reports whether any byte
// was sent.
package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/buffer"
)

const (
	dialTimeout        = 900 * time.Millisecond
	bufferBytes        = 4 << 10
	defaultIdleTimeout = 4 * time.Second        // if the upstream announces none
	idleMargin         = 600 * time.Millisecond // a connection is closed this much before its upstream's timeout
	minIdleTimeout     = 500 * time.Millisecond // a connection with a shorter one is not kept
	maxIdlePerUpstream = 48
	maxHeadBytes       = 64 << 10 // limit of the head of an answer, interim answers included
	unlimited          = -1

	// fieldBytes is about what a parsed field of a head takes beside its text.
	fieldBytes = 256
	// A head takes of the memory for heads what it takes beyond freeHeadBytes, in steps.
	freeHeadBytes = 8 << 10
	headStepBytes = 4 << 10
)

var (
	errHeadTooLarge = errors.New("the head of the answer is too large")
	errHeadsSpent   = errors.New("the memory for heads of answers is spent")
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("the request was not sent")

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Request is one request as it is sent.
type Request struct {
	Method string
	Target string // request target as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
}

// ConnPool keeps idle connections by upstream. The exported fields are set before the first call.
type ConnPool struct {
	Dial Dialer
	// HeadMemory bounds what the heads of all answers that are being read or relayed take
	// together, parsed; nil means no bound. Heads of up to freeHeadBytes take nothing of it.
	HeadMemory *buffer.Memory

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
	dialed atomic.Int64
	reused atomic.Int64
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	upstream  string
	requestID string // of the most recent request
	raw       net.Conn
	source    *headReader
	reader    *bufio.Reader
	head      bytes.Buffer // head of the most recent request
	Reused    bool         // whether an earlier request was answered on the connection

	idleTimeout time.Duration // how long the connection may be idle; zero once it has expired
	DialTime    time.Duration // time that connecting took
	idleTimer   *time.Timer   // closes the connection once it was idle for idleTimeout
}

// Get returns an idle connection to the upstream for the request with the ID, or a new
// one. Connections are kept by the upstream's name, because an address may pass from one
// upstream to another. A connection whose last request had the same ID is not returned,
// because a second copy of that request's answer could not be told from the new one.
// An error means that nothing was sent.
func (p *ConnPool) Get(ctx context.Context, upstream, address, requestID string) (*Conn, error) {
	for {
		c := p.takeIdle(upstream, requestID)
		if c == nil {
			return p.Connect(ctx, upstream, address, requestID)
		}
		c.requestID = requestID
		if c.usable() {
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes the most recently used idle connection whose last request had
// another ID and returns it, nil if there is none.
func (p *ConnPool) takeIdle(upstream, requestID string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[upstream]
	i := len(list) - 1
	for i >= 0 && list[i].requestID == requestID {
		i--
	}
	if i < 0 {
		return nil
	}
	c := list[i]
	p.idle[upstream] = slices.Delete(list, i, i+1)
	if !c.idleTimer.Stop() {
		// The timer has fired and will close the connection.
		c.idleTimeout = 0
	}
	c.Reused = true
	return c
}

// Connect opens a new connection to the address for the request with the ID. An error means
// that nothing was sent.
func (p *ConnPool) Connect(ctx context.Context, upstream, address, requestID string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, &notSentError{cause: errors.Wrapf(err, "dial %s", address)}
	}
	p.dialed.Add(1)
	source := &headReader{raw: raw, left: unlimited, held: buffer.Buffer{Memory: p.HeadMemory}}
	return &Conn{
		upstream:    upstream,
		requestID:   requestID,
		raw:         raw,
		source:      source,
		reader:      bufio.NewReaderSize(source, bufferBytes),
		idleTimeout: defaultIdleTimeout,
		DialTime:    time.Since(start),
	}, nil
}

// headReader reads from a connection. It notes what heads say of where their answers end, and fails
// while a head is read that is longer than allowed. The library that parses heads has no limit.
type headReader struct {
	raw     net.Conn
	left    int   // bytes that may still be read for the head, unlimited outside of heads
	err     error // of the last read
	framing framing
	taken   int           // bytes of the head that were read
	held    buffer.Buffer // what the head takes of the memory for heads
	counted int           // bytes of that
}

// begin begins the head of an answer, of which the given bytes came with the answer before.
func (h *headReader) begin(early []byte) {
	h.free()
	h.left, h.framing, h.taken = maxHeadBytes, framing{}, 0
	h.framing.read(early)
}

// free gives back what the head takes.
func (h *headReader) free() {
	if h.held.Memory != nil {
		h.held.Free()
	}
	h.counted = 0
}

// count takes of the memory for heads what the head takes, parsed.
func (h *headReader) count(n int) error {
	h.taken += n
	cost := h.taken + h.framing.lines*fieldBytes - freeHeadBytes
	if h.held.Memory == nil || cost <= h.counted {
		return nil
	}
	step := (cost - h.counted + headStepBytes - 1) / headStepBytes * headStepBytes
	if h.held.Reserve(int64(step)) != nil {
		return errHeadsSpent
	}
	h.counted += step
	return nil
}

// Read reads up to the limit.
func (h *headReader) Read(p []byte) (int, error) {
	var n int
	if h.left == unlimited {
		n, h.err = h.raw.Read(p)
		return n, h.err
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	n, h.err = h.raw.Read(p[:min(len(p), h.left)])
	h.left -= n
	h.framing.read(p[:n])
	if err := h.count(n); err != nil {
		return 0, err
	}
	return n, h.err
}

// notSentError marks a failure before anything was sent.
type notSentError struct {
	cause error
}

// Error returns the cause.
func (e *notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// Is reports whether the target is ErrNotSent.
func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// Put keeps a connection whose last answer was read completely. The connection is
// closed instead if the pool is closed, if the upstream asked for that, or if it has
// sent bytes that belong to no request.
func (p *ConnPool) Put(c *Conn, answer *http.Response) {
	c.readKeepAlive(answer)
	c.source.free()
	if answer.Close || c.idleTimeout < minIdleTimeout || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.upstream]) >= maxIdlePerUpstream {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.upstream] = append(p.idle[c.upstream], c)
	c.idleTimer = time.AfterFunc(c.idleTimeout, func() { p.expire(c) })
}

// readKeepAlive sets the idle timeout from the timeout that the upstream
// announces.
func (c *Conn) readKeepAlive(answer *http.Response) {
	for _, item := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			c.idleTimeout = time.Duration(n)*time.Second - idleMargin
		}
	}
}

// expire removes a connection that was idle for too long, and closes it.
func (p *ConnPool) expire(c *Conn) {
	p.mu.Lock()
	list := p.idle[c.upstream]
	for i, other := range list {
		if other == c {
			p.idle[c.upstream] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.upstream]) == 0 {
		delete(p.idle, c.upstream)
	}
	p.mu.Unlock()
	c.Close()
}

// CloseIdle closes the idle connections to an upstream.
func (p *ConnPool) CloseIdle(upstream string) {
	p.mu.Lock()
	list := p.idle[upstream]
	delete(p.idle, upstream)
	p.mu.Unlock()
	for _, c := range list {
		c.idleTimer.Stop()
		c.Close()
	}
}

// Close closes all idle connections. Connections that are put back later are closed.
func (p *ConnPool) Close() error {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.idleTimer.Stop()
			c.Close()
		}
	}
	return nil
}

// Counts returns how many connections were dialled and how often one was reused.
func (p *ConnPool) Counts() (dialed, reused int64) {
	return p.dialed.Load(), p.reused.Load()
}

// usable reports whether an idle connection is still open and has received no
// data.
func (c *Conn) usable() bool {
	if c.idleTimeout == 0 || c.reader.Buffered() > 0 {
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
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
	c.source.free()
}

// ClosedByUpstream reports whether the upstream has closed or reset the connection, as
// far as the reads so far show.
func (c *Conn) ClosedByUpstream() bool {
	err := c.source.err
	if err == nil || errors.Is(err, net.ErrClosed) {
		return false
	}
	var n net.Error
	return !errors.As(err, &n) || !n.Timeout()
}

// Interrupt makes pending and later reads and writes fail.
func (c *Conn) Interrupt() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
}

// Send writes a request with its whole body. The error matches ErrNotSent if no
// byte was sent.
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
	if len(r.Body) > 0 || needsLength(r.Method) {
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

// needsLength reports whether a request of the method has a Content-Length even if
// its body is empty.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// ReadResponse reads the head of the next answer and skips interim answers
// (1xx). The body of the returned answer is read from the connection. A head of more
// than maxHeadBytes is an error, and so is one whose status is none of HTTP, or that does not
// say plainly where the answer ends.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	early, _ := c.reader.Peek(c.reader.Buffered())
	c.source.begin(early)
	defer func() { c.source.left = unlimited }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if err := c.source.framing.check(resp); err != nil {
			return nil, err
		}
		c.checkBodyEnd(resp)
		return resp, nil
	}
}

// DiscardBody discards the body of an answer, so that the next answer can be
// read. It returns an error if the body is larger than the limit, in bytes.
func DiscardBody(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return errors.New("the answer is too large to be skipped")
	}
	return nil
}

// Delimited reports whether the end of the answer's body can be distinguished from a
// truncation.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || (len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked")
}

// hopHeaders are the headers that apply to one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// StripHop removes the headers that apply to one connection only, and those that
// the Connection header names.
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
