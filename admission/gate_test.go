package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	gateStart = time.Unix(1000, 0)
	urgent    = Request{Rank: 0, Tokens: 1460, Aim: 400 * time.Millisecond, Timeout: 15 * time.Second, TimeLeft: 15 * time.Second}
	long      = Request{Rank: 2, Tokens: 17000, Aim: 2 * time.Second, Timeout: 12 * time.Second, TimeLeft: 12 * time.Second}
)

// newGate returns a gate that has admitted a request of each rank at gateStart.
func newGate() *Gate {
	g := &Gate{}
	for _, r := range []Request{urgent, long} {
		g.Decide(gateStart, r, Outlook{})
	}
	return g
}

// TestUrgentBeforeLong guards against holding back or refusing an urgent request while a less
// urgent one is served.
func TestUrgentBeforeLong(t *testing.T) {
	g := newGate()
	busy := Outlook{First: 3 * time.Second, Wait: 2900 * time.Millisecond, Answer: 500 * time.Millisecond}
	now := gateStart.Add(100 * time.Millisecond)
	assert.Equal(t, g.Decide(now, urgent, busy), Decision{}, "held back while the less urgent rank is served")
	now = now.Add(presentLifetime)
	assert.Assert(t, g.Decide(now, urgent, busy).Hold > 0)
	quiet := Outlook{First: 1900 * time.Millisecond, Wait: 1700 * time.Millisecond}
	assert.Assert(t, g.Decide(now, long, quiet).Hold > 0, "served while the urgent rank is held back")
}

// TestNoHopelessWork guards against sending a request that no upstream can end in time, and
// against refusing it late.
func TestNoHopelessWork(t *testing.T) {
	d := newGate().Decide(gateStart, long, Outlook{First: 15 * time.Second, Wait: 14 * time.Second, Answer: time.Second, FreeSlot: true})
	assert.Equal(t, d.Cause, Deadline)
	assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= long.TimeLeft/3)
}

// TestIdlePool guards against holding back or refusing a request of any size while the pool
// has no work, whatever the prediction says of the request itself.
func TestIdlePool(t *testing.T) {
	for _, first := range []time.Duration{0, time.Second, 9 * time.Second} {
		assert.Equal(t, newGate().Decide(gateStart, long, Outlook{First: first, FreeSlot: true}), Decision{})
	}
}

// TestNoTarget guards against holding back a request whose route has no target.
func TestNoTarget(t *testing.T) {
	r := long
	r.Aim = 0
	assert.Equal(t, newGate().Decide(gateStart, r, Outlook{First: 5 * time.Second, Wait: 5 * time.Second}), Decision{})
}

// TestFloor guards against a rank that gets nothing while a more urgent one is over its
// capacity.
func TestFloor(t *testing.T) {
	g := newGate()
	busy := Outlook{First: 3 * time.Second, Wait: 2900 * time.Millisecond}
	admitted := 0
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		now := gateStart.Add(at)
		g.Decide(now, urgent, busy)
		if g.Decide(now, long, busy) == (Decision{}) {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 12 && admitted <= 25, "%d admitted in a minute", admitted)
}

// TestRetryAfterSpread guards against callers that were refused at the same time and return at
// the same time, and against advice beyond the time for which they wait.
func TestRetryAfterSpread(t *testing.T) {
	const callers, bins = 100, 10
	for _, drain := range []time.Duration{0, time.Second, time.Hour} {
		var counts [bins]int
		lowest, highest := time.Duration(1<<62), time.Duration(0)
		var all []time.Duration
		for n := range uint64(callers) {
			d := RetryAfter(drain, 12*time.Second, n)
			assert.Assert(t, d > 0 && d <= 4*time.Second)
			all, lowest, highest = append(all, d), min(lowest, d), max(highest, d)
		}
		for _, d := range all {
			counts[min(int(float64(bins)*float64(d-lowest)/float64(highest-lowest)), bins-1)]++
		}
		for _, n := range counts {
			assert.Assert(t, n <= 2*callers/bins, "drain %s: %v", drain, counts)
		}
	}
}

// TestUsualGrows guards against an organisation whose load has grown for good and that is taken
// for a surge for ever.
func TestUsualGrows(t *testing.T) {
	var u usualLoad
	send := func(from, to time.Duration, every time.Duration) {
		for at := from; at < to; at += every {
			u.observe(gateStart.Add(at), "a", 1000)
			u.admit("a", 1000)
		}
	}
	send(0, time.Minute, time.Second)
	assert.Assert(t, !u.excessive("a", 1000))
	send(time.Minute, 70*time.Second, 100*time.Millisecond)
	assert.Assert(t, u.excessive("a", 1000))
	send(70*time.Second, 10*time.Minute, 100*time.Millisecond)
	assert.Assert(t, !u.excessive("a", 1000))
}

// BenchmarkDecide decides on requests of 24 organisations while the pool is over its capacity.
func BenchmarkDecide(b *testing.B) {
	g := newGate()
	names := make([]string, 24)
	for i := range names {
		names[i] = "org-" + string(rune('a'+i))
	}
	o := Outlook{First: 3 * time.Second, Wait: 2900 * time.Millisecond, Answer: 500 * time.Millisecond}
	now := gateStart
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		r := long
		r.Rank, r.Organisation = n%3, names[n%len(names)]
		now = now.Add(time.Millisecond)
		g.Decide(now, r, o)
		n++
	}
}
