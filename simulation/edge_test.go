package simulation

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/edge"
	"knapweedwell/invariant"
	"knapweedwell/setting"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

const (
	edgeKey            = "key-of-a"
	instancesPerSubnet = 200
)

// packetNetwork carries datagrams between the hosts of a network.
type packetNetwork struct {
	links *network // gives cuts and latency

	mu    sync.Mutex
	conns map[string]*packetConn
}

// datagram is a received packet with its sender's address.
type datagram struct {
	from string
	data []byte
}

// packetConn is a socket for datagrams. It ignores deadlines.
type packetConn struct {
	network *packetNetwork
	address string
	in      chan datagram
	done    chan struct{}
	once    sync.Once
}

// listen opens a socket on an address. It has the signature of
// net.ListenPacket.
func (n *packetNetwork) listen(_, address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	c := &packetConn{network: n, address: address, in: make(chan datagram, 256), done: make(chan struct{})}
	n.conns[address] = c
	return c, nil
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(b, d.data), addr(d.from), nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. It is dropped without an error if the link is cut,
// nobody listens on the address or the receiver's queue of 256 is full.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	from, target := host(c.address), to.String()
	if cut, _ := c.network.links.isCut(from, host(target)); cut {
		return len(b), nil
	}
	d := datagram{from: c.address, data: append([]byte(nil), b...)}
	time.AfterFunc(c.network.links.latency(from, host(target)), func() {
		c.network.mu.Lock()
		other := c.network.conns[target]
		c.network.mu.Unlock()
		if other == nil {
			return
		}
		select {
		case other.in <- d:
		default:
		}
	})
	return len(b), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c.address)
	})
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return addr(c.address) }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// epoch is the start of the machines on the virtual clock, whose days begin in 2000.
var epoch = time.Date(1999, 12, 31, 0, 0, 0, 0, time.UTC)

// routeSimulation is a fleet of instances that serve routes, with the store,
// the upstreams and the network that it uses.
type routeSimulation struct {
	t              *testing.T
	network        *network
	packets        *packetNetwork
	store          *platform.Server
	log            logrus.FieldLogger
	checker        *invariant.Checker
	instances      []*edge.Instance
	runners        map[string]*runner.Runner
	hosts          map[string]string
	servers        []*http.Server
	rawListeners   []net.Listener // of upstreams that a test serves itself
	routesVersion  int64
	apiKeys        []string
	urgentRoute    bool          // adds a route with a higher priority than the others
	services       []string      // backends of the routes without a model
	changeDeadline time.Duration // setting of the instances
	addedRoutes    int           // routes beyond those that the tests call
	longTimeouts   bool          // gives all routes a timeout longer than a planned stop
	zones          []string      // availability zones of the instances by turns
	duties         *setting.Duties
	autoscaling    map[string]any // of the service calls; nil if its upstreams are not ordered
	features       []string       // that the deployment asks for
}

// simulateRoutes runs a case with n instances on a virtual clock.
func simulateRoutes(t *testing.T, n int, f func(sim *routeSimulation)) {
	t.Helper()
	t.Parallel()
	simulateZones(t, n, []string{"z0"}, f)
}

// simulateZones runs a case with n instances, in the zones by turns, on a virtual clock.
func simulateZones(t *testing.T, n int, zones []string, f func(sim *routeSimulation)) {
	t.Helper()
	simulateFeatures(t, n, zones, nil, f)
}

// simulateFeatures runs a case with n instances of a deployment that asks for the features.
func simulateFeatures(t *testing.T, n int, zones, features []string, f func(sim *routeSimulation)) {
	t.Helper()
	simulateStore(t, storeNumbers{firstEra: 1, firstVersion: 1}, n, zones, features, f)
}

// storeNumbers are the first ones of a store.
type storeNumbers struct {
	firstEra     int64
	firstVersion int64 // of the configuration
}

// simulateStore runs a case with n instances and a store with the numbers.
func simulateStore(t *testing.T, numbers storeNumbers, n int, zones, features []string, f func(sim *routeSimulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newRouteSimulation(t, numbers, n, zones, features)
		defer sim.close()
		f(sim)
	})
}

// newRouteSimulation starts the store, three upstreams of each service and n
// instances, and waits 4 s of virtual time for them to be ready.
func newRouteSimulation(t *testing.T, numbers storeNumbers, n int, zones, features []string) *routeSimulation {
	sim := &routeSimulation{
		t: t, network: newNetwork(), store: platform.NewInEra(numbers.firstEra), routesVersion: numbers.firstVersion - 1, apiKeys: []string{edgeKey},
		runners: map[string]*runner.Runner{}, hosts: map[string]string{}, services: []string{"calls"},
		zones: zones, features: features,
	}
	sim.packets = &packetNetwork{links: sim.network, conns: map[string]*packetConn{}}
	sim.checker = &invariant.Checker{Report: func(name, detail string) { t.Errorf("invariant %s violated: %s", name, detail) }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	sim.log = log
	sim.serve(platformAddress, sim.store.Handler())
	sim.writeRoutes()
	for i := range 3 {
		sim.startRunner(fmt.Sprintf("calls-%d", i), "calls")
		sim.startRunner(fmt.Sprintf("model-%d", i), "model")
	}
	for i := range n {
		sim.startInstance(i)
	}
	time.Sleep(4 * time.Second)
	return sim
}

func (sim *routeSimulation) serve(address string, h http.Handler) {
	l, err := sim.network.listen("tcp", address)
	if err != nil {
		sim.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	sim.servers = append(sim.servers, s)
}

// writeRoutes writes the next version of the routes to the store.
func (sim *routeSimulation) writeRoutes() {
	sim.routesVersion++
	backends := []map[string]any{}
	for _, s := range sim.services {
		backends = append(backends, map[string]any{"service": s, "weight": 1})
	}
	newRoute := func(name, prefix, kind string, more map[string]any) map[string]any {
		route := map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 300, "priority": 1, "max_attempts": 2, "backends": backends,
		}
		for k, v := range more {
			route[k] = v
		}
		if sim.longTimeouts {
			route["timeout_ms"] = 30000
		}
		return route
	}
	model := []map[string]any{{"service": "model", "weight": 1}}
	routes := []any{}
	if sim.urgentRoute {
		routes = append(routes, newRoute("swift", "/swift/", "stream", map[string]any{"priority": 0, "resumable": true, "sticky": true, "backends": model, "timeout_ms": 20000}))
	}
	for i := range sim.addedRoutes {
		// The names are as hard to compress as those of the platform.
		name := fmt.Sprintf("%016x", sha256.Sum256([]byte(itoa(i))))
		routes = append(routes, newRoute(name[:12], "/"+name[12:24]+"/", "safe", map[string]any{"host": name[24:32] + ".example"}))
	}
	calls := map[string]any{"name": "calls", "health_path": "/health", "max_connections": 100}
	if sim.autoscaling != nil {
		calls["autoscaling"] = sim.autoscaling
	}
	sim.store.Put("config", "main", map[string]any{
		"version": sim.routesVersion,
		"routes": append(routes,
			newRoute("read", "/read/", "safe", nil),
			newRoute("bulk", "/bulk/", "safe", map[string]any{"timeout_ms": 20000}),
			newRoute("book", "/book/", "unsafe", map[string]any{"max_attempts": 1}),
			newRoute("talk", "/talk/", "stream", map[string]any{"resumable": true, "sticky": true, "backends": model, "timeout_ms": 20000}),
			newRoute("once", "/once/", "stream", map[string]any{"max_attempts": 1, "sticky": true, "backends": model, "timeout_ms": 20000}),
		),
		"services": []any{
			calls,
			map[string]any{"name": "model", "health_path": "/health", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000}},
		},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
		"tenants": []any{map[string]any{"name": "a", "api_keys": sim.apiKeys, "priority": 0}},
	})
}

// startRunner starts an upstream and writes its entry to the store.
func (sim *routeSimulation) startRunner(id, service string) {
	h := fmt.Sprintf("10.5.0.%d", len(sim.hosts)+1)
	sim.hosts[id] = h
	r := runner.New(id)
	sim.runners[id] = r
	sim.serve(h+":80", r.Handler())
	sim.putEntry(id, service, "ready")
}

// putEntry writes the entry of an upstream to the store.
func (sim *routeSimulation) putEntry(id, service, state string) {
	sim.putEntryBorn(id, service, state, 1, 8)
}

// putEntryBorn writes the entry of an upstream that was started at the given time.
func (sim *routeSimulation) putEntryBorn(id, service, state string, born, slots int) {
	sim.store.Put("servers", id, map[string]any{
		"service": service, "address": sim.hosts[id] + ":80", "zone": "z0", "version": "v1", "slots": slots, "state": state, "born": born,
	})
}

// startInstance starts the instance with index i.
func (sim *routeSimulation) startInstance(i int) *edge.Instance {
	h := fmt.Sprintf("10.1.%d.%d", i/instancesPerSubnet, i%instancesPerSubnet+1)
	zone := sim.zones[i%len(sim.zones)]
	regions := map[string]string{}
	for _, z := range sim.zones {
		regions[z] = "r"
	}
	in := &edge.Instance{
		Settings: &setting.Settings{
			Name: fmt.Sprintf("entry-%d", i+1), Region: "r", Zone: zone, Caller: h + ":1", Peer: h + ":2", Operator: h + ":3",
			Platform: platformAddress, Seeds: []string{"10.1.0.1:2", "10.1.0.2:2"},
			Routes: &setting.Routes{
				Readiness: h + ":4", Directory: h + ":5", Exchange: h + ":6", AddressLifetime: time.Second, GracePeriod: 8 * time.Second,
				RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, Zones: regions,
				ChangeDeadline: sim.changeDeadline, Features: sim.features, AdmissionControl: true,
			},
		},
		Dial: sim.network.dialer(h), Listen: sim.network.listen, ListenPacket: sim.packets.listen, Log: sim.log, Check: sim.checker,
		Elapsed: func() time.Duration { return time.Since(epoch) },
	}
	in.Settings.Duties = sim.duties
	if err := in.Run(); err != nil {
		sim.t.Fatal(err)
	}
	sim.instances = append(sim.instances, in)
	return in
}

// close ends all instances and servers and waits for their goroutines.
func (sim *routeSimulation) close() {
	sim.network.restoreAll()
	sim.store.SetFaults(platform.Faults{})
	for _, i := range sim.instances {
		if i != nil {
			_ = i.Close()
		}
	}
	for _, s := range sim.servers {
		_ = s.Close()
	}
	for _, l := range sim.rawListeners {
		_ = l.Close()
	}
	time.Sleep(time.Minute)
}

// request is one request of a caller. An empty method means POST, an empty key
// edgeKey and a zero timeout none.
type request struct {
	instance int
	method   string
	path     string
	id       string
	key      string
	body     string
	header   map[string]string
	timeout  time.Duration
}

// send sends a request to an instance. Without an answer it returns the zero
// response.
func (sim *routeSimulation) send(spec request) response {
	ctx := context.Background()
	if spec.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, spec.timeout)
		defer cancel()
	}
	if spec.method == "" {
		spec.method = "POST"
	}
	if spec.key == "" {
		spec.key = edgeKey
	}
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+fmt.Sprintf("10.1.0.%d:1", spec.instance+1)+spec.path, strings.NewReader(spec.body))
	if err != nil {
		sim.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token "+spec.key)
	req.Header.Set("X-Knapweedwell-Request-Id", spec.id)
	for k, v := range spec.header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: sim.network.dialer("10.9.0.1")}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return response{connected: true, status: resp.StatusCode, body: string(got), header: resp.Header, complete: err == nil}
}

// runCount returns how often a request ran on all upstreams together.
func (sim *routeSimulation) runCount(id string) int {
	n := 0
	for _, r := range sim.runners {
		n += r.Runs()[id]
	}
	return n
}

// streamText returns the expected text of a complete stream of n events.
func streamText(id string, n int) string {
	var b strings.Builder
	for k := 1; k <= n; k++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", k, k, id)
	}
	return b.String()
}

// setFaults sets the faults of all upstreams whose ID has the prefix.
func (sim *routeSimulation) setFaults(prefix string, f runner.Faults) {
	for id, r := range sim.runners {
		if strings.HasPrefix(id, prefix) {
			r.SetFaults(f)
		}
	}
}

// expect fails the test unless a response is complete and has the status and
// the body. An empty body accepts any.
func (sim *routeSimulation) expect(resp response, status int, body string) {
	sim.t.Helper()
	if resp.status != status || !resp.complete || (body != "" && resp.body != body) {
		sim.t.Errorf("got %d %q (complete %t), expected %d %q", resp.status, resp.body, resp.complete, status, body)
	}
}

// eventually waits until a condition holds, and ends the test after limit of
// virtual time.
func (sim *routeSimulation) eventually(limit time.Duration, what string, holds func() bool) {
	sim.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	sim.t.Fatalf("condition not met within %s: %s", limit, what)
}

func itoa(i int) string { return strconv.Itoa(i) }
