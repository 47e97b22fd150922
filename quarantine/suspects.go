package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// answeredAt returns when a trait was last answered, the zero time if that is not known. The
// caller holds q.mu.
func (q *Quarantine) answeredAt(trait uint64) time.Time {
	part, whole := q.answered.at(trait), q.served.at(trait)
	if whole.After(part) {
		return whole
	}
	return part
}

// suspectOf returns the suspect of a trait and creates it if necessary. The caller holds
// q.mu.
func (q *Quarantine) suspectOf(now time.Time, trait uint64) *suspect {
	s := q.suspects[trait]
	if s != nil {
		s.touchedAt = now
		return s
	}
	if q.suspects == nil {
		q.suspects, q.tried = map[uint64]*suspect{}, map[uint64]*suspect{}
	}
	q.makeRoom(now)
	s = &suspect{id: trait, answeredAt: q.answeredAt(trait), touchedAt: now}
	q.suspects[trait] = s
	return s
}

// setVerdict gives a suspect a verdict. The caller holds q.mu.
func (q *Quarantine) setVerdict(s *suspect, v Convicted) {
	s.verdict = v
	q.tried[s.id] = s
}

// forget deletes a suspect. The caller holds q.mu.
func (q *Quarantine) forget(s *suspect) {
	delete(q.suspects, s.id)
	delete(q.tried, s.id)
}

// makeRoom deletes the suspects of no more use from time to time. If there are more than
// usualSuspects, it also deletes some that are not recent, and if there are maxSuspects, some of
// all. The caller holds q.mu.
func (q *Quarantine) makeRoom(now time.Time) {
	most := usualSuspects
	if q.crowded {
		most = maxSuspects
	}
	if len(q.suspects) < most && now.Sub(q.sweptAt) < sweepPeriod {
		return
	}
	q.sweptAt = now
	full := len(q.suspects) >= maxSuspects
	var dispensable []*suspect
	for _, s := range q.suspects {
		switch {
		case s.running > 0:
		case s.expired(now):
			q.forget(s)
		case full || now.Sub(s.touchedAt) > recentTime:
			dispensable = append(dispensable, s)
		}
	}
	if n := len(q.suspects); n >= usualSuspects {
		q.forgetLeast(dispensable, n/evictedDivisor)
	}
	q.crowded = len(q.suspects) >= usualSuspects
}

// forgetLeast deletes the n least important ones of some suspects. Of equals any are deleted, so
// that no part of a prompt is missed for its place. The caller holds q.mu.
func (q *Quarantine) forgetLeast(suspects []*suspect, n int) {
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	slices.SortStableFunc(suspects, compareImportance)
	for _, s := range suspects[:min(len(suspects), n)] {
		q.forget(s)
	}
}

// expired reports whether nothing that is known of the trait counts any more.
func (s *suspect) expired(now time.Time) bool {
	if s.tried() {
		return now.Sub(s.verdict.Until) > 2*s.verdict.Until.Sub(s.verdict.At)
	}
	return now.Sub(s.touchedAt) > evidenceTime
}

// compareImportance orders suspects by importance: the least important one is deleted first.
func compareImportance(a, b *suspect) int {
	switch {
	case a.tried() != b.tried() && b.tried():
		return -1
	case a.tried() != b.tried():
		return 1
	}
	return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), a.touchedAt.Compare(b.touchedAt))
}

// recentSuspects returns the suspects of which there may be facts, those with the most recent
// news first. The caller holds q.mu.
func (q *Quarantine) recentSuspects(now time.Time) []*suspect {
	recent := maps.Clone(q.tried)
	for id, s := range q.suspects {
		if now.Sub(s.touchedAt) <= freshTime {
			recent[id] = s
		}
	}
	return sorted(recent)
}

// sorted returns suspects, those with the most recent news first, of equally recent ones those
// with the most crashes. The order of others differs from crash to crash, so that no part of a
// prompt is left out for its place where there is not room for all.
func sorted(suspects map[uint64]*suspect) []*suspect {
	all := slices.Collect(maps.Values(suspects))
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(b.touchedAt.Compare(a.touchedAt), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.shuffled(), b.shuffled()))
	})
	return all
}

// implicateAll records that traits were implicated in a crash that this instance has seen. It
// begins with those that were in another one, because the others may take their room. The
// caller holds q.mu.
func (q *Quarantine) implicateAll(now time.Time, traits []placedTrait, c crash) {
	var fresh []placedTrait
	for _, t := range traits {
		if q.suspects[t.id] == nil {
			fresh = append(fresh, t)
			continue
		}
		q.implicate(now, t.id, t.place, c, ownSource)
	}
	for _, t := range fresh {
		q.implicate(now, t.id, t.place, c, ownSource)
	}
}

// implicate records that a trait was implicated in a crash. The caller holds q.mu.
func (q *Quarantine) implicate(now time.Time, trait uint64, place int, c crash, source string) {
	q.recordCrash(c)
	s := q.suspectOf(now, trait)
	s.place = max(s.place, place)
	if !s.addCrash(c) {
		if source == peerSource && !c.at.After(s.answeredAt) {
			q.shareAnswer(now, s)
		}
		return
	}
	q.generation++
	if source == ownSource {
		q.changed = true
	}
	if !s.suspected && !s.tried() && q.isLimited(now, s) {
		s.suspected = true
		q.log(now, s, source).Warn(s.noun() + " is suspected")
	}
}

// recordCrash remembers a crash, whatever waited there. The caller holds q.mu.
func (q *Quarantine) recordCrash(c crash) {
	if slices.ContainsFunc(q.recent, func(o crash) bool { return o.id == c.id }) {
		return
	}
	q.recent = append(q.recent, c)
	if over := len(q.recent) - maxRecentCrashes; over > 0 {
		q.recent = slices.Delete(q.recent, 0, over)
	}
}

// shareAnswer lets peers know of the trait's answer unless that was done just now. The
// caller holds q.mu.
func (q *Quarantine) shareAnswer(now time.Time, s *suspect) {
	if now.Before(s.shareAnswerUntil.Add(-freshTime / 2)) {
		return
	}
	s.shareAnswerUntil = now.Add(freshTime)
	s.touchedAt = now
	q.announce()
}

// clear records an answer with a trait. The caller holds q.mu.
func (q *Quarantine) clear(now time.Time, trait uint64, at time.Time, source string) {
	s := q.suspects[trait]
	if s == nil {
		return
	}
	convicted := s.tried()
	age := q.log(now, s, source)
	if !s.answer(at) {
		return
	}
	if !s.tried() {
		delete(q.tried, trait)
	}
	s.touchedAt = now
	q.generation++
	if source == ownSource {
		s.shareAnswerUntil = now.Add(freshTime)
		q.changed = true
	}
	if len(s.crashes) == 0 && (s.suspected || (convicted && !s.tried())) {
		s.suspected = false
		age.Info(s.noun() + " is released")
	}
}

// log returns a log entry with the evidence against a trait. The caller holds q.mu.
func (q *Quarantine) log(now time.Time, s *suspect, source string) *logrus.Entry {
	occasions, _ := s.occasions(now, nil, 0)
	var upstreams []string
	for _, c := range s.crashes {
		if c.upstream != "" && len(upstreams) < maxLoggedNames {
			upstreams = append(upstreams, c.upstream)
		}
	}
	fields := logrus.Fields{
		"Part": TraitName(s.id), "Crashes": len(s.crashes), "Occasions": occasions, "Upstreams": upstreams, "Source": source,
	}
	if len(s.crashes) > 0 {
		fields["AgeMillis"] = now.Sub(s.crashes[0].at).Milliseconds()
	}
	if s.tried() {
		fields["RemainingSeconds"] = int(s.verdict.Until.Sub(now).Seconds())
	}
	return q.Log.WithFields(fields)
}
