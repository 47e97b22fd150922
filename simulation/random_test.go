package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"knapweedwell/instance"
	"knapweedwell/revision"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/service"
)

// TestRandom runs a fleet under random faults, two at a time, and asserts all
// invariants. KNAPWEEDWELL_SEED selects one seed, and KNAPWEEDWELL_LENGTH sets
// the virtual time of a run.
func TestRandom(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	length := 6 * time.Minute
	if text := os.Getenv("KNAPWEEDWELL_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{seed}
	}
	if text := os.Getenv("KNAPWEEDWELL_LENGTH"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		length = d
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRandom(t, seed, length) })
		})
	}
}

func runRandom(t *testing.T, seed uint64, length time.Duration) {
	shardUpstreams := []int{0, 1, 2}[seed%3]
	sim := newSimulation(t, seed, options{instances: 5, engines: 6, services: 3, queueLimit: 20, shardUpstreams: shardUpstreams, maxBatch: 4})
	defer sim.close()
	sim.startConfigured()
	inj := &faultInjector{sim: sim, rng: rand.New(rand.NewPCG(seed, 2)), deadline: time.Now().Add(length)}
	ops := &operators{sim: sim, rng: rand.New(rand.NewPCG(seed, 3)), deadline: inj.deadline}
	var wg sync.WaitGroup
	for _, f := range []func(){inj.run, inj.run, ops.run, ops.run, ops.checkRevisions} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	sim.sendLoad(15, length)
	wg.Wait()
	sim.checkRecovery(ops)
	sim.checkRuns()
	ops.checkHistory()
	sim.checkBookings()
	sim.logSummary(seed, length)
	if sim.failed {
		t.Log(strings.Join(sim.trace, "\n"))
		t.Logf("replay: KNAPWEEDWELL_SEED=%d KNAPWEEDWELL_LENGTH=%s go test ./simulation -run TestRandom -v", seed, length)
	}
}

// checkRecovery ends all faults, restarts stopped instances and checks that the
// last accepted configuration is in force and every request is answered.
func (sim *simulation) checkRecovery(ops *operators) {
	sim.network.restoreAll()
	sim.platform.SetFaults(platform.Faults{})
	for _, e := range sim.engines {
		e.SetFaults(engine.Faults{})
	}
	for _, s := range sim.services {
		s.SetFaults(service.Faults{})
	}
	for _, node := range sim.nodes {
		if node.instance() == nil {
			sim.start(node)
		}
	}
	sim.eventually(15*time.Second, "the last accepted configuration is in force on all instances", func() bool { return sim.inForce(ops.highestAccepted()) })
	time.Sleep(40 * time.Second)
	for n := range 20 {
		if outcome := sim.chat(sim.nodes[n%len(sim.nodes)], "A", "Rider", 1000000+n, 5, n%2 == 0); outcome != "ok" {
			sim.errorf("after all faults a request to %s: outcome %s, expected ok", sim.nodes[n%len(sim.nodes)].name, outcome)
		}
	}
}

// logSummary logs the number of requests by outcome, of faults by kind and of
// invariant evaluations.
func (sim *simulation) logSummary(seed uint64, length time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.t.Logf("seed %d, %s of virtual time, %d requests", seed, length, sim.sent)
	for _, part := range []map[string]int{sim.outcomes, sim.faults} {
		var keys []string
		for k := range part {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			sim.t.Logf("%-28s %d", k, part[k])
		}
	}
	for _, n := range sim.checker.Counts() {
		sim.t.Logf("invariant %-24s evaluated %d, violated %d", n.Name, n.Evaluated, n.Violated)
	}
}

// faultInjector injects random faults until its deadline.
type faultInjector struct {
	sim      *simulation
	rng      *rand.Rand
	deadline time.Time
	mu       sync.Mutex
}

// randomDuration returns a duration of lo to hi-1 milliseconds.
func (inj *faultInjector) randomDuration(lo, hi int) time.Duration {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return time.Duration(lo+inj.rng.IntN(hi-lo)) * time.Millisecond
}

func (inj *faultInjector) randomInt(n int) int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.rng.IntN(n)
}

func (inj *faultInjector) run() {
	faults := []struct {
		name   string
		inject func()
	}{
		{"kill", inj.kill},
		{"planned stop", inj.stopPlanned},
		{"cut", inj.cutBothWays},
		{"one-way cut", inj.cutOneWay},
		{"isolation", inj.isolateNode},
		{"platform outage", inj.platformOutage},
		{"lost answers", inj.loseAnswers},
		{"slow platform", inj.slowPlatform},
		{"platform cut", inj.cutFromPlatform},
		{"engine drops", inj.dropStreams},
		{"engine fails", inj.failEngine},
		{"straggler", inj.slowEngine},
		{"service drops", inj.dropServiceAnswers},
		{"draining engine", inj.drainEngine},
		{"burst", inj.sendBurst},
		{"region cut", inj.cutRegions},
	}
	for time.Now().Before(inj.deadline) {
		time.Sleep(inj.randomDuration(500, 4000))
		f := faults[inj.randomInt(len(faults))]
		inj.sim.countFault(f.name)
		inj.sim.tracef("%s starts", f.name)
		f.inject()
		inj.sim.tracef("%s ends", f.name)
	}
}

func (inj *faultInjector) randomNode() *node {
	return inj.sim.nodes[inj.randomInt(len(inj.sim.nodes))]
}

func (inj *faultInjector) kill() {
	node := inj.randomNode()
	if node.instance() == nil {
		return
	}
	inj.sim.tracef("kill %s", node.name)
	inj.sim.kill(node)
	time.Sleep(inj.randomDuration(100, 9000))
	inj.restart(node)
}

func (inj *faultInjector) restart(node *node) {
	inj.sim.start(node)
}

func (inj *faultInjector) stopPlanned() {
	node := inj.randomNode()
	inj.sim.tracef("stop %s", node.name)
	inj.sim.stop(node)
	time.Sleep(inj.randomDuration(100, 3000))
	inj.restart(node)
}

// cutForRandomTime cuts links for 0.5 s to 12 s.
func (inj *faultInjector) cutForRandomTime(links ...link) {
	inj.cutFor(inj.randomDuration(500, 12000), links...)
}

// cutFor cuts links for the given duration.
func (inj *faultInjector) cutFor(duration time.Duration, links ...link) {
	inj.sim.tracef("cut %v", links)
	for _, l := range links {
		inj.sim.network.setCut(l.from, l.to, true)
	}
	time.Sleep(duration)
	for _, l := range links {
		inj.sim.network.setCut(l.from, l.to, false)
	}
}

func (inj *faultInjector) cutBothWays() {
	a, b := inj.randomNode().host, inj.randomNode().host
	inj.cutForRandomTime(link{a, b}, link{b, a})
}

func (inj *faultInjector) cutOneWay() {
	inj.cutForRandomTime(link{inj.randomNode().host, inj.randomNode().host})
}

func (inj *faultInjector) isolateNode() {
	isolatedHost, start := inj.randomNode().host, time.Now()
	duration := inj.randomDuration(500, 12000)
	inj.sim.mu.Lock()
	inj.sim.isolations = append(inj.sim.isolations, isolation{isolatedHost, start, start.Add(duration)})
	inj.sim.mu.Unlock()
	inj.cutFor(duration, link{isolatedHost, "*"}, link{"*", isolatedHost})
}

func (inj *faultInjector) cutFromPlatform() {
	h, p := inj.randomNode().host, host(platformAddress)
	inj.cutForRandomTime(link{h, p}, link{p, h})
}

func (inj *faultInjector) cutRegions() {
	var links []link
	for _, a := range inj.sim.nodes {
		for _, b := range inj.sim.nodes {
			if a.region != b.region {
				links = append(links, link{a.host, b.host})
			}
		}
	}
	inj.cutForRandomTime(links...)
}

// injectPlatformFaults sets faults of the platform for 1 s to 15 s.
func (inj *faultInjector) injectPlatformFaults(f platform.Faults) {
	inj.sim.platform.SetFaults(f)
	time.Sleep(inj.randomDuration(1000, 15000))
	inj.sim.platform.SetFaults(platform.Faults{})
}

func (inj *faultInjector) platformOutage() { inj.injectPlatformFaults(platform.Faults{Outage: true}) }

func (inj *faultInjector) loseAnswers() {
	inj.injectPlatformFaults(platform.Faults{LoseAnswers: 1 + inj.randomInt(4)})
}

func (inj *faultInjector) slowPlatform() {
	inj.injectPlatformFaults(platform.Faults{Slow: inj.randomDuration(100, 3000)})
}

// injectEngineFaults sets faults of a random engine for 1 s to 10 s.
func (inj *faultInjector) injectEngineFaults(f engine.Faults) {
	e := inj.sim.engines[fmt.Sprintf("engine-%d", 1+inj.randomInt(len(inj.sim.engines)))]
	e.SetFaults(f)
	time.Sleep(inj.randomDuration(1000, 10000))
	e.SetFaults(engine.Faults{})
}

func (inj *faultInjector) dropStreams() {
	inj.injectEngineFaults(engine.Faults{DropAfter: 1 + inj.randomInt(20), DropEnd: inj.randomInt(2) == 0})
}
func (inj *faultInjector) failEngine() { inj.injectEngineFaults(engine.Faults{Failing: true}) }
func (inj *faultInjector) slowEngine() { inj.injectEngineFaults(engine.Faults{SlowFactor: 8}) }

// drainEngine lets an engine report that it is draining, and checks that it
// receives no new work 4 s later.
func (inj *faultInjector) drainEngine() {
	const grace = 4 * time.Second
	e := inj.sim.engines[fmt.Sprintf("engine-%d", 1+inj.randomInt(len(inj.sim.engines)))]
	e.SetFaults(engine.Faults{Draining: true})
	inj.sim.tracef("%s is draining", e.Name)
	time.Sleep(grace)
	before := e.Stats().AfterLeft
	time.Sleep(inj.randomDuration(1000, 6000))
	if after := e.Stats().AfterLeft; after != before {
		inj.sim.errorf("engine %s received %d requests after draining for %s, expected 0", e.Name, after-before, grace)
	}
	e.SetFaults(engine.Faults{})
}

func (inj *faultInjector) dropServiceAnswers() {
	s := inj.sim.services[fmt.Sprintf("service-%d", 1+inj.randomInt(len(inj.sim.services)))]
	s.SetFaults(service.Faults{DropAnswer: inj.randomInt(2) == 0, Delay: inj.randomDuration(0, 3000)})
	time.Sleep(inj.randomDuration(1000, 10000))
	s.SetFaults(service.Faults{})
}

func (inj *faultInjector) sendBurst() {
	var wg sync.WaitGroup
	class := []string{"Rider", "Desk", "Bulk"}[inj.randomInt(3)]
	for range 60 + inj.randomInt(80) {
		inj.sim.mu.Lock()
		inj.sim.sent++
		n := inj.sim.sent
		inj.sim.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			inj.sim.chat(inj.sim.pickLive(), "B", class, n, 1+n%80, n%2 == 0)
		}()
	}
	wg.Wait()
}

// operators applies concurrent configuration changes and records their history.
type operators struct {
	sim      *simulation
	rng      *rand.Rand
	deadline time.Time

	mu              sync.Mutex
	history         []porcupine.Operation
	highestRevision int64
	lastClient      int
}

// changeInput is the input of an apply: the revision that it replaces.
type changeInput struct {
	base int64
}

// changeOutput is the result of an apply.
type changeOutput struct {
	outcome  revision.Outcome
	revision int64
}

func (o *operators) highestAccepted() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highestRevision
}

func (o *operators) run() {
	o.mu.Lock()
	o.lastClient++
	client := o.lastClient
	o.mu.Unlock()
	for n := 0; time.Now().Before(o.deadline); n++ {
		o.mu.Lock()
		pause, id := time.Duration(1+o.rng.IntN(8))*time.Second, uuid.NewString()
		o.mu.Unlock()
		time.Sleep(pause)
		node := o.sim.pickLive()
		i := node.instance()
		if i == nil {
			continue
		}
		base := i.Revisions.Revision()
		text := o.sim.configText + fmt.Sprintf("[Class Extra]\nTier = Low\nFirstToken = 20s\nQueueTimeout = %dms\n", 1000+client*100000+n)
		o.change(client, node, base, text, id)
	}
}

func (o *operators) change(client int, node *node, base int64, text, id string) {
	call := time.Now().UnixNano()
	r, err := o.sim.apply(node, base, text, id)
	out := changeOutput{outcome: revision.Unclear}
	if err == nil {
		out = changeOutput{outcome: r.Outcome, revision: r.Revision}
	}
	returned := time.Now().UnixNano()
	if out.outcome == revision.Unclear {
		returned = 1 << 62
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sim.countFault("apply " + string(out.outcome))
	if out.outcome == revision.Applied {
		o.highestRevision = max(o.highestRevision, out.revision)
	}
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: changeInput{base}, Call: call, Output: out, Return: returned})
}

// checkRevisions checks that the revision of a running instance never falls. An instance that was
// seen is kept, so that no later start of the host gets its address in memory.
func (o *operators) checkRevisions() {
	previous := map[*instance.Instance]int64{}
	for time.Now().Before(o.deadline) {
		time.Sleep(100 * time.Millisecond)
		for _, node := range o.sim.nodes {
			i := node.instance()
			if i == nil {
				continue
			}
			current := i.Revisions.Revision()
			if current < previous[i] {
				o.sim.errorf("revision of %s fell from %d to %d", node.name, previous[i], current)
			}
			previous[i] = current
		}
	}
}

// register is the state of the model: the revision of the configuration or,
// after a change that may have been written, a lower bound of it.
type register struct {
	revision int64
	known    bool // false if revision is only a lower bound
}

// next returns the states that may follow an apply.
func (r register) next(in changeInput, out changeOutput) []any {
	switch out.outcome {
	case revision.Applied:
		follows := in.base == r.revision
		if !r.known {
			follows = in.base > r.revision
		}
		if follows && out.revision > in.base {
			return []any{register{out.revision, true}}
		}
		return nil
	case revision.Unclear:
		if r.known && in.base == r.revision {
			return []any{r, register{r.revision, false}}
		}
	}
	return []any{r}
}

// checkHistory checks that the history of changes is linearizable: a register
// that each accepted change moves from its base to a higher revision.
func (o *operators) checkHistory() {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{o.sim.firstRevision, true}} },
		Step: func(state, input, output any) []any {
			return state.(register).next(input.(changeInput), output.(changeOutput))
		},
	}
	if len(o.history) == 0 {
		o.sim.errorf("no configuration change was attempted")
	}
	if !porcupine.CheckOperations(model.ToModel(), o.history) {
		o.sim.errorf("history of %d configuration changes is not linearizable", len(o.history))
	}
}
