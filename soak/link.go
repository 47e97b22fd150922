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
	linkBuffer = 32 << 10
	holdPeriod = 10 * time.Millisecond // holdPeriod is the time between looks at whether a direction is still cut.
	linkDial   = 2 * time.Second
)

// LinkFaults are what a link does to the bytes that pass.
type LinkFaults struct {
	Delay  time.Duration // Delay is added to each piece of data.
	CutIn  bool          // CutIn holds back what goes to the target.
	CutOut bool          // CutOut holds back what comes from it.
	Refuse bool          // Refuse resets new connections.
}

// Link is a TCP proxy on the loopback interface in front of one address.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	faults LinkFaults
	pairs  map[*pair]bool
	wait   sync.WaitGroup
}

// pair is one connection through a link.
type pair struct {
	link   *Link
	caller *net.TCPConn
	target *net.TCPConn
	silent atomic.Bool
}

// NewLink starts a link to the target.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	link := &Link{target: target, listener: l, pairs: map[*pair]bool{}}
	link.wait.Add(1)
	go link.accept()
	return link, nil
}

// Address returns the address to connect to in place of the target's.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Set puts faults in force.
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

// Reset resets a share of the open connections.
func (l *Link) Reset(rnd *rand.Rand, share float64) {
	for _, p := range l.some(rnd, share) {
		p.reset()
	}
}

// Silence lets a share of the open connections fall silent for good. New ones
// work.
func (l *Link) Silence(rnd *rand.Rand, share float64) {
	for _, p := range l.some(rnd, share) {
		p.silent.Store(true)
	}
}

func (l *Link) some(rnd *rand.Rand, share float64) []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var some []*pair
	for p := range l.pairs {
		if rnd.Float64() < share {
			some = append(some, p)
		}
	}
	return some
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for p := range l.pairs {
		p.reset()
	}
	l.mu.Unlock()
	l.wait.Wait()
}

func (l *Link) accept() {
	defer l.wait.Done()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait.Add(1)
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *Link) serve(caller *net.TCPConn) {
	defer l.wait.Done()
	target, err := net.DialTimeout("tcp", l.target, linkDial)
	if err != nil || l.current().Refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	p := &pair{link: l, caller: caller, target: target.(*net.TCPConn)}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.copy(p.target, p.caller, func(f LinkFaults) bool { return f.CutIn })
	}()
	go func() {
		defer both.Done()
		p.copy(p.caller, p.target, func(f LinkFaults) bool { return f.CutOut })
	}()
	both.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	_ = p.caller.Close()
	_ = p.target.Close()
}

// reset closes both ends so that their peers see a reset.
func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.caller, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// copy passes on one direction until it ends. Its end reaches the other side as
// it came: as an end of the data, or as a reset.
func (p *pair) copy(to, from *net.TCPConn, cut func(LinkFaults) bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		for cut(p.link.current()) {
			time.Sleep(holdPeriod)
		}
		time.Sleep(p.link.current().Delay)
		switch {
		case p.silent.Load():
			// Nothing passes any more, not even the end.
			if err != nil {
				return
			}
			continue
		case n > 0:
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.reset()
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
		p.reset()
		return
	}
}

// Relay passes on datagrams to one address.
type Relay struct {
	conn   net.PacketConn
	target net.Addr
	cut    atomic.Bool
	wait   sync.WaitGroup
}

// NewRelay starts a relay to the target.
func NewRelay(target string) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "address of a relay")
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	r := &Relay{conn: conn, target: to}
	r.wait.Add(1)
	go r.run()
	return r, nil
}

// Address returns the address to send to in place of the target's.
func (r *Relay) Address() string {
	return r.conn.LocalAddr().String()
}

// Cut drops all datagrams, or lets them pass again.
func (r *Relay) Cut(cut bool) {
	r.cut.Store(cut)
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.conn.Close()
	r.wait.Wait()
}

func (r *Relay) run() {
	defer r.wait.Done()
	buf := make([]byte, linkBuffer)
	for {
		n, _, err := r.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.cut.Load() {
			continue
		}
		// A lost datagram is nothing new to its receiver.
		_, _ = r.conn.WriteTo(buf[:n], r.target)
	}
}
