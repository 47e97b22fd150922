package world

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

	"knapweedwell/revision"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/service"
)

// TestRandom runs a fleet under random faults, two at a time, with all
// invariants asserted. KNAPWEEDWELL_SEED and KNAPWEEDWELL_LENGTH choose
// another seed and a longer virtual time.
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
			synctest.Test(t, func(t *testing.T) { random(t, seed, length) })
		})
	}
}

func random(t *testing.T, seed uint64, length time.Duration) {
	shard := []int{0, 1, 2}[seed%3]
	w := newWorld(t, seed, options{instances: 5, engines: 6, services: 3, queueLimit: 20, shard: shard, batch: 4})
	defer w.close()
	w.begin()
	c := &chaos{world: w, rnd: rand.New(rand.NewPCG(seed, 2)), until: time.Now().Add(length)}
	ops := &operators{world: w, rnd: rand.New(rand.NewPCG(seed, 3)), until: c.until}
	var wait sync.WaitGroup
	for _, f := range []func(){c.run, c.run, ops.run, ops.run, ops.watch} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f()
		}()
	}
	w.demand(15, length)
	wait.Wait()
	w.calm(ops)
	w.checkRuns()
	ops.check()
	w.checkBookings()
	w.report(seed, length)
	if w.failed {
		t.Log(strings.Join(w.trace, "\n"))
		t.Logf("replay: KNAPWEEDWELL_SEED=%d KNAPWEEDWELL_LENGTH=%s go test ./world -run TestRandom -v", seed, length)
	}
}

// calm ends all faults and checks that the fleet comes back.
func (w *world) calm(ops *operators) {
	w.net.heal()
	w.platform.Set(platform.Faults{})
	for _, e := range w.engines {
		e.Set(engine.Faults{})
	}
	for _, s := range w.services {
		s.Set(service.Faults{})
	}
	for _, s := range w.slots {
		if s.instance() == nil {
			w.start(s)
		}
	}
	w.eventually(15*time.Second, "the last accepted configuration is in force everywhere", func() bool { return w.inForce(ops.accepted()) })
	time.Sleep(40 * time.Second)
	for n := range 20 {
		if end := w.chat(w.slots[n%len(w.slots)], "A", "Rider", 1000000+n, 5, n%2 == 0); end != "ok" {
			w.fail("after all faults a request to %s ended as %s", w.slots[n%len(w.slots)].name, end)
		}
	}
}

// report prints what the run did.
func (w *world) report(seed uint64, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t.Logf("seed %d, %s of virtual time, %d requests", seed, length, w.sent)
	for _, part := range []map[string]int{w.ends, w.faults} {
		var keys []string
		for k := range part {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			w.t.Logf("%-28s %d", k, part[k])
		}
	}
	for _, n := range w.check.Counts() {
		w.t.Logf("invariant %-24s evaluated %d, violated %d", n.Name, n.Evaluated, n.Violated)
	}
}

// chaos brings about random faults.
type chaos struct {
	world *world
	rnd   *rand.Rand
	until time.Time
	mu    sync.Mutex
}

func (c *chaos) between(lo, hi int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(lo+c.rnd.IntN(hi-lo)) * time.Millisecond
}

func (c *chaos) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chaos) run() {
	faults := []struct {
		name string
		f    func()
	}{
		{"kill", c.kill},
		{"planned stop", c.stop},
		{"cut", c.cut},
		{"one-way cut", c.oneWay},
		{"isolation", c.isolate},
		{"platform outage", c.outage},
		{"lost answers", c.lose},
		{"slow platform", c.slow},
		{"platform cut", c.platformCut},
		{"engine drops", c.engineDrops},
		{"engine fails", c.engineFails},
		{"straggler", c.straggler},
		{"service drops", c.serviceDrops},
		{"draining engine", c.draining},
		{"burst", c.burst},
		{"region cut", c.regionCut},
	}
	for time.Now().Before(c.until) {
		time.Sleep(c.between(500, 4000))
		f := faults[c.pick(len(faults))]
		c.world.fault(f.name)
		c.world.note("%s begins", f.name)
		f.f()
		c.world.note("%s ends", f.name)
	}
}

func (c *chaos) slot() *slot {
	return c.world.slots[c.pick(len(c.world.slots))]
}

func (c *chaos) kill() {
	s := c.slot()
	if s.instance() == nil {
		return
	}
	c.world.note("kill %s", s.name)
	c.world.kill(s)
	time.Sleep(c.between(100, 9000))
	c.restart(s)
}

func (c *chaos) restart(s *slot) {
	c.world.start(s)
}

func (c *chaos) stop() {
	s := c.slot()
	c.world.note("stop %s", s.name)
	c.world.stop(s)
	time.Sleep(c.between(100, 3000))
	c.restart(s)
}

// during holds a change of the network for a random time.
func (c *chaos) during(links ...link) {
	c.cutFor(c.between(500, 12000), links...)
}

func (c *chaos) cutFor(length time.Duration, links ...link) {
	c.world.note("cut %v", links)
	for _, l := range links {
		c.world.net.set(l.from, l.to, true)
	}
	time.Sleep(length)
	for _, l := range links {
		c.world.net.set(l.from, l.to, false)
	}
}

func (c *chaos) cut() {
	a, b := c.slot().host, c.slot().host
	c.during(link{a, b}, link{b, a})
}

func (c *chaos) oneWay() {
	c.during(link{c.slot().host, c.slot().host})
}

func (c *chaos) isolate() {
	h, begin := c.slot().host, time.Now()
	length := c.between(500, 12000)
	c.world.mu.Lock()
	c.world.isolations = append(c.world.isolations, isolation{h, begin, begin.Add(length)})
	c.world.mu.Unlock()
	c.cutFor(length, link{h, "*"}, link{"*", h})
}

func (c *chaos) platformCut() {
	h, p := c.slot().host, host(platformAddress)
	c.during(link{h, p}, link{p, h})
}

func (c *chaos) regionCut() {
	var links []link
	for _, a := range c.world.slots {
		for _, b := range c.world.slots {
			if a.region != b.region {
				links = append(links, link{a.host, b.host})
			}
		}
	}
	c.during(links...)
}

func (c *chaos) withPlatform(f platform.Faults) {
	c.world.platform.Set(f)
	time.Sleep(c.between(1000, 15000))
	c.world.platform.Set(platform.Faults{})
}

func (c *chaos) outage() { c.withPlatform(platform.Faults{Outage: true}) }
func (c *chaos) lose()   { c.withPlatform(platform.Faults{LoseAnswers: 1 + c.pick(4)}) }
func (c *chaos) slow()   { c.withPlatform(platform.Faults{Slow: c.between(100, 3000)}) }

func (c *chaos) withEngine(f engine.Faults) {
	e := c.world.engines[fmt.Sprintf("engine-%d", 1+c.pick(len(c.world.engines)))]
	e.Set(f)
	time.Sleep(c.between(1000, 10000))
	e.Set(engine.Faults{})
}

func (c *chaos) engineDrops() {
	c.withEngine(engine.Faults{DropAfter: 1 + c.pick(20), DropEnd: c.pick(2) == 0})
}
func (c *chaos) engineFails() { c.withEngine(engine.Faults{Failing: true}) }
func (c *chaos) straggler()   { c.withEngine(engine.Faults{SlowFactor: 8}) }

// draining checks that an engine that reports that it drains gets no new work
// after a few seconds.
func (c *chaos) draining() {
	const grace = 4 * time.Second
	e := c.world.engines[fmt.Sprintf("engine-%d", 1+c.pick(len(c.world.engines)))]
	e.Set(engine.Faults{Draining: true})
	c.world.note("%s drains", e.Name)
	time.Sleep(grace)
	before := e.Stats().AfterLeft
	time.Sleep(c.between(1000, 6000))
	if after := e.Stats().AfterLeft; after != before {
		c.world.fail("engine %s got %d requests after it had been leaving for %s", e.Name, after-before, grace)
	}
	e.Set(engine.Faults{})
}

func (c *chaos) serviceDrops() {
	s := c.world.services[fmt.Sprintf("service-%d", 1+c.pick(len(c.world.services)))]
	s.Set(service.Faults{DropAnswer: c.pick(2) == 0, Delay: c.between(0, 3000)})
	time.Sleep(c.between(1000, 10000))
	s.Set(service.Faults{})
}

func (c *chaos) burst() {
	var wait sync.WaitGroup
	class := []string{"Rider", "Desk", "Bulk"}[c.pick(3)]
	for range 60 + c.pick(80) {
		c.world.mu.Lock()
		c.world.sent++
		n := c.world.sent
		c.world.mu.Unlock()
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.world.chat(c.world.pickLive(), "B", class, n, 1+n%80, n%2 == 0)
		}()
	}
	wait.Wait()
}

// operators change the configuration in a race and keep the history.
type operators struct {
	world *world
	rnd   *rand.Rand
	until time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	highest int64
	clients int
}

// changeInput is one apply: the revision that it replaces.
type changeInput struct {
	base int64
}

// changeOutput is how an apply ended.
type changeOutput struct {
	outcome  revision.Outcome
	revision int64
}

func (o *operators) accepted() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highest
}

func (o *operators) run() {
	o.mu.Lock()
	o.clients++
	client := o.clients
	o.mu.Unlock()
	for n := 0; time.Now().Before(o.until); n++ {
		o.mu.Lock()
		pause, id := time.Duration(1+o.rnd.IntN(8))*time.Second, uuid.NewString()
		o.mu.Unlock()
		time.Sleep(pause)
		s := o.world.pickLive()
		i := s.instance()
		if i == nil {
			continue
		}
		base := i.Keeper.Revision()
		text := o.world.text + fmt.Sprintf("[Class Extra]\nTier = Low\nFirstToken = 20s\nQueueTimeout = %dms\n", 1000+client*100000+n)
		o.change(client, s, base, text, id)
	}
}

func (o *operators) change(client int, s *slot, base int64, text, id string) {
	call := time.Now().UnixNano()
	r, err := o.world.apply(s, base, text, id)
	out := changeOutput{outcome: revision.Unclear}
	if err == nil {
		out = changeOutput{outcome: r.Outcome, revision: r.Revision}
	}
	back := time.Now().UnixNano()
	if out.outcome == revision.Unclear {
		back = 1 << 62
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world.fault("apply " + string(out.outcome))
	if out.outcome == revision.Applied {
		o.highest = max(o.highest, out.revision)
	}
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: changeInput{base}, Call: call, Output: out, Return: back})
}

// watch checks that no running instance goes back to a lower revision.
func (o *operators) watch() {
	seen := map[string]int64{}
	for time.Now().Before(o.until) {
		time.Sleep(100 * time.Millisecond)
		for _, s := range o.world.slots {
			i := s.instance()
			if i == nil {
				continue
			}
			key := fmt.Sprintf("%s %p", s.name, i)
			now := i.Keeper.Revision()
			if now < seen[key] {
				o.world.fail("%s went back from revision %d to %d", s.name, seen[key], now)
			}
			seen[key] = now
		}
	}
}

// register is the state of the configuration: its revision, or only a bound
// below it after a change that may have been written.
type register struct {
	revision int64
	known    bool
}

// after returns the states that may follow an apply.
func (r register) after(in changeInput, out changeOutput) []any {
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

// check checks that the history of changes is linearizable: a register that
// each accepted change moves from its base to a higher revision.
func (o *operators) check() {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{o.world.first, true}} },
		Step: func(state, input, output any) []any {
			return state.(register).after(input.(changeInput), output.(changeOutput))
		},
	}
	if len(o.history) == 0 {
		o.world.fail("no change of the configuration was tried")
	}
	if !porcupine.CheckOperations(model.ToModel(), o.history) {
		o.world.fail("the history of configuration changes is not linearizable")
	}
}
