package soak

import (
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

// Options say how a soak is run.
type Options struct {
	Seed      uint64
	Length    time.Duration // Length is the time under faults.
	Instances int
	Upstreams int     // Upstreams is the number of each kind.
	Rate      float64 // Rate is the requests a second.
	Series    int     // Series is how many series of faults overlap.
	Program   string  // Program is the path of the daemon.
	Dir       string  // Dir gets the logs and settings.
	Out       io.Writer
}

// Violation is a broken promise, with what shows it.
type Violation struct {
	Promise string
	At      time.Duration // At is the time since the start of the faults.
	Detail  string
}

// Report is what a soak saw.
type Report struct {
	Violations []Violation
	Ends       map[string]int // Ends counts how requests ended.
	Faults     map[string]int // Faults counts the faults by kind.
	Checks     map[string]int // Checks counts what was checked, by promise.
}

// upstream is one stand-in upstream, which may start again under a new ID.
type upstream struct {
	service string
	link    *Link

	mu        sync.Mutex
	runner    *runner.Runner
	retired   []*runner.Runner // retired are the earlier incarnations.
	born      int
	busy      bool      // busy tells that a fault lets the upstream leave or crash.
	harms     int       // harms counts the harms that are in force.
	disturbed time.Time // disturbed is when the last harm ended.
}

// world is a fleet with its surroundings.
type world struct {
	Options
	store     *platform.Server
	servers   []*http.Server
	nodes     []*node
	upstreams []*upstream
	begun     time.Time

	mu          sync.Mutex
	rnd         *rand.Rand
	violations  []Violation
	ends        map[string]int
	faults      map[string]int
	checks      map[string]int
	version     int64
	extra       int                // extra is the number of the route that comes and goes.
	storeCalm   time.Time          // storeCalm is since when the store is without faults; zero while it has some.
	storeFaults int                // storeFaults counts the faults of the store that are in force.
	overdue     int                // overdue counts the answers that came long after their time.
	sent        map[string]request // sent are the requests by ID.
	refused     map[string]string  // refused holds what was said of requests that were refused as not run.
}

func newWorld(o Options) (*world, error) {
	w := &world{
		Options: o, store: platform.New(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), begun: time.Now(), storeCalm: time.Now(),
		ends: map[string]int{}, faults: map[string]int{}, checks: map[string]int{}, sent: map[string]request{}, refused: map[string]string{},
	}
	address, err := w.serve(w.store.Handler())
	if err != nil {
		return nil, err
	}
	for _, service := range []string{"calls", "model"} {
		for i := range o.Upstreams {
			if err := w.addUpstream(service, i); err != nil {
				return nil, err
			}
		}
	}
	w.configure(0)
	for i := range o.Instances {
		n := &node{
			name: fmt.Sprintf("entry-%d", i+1), host: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, o.Seed%250, i+1),
			zone: fmt.Sprintf("z%d", i%3), program: o.Program, dir: o.Dir, onExit: w.exited,
		}
		w.nodes = append(w.nodes, n)
		if err := n.links(address); err != nil {
			return nil, err
		}
	}
	seeds := ""
	for _, n := range w.nodes[:min(len(w.nodes), 3)] {
		seeds += n.peers.Address() + ", "
	}
	for _, n := range w.nodes {
		if err := n.write(seeds[:len(seeds)-2], addressLifetime); err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serve serves a stand-in on a free port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (w *world) addUpstream(service string, i int) error {
	u := &upstream{service: service, runner: newRunner(fmt.Sprintf("%s-%d.0", service, i))}
	address, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { u.current().Handler().ServeHTTP(rw, r) }))
	if err != nil {
		return err
	}
	if u.link, err = NewLink(address); err != nil {
		return err
	}
	w.upstreams = append(w.upstreams, u)
	w.announce(u, "ready")
	return nil
}

func (u *upstream) current() *runner.Runner {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runner
}

// occupy takes the upstream for a fault that lets it leave or crash, unless
// another one has it.
func (u *upstream) occupy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	free := !u.busy
	u.busy = true
	return free
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy = false
}

// harm notes that the upstream is harmed until the returned function is called.
func (u *upstream) harm() func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.harms++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.harms--
		u.disturbed = time.Now()
	}
}

// unharmed reports whether nothing has harmed the upstream since the time.
func (u *upstream) unharmed(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.harms == 0 && u.disturbed.Before(since)
}

// usual is how an upstream behaves without faults: requests take a while, so that
// some are under way at any moment.
var usual = runner.Faults{Delay: 30 * time.Millisecond, Pause: 40 * time.Millisecond}

// newRunner returns an incarnation of an upstream.
func newRunner(id string) *runner.Runner {
	r := runner.New(id)
	r.Set(usual)
	return r
}

// renew lets the upstream start again under a new ID.
func (u *upstream) renew() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = append(u.retired, u.runner)
	u.born++
	u.runner = newRunner(fmt.Sprintf("%s+%d", u.retired[0].ID, u.born))
}

// all returns all incarnations of the upstream.
func (u *upstream) all() []*runner.Runner {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(append([]*runner.Runner(nil), u.retired...), u.runner)
}

// announce writes the upstream's entry.
func (w *world) announce(u *upstream, state string) {
	r := u.current()
	w.store.Put("servers", r.ID, map[string]any{
		"service": u.service, "address": u.link.Address(), "zone": "z0", "version": "v1", "slots": 16, "state": state, "born": 1,
	})
}

// lapse removes the entries of some upstreams, as they run out while the store is
// away.
func (w *world) lapse() []*upstream {
	var lapsed []*upstream
	for _, u := range w.upstreams {
		if w.pick(2) == 0 && u.occupy() {
			lapsed = append(lapsed, u)
			w.store.Delete("servers", u.current().ID)
		}
	}
	return lapsed
}

// relist writes the entries of upstreams that had lapsed.
func (w *world) relist(lapsed []*upstream) {
	for _, u := range lapsed {
		w.announce(u, "ready")
		u.release()
	}
}

// configure writes the next version of the routes: the lasting ones, and one
// with the number.
func (w *world) configure(extra int) {
	w.mu.Lock()
	w.version += 2
	w.extra = extra
	version := w.version
	w.mu.Unlock()
	routes := []any{}
	for _, k := range kinds {
		routes = append(routes, k.route(k.path))
	}
	routes = append(routes, kinds[0].route(extraPath(extra)))
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"services": []any{
			map[string]any{"name": "calls", "health_path": "/health", "max_connections": 200},
			map[string]any{"name": "model", "health_path": "/health", "max_connections": 200, "engine": map[string]any{"slots": 16, "kv_capacity_tokens": 200000}},
		},
		"tenants": []any{map[string]any{"name": organisation, "api_keys": []string{key}, "priority": 0}},
	})
}

func extraPath(n int) string { return fmt.Sprintf("/extra-%d/", n) }

// broken notes a violation.
func (w *world) broken(promise, format string, args ...any) {
	v := Violation{Promise: promise, At: time.Since(w.begun), Detail: fmt.Sprintf(format, args...)}
	w.mu.Lock()
	w.violations = append(w.violations, v)
	w.mu.Unlock()
	w.say("BROKEN %s: %s", promise, v.Detail)
}

// checked counts one check of a promise.
func (w *world) checked(promise string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks[promise]++
}

func (w *world) say(format string, args ...any) {
	fmt.Fprintf(w.Out, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// exited is told of a process that ended by itself.
func (w *world) exited(n *node, err error) {
	w.broken("own ends", "%s ended by itself: %v", n.name, err)
}

// pick returns a random number below n.
func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

// source returns a random source of its own.
func (w *world) source() *rand.Rand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.New(rand.NewPCG(w.rnd.Uint64(), 2))
}

// storeCalmSince reports whether the store has been without faults since a time.
func (w *world) storeCalmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeCalm.IsZero() && w.storeCalm.Before(t)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, u := range w.upstreams {
		u.link.Close()
	}
}

// report returns what was seen, the violations in order.
func (w *world) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.Slice(w.violations, func(i, j int) bool { return w.violations[i].At < w.violations[j].At })
	return Report{Violations: w.violations, Ends: w.ends, Faults: w.faults, Checks: w.checks}
}
