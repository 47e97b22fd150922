package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	bufferBytes     = 32 << 10
	cutPollPeriod   = 10 * time.Millisecond // between checks whether a direction is still held back
	linkDialTimeout = 2 * time.Second
)

// LinkFaults are the faults that a link injects into its connections.
type LinkFaults struct {
	Delay  time.Duration // added to each piece of data
	CutIn  bool          // hold back data to the target
	CutOut bool          // hold back data from the target
	Refuse bool          // reset new connections
}

// Link is a TCP proxy on the loopback interface in front of one address.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	faults      LinkFaults
	connections map[*connection]bool
	wg          sync.WaitGroup
}

// connection is one connection through a link: the TCP connection from the caller
// and the one to the target.
type connection struct {
	link   *Link
	caller *net.TCPConn
	target *net.TCPConn
	silent atomic.Bool
}

// NewLink starts a link to the target, a host and port. It returns an error if no
// port is free to listen on.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	link := &Link{target: target, listener: l, connections: map[*connection]bool{}}
	link.wg.Add(1)
	go link.accept()
	return link, nil
}

// Address returns the address to connect to in place of the target.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Set replaces the faults in force, for open and new connections.
func (l *Link) Set(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *Link) current() LinkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reset resets a random share, from 0 to 1, of the open connections.
func (l *Link) Reset(rnd *rand.Rand, share float64) {
	for _, conn := range l.sample(rnd, share) {
		conn.reset()
	}
}

// Silence stops forwarding on a random share, from 0 to 1, of the open
// connections for the rest of their lifetime, without closing them. New
// connections are not affected.
func (l *Link) Silence(rnd *rand.Rand, share float64) {
	for _, conn := range l.sample(rnd, share) {
		conn.silent.Store(true)
	}
}

// sample returns a random share of the open connections.
func (l *Link) sample(rnd *rand.Rand, share float64) []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sampled []*connection
	for conn := range l.connections {
		if rnd.Float64() < share {
			sampled = append(sampled, conn)
		}
	}
	return sampled
}

// Close stops listening, resets the open connections and waits until they are
// closed.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for conn := range l.connections {
		conn.reset()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *Link) serve(caller *net.TCPConn) {
	defer l.wg.Done()
	target, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil || l.current().Refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	conn := &connection{link: l, caller: caller, target: target.(*net.TCPConn)}
	l.mu.Lock()
	l.connections[conn] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() {
		defer copies.Done()
		conn.copy(conn.target, conn.caller, func(f LinkFaults) bool { return f.CutIn })
	}()
	go func() {
		defer copies.Done()
		conn.copy(conn.caller, conn.target, func(f LinkFaults) bool { return f.CutOut })
	}()
	copies.Wait()
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
	_ = conn.caller.Close()
	_ = conn.target.Close()
}

// reset closes both TCP connections so that their peers see a reset.
func (conn *connection) reset() {
	for _, c := range []*net.TCPConn{conn.caller, conn.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// copy forwards one direction until it ends. The end is forwarded as it was
// received: as an end of the data, or as a reset.
func (conn *connection) copy(to, from *net.TCPConn, cut func(LinkFaults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		for cut(conn.link.current()) {
			time.Sleep(cutPollPeriod)
		}
		time.Sleep(conn.link.current().Delay)
		switch {
		case conn.silent.Load():
			// Nothing is forwarded any more, not even the end.
			if err != nil {
				return
			}
			continue
		case n > 0:
			if _, werr := to.Write(buf[:n]); werr != nil {
				conn.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		conn.reset()
		return
	}
}

// Relay is a UDP proxy on the loopback interface that forwards datagrams to one
// address.
type Relay struct {
	conn   net.PacketConn
	target net.Addr
	cut    atomic.Bool
	wg     sync.WaitGroup
}

// NewRelay starts a relay to the target, a host and port. It returns an error if
// the target is no UDP address or no port is free to listen on.
func NewRelay(target string) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "resolve the target of a relay")
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	r := &Relay{conn: conn, target: to}
	r.wg.Add(1)
	go r.run()
	return r, nil
}

// Address returns the address to send to in place of the target.
func (r *Relay) Address() string {
	return r.conn.LocalAddr().String()
}

// Cut sets whether the relay drops all datagrams.
func (r *Relay) Cut(cut bool) {
	r.cut.Store(cut)
}

// Close stops the relay and waits until it has ended.
func (r *Relay) Close() {
	_ = r.conn.Close()
	r.wg.Wait()
}

func (r *Relay) run() {
	defer r.wg.Done()
	buf := make([]byte, bufferBytes)
	for {
		n, _, err := r.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.cut.Load() {
			continue
		}
		// The receiver must cope with lost datagrams anyway, so the error is ignored.
		_, _ = r.conn.WriteTo(buf[:n], r.target)
	}
}
