package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"knapweedwell/invariant"
	"knapweedwell/pool"
)

const (
	tickPeriod    = 100 * time.Millisecond
	refreshPeriod = 500 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	maxTries      = 20
	organisations = 10
	settleTime    = time.Hour // settleTime bounds the time until all requests have ended.
	maxLength     = 4000
)

// Run is one run of a scenario. The fields are set before Do.
type Run struct {
	Scenario *Scenario
	Policy   pool.Policy
	Load     float64 // Load is the demand as a part of the capacity.
	Seed     uint64
	Check    *invariant.Checker

	now     time.Time
	begin   time.Time
	events  events
	engines []*engine
	shards  []*pool.Shard
	rnd     *rand.Rand
	asked   map[string]*request
	serial  int
	book    *Book
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	serial int
	do     func()
}

type events []event

// Len returns the number of events.
func (h events) Len() int { return len(h) }

// Less orders by time.
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}

// Swap exchanges two events.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop takes the last event.
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (r *Run) after(d time.Duration, do func()) {
	r.serial++
	heap.Push(&r.events, event{at: r.now.Add(d), serial: r.serial, do: do})
}

// every repeats do once a period.
func (r *Run) every(period time.Duration, do func()) {
	r.after(period, func() {
		do()
		r.every(period, do)
	})
}

// Do runs the scenario and returns the results.
func (r *Run) Do() *Book {
	r.now = time.Unix(0, 0)
	r.rnd = rand.New(rand.NewPCG(r.Seed, 1))
	r.asked = map[string]*request{}
	r.book = newBook(r.Scenario)
	r.build()
	r.now = r.now.Add(2 * pool.TakeoverWait)
	r.begin = r.now
	for i := range r.Scenario.Classes {
		r.demand(&r.Scenario.Classes[i])
	}
	for _, f := range r.Scenario.Faults {
		r.after(f.From, func() { r.fault(f, true) })
		r.after(f.To, func() { r.fault(f, false) })
	}
	r.every(tickPeriod, r.tick)
	r.every(refreshPeriod, r.refresh)
	r.every(max(r.Scenario.LoadLag, tickPeriod), r.reportLoads)
	end := r.begin.Add(r.Scenario.Duration + settleTime)
	for r.events[0].at.Before(end) && !r.settled() {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.book
}

// settled reports whether the demand is over and all requests have ended.
func (r *Run) settled() bool {
	return r.now.Sub(r.begin) > r.Scenario.Duration && r.book.open == 0
}

// build makes the engines and shards: one shard for the tiered policy, one at
// each instance for the others.
func (r *Run) build() {
	n := r.Scenario.Instances
	if r.Policy == pool.Tiered {
		n = 1
	}
	for i := range r.Scenario.Engines {
		r.engines = append(r.engines, &engine{name: fmt.Sprintf("engine-%03d", i), sc: r.Scenario, factor: 1})
	}
	for i := range n {
		s := pool.New(fmt.Sprintf("shard-%d", i), r.Policy, r.Check, r.now)
		s.Configure(r.now, r.settings())
		r.shards = append(r.shards, s)
	}
}

func (r *Run) settings() pool.Settings {
	set := pool.Settings{Revision: 1, QueueLimit: r.Scenario.QueueLimit, Organisations: map[string]float64{}}
	for _, c := range r.Scenario.Classes {
		target := c.FirstToken
		if target == 0 {
			target = c.Whole
		}
		set.Classes = append(set.Classes, pool.Class{
			Name: c.Name, Rank: c.Rank, Preempts: c.Preempts, Weight: 1, Floor: c.Floor,
			Target: target, BetweenToken: c.Between, QueueTimeout: c.Timeout,
		})
	}
	for _, e := range r.engines {
		set.Upstreams = append(set.Upstreams, pool.UpstreamSettings{Name: e.name, Address: e.name, Concurrency: r.Scenario.Ceiling})
	}
	return set
}

// demand sends the requests of a class, with exponential gaps.
func (r *Run) demand(c *Class) {
	age := r.now.Sub(r.begin)
	if age > r.Scenario.Duration || c.Share == 0 {
		return
	}
	rate := r.Load * r.Scenario.TokenRate() * c.Share / meanLength(c.Tokens)
	if age >= c.From && age < c.To {
		rate *= c.Burst
	}
	gap := time.Duration(r.rnd.ExpFloat64() / rate * float64(time.Second))
	r.after(gap, func() {
		r.arrive(c)
		r.demand(c)
	})
}

// length returns a length with the given median: a Pareto distribution with
// shape 2 and scale median/sqrt(2), cut at maxLength.
func length(rnd *rand.Rand, median int) int {
	n := float64(median) / math.Sqrt2 / math.Sqrt(1-rnd.Float64())
	return min(max(int(n), 1), maxLength)
}

// meanLength returns the mean of that distribution.
func meanLength(median int) float64 {
	return 2 * float64(median) / math.Sqrt2
}

func (r *Run) arrive(c *Class) {
	// One large organisation sends half of all requests.
	org := 0
	if r.rnd.IntN(2) == 0 {
		org = 1 + r.rnd.IntN(organisations-1)
	}
	req := &request{
		class: c, org: fmt.Sprintf("org-%d", org), prefix: uint64(c.Rank*1000 + 1 + r.rnd.IntN(c.Prefixes)),
		length: length(r.rnd, c.Tokens), instance: r.rnd.IntN(r.Scenario.Instances), arrived: r.now,
	}
	r.book.arrived(r.now.Sub(r.begin), req)
	r.ask(req, "")
}

func (r *Run) shardOf(req *request) int {
	return req.instance % len(r.shards)
}

func (r *Run) ask(req *request, avoid string) {
	r.serial++
	req.tries++
	req.first, req.last = time.Time{}, time.Time{}
	req.ask = fmt.Sprintf("%012d", r.serial)
	r.asked[req.ask] = req
	c := req.class
	r.take(r.shardOf(req), r.shards[r.shardOf(req)].Ask(r.now, pool.Ask{
		ID: req.ask, Holder: fmt.Sprintf("entry-%d", req.instance), Class: c.Name, Organisation: req.org, Rank: c.Rank,
		Restartable: req.preempted < pool.MaxPreemptions, Prefix: req.prefix, PromptTokens: c.Prompt, Cost: meanLength(c.Tokens),
		Arrived: req.arrived, Expires: req.arrived.Add(c.Timeout), Avoid: avoid,
	}))
}

// take carries a shard's decisions out.
func (r *Run) take(shard int, ds []pool.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case pool.Granted:
			r.dispatch(shard, d)
		case pool.Shed:
			r.book.refused(r.asked[d.Ask.ID], d.Reason)
			delete(r.asked, d.Ask.ID)
		case pool.Preempt:
			r.preempt(shard, d)
		}
	}
}

func (r *Run) engine(name string) *engine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	panic("experiment: no engine " + name)
}

func (r *Run) dispatch(shard int, d pool.Granted) {
	req := r.asked[d.Ask.ID]
	delete(r.asked, d.Ask.ID)
	s := &sequence{req: req, grant: d.Grant, shard: shard}
	e := r.engine(d.Grant.Upstream)
	if e.down {
		r.failed(s, e)
		return
	}
	e.queue = append(e.queue, s)
	r.step(e)
}

// step begins the engine's next step if none is under way.
func (r *Run) step(e *engine) {
	if e.stepping || e.down {
		return
	}
	e.admit(r.now)
	if len(e.batch) == 0 {
		return
	}
	e.stepping = true
	r.after(e.stepTime(), func() {
		e.stepping = false
		for _, s := range e.generate(r.now) {
			r.book.done(r.now.Sub(r.begin), s)
			r.take(s.shard, r.shards[s.shard].Finish(r.now, s.report(true)))
		}
		r.step(e)
	})
}

// failed reports a failed attempt and tries again elsewhere. A stream that its
// caller has seen a part of is lost.
func (r *Run) failed(s *sequence, e *engine) {
	r.book.wasted(s.req, s.made)
	report := s.report(true)
	report.Fault = true
	r.after(time.Millisecond, func() {
		r.take(s.shard, r.shards[s.shard].Finish(r.now, report))
	})
	if s.started || s.req.tries >= maxTries {
		r.book.lost(s.req)
		return
	}
	r.after(retryPause, func() { r.ask(s.req, e.name) })
}

func (r *Run) preempt(shard int, d pool.Preempt) {
	e := r.engine(d.Grant.Upstream)
	s := e.take(d.Grant.ID)
	if s == nil {
		return
	}
	if s.started {
		e.batch = append(e.batch, s)
		return
	}
	r.book.preempted(s.req, s.made)
	s.req.preempted++
	report := s.report(true)
	r.after(time.Millisecond, func() {
		r.take(shard, r.shards[shard].Finish(r.now, report))
		r.ask(s.req, "")
	})
}

func (r *Run) fault(f Fault, on bool) {
	e := r.engines[f.Engine%len(r.engines)]
	switch f.Kind {
	case Slow:
		e.factor = 1
		if on {
			e.factor = f.Factor
		}
	case Crash:
		e.down = on
		lost := append(e.queue, e.batch...)
		e.queue, e.batch, e.prefixes = nil, nil, nil
		for _, s := range lost {
			r.failed(s, e)
		}
		r.step(e)
	}
}

func (r *Run) tick() {
	for i, s := range r.shards {
		r.take(i, s.Tick(r.now))
	}
}

func (r *Run) refresh() {
	helds := make([][]pool.Held, len(r.shards))
	for _, e := range r.engines {
		for _, list := range [][]*sequence{e.queue, e.batch} {
			for _, s := range list {
				helds[s.shard] = append(helds[s.shard], pool.Held{
					Report: s.report(false), Upstream: e.name, Class: s.req.class.Name, Rank: s.req.class.Rank, Restartable: !s.started && s.grant.Restartable,
				})
			}
		}
	}
	for i, s := range r.shards {
		r.take(i, s.Refresh(r.now, helds[i]))
	}
}

// reportLoads shows the shards the loads of the last report, and makes the
// next.
func (r *Run) reportLoads() {
	for _, e := range r.engines {
		for i, s := range r.shards {
			if !e.down {
				r.take(i, s.Load(r.now, e.name, e.shown, false))
			}
		}
		e.shown = e.running()
	}
}
