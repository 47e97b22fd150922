package world

import (
	"context"
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

const edgeKey = "key-of-a"

// plane carries datagrams between the hosts of a fabric.
type plane struct {
	net *fabric

	mu    sync.Mutex
	conns map[string]*packetConn
}

type datagram struct {
	from string
	data []byte
}

type packetConn struct {
	plane   *plane
	address string
	in      chan datagram
	done    chan struct{}
	once    sync.Once
}

func (p *plane) listen(_, address string) (net.PacketConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	c := &packetConn{plane: p, address: address, in: make(chan datagram, 256), done: make(chan struct{})}
	p.conns[address] = c
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

// WriteTo drops what is cut off on its way, as a network does.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	from, target := host(c.address), to.String()
	if cut, _ := c.plane.net.isCut(from, host(target)); cut {
		return len(b), nil
	}
	d := datagram{from: c.address, data: append([]byte(nil), b...)}
	time.AfterFunc(c.plane.net.latency(from, host(target)), func() {
		c.plane.mu.Lock()
		other := c.plane.conns[target]
		c.plane.mu.Unlock()
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
		c.plane.mu.Lock()
		defer c.plane.mu.Unlock()
		delete(c.plane.conns, c.address)
	})
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return addr(c.address) }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// routed is a fleet that serves routes, with its surroundings.
type routed struct {
	t         *testing.T
	net       *fabric
	plane     *plane
	store     *platform.Server
	log       logrus.FieldLogger
	check     *invariant.Checker
	instances []*edge.Instance
	runners   map[string]*runner.Runner
	hosts     map[string]string
	servers   []*http.Server
	version   int64
	keys      []string
	urgent    bool     // urgent adds a route that is more urgent than the others.
	services  []string // services are those that the calls route leads to.
}

// inRouted runs a case with n instances on a virtual clock.
func inRouted(t *testing.T, n int, f func(w *routed)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newRouted(t, n)
		defer w.close()
		f(w)
	})
}

func newRouted(t *testing.T, n int) *routed {
	w := &routed{
		t: t, net: newFabric(), store: platform.New(), version: 1, keys: []string{edgeKey},
		runners: map[string]*runner.Runner{}, hosts: map[string]string{}, services: []string{"calls"},
	}
	w.plane = &plane{net: w.net, conns: map[string]*packetConn{}}
	w.check = &invariant.Checker{Report: func(name, detail string) { t.Errorf("invariant %s violated: %s", name, detail) }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.log = log
	w.serve(platformAddress, w.store.Handler())
	w.configure()
	for i := range 3 {
		w.runner(fmt.Sprintf("calls-%d", i), "calls")
		w.runner(fmt.Sprintf("model-%d", i), "model")
	}
	for i := range n {
		w.instance(i)
	}
	time.Sleep(4 * time.Second)
	return w
}

func (w *routed) serve(address string, h http.Handler) {
	l, err := w.net.listen("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.servers = append(w.servers, s)
}

// configure writes the next version of the routes.
func (w *routed) configure() {
	w.version++
	backends := []map[string]any{}
	for _, s := range w.services {
		backends = append(backends, map[string]any{"service": s, "weight": 1})
	}
	r := func(name, prefix, kind string, more map[string]any) map[string]any {
		route := map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 300, "priority": 1, "max_attempts": 2, "backends": backends,
		}
		for k, v := range more {
			route[k] = v
		}
		return route
	}
	model := []map[string]any{{"service": "model", "weight": 1}}
	routes := []any{}
	if w.urgent {
		routes = append(routes, r("swift", "/swift/", "stream", map[string]any{"priority": 0, "resumable": true, "sticky": true, "backends": model, "timeout_ms": 20000}))
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": append(routes,
			r("read", "/read/", "safe", nil),
			r("book", "/book/", "unsafe", map[string]any{"max_attempts": 1}),
			r("talk", "/talk/", "stream", map[string]any{"resumable": true, "sticky": true, "backends": model, "timeout_ms": 20000}),
			r("once", "/once/", "stream", map[string]any{"max_attempts": 1, "sticky": true, "backends": model, "timeout_ms": 20000}),
		),
		"services": []any{
			map[string]any{"name": "calls", "health_path": "/health", "max_connections": 100},
			map[string]any{"name": "model", "health_path": "/health", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000}},
		},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
		"tenants": []any{map[string]any{"name": "a", "api_keys": w.keys, "priority": 0}},
	})
}

// runner starts an upstream and announces it.
func (w *routed) runner(id, service string) {
	h := fmt.Sprintf("10.5.0.%d", len(w.hosts)+1)
	w.hosts[id] = h
	r := runner.New(id)
	w.runners[id] = r
	w.serve(h+":80", r.Handler())
	w.announce(id, service, "ready")
}

func (w *routed) announce(id, service, state string) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": w.hosts[id] + ":80", "zone": "z0", "version": "v1", "slots": 8, "state": state, "born": 1,
	})
}

func (w *routed) instance(i int) *edge.Instance {
	h := fmt.Sprintf("10.1.0.%d", i+1)
	in := &edge.Instance{
		Settings: &setting.Settings{
			Name: fmt.Sprintf("entry-%d", i+1), Region: "r", Zone: "z0", Caller: h + ":1", Peer: h + ":2", Operator: h + ":3",
			Platform: platformAddress, Seeds: []string{"10.1.0.1:2", "10.1.0.2:2"},
			Routes: &setting.Routes{
				Readiness: h + ":4", Directory: h + ":5", Exchange: h + ":6", AddressLifetime: time.Second, GracePeriod: 8 * time.Second,
				RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, Zones: map[string]string{"z0": "r"},
			},
		},
		Dial: w.net.dialer(h), Listen: w.net.listen, ListenPacket: w.plane.listen, Log: w.log, Check: w.check,
	}
	if err := in.Run(); err != nil {
		w.t.Fatal(err)
	}
	w.instances = append(w.instances, in)
	return in
}

func (w *routed) close() {
	w.net.heal()
	w.store.Set(platform.Faults{})
	for _, i := range w.instances {
		if i != nil {
			_ = i.Close()
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	time.Sleep(time.Minute)
}

// ask is one request of a caller.
type ask struct {
	instance int
	method   string
	path     string
	id       string
	key      string
	body     string
	header   map[string]string
	timeout  time.Duration
}

// ask sends a request to an instance.
func (w *routed) ask(a ask) answer {
	ctx := context.Background()
	if a.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.timeout)
		defer cancel()
	}
	if a.method == "" {
		a.method = "POST"
	}
	if a.key == "" {
		a.key = edgeKey
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+fmt.Sprintf("10.1.0.%d:1", a.instance+1)+a.path, strings.NewReader(a.body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token "+a.key)
	req.Header.Set("X-Knapweedwell-Request-Id", a.id)
	for k, v := range a.header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: w.net.dialer("10.9.0.1")}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{connected: true, status: resp.StatusCode, body: string(got), header: resp.Header, whole: err == nil}
}

// runs returns how often a request ran on all upstreams.
func (w *routed) runs(id string) int {
	n := 0
	for _, r := range w.runners {
		n += r.Runs()[id]
	}
	return n
}

// events returns the text of a whole stream.
func events(id string, n int) string {
	var b strings.Builder
	for k := 1; k <= n; k++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", k, k, id)
	}
	return b.String()
}

// each puts faults in force on all upstreams whose ID has the prefix.
func (w *routed) each(prefix string, f runner.Faults) {
	for id, r := range w.runners {
		if strings.HasPrefix(id, prefix) {
			r.Set(f)
		}
	}
}

// expect fails unless an answer has the status and the body.
func (w *routed) expect(a answer, status int, body string) {
	w.t.Helper()
	if a.status != status || !a.whole || (body != "" && a.body != body) {
		w.t.Errorf("got %d %q (whole %t), expected %d %q", a.status, a.body, a.whole, status, body)
	}
}

// eventually waits until a condition holds.
func (w *routed) eventually(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within %s: %s", limit, what)
}

func number(i int) string { return strconv.Itoa(i) }
