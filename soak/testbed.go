package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

// Options are the parameters of a soak.
type Options struct {
	Seed      uint64
	Length    time.Duration // time during which faults are injected
	Instances int
	Upstreams int       // number of upstreams of each service
	Rate      float64   // requests per second
	Series    int       // number of concurrent series of faults
	Program   string    // path of the daemon
	Dir       string    // directory for logs and settings
	Out       io.Writer // destination of the trace
	// MemoryMegabytes and MaxDescriptors are stated in the settings of each instance; zero
	// means the default, for descriptors that no number is stated.
	MemoryMegabytes int
	MaxDescriptors  int
}

// Violation is one observed breach of a promise.
type Violation struct {
	Promise string
	At      time.Duration // time since the start of the faults
	Detail  string
}

// Report is the result of a soak.
type Report struct {
	Violations []Violation
	Outcomes   map[string]int // number of requests by kind and outcome
	Faults     map[string]int // number of faults by kind
	Checks     map[string]int // number of checks by promise
}

// upstream is one stand-in upstream, which may restart under a new ID.
type upstream struct {
	service string
	proxy   *Proxy

	mu           sync.Mutex
	runner       *runner.Runner
	retired      []*runner.Runner // earlier incarnations, oldest first
	restarts     int
	reserved     bool      // set while a fault or a check has exclusive use of the upstream
	activeFaults int       // number of faults in force on the upstream
	lastFaultEnd time.Time // when the last fault on the upstream ended
}

// testbed holds the instances under test with the stand-ins and proxies around
// them, and the record of what was observed.
type testbed struct {
	Options
	store     *platform.Server
	servers   []*http.Server
	nodes     []*node
	upstreams []*upstream
	started   time.Time

	mu                sync.Mutex
	rng               *rand.Rand
	violations        []Violation
	outcomes          map[string]int
	faults            map[string]int
	checks            map[string]int
	configVersion     int64
	extraRoute        int                // number of the extra route, which each change of the configuration replaces
	storeHealthyFrom  time.Time          // since when the store has had no faults; zero while it has some
	activeStoreFaults int                // number of faults of the store in force
	overdue           int                // number of answers later than their timeout by more than answerSlack
	sent              map[string]request // by request ID
	refused           map[string]string  // answers to requests that were refused as not run, by request ID
}

// newTestbed starts the stand-ins, the proxies and the instances. It returns an
// error if one of them cannot be started.
func newTestbed(o Options) (*testbed, error) {
	tb := &testbed{
		Options: o, store: platform.New(), rng: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now(), storeHealthyFrom: time.Now(),
		outcomes: map[string]int{}, faults: map[string]int{}, checks: map[string]int{}, sent: map[string]request{}, refused: map[string]string{},
	}
	address, err := tb.serve(tb.store.Handler())
	if err != nil {
		return nil, err
	}
	for _, service := range []string{"calls", "model"} {
		for i := range o.Upstreams {
			if err := tb.addUpstream(service, i); err != nil {
				return nil, err
			}
		}
	}
	tb.writeConfiguration(0)
	for i := range o.Instances {
		n := &node{
			name: fmt.Sprintf("entry-%d", i+1), host: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, o.Seed%250, i+1),
			zone: fmt.Sprintf("z%d", i%3), program: o.Program, dir: o.Dir, onExit: tb.processExited,
			memoryMegabytes: cmp.Or(o.MemoryMegabytes, memoryMegabytes), maxDescriptors: o.MaxDescriptors,
		}
		tb.nodes = append(tb.nodes, n)
		if err := n.startProxies(address); err != nil {
			return nil, err
		}
	}
	seeds := ""
	for _, n := range tb.nodes[:min(len(tb.nodes), 3)] {
		seeds += n.peers.Address() + ", "
	}
	for _, n := range tb.nodes {
		if err := n.writeSettings(seeds[:len(seeds)-2], addressLifetime); err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// serve serves a stand-in on a free port and returns its address.
func (tb *testbed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	tb.servers = append(tb.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (tb *testbed) addUpstream(service string, i int) error {
	u := &upstream{service: service, runner: newRunner(fmt.Sprintf("%s-%d.0", service, i))}
	address, err := tb.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { u.current().Handler().ServeHTTP(rw, r) }))
	if err != nil {
		return err
	}
	if u.proxy, err = NewProxy(address); err != nil {
		return err
	}
	tb.upstreams = append(tb.upstreams, u)
	tb.writeEntry(u, "ready")
	return nil
}

func (u *upstream) current() *runner.Runner {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runner
}

// reserve takes the upstream for exclusive use and reports whether it was free.
func (u *upstream) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	free := !u.reserved
	u.reserved = true
	return free
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reserved = false
}

// beginFault records that a fault is in force on the upstream until the returned
// function is called.
func (u *upstream) beginFault() func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.activeFaults++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.activeFaults--
		u.lastFaultEnd = time.Now()
	}
}

// faultFreeSince reports whether no fault has been in force on the upstream since
// the given time.
func (u *upstream) faultFreeSince(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.activeFaults == 0 && u.lastFaultEnd.Before(since)
}

// normalDelays are the delays of an upstream without injected faults. They keep
// some requests in progress at any time.
var normalDelays = runner.Faults{Delay: 30 * time.Millisecond, Pause: 40 * time.Millisecond}

// newRunner returns a new incarnation of an upstream.
func newRunner(id string) *runner.Runner {
	r := runner.New(id)
	r.SetFaults(normalDelays)
	return r
}

// restart replaces the runner of the upstream by a new incarnation with a new ID.
func (u *upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = append(u.retired, u.runner)
	u.restarts++
	u.runner = newRunner(fmt.Sprintf("%s+%d", u.retired[0].ID, u.restarts))
}

// incarnations returns all incarnations of the upstream, oldest first.
func (u *upstream) incarnations() []*runner.Runner {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(append([]*runner.Runner(nil), u.retired...), u.runner)
}

// writeEntry writes the upstream's entry in the store.
func (tb *testbed) writeEntry(u *upstream, state string) {
	r := u.current()
	tb.store.Put("servers", r.ID, map[string]any{
		"service": u.service, "address": u.proxy.Address(), "zone": "z0", "version": "v1", "slots": 16, "state": state, "born": 1,
	})
}

// removeEntries removes the entries of about half of the upstreams, chosen at
// random, as entries expire during an outage of the store. It returns these
// upstreams and leaves them reserved.
func (tb *testbed) removeEntries() []*upstream {
	var removed []*upstream
	for _, u := range tb.upstreams {
		if tb.intN(2) == 0 && u.reserve() {
			removed = append(removed, u)
			tb.store.Delete("servers", u.current().ID)
		}
	}
	return removed
}

// restoreEntries writes the entries of upstreams that removeEntries returned.
func (tb *testbed) restoreEntries(removed []*upstream) {
	for _, u := range removed {
		tb.writeEntry(u, "ready")
		u.release()
	}
}

// writeConfiguration writes the next version of the configuration: a route for
// each kind of request, and the extra route with the given number.
func (tb *testbed) writeConfiguration(extra int) {
	tb.mu.Lock()
	tb.configVersion += 2
	tb.extraRoute = extra
	version := tb.configVersion
	tb.mu.Unlock()
	routes := []any{}
	for _, k := range requestKinds {
		routes = append(routes, k.route(k.path))
	}
	routes = append(routes, requestKinds[0].route(extraRoutePath(extra)))
	tb.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"services": []any{
			map[string]any{"name": "calls", "health_path": "/health", "max_connections": 200},
			map[string]any{"name": "model", "health_path": "/health", "max_connections": 200, "engine": map[string]any{"slots": 16, "kv_capacity_tokens": 200000}},
		},
		"tenants": []any{map[string]any{"name": organisation, "api_keys": []string{apiKey}, "priority": 0}},
	})
}

func extraRoutePath(n int) string { return fmt.Sprintf("/extra-%d/", n) }

// reportViolation records a violation of a promise and writes it to the trace.
func (tb *testbed) reportViolation(promise, format string, args ...any) {
	v := Violation{Promise: promise, At: time.Since(tb.started), Detail: fmt.Sprintf(format, args...)}
	tb.mu.Lock()
	tb.violations = append(tb.violations, v)
	tb.mu.Unlock()
	tb.tracef("BROKEN %s: %s", promise, v.Detail)
}

// countCheck counts one check of a promise.
func (tb *testbed) countCheck(promise string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.checks[promise]++
}

// tracef writes a line to the trace, with the seconds since the start of the
// faults.
func (tb *testbed) tracef(format string, args ...any) {
	fmt.Fprintf(tb.Out, "%8.3f %s\n", time.Since(tb.started).Seconds(), fmt.Sprintf(format, args...))
}

// processExited records the exit of a process that was sent no signal to end.
func (tb *testbed) processExited(n *node, err error) {
	tb.reportViolation("no unexpected exits", "%s exited without a stop or kill signal: %v", n.name, err)
}

// intN returns a random number from 0 to n-1.
func (tb *testbed) intN(n int) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.rng.IntN(n)
}

// newRand returns a new random source, seeded from that of the testbed.
func (tb *testbed) newRand() *rand.Rand {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return rand.New(rand.NewPCG(tb.rng.Uint64(), 2))
}

// storeHealthySince reports whether the store has had no faults since the given
// time.
func (tb *testbed) storeHealthySince(t time.Time) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return !tb.storeHealthyFrom.IsZero() && tb.storeHealthyFrom.Before(t)
}

func (tb *testbed) close() {
	for _, n := range tb.nodes {
		n.close()
	}
	for _, s := range tb.servers {
		_ = s.Close()
	}
	for _, u := range tb.upstreams {
		u.proxy.Close()
	}
}

// report returns the result of the soak, with the violations in order of time.
func (tb *testbed) report() Report {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	sort.Slice(tb.violations, func(i, j int) bool { return tb.violations[i].At < tb.violations[j].At })
	return Report{Violations: tb.violations, Outcomes: tb.outcomes, Faults: tb.faults, Checks: tb.checks}
}
