package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	usualSuspects    = 1 << 10
	maxSuspects      = 1 << 14     // while the most recent crashes have as many
	evictedDivisor   = 4           // part of the suspects that is deleted at once when there are too many
	sweepPeriod      = time.Second // between two deletions of suspects of no more use
	maxCrashes       = 16          // crashes kept for a trait
	maxRecentCrashes = 256
	maxLoggedNames   = 8
	addressHashBits  = 32 // upper bits of a crash's ID, which tell addresses apart

	ownSource  = "own"
	peerSource = "peer"
)

// suspect is what is known of a trait that was implicated in a crash.
type suspect struct {
	id         uint64
	place      int       // highest known place in a request, from 0
	crashes    []crash   // not voided by an answer, the oldest first
	answeredAt time.Time // when an upstream last survived an answer
	verdict    Convicted // zero if there is none
	running    int       // number of requests with the trait while it is suspected or was convicted
	touchedAt  time.Time // when a fact about the trait was last learned
	suspected  bool      // the suspicion was logged

	shareAnswerUntil time.Time // until when peers are told of the answer
	released         bool      // the answer ended a verdict
}

// crash is a crash in which a trait was implicated.
type crash struct {
	id        uint64
	at        time.Time
	learnedAt time.Time
	upstream  string // empty if a peer saw it
	judged    bool   // common is final
	common    bool   // the cause was common to several upstreams, and no request
}

// tried reports whether the trait had a verdict that no answer has ended.
func (s *suspect) tried() bool {
	return !s.verdict.At.IsZero()
}

// convicted reports whether a verdict is in force.
func (s *suspect) convicted(now time.Time) bool {
	return s.tried() && now.Before(s.verdict.Until)
}

// onProbation reports whether the trait's verdict has ended by time.
func (s *suspect) onProbation(now time.Time) bool {
	return s.tried() && !now.Before(s.verdict.Until)
}

// judge finds out which crashes had a common cause, once all crashes near them are known.
// It returns when the next one can be judged, the zero time if all are.
func (s *suspect) judge(now time.Time, recent []crash) time.Time {
	var next time.Time
	for i := range s.crashes {
		c := &s.crashes[i]
		switch {
		case c.judged:
		case now.Sub(c.at) < judgeTime:
			if next.IsZero() {
				next = c.at.Add(judgeTime)
			}
		default:
			c.judged = true
			c.common = s.othersNear(c.at, recent) >= minCommon
		}
	}
	return next
}

// othersNear returns the number of crashes near time t in which the trait was not.
func (s *suspect) othersNear(t time.Time, recent []crash) int {
	n := 0
	for _, c := range recent {
		if c.at.Sub(t).Abs() <= commonTime && !s.holds(c.id) {
			n++
		}
	}
	return n
}

// whole reports whether the trait is a whole request.
func (s *suspect) whole() bool {
	return s.place >= wholePlace || s.verdict.Whole
}

// noun returns what the trait is, as it is logged.
func (s *suspect) noun() string {
	return Convicted{Whole: s.whole()}.Noun()
}

// exceeds reports whether the trait was in all crashes of another one and in others.
func (s *suspect) exceeds(o *suspect) bool {
	return len(s.crashes) > len(o.crashes) && !slices.ContainsFunc(o.crashes, func(c crash) bool { return !s.holds(c.id) })
}

// holds reports whether the trait is known to have been in a crash.
func (s *suspect) holds(id uint64) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.id == id })
}

// occasions returns the number of occasions on which upstreams crashed, and whether
// they were at enough addresses. It leaves out crashes with a common cause, explained
// ones and the one with the ID except.
func (s *suspect) occasions(now time.Time, explained map[uint64]bool, except uint64) (int, bool) {
	n := 0
	var start time.Time
	addresses := map[uint64]bool{}
	for _, c := range s.crashes {
		if c.common || explained[c.id] || c.id == except || now.Sub(c.at) > evidenceTime {
			continue
		}
		addresses[c.id>>addressHashBits] = true
		if n == 0 || c.at.Sub(start) > occasionTime {
			n++
			start = c.at
		}
	}
	return n, len(addresses) >= minAddresses
}

// evidence returns the number of occasions against a trait without a verdict in force,
// and whether they convict it.
func (s *suspect) evidence(now time.Time, explained map[uint64]bool) (int, bool) {
	if s.convicted(now) || (!s.tried() && len(s.crashes) < convictOccasions) {
		return 0, false
	}
	judged := *s
	judged.crashes = slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return !c.judged || c.common || explained[c.id] })
	n, spread := judged.occasions(now, explained, 0)
	if s.onProbation(now) {
		last := len(judged.crashes) - 1
		return n, last >= 0 && !judged.crashes[last].at.Before(s.verdict.Until)
	}
	return n, spread && n >= convictOccasions+s.furtherOccasions()
}

// furtherOccasions returns the number of further occasions that are necessary against a
// trait which was answered shortly before.
func (s *suspect) furtherOccasions() int {
	if len(s.crashes) > 0 && s.answeredRecently(s.crashes[0].at) {
		return 1
	}
	return 0
}

// answeredRecently reports whether an upstream answered the trait shortly before time t.
func (s *suspect) answeredRecently(t time.Time) bool {
	return !s.answeredAt.IsZero() && t.Sub(s.answeredAt) < recentTime
}

// mayBeLimited reports whether the trait has had a verdict or enough crashes to be limited.
func (s *suspect) mayBeLimited() bool {
	return s.tried() || len(s.crashes) >= suspectOccasions
}

// limited reports whether only one request with the trait may run at a time.
func (s *suspect) limited(now time.Time, explained map[uint64]bool) bool {
	if s.onProbation(now) {
		return true
	}
	n, _ := s.occasions(now, explained, 0)
	return n >= suspectOccasions+s.furtherOccasions()
}

// addCrash adds a crash unless it is known or voided by an answer. It reports whether it
// was added.
func (s *suspect) addCrash(c crash) bool {
	if !c.at.After(s.answeredAt) || s.holds(c.id) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if over := len(s.crashes) - maxCrashes; over > 0 {
		s.crashes = slices.Delete(s.crashes, 0, over)
	}
	return true
}

// before reports whether o is convicted rather than s if the evidence is equal: the trait
// that is later in the prompts, which fewer requests share. All instances decide alike.
func (s *suspect) before(o *suspect) bool {
	return cmp.Or(cmp.Compare(s.place, o.place), cmp.Compare(s.id, o.id)) < 0
}

// shuffled returns a number that orders suspects anew with each of their crashes.
func (s *suspect) shuffled() uint64 {
	key := binary.LittleEndian.AppendUint64(nil, s.id)
	if n := len(s.crashes); n > 0 {
		key = binary.LittleEndian.AppendUint64(key, s.crashes[n-1].id)
	}
	return xxhash.Sum64(key)
}

// addTo adds the IDs of the crashes to a set.
func (s *suspect) addTo(crashes map[uint64]bool) {
	for _, c := range s.crashes {
		crashes[c.id] = true
	}
}

// answer records that an upstream survived an answer at a time. It reports whether that
// voided a crash or a verdict.
func (s *suspect) answer(at time.Time) bool {
	if !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	voided := len(s.crashes) < before
	if s.tried() && !s.verdict.At.After(at) {
		s.verdict = Convicted{}
		s.released = true
		voided = true
	}
	return voided
}
