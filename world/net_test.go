package world

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	nearLatency = time.Millisecond
	farLatency  = 12 * time.Millisecond
	maxBuffered = 256 << 10
)

// link is the direction from one host to another.
type link struct {
	from, to string
}

// fabric is a network in memory with latency, cuts and resets.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	regions   map[string]string
	conns     map[*conn]bool
	changed   chan struct{}
}

func newFabric() *fabric {
	return &fabric{
		listeners: map[string]*listener{},
		cut:       map[link]bool{},
		regions:   map[string]string{},
		conns:     map[*conn]bool{},
		changed:   make(chan struct{}),
	}
}

func host(address string) string {
	h, _, _ := strings.Cut(address, ":")
	return h
}

func (f *fabric) latency(a, b string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.regions[a] == f.regions[b] {
		return nearLatency
	}
	return farLatency
}

func (f *fabric) isCut(from, to string) (bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[link{from, to}] || f.cut[link{from, "*"}] || f.cut[link{"*", to}], f.changed
}

// set cuts or mends a direction; "*" stands for all hosts.
func (f *fabric) set(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cut[link{from, to}] = true
	} else {
		delete(f.cut, link{from, to})
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[link]bool{}
	close(f.changed)
	f.changed = make(chan struct{})
}

// listen returns a function that listens on a host.
func (f *fabric) listen(_, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{fabric: f, address: address, queue: make(chan net.Conn, 1024), done: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

// dialer returns a dial function for a host.
func (f *fabric) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := host(address)
		for _, way := range []link{{from, to}, {to, from}} {
			for {
				cut, changed := f.isCut(way.from, way.to)
				if !cut {
					break
				}
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-changed:
				}
			}
		}
		time.Sleep(f.latency(from, to))
		f.mu.Lock()
		l := f.listeners[address]
		f.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)
		}
		near, far := f.pair(from, to)
		select {
		case l.queue <- far:
			return near, nil
		case <-l.done:
			near.reset()
			return nil, fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)
		}
	}
}

func (f *fabric) pair(a, b string) (*conn, *conn) {
	ab, ba := newHalf(f, a, b), newHalf(f, b, a)
	near := &conn{fabric: f, local: a, remote: b, in: ba, out: ab}
	far := &conn{fabric: f, local: b, remote: a, in: ab, out: ba}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[near], f.conns[far] = true, true
	return near, far
}

// kill resets all connections of a host and closes its listeners.
func (f *fabric) kill(h string) {
	f.mu.Lock()
	var conns []*conn
	for c := range f.conns {
		if c.local == h || c.remote == h {
			conns = append(conns, c)
		}
	}
	var ls []*listener
	for a, l := range f.listeners {
		if host(a) == h {
			ls = append(ls, l)
		}
	}
	f.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

type listener struct {
	fabric  *fabric
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		if l.fabric.listeners[l.address] == l {
			delete(l.fabric.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// half is one direction of a connection.
type half struct {
	fabric   *fabric
	from, to string

	mu       sync.Mutex
	chunks   []chunk
	buffered int
	closed   bool // closed by the writer.
	broken   bool // broken by a reset or by the reader.
	wake     chan struct{}
}

type chunk struct {
	data []byte
	at   time.Time
}

func newHalf(f *fabric, from, to string) *half {
	return &half{fabric: f, from: from, to: to, wake: make(chan struct{})}
}

func (h *half) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

func (h *half) end(broken bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.broken = h.broken || broken
	h.notify()
}

// conn is one end of a connection.
type conn struct {
	fabric        *fabric
	local, remote string
	in, out       *half
	mu            sync.Mutex
	readBy        time.Time
	writeBy       time.Time
	closed        bool
}

func (c *conn) deadline(read bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read {
		return c.readBy
	}
	return c.writeBy
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// wait waits for a wake-up, a change of the network, a time or the deadline.
func (c *conn) wait(read bool, wake, changed chan struct{}, until time.Time) error {
	by := c.deadline(read)
	if !by.IsZero() && !time.Now().Before(by) {
		return os.ErrDeadlineExceeded
	}
	if !by.IsZero() && (until.IsZero() || by.Before(until)) {
		until = by
	}
	var timer <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-wake:
	case <-changed:
	case <-timer:
	}
	return nil
}

func (c *conn) Read(p []byte) (int, error) {
	h := c.in
	for {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		if by := c.deadline(true); !by.IsZero() && !time.Now().Before(by) {
			return 0, os.ErrDeadlineExceeded
		}
		cut, changed := c.fabric.isCut(h.from, h.to)
		h.mu.Lock()
		wake := h.wake
		var until time.Time
		switch {
		case h.broken:
			h.mu.Unlock()
			return 0, errors.New("connection reset")
		case cut:
		case len(h.chunks) > 0 && !time.Now().Before(h.chunks[0].at):
			n := copy(p, h.chunks[0].data)
			h.chunks[0].data = h.chunks[0].data[n:]
			h.buffered -= n
			if len(h.chunks[0].data) == 0 {
				h.chunks = h.chunks[1:]
			}
			h.notify()
			h.mu.Unlock()
			return n, nil
		case len(h.chunks) > 0:
			until = h.chunks[0].at
		case h.closed:
			h.mu.Unlock()
			return 0, io.EOF
		}
		h.mu.Unlock()
		if err := c.wait(true, wake, changed, until); err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	h := c.out
	for {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		latency := c.fabric.latency(c.local, c.remote)
		h.mu.Lock()
		wake := h.wake
		if h.broken || h.closed {
			h.mu.Unlock()
			return 0, errors.New("broken pipe")
		}
		if h.buffered < maxBuffered {
			h.chunks = append(h.chunks, chunk{append([]byte(nil), p...), time.Now().Add(latency)})
			h.buffered += len(p)
			h.notify()
			h.mu.Unlock()
			return len(p), nil
		}
		h.mu.Unlock()
		if err := c.wait(false, wake, nil, time.Time{}); err != nil {
			return 0, err
		}
	}
}

func (c *conn) forget() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.closed
	c.closed = true
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	delete(c.fabric.conns, c)
	return !was
}

func (c *conn) Close() error {
	if c.forget() {
		c.out.end(false)
		c.in.end(true)
	}
	return nil
}

func (c *conn) reset() {
	c.forget()
	c.out.end(true)
	c.in.end(true)
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local + ":1") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote + ":1") }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.notify()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.notify()
	return nil
}
