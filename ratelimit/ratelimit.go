package ratelimit

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"knapweedwell/member"
	"knapweedwell/route"
)

const (
	minRate = 0.1 // requests a second at a limit of zero
	maxRate = 1e6 // requests a second that count as no limit
	// RateSteps is the number of steps in one request a second to which rates are rounded, so
	// that they are equal at all instances.
	RateSteps = 1000
	// endAnswers is the number of answers without a limit in a row that end it.
	endAnswers = 2
	// lifetime is the time without an answer of an upstream to any instance after which its
	// limit is forgotten.
	lifetime = 30 * time.Second
	// memberPeriod is the time between checks whether the members have changed.
	memberPeriod = 200 * time.Millisecond
	// timeTolerance is by how much the time of evidence may grow between instances.
	timeTolerance = 250 * time.Millisecond
	rankCount     = 10 // a less urgent rank counts as the last
)

// Evidence is what an upstream's answer said of its limit.
type Evidence struct {
	Upstream string
	Born     int64 // start of the incarnation in Unix milliseconds
	Named    bool  // false if answers no longer name a limit
	Rate     float64
	At       time.Time
}

// limit is the state of one upstream.
type limit struct {
	evidence  Evidence
	changedAt time.Time
	unnamed   int // answers without a limit in a row
	bucket    *rate.Limiter
	chosenFor uint64 // members for which the share was calculated
	share     float64
}

// Limits holds the limits of all upstreams. The exported fields are set before the first
// call.
type Limits struct {
	Self    string
	Regions map[string]string // regions by zone
	// Members returns the instances that are known, this one included.
	Members func() []member.Member
	Log     logrus.FieldLogger

	active atomic.Bool // whether there is a limit

	mu         sync.Mutex
	limits     map[string]*limit // by the ID of the upstream
	waiting    map[string]*[rankCount]int
	live       []member.Member
	liveHash   uint64
	checkedAt  time.Time
	generation uint64
}

// Observe records what an answer of an upstream said. The rate is that which it named.
func (l *Limits) Observe(now time.Time, u *route.Upstream, named bool, r float64) {
	if !named && !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.limits[u.ID]
	switch {
	case lim != nil && u.Born < lim.evidence.Born:
		return // a late answer of an earlier incarnation
	case lim != nil && u.Born != lim.evidence.Born:
		lim = nil
	}
	if !named {
		if lim == nil || !lim.evidence.Named {
			return
		}
		if lim.unnamed++; lim.unnamed < endAnswers {
			return
		}
	}
	l.apply(now, lim, Evidence{Upstream: u.ID, Born: u.Born, Named: named, Rate: rounded(r), At: now}, "own")
}

// Apply applies the evidence of peers. It returns that which is newer than what was known
// and differs from it.
func (l *Limits) Apply(now time.Time, evidence []Evidence) []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh []Evidence
	for _, e := range evidence {
		lim := l.limits[e.Upstream]
		switch {
		case lim != nil && e.Born < lim.evidence.Born,
			lim != nil && e.Born == lim.evidence.Born && e.At.Sub(lim.evidence.At) <= tolerance(e, lim.evidence),
			now.Sub(e.At) > lifetime:
			continue
		case lim != nil && e.Born != lim.evidence.Born:
			lim = nil
		}
		e.Rate = rounded(e.Rate)
		if l.apply(now, lim, e, "peer") {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

// rounded returns a rate within its bounds and rounded.
func rounded(r float64) float64 {
	return math.Round(min(max(r, 0), maxRate)*RateSteps) / RateSteps
}

// tolerance returns by how much evidence must be later than that which it replaces. The time
// of evidence grows a little on the way between instances, so that what is the same must be
// later by more than that.
func tolerance(e, old Evidence) time.Duration {
	if e.Named == old.Named && e.Rate == old.Rate {
		return timeTolerance
	}
	return 0
}

// apply replaces the evidence of an upstream, whose limit is nil if it is new. It reports
// whether the limit has changed. The caller holds l.mu.
func (l *Limits) apply(now time.Time, lim *limit, e Evidence, source string) bool {
	if lim == nil {
		if l.limits == nil {
			l.limits = map[string]*limit{}
		}
		lim = &limit{}
		l.limits[e.Upstream] = lim
	}
	old := lim.evidence
	lim.evidence, lim.unnamed = e, 0
	if old.Named == e.Named && old.Rate == e.Rate && old.Born == e.Born {
		return false
	}
	l.generation++
	l.active.Store(true)
	lim.changedAt, lim.chosenFor = now, 0
	if !e.Named || old.Born != e.Born {
		lim.bucket = nil
	}
	l.Log.WithFields(logrus.Fields{
		"Upstream": e.Upstream, "Named": e.Named, "Rate": e.Rate, "Before": old.Rate, "Source": source, "AgeMillis": now.Sub(e.At).Milliseconds(),
	}).Info("limit of an upstream changed")
	return true
}

// Evidence returns all evidence, that which has changed last first, and forgets that which
// is too old.
func (l *Limits) Evidence(now time.Time) []Evidence {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var known []*limit
	for id, lim := range l.limits {
		if now.Sub(lim.evidence.At) > lifetime {
			delete(l.limits, id)
			continue
		}
		known = append(known, lim)
	}
	l.active.Store(len(known) > 0)
	slices.SortFunc(known, func(a, b *limit) int { return b.changedAt.Compare(a.changedAt) })
	all := make([]Evidence, len(known))
	for i, lim := range known {
		all[i] = lim.evidence
	}
	return all
}

// Generation rises with each change of a limit.
func (l *Limits) Generation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// Exhausted returns the IDs of the candidates that may not get a request of the rank now.
func (l *Limits) Exhausted(now time.Time, candidates []*route.Upstream, rank int) []string {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var exhausted []string
	for _, u := range candidates {
		lim := l.limitOf(u)
		if lim != nil && (l.shareOf(now, lim, u) <= 0 || lim.bucket.TokensAt(now) < 1 || l.precededByWaiting(u.Pool, rank)) {
			exhausted = append(exhausted, u.ID)
		}
	}
	return exhausted
}

// Limited returns the number of upstreams with a limit.
func (l *Limits) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, lim := range l.limits {
		if lim.evidence.Named {
			n++
		}
	}
	return n
}

// Take takes the right to send one request of the rank to an upstream now. It reports false
// if there is none.
func (l *Limits) Take(now time.Time, u *route.Upstream, rank int) bool {
	if !l.active.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.limitOf(u)
	if lim == nil {
		return true
	}
	return l.shareOf(now, lim, u) > 0 && !l.precededByWaiting(u.Pool, rank) && lim.bucket.AllowN(now, 1)
}

// Left returns the time until one of the candidates may get a request of the rank, if a
// limit is what keeps it from that now. It reports false if no candidate is kept so, or none
// may ever get a request from this instance.
func (l *Limits) Left(now time.Time, candidates []*route.Upstream, rank int) (time.Duration, bool) {
	if !l.active.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	left, ok := time.Duration(math.MaxInt64), false
	for _, u := range candidates {
		lim := l.limitOf(u)
		if lim == nil {
			continue
		}
		share := l.shareOf(now, lim, u)
		missing := max(1-lim.bucket.TokensAt(now), 0)
		if share <= 0 || (missing == 0 && !l.precededByWaiting(u.Pool, rank)) {
			continue
		}
		left, ok = min(left, time.Duration(missing/share*float64(time.Second))), true
	}
	return left, ok
}
