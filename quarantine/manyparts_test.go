package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/quarantine"
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	sharedPart = 0xaa
	deadlyPart = 0xdead
)

// longPrompt returns the traits of a request with a shared part and n parts of its own.
func longPrompt(number uint64, n int) []quarantine.Trait {
	p := &request.Prompt{Parts: []request.Part{{ID: sharedPart}}}
	for i := range n {
		p.Parts = append(p.Parts, request.Part{ID: number<<32 | uint64(i)})
	}
	return quarantine.Traits(p, number<<32|1<<31)
}

// TestDeadlyPartAmongMany guards against a deadly part that is never quarantined, or that peers do
// not hear of, because it is one of many parts of the prompts that waited at an upstream.
func TestDeadlyPartAmongMany(t *testing.T) {
	for _, n := range []int{70, 400, 3000} {
		for _, place := range []int{1, 2, n / 2, n - 1} {
			for _, o := range []quarantine.Outcome{quarantine.Broken, quarantine.Silent} {
				t.Run(fmt.Sprintf("%d parts, place %d, outcome %d", n, place, o), func(t *testing.T) {
					checkDeadlyAmongMany(t, n, place, o)
				})
			}
		}
	}
}

// checkDeadlyAmongMany lets three upstreams crash, each with five waiting requests of many parts,
// one of them with the deadly part at the place.
func checkDeadlyAmongMany(t *testing.T, parts, place int, o quarantine.Outcome) {
	const (
		crashes = 3
		waiting = 5
	)
	q, peer := newQuarantine(), newQuarantine()
	now := start
	for crash := range crashes {
		now = now.Add(2 * time.Second)
		u := upstream(fmt.Sprintf("u%d", crash))
		var attempts []*quarantine.Attempt
		for k := range waiting {
			traits := longPrompt(uint64(crash*waiting+k+1), parts)
			if k == 2 {
				traits[place].ID = deadlyPart
			}
			attempts = append(attempts, begin(t, q, now, u, traits))
		}
		for _, a := range attempts {
			a.End(now, o)
		}
		if o == quarantine.Silent {
			q.Listed(now, map[string]*route.Upstream{})
		} else {
			q.Crashed(now, u)
		}
		now = now.Add(time.Second)
		sound := begin(t, q, now, upstream("sound"), []quarantine.Trait{{ID: sharedPart}})
		sound.End(now, quarantine.Served)
		if crash == 1 {
			peer.Apply(now, q.Facts(now))
			assert.Equal(t, crashesOf(peer, now, deadlyPart), crash+1)
		}
	}
	verdicts := q.Verdicts(now)
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, verdicts[0].Trait, uint64(deadlyPart))
	assert.Equal(t, verdicts[0].Crashes, crashes)
}

// begin begins a request that is not refused.
func begin(t *testing.T, q *quarantine.Quarantine, now time.Time, u *route.Upstream, traits []quarantine.Trait) *quarantine.Attempt {
	t.Helper()
	a, refusal := q.Begin(now, u, traits, func() {})
	assert.Assert(t, refusal == nil)
	return a
}

// crashesOf returns the number of crashes that a trait was in, by the facts that are told.
func crashesOf(q *quarantine.Quarantine, now time.Time, trait uint64) int {
	n := 0
	for _, f := range q.Facts(now) {
		if f, ok := f.(quarantine.Implicated); ok && f.Trait == trait {
			n++
		}
	}
	return n
}
