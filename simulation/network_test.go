package simulation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	sameRegionLatency  = time.Millisecond
	crossRegionLatency = 12 * time.Millisecond
	maxBufferedBytes   = 256 << 10
	maxPacketBytes     = 16 << 10
)

// link is one direction between two hosts; "*" stands for all hosts.
type link struct {
	from, to string
}

// network is a simulated network in memory, with latency between regions, cut
// links and connection resets.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	regions   map[string]string
	conns     map[*conn]bool
	readDelay map[string]time.Duration // from a read to its return, by host
	rates     map[string]float64       // bytes a second of a host's link; no entry means no limit
	busyUntil map[link]time.Time       // end of the transmissions from or to a host
	changed   chan struct{}
}

func newNetwork() *network {
	return &network{
		listeners: map[string]*listener{},
		cut:       map[link]bool{},
		regions:   map[string]string{},
		conns:     map[*conn]bool{},
		readDelay: map[string]time.Duration{},
		rates:     map[string]float64{},
		busyUntil: map[link]time.Time{},
		changed:   make(chan struct{}),
	}
}

func host(address string) string {
	h, _, _ := strings.Cut(address, ":")
	return h
}

func (n *network) latency(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.regions[a] == n.regions[b] {
		return sameRegionLatency
	}
	return crossRegionLatency
}

func (n *network) isCut(from, to string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}] || n.cut[link{from, "*"}] || n.cut[link{"*", to}], n.changed
}

// setCut cuts or restores a link; "*" stands for all hosts.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[link{from, to}] = true
	} else {
		delete(n.cut, link{from, to})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// restoreAll restores all links.
func (n *network) restoreAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[link]bool{}
	close(n.changed)
	n.changed = make(chan struct{})
}

// listen opens a listener on an address. It has the signature of net.Listen.
func (n *network) listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{network: n, address: address, queue: make(chan *conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dialer returns the dial function of a host. A dial blocks while the link is
// cut in either direction, and is refused if nothing listens on the address.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := host(address)
		for _, way := range []link{{from, to}, {to, from}} {
			for {
				cut, changed := n.isCut(way.from, way.to)
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
		time.Sleep(n.latency(from, to))
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)
		}
		near, far := n.pair(from, to)
		select {
		case l.queue <- far:
			return near, nil
		case <-l.done:
			near.reset()
			return nil, fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)
		}
	}
}

// pair returns the two ends of a new connection between hosts a and b.
func (n *network) pair(a, b string) (*conn, *conn) {
	ab, ba := newHalfConn(n, a, b), newHalfConn(n, b, a)
	near := &conn{network: n, local: a, remote: b, in: ba, out: ab}
	far := &conn{network: n, local: b, remote: a, in: ab, out: ba}
	near.peer = far
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	return near, far
}

// stallAll makes all open connections between hosts with the prefix silent for good, as
// connections may be that outlive a cut. New ones work.
func (n *network) stallAll(prefix string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if strings.HasPrefix(c.local, prefix) && strings.HasPrefix(c.remote, prefix) {
			c.stalled.Store(true)
		}
	}
}

// setReadDelay delays the return of each read at a host that has received bytes, as
// on an instance that waits for its processor.
func (n *network) setReadDelay(h string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readDelay[h] = delay
}

func (n *network) delayAfterRead(h string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readDelay[h]
}

// resetHost resets all connections of a host and closes its listeners.
func (n *network) resetHost(h string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.local == h || c.remote == h {
			conns = append(conns, c)
		}
	}
	var ls []*listener
	for a, l := range n.listeners {
		if host(a) == h {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

type listener struct {
	network *network
	address string
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		c.accepted.Store(true)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// halfConn is one direction of a connection.
type halfConn struct {
	network  *network
	from, to string

	mu       sync.Mutex
	chunks   []chunk
	buffered int
	closed   bool          // by the writer
	broken   bool          // by a reset or by the reader
	wake     chan struct{} // closed and replaced at each change
}

// chunk is the data of one write, readable from its arrival on.
type chunk struct {
	data    []byte
	arrival time.Time
}

func newHalfConn(n *network, from, to string) *halfConn {
	return &halfConn{network: n, from: from, to: to, wake: make(chan struct{})}
}

// notify wakes all waiters. The caller holds h.mu.
func (h *halfConn) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

func (h *halfConn) close(broken bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.broken = h.broken || broken
	h.notify()
}

// append adds the data of one write, on thin links in packets that arrive one after the
// other. The caller holds h.mu.
func (h *halfConn) append(p []byte, latency time.Duration) {
	h.buffered += len(p)
	size := len(p)
	if h.network.isThin(h.from, h.to) {
		size = maxPacketBytes
	}
	for len(p) > 0 {
		packet := p[:min(len(p), size)]
		p = p[len(packet):]
		h.chunks = append(h.chunks, chunk{append([]byte(nil), packet...), h.network.transmit(h.from, h.to, len(packet)).Add(latency)})
	}
}

// conn is one end of a connection.
type conn struct {
	network       *network
	local, remote string
	in, out       *halfConn
	mu            sync.Mutex
	peer          *conn       // other end, set at the end that dialled
	accepted      atomic.Bool // whether a listener has returned this end from Accept
	stalled       atomic.Bool // whether the connection carries nothing any more
	wasReset      atomic.Bool
	readDeadline  time.Time
	writeDeadline time.Time
	closed        bool
}

func (c *conn) deadline(read bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read {
		return c.readDeadline
	}
	return c.writeDeadline
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// wait blocks until data or a state change wakes it, a link changes, the time
// until is reached or the deadline passes.
func (c *conn) wait(read bool, wake, changed chan struct{}, until time.Time) error {
	deadline := c.deadline(read)
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	if !deadline.IsZero() && (until.IsZero() || deadline.Before(until)) {
		until = deadline
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

// readError returns why nothing can be read any more, nil if it can.
func (c *conn) readError() error {
	switch deadline := c.deadline(true); {
	case c.wasReset.Load():
		return syscall.ECONNRESET
	case c.isClosed():
		return net.ErrClosed
	case !deadline.IsZero() && !time.Now().Before(deadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *conn) Read(p []byte) (int, error) {
	h := c.in
	for {
		if err := c.readError(); err != nil {
			return 0, err
		}
		cut, changed := c.network.isCut(h.from, h.to)
		cut = cut || c.stalled.Load()
		h.mu.Lock()
		wake := h.wake
		var until time.Time
		switch {
		case h.broken:
			h.mu.Unlock()
			return 0, errors.New("connection reset")
		case cut:
		case len(h.chunks) > 0 && !time.Now().Before(h.chunks[0].arrival):
			n := copy(p, h.chunks[0].data)
			h.chunks[0].data = h.chunks[0].data[n:]
			h.buffered -= n
			if len(h.chunks[0].data) == 0 {
				h.chunks = h.chunks[1:]
			}
			h.notify()
			h.mu.Unlock()
			time.Sleep(c.network.delayAfterRead(c.local))
			return n, nil
		case len(h.chunks) > 0:
			until = h.chunks[0].arrival
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
		if deadline := c.deadline(false); !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		latency := c.network.latency(c.local, c.remote)
		h.mu.Lock()
		wake := h.wake
		if h.broken || h.closed {
			h.mu.Unlock()
			return 0, errors.New("broken pipe")
		}
		if h.buffered < maxBufferedBytes || c.network.isThin(c.local, c.remote) {
			h.append(p, latency)
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

// markClosed removes the connection from the network and reports whether it was
// open.
func (c *conn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.closed
	c.closed = true
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return !was
}

func (c *conn) Close() error {
	if c.markClosed() {
		c.out.close(false)
		c.in.close(true)
	}
	return nil
}

func (c *conn) reset() {
	if c.markClosed() {
		c.wasReset.Store(true)
	}
	c.out.close(true)
	c.in.close(true)
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local + ":1") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote + ":1") }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.notify()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.notify()
	return nil
}
