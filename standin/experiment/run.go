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
	retryDelay    = 100 * time.Millisecond
	maxAttempts   = 20
	organisations = 10
	maxDrainTime  = time.Hour // maximum time after the demand until all requests have ended
	maxTokens     = 4000      // maximum answer length
)

// Run is one run of a scenario. The fields are set before Do.
type Run struct {
	Scenario *Scenario
	Policy   pool.Policy
	Load     float64 // demand as a fraction of the capacity, see Scenario.TokenRate
	Seed     uint64
	Check    *invariant.Checker // nil disables the checks of invariants

	now         time.Time // simulated time
	demandStart time.Time
	events      eventQueue
	engines     []*engine
	shards      []*pool.Shard
	rng         *rand.Rand
	pending     map[string]*request // requests without a decision of a shard, by attempt ID
	serial      int                 // number of the last event or attempt
	results     *Results
}

// event is a function that runs at a simulated time. The serial number orders
// events of the same time.
type event struct {
	at     time.Time
	serial int
	do     func()
}

// eventQueue is a heap of events for package container/heap.
type eventQueue []event

// Len returns the number of events.
func (h eventQueue) Len() int { return len(h) }

// Less orders events by time, then by serial number.
func (h eventQueue) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}

// Swap exchanges two events.
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event.
func (h *eventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after schedules do at d from now.
func (r *Run) after(d time.Duration, do func()) {
	r.serial++
	heap.Push(&r.events, event{at: r.now.Add(d), serial: r.serial, do: do})
}

// every schedules do once per period, first after one period.
func (r *Run) every(period time.Duration, do func()) {
	r.after(period, func() {
		do()
		r.every(period, do)
	})
}

// Do runs the scenario until the demand is over and all requests have ended,
// but at most maxDrainTime beyond the demand, and returns the results.
func (r *Run) Do() *Results {
	r.now = time.Unix(0, 0)
	r.rng = rand.New(rand.NewPCG(r.Seed, 1))
	r.pending = map[string]*request{}
	r.results = newResults(r.Scenario)
	r.build()
	r.now = r.now.Add(2 * pool.TakeoverWait)
	r.demandStart = r.now
	for i := range r.Scenario.Classes {
		r.scheduleArrivals(&r.Scenario.Classes[i])
	}
	for _, f := range r.Scenario.Faults {
		r.after(f.From, func() { r.setFault(f, true) })
		r.after(f.To, func() { r.setFault(f, false) })
	}
	r.every(tickPeriod, r.tick)
	r.every(refreshPeriod, r.refresh)
	r.every(max(r.Scenario.LoadLag, tickPeriod), r.reportLoads)
	end := r.demandStart.Add(r.Scenario.Duration + maxDrainTime)
	for r.events[0].at.Before(end) && !r.finished() {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.results
}

// finished reports whether the demand is over and all requests have ended.
func (r *Run) finished() bool {
	return r.now.Sub(r.demandStart) > r.Scenario.Duration && r.results.open == 0
}

// build creates the engines and the shards: one shard for the tiered policy,
// one per instance for the other policies.
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

// settings returns the settings of each shard.
func (r *Run) settings() pool.Settings {
	settings := pool.Settings{Revision: 1, QueueLimit: r.Scenario.QueueLimit, Organisations: map[string]float64{}}
	for _, c := range r.Scenario.Classes {
		target := c.FirstToken
		if target == 0 {
			target = c.Whole
		}
		settings.Classes = append(settings.Classes, pool.Class{
			Name: c.Name, Rank: c.Rank, Preempts: c.Preempts, Weight: 1, Floor: c.Floor,
			Target: target, BetweenToken: c.BetweenToken, QueueTimeout: c.QueueTimeout,
		})
	}
	for _, e := range r.engines {
		settings.Upstreams = append(settings.Upstreams, pool.UpstreamSettings{Name: e.name, Address: e.name, Concurrency: r.Scenario.Ceiling})
	}
	return settings
}

// scheduleArrivals schedules the next request of a class, which schedules the
// one after it, until the end of the demand. The gaps are exponentially
// distributed.
func (r *Run) scheduleArrivals(c *Class) {
	age := r.now.Sub(r.demandStart)
	if age > r.Scenario.Duration || c.Share == 0 {
		return
	}
	rate := r.Load * r.Scenario.TokenRate() * c.Share / meanLength(c.Tokens)
	if age >= c.BurstFrom && age < c.BurstTo {
		rate *= c.Burst
	}
	gap := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.after(gap, func() {
		r.arrive(c)
		r.scheduleArrivals(c)
	})
}

// length returns a random answer length in tokens with the given median, from a
// Pareto distribution with shape 2 and scale median/sqrt(2), bounded by
// maxTokens.
func length(rng *rand.Rand, median int) int {
	n := float64(median) / math.Sqrt2 / math.Sqrt(1-rng.Float64())
	return min(max(int(n), 1), maxTokens)
}

// meanLength returns the mean of the distribution of length without the bound:
// twice its scale.
func meanLength(median int) float64 {
	return 2 * float64(median) / math.Sqrt2
}

// arrive creates a request of a class and submits it.
func (r *Run) arrive(c *Class) {
	// One large organisation sends half of all requests.
	org := 0
	if r.rng.IntN(2) == 0 {
		org = 1 + r.rng.IntN(organisations-1)
	}
	req := &request{
		class: c, org: fmt.Sprintf("org-%d", org), prefix: uint64(c.Rank*1000 + 1 + r.rng.IntN(c.Prefixes)),
		length: length(r.rng, c.Tokens), instance: r.rng.IntN(r.Scenario.Instances), arrived: r.now,
	}
	r.results.recordArrival(r.now.Sub(r.demandStart), req)
	r.submit(req, "")
}

// shardOf returns the index of the shard that serves the request's instance.
func (r *Run) shardOf(req *request) int {
	return req.instance % len(r.shards)
}

// submit submits a new attempt of a request to its shard, which should avoid
// the named engine.
func (r *Run) submit(req *request, avoid string) {
	r.serial++
	req.attempts++
	req.first, req.last = time.Time{}, time.Time{}
	req.attemptID = fmt.Sprintf("%012d", r.serial)
	r.pending[req.attemptID] = req
	c := req.class
	r.execute(r.shardOf(req), r.shards[r.shardOf(req)].RequestGrant(r.now, pool.GrantRequest{
		ID: req.attemptID, Holder: fmt.Sprintf("entry-%d", req.instance), Class: c.Name, Organisation: req.org, Rank: c.Rank,
		Restartable: req.preempted < pool.MaxPreemptions, Prefix: req.prefix, PromptTokens: c.PromptTokens, Cost: meanLength(c.Tokens),
		Arrived: req.arrived, Expires: req.arrived.Add(c.QueueTimeout), Avoid: avoid,
	}))
}

// execute carries out the decisions of a shard.
func (r *Run) execute(shard int, decisions []pool.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case pool.Granted:
			r.dispatch(shard, d)
		case pool.Shed:
			r.results.recordRefusal(r.pending[d.Request.ID], d.Reason)
			delete(r.pending, d.Request.ID)
		case pool.Preempt:
			r.preempt(shard, d)
		}
	}
}

// engine returns the engine with a name. It panics if there is none.
func (r *Run) engine(name string) *engine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	panic("experiment: unknown engine " + name)
}

// dispatch adds a granted request to the queue of its engine.
func (r *Run) dispatch(shard int, d pool.Granted) {
	req := r.pending[d.Request.ID]
	delete(r.pending, d.Request.ID)
	s := &sequence{req: req, grant: d.Grant, shard: shard}
	e := r.engine(d.Grant.Upstream)
	if e.down {
		r.handleFailure(s, e)
		return
	}
	e.queue = append(e.queue, s)
	r.step(e)
}

// step starts the next step of the engine if none is in progress.
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
			r.results.recordCompletion(r.now.Sub(r.demandStart), s)
			r.execute(s.shard, r.shards[s.shard].Finish(r.now, s.report(true)))
		}
		r.step(e)
	})
}

// handleFailure reports a failed attempt to its shard and retries the request
// at another engine. The request is lost if its caller has received a part of
// the stream or after maxAttempts.
func (r *Run) handleFailure(s *sequence, e *engine) {
	r.results.recordWaste(s.req, s.generated)
	report := s.report(true)
	report.Fault = true
	r.after(time.Millisecond, func() {
		r.execute(s.shard, r.shards[s.shard].Finish(r.now, report))
	})
	if s.started || s.req.attempts >= maxAttempts {
		r.results.recordLoss(s.req)
		return
	}
	r.after(retryDelay, func() { r.submit(s.req, e.name) })
}

// preempt removes the sequence of a grant from its engine and submits the
// request again. A sequence of which the caller has received a token continues.
func (r *Run) preempt(shard int, d pool.Preempt) {
	e := r.engine(d.Grant.Upstream)
	s := e.remove(d.Grant.ID)
	if s == nil {
		return
	}
	if s.started {
		e.batch = append(e.batch, s)
		return
	}
	r.results.recordPreemption(s.req, s.generated)
	s.req.preempted++
	report := s.report(true)
	r.after(time.Millisecond, func() {
		r.execute(shard, r.shards[shard].Finish(r.now, report))
		r.submit(s.req, "")
	})
}

// setFault starts or ends a fault.
func (r *Run) setFault(f Fault, on bool) {
	e := r.engines[f.Engine%len(r.engines)]
	switch f.Kind {
	case Slow:
		e.factor = 1
		if on {
			e.factor = f.Factor
		}
	case Crash:
		e.down = on
		aborted := append(e.queue, e.batch...)
		e.queue, e.batch, e.prefixes = nil, nil, nil
		for _, s := range aborted {
			r.handleFailure(s, e)
		}
		r.step(e)
	}
}

// tick runs the periodic work of the shards.
func (r *Run) tick() {
	for i, s := range r.shards {
		r.execute(i, s.Tick(r.now))
	}
}

// refresh reports to each shard the progress of the requests that it has
// granted.
func (r *Run) refresh() {
	held := make([][]pool.HeldGrant, len(r.shards))
	for _, e := range r.engines {
		for _, list := range [][]*sequence{e.queue, e.batch} {
			for _, s := range list {
				held[s.shard] = append(held[s.shard], pool.HeldGrant{
					Report: s.report(false), Upstream: e.name, Class: s.req.class.Name, Rank: s.req.class.Rank, Restartable: !s.started && s.grant.Restartable,
				})
			}
		}
	}
	for i, s := range r.shards {
		r.execute(i, s.Refresh(r.now, held[i]))
	}
}

// reportLoads sends the loads of the previous report to the shards and takes
// the next report, so that each is one period old when it is received.
func (r *Run) reportLoads() {
	for _, e := range r.engines {
		for i, s := range r.shards {
			if !e.down {
				r.execute(i, s.Load(r.now, e.name, e.reported, false))
			}
		}
		e.reported = e.running()
	}
}
