package quarantine

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/route"
)

// silenceTolerance is the time by which upstreams that fall silent together, as in a power
// failure, may be found silent apart.
const silenceTolerance = time.Second

// endSilence records that an upstream which was silent has answered. The caller holds q.mu.
func (q *Quarantine) endSilence(in incarnation) {
	if b := q.breaks[in]; b != nil && b.silent && !b.crashed {
		delete(q.breaks, in)
	}
}

// Listed records the entries that the store lists, by their IDs. An upstream that fell silent
// and whose incarnation is not listed any more has crashed, unless it has left.
func (q *Quarantine) Listed(now time.Time, entries map[string]*route.Upstream) {
	q.mu.Lock()
	defer q.unlock()
	found := false
	for in, b := range q.breaks {
		e := entries[in.id]
		if !b.silent || b.crashed || now.Sub(b.at) > breakTime || (e != nil && e.Born == in.born) {
			continue
		}
		if _, known := q.leaving[in]; known {
			continue
		}
		q.crashedSilently(now, in, b)
		found = true
	}
	if found {
		q.decide(now)
	}
}

// crashedSilently records the crash of an upstream that fell silent. It counts against the
// traits of the requests that waited there, but for those that did not wait at enough others
// that fell silent with it. The caller holds q.mu.
func (q *Quarantine) crashedSilently(now time.Time, in incarnation, b *breakOff) {
	b.crashed = true
	b.traits = q.waitedAt(in, b)
	c := crash{id: CrashID(b.upstream), at: b.at, learnedAt: now, upstream: in.id}
	q.recordCrash(c)
	others := q.silentWith(b)
	implicated := slices.DeleteFunc(slices.Clone(b.traits), func(t placedTrait) bool { return others.without(t.id) >= minCommon })
	q.implicateAll(now, implicated, c)
	q.Log.WithFields(logrus.Fields{
		"Upstream": in.id, "SilentMillis": now.Sub(b.at).Milliseconds(), "Traits": len(b.traits), "Implicated": len(implicated),
	}).Info("silent upstream is not listed any more and has crashed")
}

// waitedAt returns the traits of the requests that waited at an upstream when it fell silent:
// those that have ended since, and those that still wait. The caller holds q.mu.
func (q *Quarantine) waitedAt(in incarnation, b *breakOff) []placedTrait {
	traits := slices.Clone(b.traits)
	for a := range q.waiting {
		if incarnationOf(a.upstream) != in || a.begunAt.After(b.at) {
			continue
		}
		traits = append(traits, place(a.traits)...)
	}
	return traits[:min(len(traits), maxBreakTraits)]
}

// traitSets holds the traits of the requests that waited at each of several upstreams.
type traitSets []map[uint64]bool

// silentWith returns the traits at the other upstreams that fell silent at about the same time.
// The caller holds q.mu.
func (q *Quarantine) silentWith(b *breakOff) traitSets {
	var sets traitSets
	for in, o := range q.breaks {
		if o == b || !o.silent || o.at.Sub(b.at).Abs() > silenceTolerance {
			continue
		}
		set := map[uint64]bool{}
		for _, t := range q.waitedAt(in, o) {
			set[t.id] = true
		}
		sets = append(sets, set)
	}
	return sets
}

// without returns the number of upstreams at which no request with the trait waited.
func (sets traitSets) without(trait uint64) int {
	n := 0
	for _, set := range sets {
		if !set[trait] {
			n++
		}
	}
	return n
}
