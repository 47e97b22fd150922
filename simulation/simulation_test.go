// Package simulation runs whole fleets of instances in one process, on a virtual
// clock and a simulated network, and checks them under injected faults.
package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"

	"knapweedwell/config"
	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/operator"
	"knapweedwell/revision"
	"knapweedwell/setting"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/service"
)

const (
	platformAddress       = "10.0.0.1:80"
	operatorHost          = "10.0.0.2"
	organisationKeyPrefix = "key-"
)

// simulation is a fleet of instances with the platform, the upstreams and the
// network that it uses.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	network    *network
	checker    *invariant.Checker
	platform   *platform.Server
	servers    []*http.Server
	ctx        context.Context
	cancel     context.CancelFunc
	engines    map[string]*engine.Engine
	services   map[string]*service.Service
	nodes      []*node
	configText string // configuration that the operators apply
	log        logrus.FieldLogger

	mu            sync.Mutex
	faults        map[string]int
	failed        bool
	sent          int
	outcomes      map[string]int
	clients       int
	isolations    []isolation
	bookings      []porcupine.Operation
	trace         []string // faults and failed requests with their times
	firstRevision int64    // revision of the first configuration
}

// isolation is a period during which a host is cut off from all others.
type isolation struct {
	host     string
	from, to time.Time
}

// node is a host that runs at most one instance at a time and may restart it.
type node struct {
	name, host, region, zone string
	lifecycle                chan struct{} // serialises start, stop and kill

	mu      sync.Mutex
	running *instance.Instance
	kills   int
}

func (n *node) instance() *instance.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

// killCount returns how often the node's instance was killed.
func (n *node) killCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kills
}

func (n *node) callerAddress() string { return n.host + ":1" }

// options sets the size of a simulation.
type options struct {
	instances      int
	engines        int
	services       int
	queueLimit     int
	shardUpstreams int // upstreams per shard; 0 means all of a region
	maxBatch       int
}

func newSimulation(t *testing.T, seed uint64, o options) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), network: newNetwork(),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		faults: map[string]int{}, outcomes: map[string]int{},
	}
	sim.checker = &invariant.Checker{Report: func(name, detail string) {
		sim.errorf("invariant %s violated: %s", name, detail)
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	sim.log = log
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	sim.platform = platform.New()
	sim.serve(platformAddress, sim.platform.Handler())
	sim.buildUpstreams(o)
	regions := []string{"North", "North", "North", "South", "South", "South", "North"}
	for i := range o.instances {
		node := &node{name: fmt.Sprintf("entry-%d", i+1), host: fmt.Sprintf("10.1.0.%d", i+1), region: regions[i%7], zone: fmt.Sprintf("%s-%d", regions[i%7], i%2), lifecycle: make(chan struct{}, 1)}
		sim.network.regions[node.host] = node.region
		sim.nodes = append(sim.nodes, node)
	}
	return sim
}

func (sim *simulation) errorf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failed = true
	sim.t.Errorf("%s: "+format, append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

func (sim *simulation) serve(address string, h http.Handler) {
	l, err := sim.network.listen("tcp", address)
	if err != nil {
		sim.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	sim.servers = append(sim.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (sim *simulation) buildUpstreams(o options) {
	var b strings.Builder
	b.WriteString("[Region North]\n[Region South]\n[Tier Top]\nRank = 1\nPreempts = true\n[Tier Middle]\nRank = 2\nPreempts = true\n[Tier Low]\nRank = 3\n")
	b.WriteString("[Class Alert]\nTier = Top\nWhole = 2s\n[Class Rider]\nTier = Top\nFirstToken = 1.4s\nBetweenToken = 62ms\n")
	b.WriteString("[Class Desk]\nTier = Middle\nFirstToken = 3s\n[Class Bulk]\nTier = Low\nFirstToken = 20s\nFloor = 0.05\n")
	for _, org := range []string{"A", "B", "C"} {
		fmt.Fprintf(&b, "[Organisation %s]\nKeySHA256 = %s\nDefaultClass = Desk\nClasses = Alert, Rider, Desk, Bulk\n", org, config.HashKey(organisationKeyPrefix+org))
	}
	fmt.Fprintf(&b, "[Model m]\nQueueLimit = %d\nShardUpstreams = %d\n[Service s]\nIdempotent = false\nQueueLimit = %d\n", o.queueLimit, o.shardUpstreams, o.queueLimit)
	for i := range o.engines {
		name, address := fmt.Sprintf("engine-%d", i+1), fmt.Sprintf("10.2.0.%d:80", i+1)
		e := engine.New(name)
		e.MaxBatch = o.maxBatch
		sim.engines[name] = e
		go e.Run(sim.ctx)
		sim.serve(address, e.Handler())
		region := []string{"North", "North", "South"}[i%3]
		sim.network.regions[host(address)] = region
		fmt.Fprintf(&b, "[Upstream %s]\nModel = m\nAddress = %s\nRegion = %s\nZone = %s-0\nConcurrency = %d\n", name, address, region, region, o.maxBatch)
	}
	for i := range o.services {
		name, address := fmt.Sprintf("service-%d", i+1), fmt.Sprintf("10.3.0.%d:80", i+1)
		s := service.New(name)
		sim.services[name] = s
		sim.serve(address, s.Handler())
		region := []string{"North", "South"}[i%2]
		sim.network.regions[host(address)] = region
		fmt.Fprintf(&b, "[Upstream %s]\nService = s\nAddress = %s\nRegion = %s\nZone = %s-0\nConcurrency = %d\n", name, address, region, region, o.maxBatch)
	}
	sim.configText = b.String()
}

// start runs an instance on a node, unless one is running.
func (sim *simulation) start(node *node) {
	node.lifecycle <- struct{}{}
	defer func() { <-node.lifecycle }()
	if node.instance() != nil {
		return
	}
	i := &instance.Instance{
		Settings: &setting.Settings{
			Name: node.name, Region: node.region, Zone: node.zone, Caller: node.callerAddress(), Peer: node.host + ":2", Operator: node.host + ":3",
			Platform: platformAddress, Seeds: []string{"10.1.0.1:2", "10.1.0.2:2"}, StopWait: 12 * time.Second,
			MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: sim.network.dialer(node.host), Listen: sim.network.listen, Log: sim.log, Check: sim.checker,
	}
	if err := i.Run(); err != nil {
		sim.t.Fatalf("starting %s: %v", node.name, err)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.running = i
}

// kill ends an instance abruptly: its links are cut before it closes, so that
// it cannot notify its peers.
func (sim *simulation) kill(node *node) {
	node.lifecycle <- struct{}{}
	defer func() { <-node.lifecycle }()
	node.mu.Lock()
	i := node.running
	node.running = nil
	node.kills++
	node.mu.Unlock()
	if i == nil {
		return
	}
	sim.network.setCut(node.host, "*", true)
	sim.network.setCut("*", node.host, true)
	sim.network.resetHost(node.host)
	_ = i.Close()
	sim.network.resetHost(node.host)
	sim.network.setCut(node.host, "*", false)
	sim.network.setCut("*", node.host, false)
}

// stop runs the planned stop of a node's instance.
func (sim *simulation) stop(node *node) {
	node.lifecycle <- struct{}{}
	defer func() { <-node.lifecycle }()
	node.mu.Lock()
	i := node.running
	node.running = nil
	node.mu.Unlock()
	if i != nil {
		_ = i.Stop(context.Background())
	}
}

func (sim *simulation) startAll() {
	for _, node := range sim.nodes {
		sim.start(node)
	}
}

// close ends all instances and servers, so that no goroutine remains when the
// synctest bubble ends.
func (sim *simulation) close() {
	sim.network.restoreAll()
	sim.platform.SetFaults(platform.Faults{})
	for _, node := range sim.nodes {
		if i := node.instance(); i != nil {
			_ = i.Close()
		}
	}
	sim.cancel()
	for _, s := range sim.servers {
		_ = s.Close()
	}
	// Idle connections and resume windows end after a time-out.
	time.Sleep(5 * time.Minute)
}

// operatorClient returns a client of an instance's operator port.
func (sim *simulation) operatorClient(node *node) *operator.Client {
	return &operator.Client{Address: node.host + ":3", HTTP: http.Client{Transport: &http.Transport{
		DialContext: sim.network.dialer(operatorHost), DisableKeepAlives: true,
	}}}
}

// apply applies a configuration text through an instance. Findings are returned
// as the error.
func (sim *simulation) apply(node *node, base int64, text, id string) (*revision.Result, error) {
	a, err := sim.operatorClient(node).Apply(sim.ctx, revision.Change{ChangeID: id, Base: base, Author: "operator", Text: text})
	if err != nil {
		return nil, err
	}
	if len(a.Findings) > 0 {
		return nil, a.Findings
	}
	return a.Result, nil
}

// startConfigured starts all instances, applies the configuration and waits
// until it is in force on all of them.
func (sim *simulation) startConfigured() {
	sim.startAll()
	r, err := sim.apply(sim.nodes[0], -1, sim.configText, "first")
	if err != nil || r.Outcome != revision.Applied {
		sim.t.Fatalf("apply: %v %v, expected outcome applied", r, err)
	}
	sim.firstRevision = r.Revision
	sim.eventually(10*time.Second, "the first configuration is in force on all instances", func() bool { return sim.inForce(r.Revision) })
	time.Sleep(3 * time.Second)
}

// inForce reports whether all running instances have the revision or a later
// one.
func (sim *simulation) inForce(rev int64) bool {
	for _, node := range sim.nodes {
		if i := node.instance(); i != nil && i.Revisions.Revision() < rev {
			return false
		}
	}
	return true
}

// eventually waits until a condition holds, and fails the test after limit of
// virtual time.
func (sim *simulation) eventually(limit time.Duration, what string, holds func() bool) {
	sim.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			sim.errorf("condition not met within %s: %s", limit, what)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// response is what a caller received.
type response struct {
	status    int
	body      string
	header    http.Header
	connected bool // the connection was established
	complete  bool // the body was read to its end without an error
}

// send sends one request from a new client host.
func (sim *simulation) send(ctx context.Context, address, method, path, body string, header map[string]string) (response, error) {
	sim.mu.Lock()
	sim.clients++
	from := fmt.Sprintf("10.9.%d.%d", sim.clients/250%250, sim.clients%250)
	sim.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return response{}, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	var connected atomic.Bool // written by a dial that may outlast the request
	dial := sim.network.dialer(from)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		connected.Store(err == nil)
		return c, err
	}}}
	resp, err := client.Do(req)
	if err != nil {
		return response{connected: connected.Load()}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return response{connected: true, status: resp.StatusCode, body: string(got), header: resp.Header, complete: err == nil}, nil
}

func requestHeaders(org, class, key string) map[string]string {
	h := map[string]string{"Authorization": "Bearer " + organisationKeyPrefix + org, "Knapweedwell-Class": class}
	if key != "" {
		h["Idempotency-Key"] = key
	}
	return h
}

// runCounts returns, for each request body, how often it ran on all services
// together.
func (sim *simulation) runCounts() map[string]int {
	sum := map[string]int{}
	for _, s := range sim.services {
		for body, n := range s.Runs() {
			sum[body] += n
		}
	}
	return sum
}

func (sim *simulation) countOutcome(outcome string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.outcomes[outcome]++
}

func (sim *simulation) countFault(kind string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults[kind]++
}

// tracef adds a line to the trace, which is printed if the test fails.
func (sim *simulation) tracef(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.trace = append(sim.trace, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// upstreamEntry returns the entry of engine-1 in the store, with the given
// state.
func (sim *simulation) upstreamEntry(state string) map[string]any {
	return map[string]any{"service": "m", "address": "10.2.0.1:1", "zone": "North-0", "slots": 4, "state": state, "sequence": sim.sent}
}
