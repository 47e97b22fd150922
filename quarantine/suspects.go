package quarantine

import (
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
		q.suspects = map[uint64]*suspect{}
	}
	q.makeRoom(now)
	q.created++
	s = &suspect{id: trait, number: q.created, answeredAt: q.answeredAt(trait), touchedAt: now}
	q.suspects[trait] = s
	return s
}

// makeRoom deletes the suspects of no more use and, if there are still too many, the
// least important one. The caller holds q.mu.
func (q *Quarantine) makeRoom(now time.Time) {
	var least *suspect
	for trait, s := range q.suspects {
		if s.running > 0 {
			continue
		}
		if s.expired(now) {
			delete(q.suspects, trait)
			continue
		}
		if least == nil || s.lessImportant(least) {
			least = s
		}
	}
	if len(q.suspects) >= maxSuspects && least != nil {
		delete(q.suspects, least.id)
	}
}

// expired reports whether nothing that is known of the trait counts any more.
func (s *suspect) expired(now time.Time) bool {
	if s.tried() {
		return now.Sub(s.verdict.Until) > 2*s.verdict.Until.Sub(s.verdict.At)
	}
	return now.Sub(s.touchedAt) > evidenceTime
}

// lessImportant reports whether s is deleted before o.
func (s *suspect) lessImportant(o *suspect) bool {
	if s.tried() != o.tried() {
		return o.tried()
	}
	if len(s.crashes) != len(o.crashes) {
		return len(s.crashes) < len(o.crashes)
	}
	return s.touchedAt.Before(o.touchedAt)
}

// sorted returns the suspects, those with the most recent news first. The caller holds
// q.mu.
func (q *Quarantine) sorted() []*suspect {
	all := make([]*suspect, 0, len(q.suspects))
	for _, s := range q.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		if c := b.touchedAt.Compare(a.touchedAt); c != 0 {
			return c
		}
		return int(a.number) - int(b.number)
	})
	return all
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
