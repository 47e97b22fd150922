package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/quarantine"
)

// drawFact draws a fact about one of a few parts. No two parts share a crash, so that
// none is explained by another.
func drawFact(t *rapid.T) quarantine.Fact {
	part := rapid.Uint64Range(1, 3).Draw(t, "part")
	at := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Second)
	switch rapid.IntRange(0, 3).Draw(t, "fact") {
	case 0:
		return quarantine.Answered{Trait: part, At: at}
	case 1:
		return quarantine.Released{Trait: part, At: at}
	case 2:
		return quarantine.Convicted{Trait: part, At: at, Until: at.Add(10 * time.Minute), Crashes: 3}
	}
	u := upstream(fmt.Sprintf("part%d-%s", part, at))
	return quarantine.Implicated{Trait: part, Crash: quarantine.CrashID(u), At: at}
}

// quarantined returns the quarantined parts.
func quarantined(q *quarantine.Quarantine, now time.Time) map[uint64]bool {
	parts := map[uint64]bool{}
	for _, v := range q.Verdicts(now) {
		parts[v.Trait] = true
	}
	return parts
}

// TestFactsInAnyOrder checks that facts lead to the same verdicts in any order and if
// they are applied again.
func TestFactsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawFact), 0, 12).Draw(t, "facts")
		now := start.Add(time.Minute)
		first := newQuarantine()
		first.Apply(now, facts)
		want := quarantined(first, now)
		first.Apply(now, facts)
		assert.DeepEqual(t, quarantined(first, now), want)
		shuffled := rapid.Permutation(facts).Draw(t, "shuffled")
		second := newQuarantine()
		second.Apply(now, shuffled)
		assert.DeepEqual(t, quarantined(second, now), want)
		second.Apply(now, first.Facts(now))
		assert.DeepEqual(t, quarantined(second, now), want)
	})
}

// TestFactsTellPeers checks that an instance which applies the facts of another one has
// the same verdicts, and that Generation rises with each news.
func TestFactsTellPeers(t *testing.T) {
	own, peer := newQuarantine(), newQuarantine()
	changes := 0
	own.OnChange = func() { changes++ }
	now := start
	for n := range 3 {
		generation := own.Generation()
		u := upstream(fmt.Sprintf("u%d", n))
		a, refusal := own.Begin(now, u, parts("dead"), func() {})
		assert.Assert(t, refusal == nil)
		a.End(now.Add(50*time.Millisecond), quarantine.Broken)
		own.Crashed(now.Add(80*time.Millisecond), u)
		assert.Assert(t, own.Generation() > generation)
		now = now.Add(time.Second)
	}
	assert.Equal(t, changes, 3)
	peer.Apply(now, own.Facts(now))
	assert.DeepEqual(t, peer.Verdicts(now), own.Verdicts(now))
	assert.Equal(t, len(peer.Verdicts(now)), 1)
	peer.Apply(now, []quarantine.Fact{quarantine.Released{Trait: partID("dead"), At: now}})
	assert.Equal(t, len(peer.Verdicts(now)), 0)
	peer.Apply(now, own.Facts(now))
	assert.Equal(t, len(peer.Verdicts(now)), 0)
}

// TestRandomPartsFillNothing lets callers choose a new part for each request, while
// upstreams crash: the facts stay bounded and the deadly part stays known.
func TestRandomPartsFillNothing(t *testing.T) {
	q := newQuarantine()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	for n := range 1500 {
		now = now.Add(300 * time.Millisecond)
		u := upstream(fmt.Sprintf("u%d", n))
		names := []string{fmt.Sprintf("%x", random.Uint64())}
		if n < 3 {
			names = append(names, "dead")
		}
		a, refusal := q.Begin(now, u, parts(names...), func() {})
		assert.Assert(t, refusal == nil)
		a.End(now, quarantine.Broken)
		q.Crashed(now, u)
	}
	assert.Assert(t, len(q.Facts(now)) <= 64)
	assert.Equal(t, len(q.Verdicts(start.Add(time.Minute))), 1)
	assert.Assert(t, q.Suspects() <= 1024, "%d suspects", q.Suspects())
}

// TestTrialIsAsked checks that a part whose verdict has ended is sent only if the trial
// allows it.
func TestTrialIsAsked(t *testing.T) {
	q := newQuarantine()
	allowed := false
	q.Trial = func(uint64) bool { return allowed }
	q.Apply(start, []quarantine.Fact{quarantine.Convicted{Trait: 1, At: start, Until: start.Add(time.Minute), Crashes: 3}})
	now := start.Add(2 * time.Minute)
	_, refusal := q.Begin(now, upstream("u1"), parts("1"), func() {})
	assert.Assert(t, refusal != nil && !refusal.Quarantined)
	allowed = true
	a, refusal := q.Begin(now, upstream("u1"), parts("1"), func() {})
	assert.Assert(t, refusal == nil)
	_, refusal = q.Begin(now, upstream("u1"), parts("1"), func() {})
	assert.Assert(t, refusal != nil, "a second request runs at the same time")
	a.End(now, quarantine.Served)
	assert.Assert(t, q.Check(now, parts("1")) == nil)
}

// TestEqualEvidenceInAnyOrder guards against instances that convict different parts of two
// that were in the same crashes, because they learn of them in different orders.
func TestEqualEvidenceInAnyOrder(t *testing.T) {
	deadly, shared := partID("1"), partID("2")
	for _, reversed := range []bool{false, true} {
		q, now := newQuarantine(), start
		for _, name := range []string{"u1", "u2", "u3"} {
			now = now.Add(time.Second)
			crash := quarantine.CrashID(upstream(name))
			facts := []quarantine.Fact{
				quarantine.Implicated{Trait: shared, Place: 0, Crash: crash, At: now},
				quarantine.Implicated{Trait: deadly, Place: 1, Crash: crash, At: now},
			}
			if reversed {
				slices.Reverse(facts)
			}
			q.Apply(now, facts)
		}
		now = now.Add(time.Second)
		assert.DeepEqual(t, quarantined(q, now), map[uint64]bool{deadly: true})
	}
}
