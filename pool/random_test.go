package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/invariant"
)

func classes() []Class {
	second := time.Second
	return []Class{
		{Name: "top", Rank: 1, Preempts: true, Weight: 1, Floor: 0.01, Target: second, QueueTimeout: 30 * second},
		{Name: "mid-a", Rank: 2, Preempts: true, Weight: 2, Floor: 0.01, Target: 3 * second, QueueTimeout: 30 * second},
		{Name: "mid-b", Rank: 2, Weight: 1, Floor: 0.05, Target: 3 * second, QueueTimeout: 30 * second},
		{Name: "low", Rank: 3, Weight: 1, Floor: 0.02, Target: 20 * second, QueueTimeout: 60 * second},
	}
}

func newShard(policy Policy, check *invariant.Checker, upstreams, concurrency, queue int) (*Shard, time.Time) {
	now := time.Unix(1000, 0)
	s := New("test", policy, check, now)
	set := Settings{Revision: 1, Classes: classes(), QueueLimit: queue, Organisations: map[string]float64{"A": 1, "B": 4}}
	for i := range upstreams {
		set.Upstreams = append(set.Upstreams, UpstreamSettings{Name: fmt.Sprintf("u%d", i), Address: "x", Zone: "z", Concurrency: concurrency})
	}
	now = now.Add(2 * TakeoverWait)
	s.tickedAt = now
	s.Configure(now, set)
	return s, now
}

// model simulates the holders of a shard's grants: it runs what is granted.
type model struct {
	s       *Shard
	now     time.Time
	n       int
	running map[string]Grant
	waiting map[string]GrantRequest
	served  map[string]int
	shed    map[string]int

	preempted int
}

func newModel(s *Shard, now time.Time) *model {
	return &model{s: s, now: now, running: map[string]Grant{}, waiting: map[string]GrantRequest{}, served: map[string]int{}, shed: map[string]int{}}
}

func (m *model) apply(ds []Decision) error {
	for _, d := range ds {
		switch d := d.(type) {
		case Granted:
			if _, twice := m.running[d.Grant.ID]; twice {
				return fmt.Errorf("request %s granted twice", d.Grant.ID)
			}
			delete(m.waiting, d.Grant.ID)
			m.running[d.Grant.ID] = d.Grant
			m.served[d.Grant.Class]++
		case Shed:
			if err := m.checkShed(d); err != nil {
				return err
			}
			delete(m.waiting, d.Request.ID)
			m.shed[d.Request.Class]++
		case Preempt:
			if err := m.preempt(d); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkShed checks against the model's own records that no request of a lower tier
// waits while one is shed for lack of a place in the queue.
func (m *model) checkShed(d Shed) error {
	if d.Reason == WaitExpired || d.Reason == NoUpstream {
		return nil
	}
	for _, r := range m.waiting {
		if r.ID != d.Request.ID && r.Rank > d.Request.Rank && m.s.requests[r.ID] != nil {
			return fmt.Errorf("rank %d shed while rank %d waits", d.Request.Rank, r.Rank)
		}
	}
	return nil
}

func (m *model) preempt(d Preempt) error {
	r, ok := m.waiting[d.For]
	if ok && r.Rank >= d.Grant.Rank {
		return fmt.Errorf("rank %d preempted for rank %d", d.Grant.Rank, r.Rank)
	}
	m.preempted++
	delete(m.running, d.Grant.ID)
	return m.apply(m.s.Finish(m.now, Report{Grant: d.Grant.ID, Finished: true}))
}

func (m *model) request(c Class, org string) error {
	m.n++
	r := GrantRequest{
		ID: fmt.Sprintf("%08d", m.n), Holder: "h", Class: c.Name, Organisation: org, Rank: c.Rank, Restartable: m.n%3 > 0,
		Cost: float64(1 + m.n%200), Arrived: m.now, Expires: m.now.Add(c.QueueTimeout),
	}
	m.waiting[r.ID] = r
	return m.apply(m.s.RequestGrant(m.now, r))
}

func (m *model) finish(id string) error {
	delete(m.running, id)
	return m.apply(m.s.Finish(m.now, Report{Grant: id, Finished: true}))
}

// TestRandomDecisions makes random calls to a shard and checks each decision
// against a model, in addition to the shard's own invariants.
func TestRandomDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := &invariant.Checker{Panic: true}
		s, now := newShard(Tiered, check, rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 4).Draw(t, "concurrency"), rapid.IntRange(1, 12).Draw(t, "queue"))
		m := newModel(s, now)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if err := step(t, m); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func step(t *rapid.T, m *model) error {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2, 3:
		cs := classes()
		return m.request(cs[rapid.IntRange(0, len(cs)-1).Draw(t, "class")], rapid.SampledFrom([]string{"A", "B"}).Draw(t, "org"))
	case 4, 5, 6:
		for id := range m.running {
			return m.finish(id)
		}
	case 7:
		return m.apply(m.s.Tick(m.now))
	case 8:
		for id := range m.waiting {
			delete(m.waiting, id)
			return m.apply(m.s.Withdraw(m.now, id))
		}
	case 9:
		name := m.s.names[rapid.IntRange(0, len(m.s.names)-1).Draw(t, "upstream")]
		return m.apply(m.s.Load(m.now, name, rapid.IntRange(0, 6).Draw(t, "load"), rapid.IntRange(0, 9).Draw(t, "draining") == 0))
	}
	return nil
}

// TestLowestClassUnderOverload offers more than twice the capacity in the top tier
// for two days and checks that the lowest class is served in every minute, within
// its floor. With the queue of 100, ten requests of the top tier wait at all times and
// the queue is not full.
func TestLowestClassUnderOverload(t *testing.T) {
	for _, queue := range []int{1, 20, 100} {
		t.Run(fmt.Sprintf("queue=%d", queue), func(t *testing.T) {
			check := &invariant.Checker{Panic: true}
			s, now := newShard(Tiered, check, 1, 3, queue)
			m := newModel(s, now)
			cs := classes()
			ends := map[string]time.Time{}
			const step, work = 500 * time.Millisecond, 2 * time.Second
			rng := rand.New(rand.NewPCG(1, 1))
			for minute := range 2 * 24 * 60 {
				before := m.served["low"]
				for range int(time.Minute / step) {
					m.now = m.now.Add(step)
					for id := range m.running {
						if ends[id].IsZero() {
							ends[id] = m.now.Add(work)
						}
						if !m.now.Before(ends[id]) {
							delete(ends, id)
							assert.NilError(t, m.finish(id))
						}
					}
					offered := 1 + rng.IntN(2)
					if queue == 100 {
						offered = 10 - s.queue.WaitingUpTo(1)
					}
					for range offered {
						assert.NilError(t, m.request(cs[0], "A"))
					}
					if rng.IntN(2) == 0 {
						assert.NilError(t, m.request(cs[3], "A"))
					}
					assert.NilError(t, m.apply(s.Tick(m.now)))
				}
				if m.served["low"] == before {
					t.Fatalf("minute %d: no request of the lowest class was served", minute)
				}
			}
			t.Log(m.served, m.shed, check.Counts())
			share := float64(m.served["low"]) / float64(m.served["low"]+m.served["top"])
			assert.Assert(t, share <= 0.021, "share of the lowest class is %f; its floor is 0.02", share)
		})
	}
}

// TestFloorGrantNotPreempted checks that a request dispatched for its class's floor
// is not preempted for the waiting requests of higher tiers.
func TestFloorGrantNotPreempted(t *testing.T) {
	check := &invariant.Checker{Panic: true}
	s, now := newShard(Tiered, check, 1, 3, 100)
	m := newModel(s, now)
	cs := classes()
	for range 2000 {
		m.now = m.now.Add(time.Second)
		for s.queue.WaitingUpTo(1) < 10 {
			assert.NilError(t, m.request(cs[0], "A"))
		}
		for s.queue.Waiting("low") < 2 {
			assert.NilError(t, m.request(cs[3], "A"))
		}
		for id, g := range m.running {
			if g.Class == "top" {
				assert.NilError(t, m.finish(id))
				break
			}
		}
		before := m.preempted
		assert.NilError(t, m.apply(s.Tick(m.now)))
		if m.running == nil || m.preempted == before {
			continue
		}
		t.Fatal("a request dispatched for its floor was preempted")
	}
	assert.Assert(t, m.served["low"] > 0)
}

// TestWithdrawAllPreemptsNothing guards against a preemption for a request that is
// withdrawn with the others: its decision is not carried out, and the grant would stay
// marked and hold up later preemptions.
func TestWithdrawAllPreemptsNothing(t *testing.T) {
	s, now := newShard(Tiered, &invariant.Checker{Panic: true}, 1, 3, 100)
	request := func(id, class string, rank int) {
		s.RequestGrant(now, GrantRequest{ID: id, Holder: "h", Class: class, Rank: rank, Restartable: true, Arrived: now, Expires: now.Add(time.Minute)})
	}
	for i := range 3 {
		request(fmt.Sprint("low-", i), "low", 3)
	}
	assert.Equal(t, len(s.grants), 3)
	request("top-1", "top", 1)
	request("top-2", "top", 1)
	now = now.Add(2 * time.Second)
	assert.Equal(t, len(s.WithdrawAll(now, []string{"top-1", "top-2"})), 0)
	for id, g := range s.grants {
		assert.Assert(t, !g.Preempting, "%s is marked as preempted", id)
	}
}

// TestTryKeepsTurn guards against a request that does not queue and takes two turns of the
// round robin, so that every second upstream gets nothing.
func TestTryKeepsTurn(t *testing.T) {
	s, now := newShard(FIFO, &invariant.Checker{Panic: true}, 2, 3, 100)
	granted := map[string]int{}
	for i := range 2 {
		r := GrantRequest{ID: fmt.Sprint(i), Holder: "entry-1", Class: "top", Rank: 1, Arrived: now, Expires: now.Add(time.Minute), Try: true}
		for _, d := range s.RequestGrant(now, r) {
			g, ok := d.(Granted)
			assert.Assert(t, ok, "%v", d)
			granted[g.Grant.Upstream]++
		}
	}
	assert.Equal(t, len(granted), 2, "%v", granted)
}

// BenchmarkDecision times one request and one grant with a number of requests in the
// queue.
func BenchmarkDecision(b *testing.B) {
	for _, queued := range []int{1, 100, 10000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s, now := newShard(Tiered, &invariant.Checker{}, 20, 8, 1000000)
			m := newModel(s, now)
			cs := classes()
			for i := range 20*8 + queued {
				_ = m.request(cs[i%4], fmt.Sprintf("org-%d", i%490))
			}
			ids := make([]string, 0, len(m.running))
			for id := range m.running {
				ids = append(ids, id)
			}
			b.ResetTimer()
			for i := range b.N {
				id := ids[i%len(ids)]
				m.n++
				c := cs[i%4]
				s.RequestGrant(now, GrantRequest{ID: fmt.Sprint("b", i), Class: c.Name, Rank: c.Rank, Organisation: fmt.Sprintf("org-%d", i%490), Arrived: now, Expires: now.Add(time.Hour)})
				for _, d := range s.Finish(now, Report{Grant: id, Finished: true}) {
					if g, ok := d.(Granted); ok {
						ids[i%len(ids)] = g.Grant.ID
					}
				}
			}
		})
	}
}
