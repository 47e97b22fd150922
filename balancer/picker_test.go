package balancer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

var model = &route.Pool{Name: "model", Engine: &route.Engine{Slots: 8, MemoryTokens: 100000}}

func upstreams(n int) []*route.Upstream {
	us := make([]*route.Upstream, n)
	for i := range us {
		us[i] = &route.Upstream{ID: fmt.Sprintf("u-%d", i), Pool: "model", Zone: "z", Slots: 8}
	}
	return us
}

func newPicker() *Picker {
	return New("z", map[string]string{"z": "r", "far": "s"})
}

// newRequest returns a request with a shared part of 5000 tokens and an own part of 500.
func newRequest(part, own uint64, rank int) Request {
	parts := []request.Part{{ID: part, Tokens: 5000}, {ID: own, Tokens: 500}}
	return Request{Pool: model, Rank: rank, Prompt: &request.Prompt{Parts: parts, Tokens: 5500, MaxOutputTokens: 100}}
}

// TestAffinity sends requests with one shared part one after the other and checks
// that all go to one upstream, and that two pickers that exchange no
// messages choose at most preferredCount upstreams.
func TestAffinity(t *testing.T) {
	us, now := upstreams(9), time.Unix(1000, 0)
	seen := map[string]bool{}
	for range 2 {
		p := newPicker()
		own := map[string]bool{}
		for n := range 20 {
			c, ok := p.Choose(now, us, newRequest(7, uint64(100+n), 1))
			assert.Assert(t, ok)
			a := p.Begin(now, newRequest(7, uint64(100+n), 1), c)
			now = now.Add(200 * time.Millisecond)
			a.First(now)
			a.End(now, Served)
			own[c.Upstream.ID], seen[c.Upstream.ID] = true, true
			if n > 0 {
				assert.Equal(t, c.Missing, 500)
			}
		}
		assert.Equal(t, len(own), 1)
	}
	assert.Assert(t, len(seen) <= preferredCount)
}

// TestSpread sends many requests without shared parts at once and checks that no
// upstream gets more than twice its share.
func TestSpread(t *testing.T) {
	us, now, p := upstreams(6), time.Unix(1000, 0), newPicker()
	counts := map[string]int{}
	for n := range 60 {
		r := Request{Pool: model, Prompt: &request.Prompt{Parts: []request.Part{{ID: uint64(n), Tokens: 800}}, Tokens: 800}}
		c, ok := p.Choose(now, us, r)
		assert.Assert(t, ok)
		p.Begin(now, r, c)
		counts[c.Upstream.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= 20, "%s got %d of 60", id, n)
	}
}

// TestAvoid checks that upstreams that failed the request are never chosen, and
// unreachable ones, which are excluded for a time, only if there is no other.
func TestAvoid(t *testing.T) {
	us, now, p := upstreams(3), time.Unix(1000, 0), newPicker()
	r := newRequest(1, 2, 0)
	r.Avoid = map[string]bool{"u-0": true}
	c, ok := p.Choose(now, us, r)
	assert.Assert(t, ok)
	p.Begin(now, r, c).End(now, Unreachable)
	next, ok := p.Choose(now, us, r)
	assert.Assert(t, ok)
	assert.Assert(t, next.Upstream.ID != c.Upstream.ID && next.Upstream.ID != "u-0")
	r.Avoid[next.Upstream.ID] = true
	last, ok := p.Choose(now, us, r)
	assert.Assert(t, ok, "the excluded upstream was not chosen though there was no other")
	assert.Equal(t, last.Upstream.ID, c.Upstream.ID)
	r.Avoid[c.Upstream.ID] = true
	_, ok = p.Choose(now, us, r)
	assert.Assert(t, !ok)
}

// TestSlowUpstream checks that an upstream that takes much longer than predicted
// gets fewer requests, and is tried again after a minute.
func TestSlowUpstream(t *testing.T) {
	us, now, p := upstreams(3), time.Unix(1000, 0), newPicker()
	count := func() int {
		slow := 0
		for n := range 60 {
			r := Request{Pool: model, Prompt: &request.Prompt{Parts: []request.Part{{ID: uint64(now.UnixNano()) + uint64(n), Tokens: 800}}, Tokens: 800}}
			c, _ := p.Choose(now, us, r)
			a := p.Begin(now, r, c)
			took := 70 * time.Millisecond
			if c.Upstream.ID == "u-1" {
				took = 700 * time.Millisecond
				slow++
			}
			now = now.Add(took)
			a.First(now)
			a.End(now, Served)
		}
		return slow
	}
	assert.Assert(t, count() <= 15)
	now = now.Add(time.Minute)
	c := map[string]bool{}
	for n := range 40 {
		r := Request{Pool: model, Prompt: &request.Prompt{Tokens: 10 + n}}
		choice, _ := p.Choose(now, us, r)
		c[choice.Upstream.ID] = true
	}
	assert.Assert(t, c["u-1"], "the slow upstream was not tried again")
}

// TestRestartedUpstream checks that the cached parts of an upstream are dropped
// when it has restarted.
func TestRestartedUpstream(t *testing.T) {
	us, now, p := upstreams(1), time.Unix(1000, 0), newPicker()
	c, _ := p.Choose(now, us, newRequest(7, 8, 0))
	p.Begin(now, newRequest(7, 8, 0), c).End(now, Served)
	c, _ = p.Choose(now, us, newRequest(7, 9, 0))
	assert.Equal(t, c.Missing, 500)
	restarted := *us[0]
	restarted.Born = 99
	c, _ = p.Choose(now, []*route.Upstream{&restarted}, newRequest(7, 9, 0))
	assert.Equal(t, c.Missing, 5500)
}

// TestCounts checks that the counts are zero after all requests have ended, for
// each outcome with and without a first token.
func TestCounts(t *testing.T) {
	us, now, p := upstreams(2), time.Unix(1000, 0), newPicker()
	for _, o := range []Outcome{Served, Rejected, Failed, Unreachable, Misplaced, Abandoned} {
		for _, first := range []bool{true, false} {
			c, _ := p.Choose(now, us, newRequest(7, 8, 3))
			a := p.Begin(now, newRequest(7, 8, 3), c)
			if first {
				a.First(now)
			}
			a.End(now, o)
		}
	}
	for id, s := range p.states {
		assert.Equal(t, s.running, 0, id)
		assert.Equal(t, s.tokens, 0, id)
		assert.Equal(t, s.pending, [rankCount]int{}, id)
	}
}

// TestPeerReports checks that the counts and placements of a peer are used, and
// that its counts are dropped when it no longer reports them or they are too old.
func TestPeerReports(t *testing.T) {
	us, now, p := upstreams(2), time.Unix(1000, 0), newPicker()
	_, _ = p.Choose(now, us, newRequest(1, 2, 0))
	memory := func(string) (int, bool) { return 100000, true }
	p.ApplyReport(now, "peer", []Report{{Upstream: "u-0", Counts: Counts{Running: 8, Pending: 50000}}},
		[]Placement{{Upstream: "u-1", Part: 7, Tokens: 5000}}, memory)
	for n := range 10 {
		c, _ := p.Choose(now, us, newRequest(uint64(50+n), 2, 0))
		assert.Equal(t, c.Upstream.ID, "u-1")
	}
	c, _ := p.Choose(now, us, newRequest(7, 2, 0))
	assert.Equal(t, c.Missing, 500)
	p.ApplyReport(now, "other", []Report{{Upstream: "u-0", Counts: Counts{Running: 2}}}, nil, memory)
	assert.Equal(t, p.states["u-0"].peerCounts(now).Running, 10)
	p.ApplyReport(now, "other", nil, nil, memory)
	assert.Equal(t, p.states["u-0"].peerCounts(now).Running, 8, "counts that a peer no longer reports must be dropped")
	later := now.Add(peerLifetime + time.Millisecond)
	seen := map[string]bool{}
	for n := range 40 {
		c, _ := p.Choose(later, us, newRequest(uint64(100+n), 2, 0))
		seen[c.Upstream.ID] = true
	}
	assert.Assert(t, seen["u-0"])
}

// BenchmarkChoose times a choice among up to 450 upstreams of one model, which is
// a pool of the target size.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 90, 300, 450} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			us, now, p := upstreams(n), time.Unix(1000, 0), newPicker()
			for i := range b.N {
				p.Choose(now, us, newRequest(uint64(i%100), 2, 0))
			}
		})
	}
}

// BenchmarkChooseStrict times a choice among upstreams in six zones that state their speed, in
// a pool that is split.
func BenchmarkChooseStrict(b *testing.B) {
	us, now, p := upstreams(300), time.Unix(1000, 0), newPicker()
	p.Strict = true
	for i, u := range us {
		u.Zone = fmt.Sprint("z", i%6)
		p.Begin(now, newRequest(1, 2, 0), Choice{Upstream: u}).Slowdown(now, 1+0.1*float64(i%3))
	}
	requests := []Request{shortRequest(2), longRequest(2)}
	b.ReportAllocs()
	for i := range b.N {
		p.Choose(now.Add(time.Duration(i)*time.Millisecond), us, requests[i%2])
	}
}

// TestUnreachableKeepsParts checks that the cached parts of an upstream are kept
// after a failure to connect, and dropped when another upstream has its address.
func TestUnreachableKeepsParts(t *testing.T) {
	us, now, p := upstreams(1), time.Unix(1000, 0), newPicker()
	for _, c := range []struct {
		outcome Outcome
		missing int
	}{{Served, 500}, {Unreachable, 500}, {Misplaced, 5500}} {
		first, _ := p.Choose(now, us, newRequest(7, 8, 0))
		p.Begin(now, newRequest(7, 8, 0), first).End(now, c.outcome)
		next, ok := p.Choose(now, us, newRequest(7, 9, 0))
		assert.Assert(t, ok)
		assert.Equal(t, next.Missing, c.missing, "outcome %d", c.outcome)
	}
}

// TestLowestRank checks which requests count as those of the lowest rank: those of
// the lowest configured rank, or after many requests those of the least urgent
// rank among them.
func TestLowestRank(t *testing.T) {
	us, now, p := upstreams(1), time.Unix(1000, 0), newPicker()
	lowest := func(rank int) bool {
		r := newRequest(7, 8, rank)
		r.LowestRank = 6
		choice, ok := p.Choose(now, us, r)
		assert.Assert(t, ok)
		return choice.HasLowestRank
	}
	assert.Assert(t, lowest(6))
	now = now.Add(rankLifetime)
	for range minRankRequests - 2 {
		assert.Assert(t, !lowest(4), "a request of the lowest rank may still arrive")
	}
	assert.Assert(t, lowest(4))
	assert.Assert(t, !lowest(1))
	assert.Assert(t, lowest(6))
	assert.Assert(t, !lowest(4))
	now = now.Add(rankLifetime)
	assert.Assert(t, lowest(1))
}

// TestWait checks that the wait caused by other requests does not depend on the
// size of the request itself.
func TestWait(t *testing.T) {
	us, now, p := upstreams(1), time.Unix(1000, 0), newPicker()
	first, _ := p.Choose(now, us, newRequest(7, 8, 1))
	assert.Equal(t, first.Wait, time.Duration(0))
	p.Begin(now, newRequest(7, 8, 1), first)
	second, _ := p.Choose(now, us, newRequest(7, 9, 1))
	assert.Assert(t, second.Wait > 0 && second.Wait < second.Predicted, second.Wait)
	large := newRequest(7, 10, 1)
	large.Prompt.Tokens += 40000
	third, _ := p.Choose(now, us, large)
	assert.Equal(t, third.Wait, second.Wait)
}

// TestWaitInVain guards against an upstream that gives no first tokens and is still chosen,
// because only the requests that get one tell how slow it is.
func TestWaitInVain(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		avoided bool
	}{{Abandoned, true}, {Failed, true}, {Rejected, false}} {
		p, us, now := newPicker(), upstreams(2), time.Unix(1000, 0)
		stuck := us[0].ID
		for n := range 40 {
			r := newRequest(uint64(n), uint64(100+n), 1)
			choice, ok := p.Choose(now, us, r)
			assert.Assert(t, ok)
			a := p.Begin(now, r, choice)
			if choice.Upstream.ID == stuck {
				a.End(now.Add(3*time.Second), c.outcome)
			} else {
				a.First(now.Add(choice.Predicted))
				a.End(now.Add(choice.Predicted), Served)
			}
		}
		slow := p.state(now, us[0]).slowness(now.Add(3 * time.Second))
		assert.Equal(t, slow > 1.5, c.avoided, "%v: slowness %v", c.outcome, slow)
	}
}
