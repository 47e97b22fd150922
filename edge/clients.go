package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/intake"
	"knapweedwell/setting"
	"knapweedwell/webserver"
)

// What clients may take of an instance, in percent of the memory or of the descriptors in its
// settings.
const (
	headPercent       = 8  // of the memory, for heads that are not complete
	framePercent      = 8  // of the memory, for messages of peers that are not complete
	connectionPercent = 30 // of the memory, for connections that were accepted
	connectionBytes   = 20 << 10

	// Shares of that memory. No port can take the places of another one.
	callerMemoryPercent = 75
	peerMemoryPercent   = 25 // a fleet may have 680 instances
	otherMemoryPercent  = 3

	spareDescriptors = 200 // never used
	// Shares of the other descriptors. The rest is for the store and files.
	callerDescriptorPercent   = 54
	peerDescriptorPercent     = 18
	otherDescriptorPercent    = 2
	upstreamDescriptorPercent = 18

	answerWriteTimeout = 10 * time.Second // at the ports that are not for callers
)

// clientLimits are the bounds on what clients take together; zero means no limit.
type clientLimits struct {
	HeadBytes, FrameBytes int64
	Callers, Peers        int // accepted connections at their ports
	Others                int // accepted connections at each other port
	Upstreams             int // connections to upstreams
}

// newClientLimits derives the limits from the memory and the descriptors in the settings. On
// the smallest machine, 184 MB and 4,100 descriptors, 2,106 callers may be connected.
func newClientLimits(r *setting.Routes) clientLimits {
	memory := int64(r.MemoryMegabytes) * megabyte
	places := memory * connectionPercent / 100 / connectionBytes
	descriptors := int64(0)
	if r.MaxDescriptors > 0 {
		descriptors = max(1, int64(r.MaxDescriptors-spareDescriptors))
	}
	return clientLimits{
		HeadBytes:  memory * headPercent / 100,
		FrameBytes: memory * framePercent / 100,
		Callers:    connectionLimit(places*callerMemoryPercent, descriptors*callerDescriptorPercent),
		Peers:      connectionLimit(places*peerMemoryPercent, descriptors*peerDescriptorPercent),
		Others:     connectionLimit(places*otherMemoryPercent, descriptors*otherDescriptorPercent),
		Upstreams:  connectionLimit(0, descriptors*upstreamDescriptorPercent),
	}
}

// connectionLimit returns the lower of two numbers of connections, in hundredths, of which
// zero means no limit. A limit is one connection at least.
func connectionLimit(byMemory, byDescriptors int64) int {
	n := byMemory
	if n == 0 || byDescriptors > 0 && byDescriptors < n {
		n = byDescriptors
	}
	if n == 0 {
		return 0
	}
	return int(max(1, n/100))
}

// clients holds what bounds the clients of one instance.
type clients struct {
	limits clientLimits
	drops  *intake.Drops
	heads  *intake.Budget
	frames *intake.Budget
	ports  map[string]*intake.Port
}

// Names of the ports in metrics.
const (
	callersPort   = "callers"
	addressesPort = "addresses"
	readinessPort = "readiness"
	operatorsPort = "operators"
	peersPort     = "peers"
)

// buildClients builds what bounds the clients, and registers its metrics.
func (i *Instance) buildClients() {
	c := &clients{limits: newClientLimits(i.Settings.Routes), drops: &intake.Drops{Log: i.Log}, ports: map[string]*intake.Port{}}
	c.heads = &intake.Budget{Limit: c.limits.HeadBytes, Drops: c.drops}
	c.frames = &intake.Budget{Limit: c.limits.FrameBytes, Drops: c.drops}
	i.clients = c
	for _, name := range []string{callersPort, addressesPort, readinessPort, operatorsPort, peersPort} {
		limit := c.limits.Others
		switch name {
		case callersPort:
			limit = c.limits.Callers
		case peersPort:
			limit = c.limits.Peers
		}
		port := &intake.Port{Name: name, Limit: limit, Drops: c.drops}
		c.ports[name] = port
		i.metrics.Gauge(`knapweedwell_client_connections{port="`+name+`"}`, func() float64 { return float64(port.Open()) })
	}
	i.metrics.Gauge("knapweedwell_client_head_bytes", func() float64 { return float64(c.heads.Used()) })
	i.metrics.Gauge("knapweedwell_client_frame_bytes", func() float64 { return float64(c.frames.Used()) })
	for _, reason := range intake.Reasons() {
		i.metrics.Gauge(`knapweedwell_clients_dropped_total{reason="`+reason.String()+`"}`, func() float64 { return float64(c.drops.Count(reason)) })
	}
}

// server returns a server for a port that is not for callers.
func (i *Instance) server(port, address string) *webserver.Server {
	return &webserver.Server{
		Address: address, Listen: i.Listen, Limits: i.headLimits, WriteTimeout: answerWriteTimeout,
		Budget: i.clients.heads, Port: i.clients.ports[port], Drops: i.clients.drops,
	}
}

// headLimits returns the limits on heads and idle connections of the configuration in force.
func (i *Instance) headLimits() webserver.Limits {
	t := i.Routing.Current()
	if t == nil {
		return webserver.Limits{}
	}
	return webserver.Limits{HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout, HeaderBytes: t.Limits.HeaderBytes}
}

var errNoDescriptors = errors.New("all descriptors for connections to upstreams are in use")

// limitedDialer opens at most limit connections at a time; zero means no limit.
type limitedDialer struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	limit int
	open  atomic.Int64
}

// Dial opens a connection. It returns an error, and sends nothing, if too many are open.
func (d *limitedDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n := d.open.Add(1); d.limit > 0 && n > int64(d.limit) {
		d.open.Add(-1)
		return nil, errNoDescriptors
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	if d.limit == 0 {
		return c, nil
	}
	limited := &limitedConn{Conn: c, dialer: d}
	if sc, ok := c.(syscall.Conn); ok {
		return &limitedSocket{limitedConn: limited, socket: sc}, nil
	}
	return limited, nil
}

// limitedConn is a connection that a limitedDialer counts until it is closed.
type limitedConn struct {
	net.Conn
	dialer *limitedDialer
	once   sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

// limitedSocket is a limitedConn with a descriptor, by which idle connections are probed.
type limitedSocket struct {
	*limitedConn
	socket syscall.Conn
}

// SyscallConn returns the raw connection.
func (c *limitedSocket) SyscallConn() (syscall.RawConn, error) {
	return c.socket.SyscallConn()
}
