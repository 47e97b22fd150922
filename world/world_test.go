// Package world tests whole fleets in one process, on a virtual clock, over a
// network in memory.
package world

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
	platformAddress = "10.0.0.1:80"
	operatorHost    = "10.0.0.2"
	orgKey          = "key-"
)

// world is a fleet with its surroundings.
type world struct {
	t        *testing.T
	rnd      *rand.Rand
	net      *fabric
	check    *invariant.Checker
	platform *platform.Server
	servers  []*http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	slots    []*slot
	text     string // text is the configuration as the operators mean it.
	log      logrus.FieldLogger

	mu         sync.Mutex
	faults     map[string]int
	failed     bool
	sent       int
	ends       map[string]int
	clients    int
	isolations []isolation
	bookings   []porcupine.Operation
	trace      []string // trace lists the faults with their times.
	first      int64    // first is the revision of the first configuration.
}

// isolation is the time for which a host was cut off from all others.
type isolation struct {
	host     string
	from, to time.Time
}

// slot is a place for one instance, which may be restarted.
type slot struct {
	name, host, region, zone string
	life                     chan struct{} // life lets one start, stop or kill happen at a time.

	mu      sync.Mutex
	running *instance.Instance
	kills   int
}

func (s *slot) instance() *instance.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// killed returns how often the instance was killed.
func (s *slot) killed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kills
}

func (s *slot) caller() string { return s.host + ":1" }

// options describe a world.
type options struct {
	instances  int
	engines    int
	services   int
	queueLimit int
	shard      int // shard is the upstreams per shard.
	batch      int
}

func newWorld(t *testing.T, seed uint64, o options) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), net: newFabric(),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		faults: map[string]int{}, ends: map[string]int{},
	}
	w.check = &invariant.Checker{Report: func(name, detail string) {
		w.fail("invariant %s violated: %s", name, detail)
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.log = log
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.platform = platform.New()
	w.serve(platformAddress, w.platform.Handler())
	w.buildUpstreams(o)
	regions := []string{"North", "North", "North", "South", "South", "South", "North"}
	for i := range o.instances {
		s := &slot{name: fmt.Sprintf("entry-%d", i+1), host: fmt.Sprintf("10.1.0.%d", i+1), region: regions[i%7], zone: fmt.Sprintf("%s-%d", regions[i%7], i%2), life: make(chan struct{}, 1)}
		w.net.regions[s.host] = s.region
		w.slots = append(w.slots, s)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
	w.t.Errorf("%s: "+format, append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

func (w *world) serve(address string, h http.Handler) {
	l, err := w.net.listen("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (w *world) buildUpstreams(o options) {
	var b strings.Builder
	b.WriteString("[Region North]\n[Region South]\n[Tier Top]\nRank = 1\nPreempts = true\n[Tier Middle]\nRank = 2\nPreempts = true\n[Tier Low]\nRank = 3\n")
	b.WriteString("[Class Alert]\nTier = Top\nWhole = 2s\n[Class Rider]\nTier = Top\nFirstToken = 1.4s\nBetweenToken = 62ms\n")
	b.WriteString("[Class Desk]\nTier = Middle\nFirstToken = 3s\n[Class Bulk]\nTier = Low\nFirstToken = 20s\nFloor = 0.05\n")
	for _, org := range []string{"A", "B", "C"} {
		fmt.Fprintf(&b, "[Organisation %s]\nKeySHA256 = %s\nDefaultClass = Desk\nClasses = Alert, Rider, Desk, Bulk\n", org, config.HashKey(orgKey+org))
	}
	fmt.Fprintf(&b, "[Model m]\nQueueLimit = %d\nShardUpstreams = %d\n[Service s]\nIdempotent = false\nQueueLimit = %d\n", o.queueLimit, o.shard, o.queueLimit)
	for i := range o.engines {
		name, address := fmt.Sprintf("engine-%d", i+1), fmt.Sprintf("10.2.0.%d:80", i+1)
		e := engine.New(name)
		e.MaxBatch = o.batch
		w.engines[name] = e
		go e.Run(w.ctx)
		w.serve(address, e.Handler())
		region := []string{"North", "North", "South"}[i%3]
		w.net.regions[host(address)] = region
		fmt.Fprintf(&b, "[Upstream %s]\nModel = m\nAddress = %s\nRegion = %s\nZone = %s-0\nConcurrency = %d\n", name, address, region, region, o.batch)
	}
	for i := range o.services {
		name, address := fmt.Sprintf("service-%d", i+1), fmt.Sprintf("10.3.0.%d:80", i+1)
		s := service.New(name)
		w.services[name] = s
		w.serve(address, s.Handler())
		region := []string{"North", "South"}[i%2]
		w.net.regions[host(address)] = region
		fmt.Fprintf(&b, "[Upstream %s]\nService = s\nAddress = %s\nRegion = %s\nZone = %s-0\nConcurrency = %d\n", name, address, region, region, o.batch)
	}
	w.text = b.String()
}

// start starts the instance of a slot.
func (w *world) start(s *slot) {
	s.life <- struct{}{}
	defer func() { <-s.life }()
	if s.instance() != nil {
		return
	}
	i := &instance.Instance{
		Settings: &setting.Settings{
			Name: s.name, Region: s.region, Zone: s.zone, Caller: s.caller(), Peer: s.host + ":2", Operator: s.host + ":3",
			Platform: platformAddress, Seeds: []string{"10.1.0.1:2", "10.1.0.2:2"}, StopWait: 12 * time.Second,
			MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: w.net.dialer(s.host), Listen: w.net.listen, Log: w.log, Check: w.check,
	}
	if err := i.Run(); err != nil {
		w.t.Fatalf("start %s: %v", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = i
}

// kill ends an instance with no warning.
func (w *world) kill(s *slot) {
	s.life <- struct{}{}
	defer func() { <-s.life }()
	s.mu.Lock()
	i := s.running
	s.running = nil
	s.kills++
	s.mu.Unlock()
	if i == nil {
		return
	}
	w.net.set(s.host, "*", true)
	w.net.set("*", s.host, true)
	w.net.kill(s.host)
	_ = i.Close()
	w.net.kill(s.host)
	w.net.set(s.host, "*", false)
	w.net.set("*", s.host, false)
}

// stop stops an instance as planned.
func (w *world) stop(s *slot) {
	s.life <- struct{}{}
	defer func() { <-s.life }()
	s.mu.Lock()
	i := s.running
	s.running = nil
	s.mu.Unlock()
	if i != nil {
		_ = i.Stop(context.Background())
	}
}

func (w *world) startAll() {
	for _, s := range w.slots {
		w.start(s)
	}
}

// close ends everything, so that no goroutine is left.
func (w *world) close() {
	w.net.heal()
	w.platform.Set(platform.Faults{})
	for _, s := range w.slots {
		if i := s.instance(); i != nil {
			_ = i.Close()
		}
	}
	w.cancel()
	for _, s := range w.servers {
		_ = s.Close()
	}
	// Connections and resume windows end by themselves.
	time.Sleep(5 * time.Minute)
}

// operate returns a client of an instance's operator port.
func (w *world) operate(s *slot) *operator.Client {
	return &operator.Client{Address: s.host + ":3", HTTP: http.Client{Transport: &http.Transport{
		DialContext: w.net.dialer(operatorHost), DisableKeepAlives: true,
	}}}
}

// apply applies a text through an instance.
func (w *world) apply(s *slot, base int64, text, id string) (*revision.Result, error) {
	a, err := w.operate(s).Apply(w.ctx, revision.Change{ChangeID: id, Base: base, Author: "operator", Text: text})
	if err != nil {
		return nil, err
	}
	if len(a.Findings) > 0 {
		return nil, a.Findings
	}
	return a.Result, nil
}

// begin starts all instances, applies the configuration and waits until it is
// in force everywhere.
func (w *world) begin() {
	w.startAll()
	r, err := w.apply(w.slots[0], -1, w.text, "first")
	if err != nil || r.Outcome != revision.Applied {
		w.t.Fatalf("apply: %v %v", r, err)
	}
	w.first = r.Revision
	w.eventually(10*time.Second, "the first configuration is in force everywhere", func() bool { return w.inForce(r.Revision) })
	time.Sleep(3 * time.Second)
}

func (w *world) inForce(rev int64) bool {
	for _, s := range w.slots {
		if i := s.instance(); i != nil && i.Keeper.Revision() < rev {
			return false
		}
	}
	return true
}

// eventually waits for a condition for a virtual time.
func (w *world) eventually(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			w.fail("not within %s: %s", limit, what)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status    int
	body      string
	header    http.Header
	connected bool // connected tells that a connection was made.
	whole     bool // whole tells that the connection gave the answer to its end.
}

// send sends one request from a host of its own.
func (w *world) send(ctx context.Context, address, method, path, body string, header map[string]string) (answer, error) {
	w.mu.Lock()
	w.clients++
	from := fmt.Sprintf("10.9.%d.%d", w.clients/250%250, w.clients%250)
	w.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{}, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	connected := false
	dial := w.net.dialer(from)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		connected = err == nil
		return c, err
	}}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{connected: connected}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{connected: true, status: resp.StatusCode, body: string(got), header: resp.Header, whole: err == nil}, nil
}

func headers(org, class, key string) map[string]string {
	h := map[string]string{"Authorization": "Bearer " + orgKey + org, "Knapweedwell-Class": class}
	if key != "" {
		h["Idempotency-Key"] = key
	}
	return h
}

// runs returns how often each body ran on all services.
func (w *world) runs() map[string]int {
	sum := map[string]int{}
	for _, s := range w.services {
		for body, n := range s.Runs() {
			sum[body] += n
		}
	}
	return sum
}

func (w *world) end(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[kind]++
}

func (w *world) fault(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[kind]++
}

// note adds a line to the trace that is printed after a failure.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = append(w.trace, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// announced returns what an engine says of itself in the store.
func (w *world) announced(state string) map[string]any {
	return map[string]any{"service": "m", "address": "10.2.0.1:1", "zone": "North-0", "slots": 4, "state": state, "sequence": w.sent}
}
