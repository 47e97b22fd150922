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
	bufferBytes      = 32 << 10
	cutPollPeriod    = 10 * time.Millisecond // between two checks whether a direction is still held back
	proxyDialTimeout = 2 * time.Second
)

// ProxyFaults are the faults that a proxy injects into its connections.
type ProxyFaults struct {
	Delay  time.Duration // added to each piece of data
	CutIn  bool          // hold back data to the target
	CutOut bool          // hold back data from the target
	Refuse bool          // reset new connections
}

// Proxy is a TCP proxy on the loopback interface in front of one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	faults      ProxyFaults
	connections map[*connection]bool
	silenced    map[string]bool // callers' addresses of the connections that Silence has chosen
	wg          sync.WaitGroup
}

// connection is one connection through a proxy: the TCP connection from the caller
// and the one to the target.
type connection struct {
	proxy  *Proxy
	caller *net.TCPConn
	target *net.TCPConn
	silent atomic.Bool
}

// NewProxy starts a proxy to the target, a host and port. It returns an error if no
// port is free to listen on.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &Proxy{target: target, listener: l, connections: map[*connection]bool{}, silenced: map[string]bool{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address to connect to in place of the target.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set replaces the faults in force, for open and new connections.
func (p *Proxy) Set(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Proxy) current() ProxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reset resets a random share, from 0 to 1, of the open connections.
func (p *Proxy) Reset(rng *rand.Rand, share float64) {
	for _, conn := range p.sample(rng, share) {
		conn.reset()
	}
}

// Silence stops forwarding on a random share, from 0 to 1, of the open
// connections for the rest of their lifetime, without closing them. New
// connections are not affected.
func (p *Proxy) Silence(rng *rand.Rand, share float64) {
	for _, conn := range p.sample(rng, share) {
		conn.silent.Store(true)
		p.mu.Lock()
		p.silenced[conn.caller.RemoteAddr().String()] = true
		p.mu.Unlock()
	}
}

// Silenced reports whether Silence has chosen the connection of the caller with an address.
func (p *Proxy) Silenced(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[caller]
}

// sample returns a random share of the open connections.
func (p *Proxy) sample(rng *rand.Rand, share float64) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sampled []*connection
	for conn := range p.connections {
		if rng.Float64() < share {
			sampled = append(sampled, conn)
		}
	}
	return sampled
}

// Close stops listening, resets the open connections and waits until they are
// closed.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for conn := range p.connections {
		conn.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(caller *net.TCPConn) {
	defer p.wg.Done()
	target, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil || p.current().Refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	conn := &connection{proxy: p, caller: caller, target: target.(*net.TCPConn)}
	p.mu.Lock()
	p.connections[conn] = true
	delete(p.silenced, conn.caller.RemoteAddr().String())
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() {
		defer copies.Done()
		conn.copy(conn.target, conn.caller, func(f ProxyFaults) bool { return f.CutIn })
	}()
	go func() {
		defer copies.Done()
		conn.copy(conn.caller, conn.target, func(f ProxyFaults) bool { return f.CutOut })
	}()
	copies.Wait()
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
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
func (conn *connection) copy(to, from *net.TCPConn, cut func(ProxyFaults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		for cut(conn.proxy.current()) {
			time.Sleep(cutPollPeriod)
		}
		time.Sleep(conn.proxy.current().Delay)
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

// DatagramProxy is a UDP proxy on the loopback interface that forwards
// datagrams to one address.
type DatagramProxy struct {
	conn   net.PacketConn
	target net.Addr
	cut    atomic.Bool
	wg     sync.WaitGroup
}

// NewDatagramProxy starts a proxy to the target, a host and port. It returns an
// error if the target is not a UDP address or no port is free to listen on.
func NewDatagramProxy(target string) (*DatagramProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "resolve the target of a datagram proxy")
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a datagram proxy")
	}
	p := &DatagramProxy{conn: conn, target: to}
	p.wg.Add(1)
	go p.run()
	return p, nil
}

// Address returns the address to send to in place of the target.
func (p *DatagramProxy) Address() string {
	return p.conn.LocalAddr().String()
}

// Cut sets whether the proxy drops all datagrams.
func (p *DatagramProxy) Cut(cut bool) {
	p.cut.Store(cut)
}

// Close stops the proxy and waits until it has ended.
func (p *DatagramProxy) Close() {
	_ = p.conn.Close()
	p.wg.Wait()
}

func (p *DatagramProxy) run() {
	defer p.wg.Done()
	buf := make([]byte, bufferBytes)
	for {
		n, _, err := p.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.cut.Load() {
			continue
		}
		// The receiver must cope with lost datagrams anyway, so the error is ignored.
		_, _ = p.conn.WriteTo(buf[:n], p.target)
	}
}
