package quarantine

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/route"
)

const (
	settleTime     = 250 * time.Millisecond // time after the first event that an upstream must survive
	breakTime      = 10 * time.Second       // time for which a broken connection is remembered
	leavingTime    = 5 * time.Minute        // time for which a leaving upstream is remembered
	maxBreaks      = 256                    // upstreams with broken connections
	maxBreakTraits = 1 << 16                // traits that waited at all of them together
	maxLeaving     = 1024
)

// incarnation is an upstream from one start to its end.
type incarnation struct {
	id   string
	born int64
}

// incarnationOf returns the incarnation of an upstream.
func incarnationOf(u *route.Upstream) incarnation {
	return incarnation{id: u.ID, born: u.Born}
}

// breakOff is what is known of an upstream that broke off requests.
type breakOff struct {
	upstream *route.Upstream
	at       time.Time
	traits   []placedTrait // of the requests that waited
	crashed  bool
	// silent is set if no connection was closed or reset: the upstream counts as crashed once
	// its entry is gone.
	silent bool
}

// CrashID returns the ID of the crash of an upstream. The upper half depends on its
// address only, so that crashes at one address can be told from those at several.
func CrashID(u *route.Upstream) uint64 {
	start := xxhash.Sum64String(u.ID + " " + strconv.FormatInt(u.Born, 10))
	return xxhash.Sum64String(u.Address)>>addressHashBits<<addressHashBits | start>>addressHashBits
}

// Attempt is one send of a request to an upstream, from Begin to End. It is used by one
// goroutine.
type Attempt struct {
	quarantine  *Quarantine
	upstream    *route.Upstream
	traits      []Trait
	interrupt   func()
	begunAt     time.Time
	withdrawn   atomic.Bool
	counted     []*suspect // whose number of running requests includes this one
	answeringAt time.Time
	cleared     bool // the upstream has survived an answer on the parts
}

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served Outcome = iota // the answer was received in full
	Broken                // the upstream closed or reset the connection before its end
	Silent                // the upstream is silent and says nothing when it is asked
	Other                 // nothing follows about the traits or the upstream
)

// Begin records that a request with the traits is sent to an upstream. It returns
// a refusal instead if it must not be sent. The function interrupt is called, without
// blocking, if a trait is convicted while the request waits for its answer.
func (q *Quarantine) Begin(now time.Time, u *route.Upstream, traits []Trait, interrupt func()) (*Attempt, *Refusal) {
	a := &Attempt{quarantine: q, upstream: u, traits: traits, interrupt: interrupt, begunAt: now}
	if len(traits) == 0 {
		return a, nil
	}
	q.mu.Lock()
	refusal := q.check(now, traits)
	if refusal == nil {
		a.count(now)
		q.await(a)
	}
	q.unlock()
	if refusal == nil {
		refusal = a.trial(now)
	}
	if refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// await adds an attempt to those that wait for their answers. The caller holds q.mu.
func (q *Quarantine) await(a *Attempt) {
	if q.waiting == nil {
		q.waiting = map[*Attempt]bool{}
	}
	q.waiting[a] = true
}

// withdraw interrupts the attempts with a trait that wait for their answers. The caller
// holds q.mu.
func (q *Quarantine) withdraw(trait uint64) {
	for a := range q.waiting {
		if slices.ContainsFunc(a.traits, func(p Trait) bool { return p.ID == trait }) {
			a.withdrawn.Store(true)
			a.interrupt()
			delete(q.waiting, a)
		}
	}
}

// Withdrawn reports whether the attempt was interrupted.
func (a *Attempt) Withdrawn() bool {
	return a.withdrawn.Load()
}

// count counts the attempt at each trait that is limited to one request at a time. The
// caller holds the quarantine's lock.
func (a *Attempt) count(now time.Time) {
	q := a.quarantine
	for _, trait := range a.traits {
		if s := q.suspects[trait.ID]; s != nil && q.isLimited(now, s) {
			s.running++
			a.counted = append(a.counted, s)
		}
	}
}

// trial asks whether the traits whose verdict has ended may be tried, and returns a
// refusal if one may not.
func (a *Attempt) trial(now time.Time) *Refusal {
	q := a.quarantine
	if q.Trial == nil {
		return nil
	}
	for _, s := range a.counted {
		q.mu.Lock()
		probation, crashes := s.onProbation(now), s.verdict.Crashes
		q.mu.Unlock()
		if probation && !q.Trial(s.id) {
			a.End(now, Other)
			return &Refusal{Trait: Trait{ID: s.id, Whole: s.whole()}, Crashes: crashes, RetryAfter: suspectRetryAfter}
		}
	}
	return nil
}

// Event records that events of the answer were received.
func (a *Attempt) Event(now time.Time) {
	switch {
	case len(a.traits) == 0 || a.cleared:
	case a.answeringAt.IsZero():
		a.answeringAt = now
		a.quarantine.mu.Lock()
		delete(a.quarantine.waiting, a)
		a.quarantine.endSilence(incarnationOf(a.upstream))
		a.quarantine.mu.Unlock()
	case now.Sub(a.answeringAt) >= settleTime:
		a.cleared = true
		a.clear(now, false)
	}
}

// clear records that the upstream has survived an answer on the parts, or one to the whole
// request.
func (a *Attempt) clear(now time.Time, whole bool) {
	q := a.quarantine
	q.mu.Lock()
	defer q.unlock()
	for _, trait := range a.traits {
		if trait.Whole != whole {
			continue
		}
		if whole {
			q.served.record(trait.ID, now)
		} else {
			q.answered.record(trait.ID, now)
		}
		q.clear(now, trait.ID, now, ownSource)
	}
}

// MayRetry reports whether the request may be sent to another upstream after this one
// broke off: it may not if a trait of it, which no upstream answered lately, was also
// implicated in another crash.
func (a *Attempt) MayRetry(now time.Time) bool {
	q := a.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, trait := range a.traits {
		s := q.suspects[trait.ID]
		if s == nil || a.survived(trait) || s.answeredRecently(now) {
			continue
		}
		if n, _ := s.occasions(now, q.explained(now, s), CrashID(a.upstream)); n > 0 {
			return false
		}
	}
	return true
}

// survived reports whether the upstream has survived an answer with a trait. A whole request
// may crash it until its end.
func (a *Attempt) survived(t Trait) bool {
	return a.cleared && !t.Whole
}

// End records the end of the attempt. It reports whether the caller should find out
// whether the upstream has crashed, and then call Crashed or Survived.
func (a *Attempt) End(now time.Time, o Outcome) bool {
	if len(a.traits) == 0 {
		return false
	}
	if o == Served {
		if !a.cleared {
			a.clear(now, false)
		}
		a.clear(now, true)
	}
	q := a.quarantine
	q.mu.Lock()
	defer q.unlock()
	delete(q.waiting, a)
	if o == Served {
		q.endSilence(incarnationOf(a.upstream))
	}
	for _, s := range a.counted {
		s.running--
	}
	a.counted = nil
	switch o {
	case Broken:
		return q.recordBreak(now, a, false)
	case Silent:
		q.recordBreak(now, a, true)
	}
	return false
}

// recordBreak records that an upstream broke off a request, or is silent. It reports whether
// it is the first one of its kind. The caller holds q.mu.
func (q *Quarantine) recordBreak(now time.Time, a *Attempt, silent bool) bool {
	in := incarnationOf(a.upstream)
	if _, known := q.leaving[in]; known {
		return false
	}
	q.sweepBreaks(now)
	b := q.breaks[in]
	first := b == nil
	if first {
		if len(q.breaks) >= maxBreaks {
			return false
		}
		b = &breakOff{upstream: a.upstream, at: now, silent: silent}
		q.breaks[in] = b
	}
	if b.silent && !silent {
		// It ran until now: what waited there before is no evidence.
		*b = breakOff{upstream: a.upstream, at: now}
		first = true
	}
	waited := a.unanswered()
	if b.crashed {
		q.implicateAll(now, waited, a.crash(b, now))
		q.decide(now)
		return first
	}
	b.traits = append(b.traits, waited[:min(len(waited), q.roomForTraits())]...)
	return first
}

// unanswered returns the traits without an answer that the upstream has survived.
func (a *Attempt) unanswered() []placedTrait {
	var waited []placedTrait
	for i, trait := range place(a.traits) {
		if !a.survived(a.traits[i]) {
			waited = append(waited, trait)
		}
	}
	return waited
}

// roomForTraits returns how many further traits that waited at upstreams may be recorded. The
// caller holds q.mu.
func (q *Quarantine) roomForTraits() int {
	room := maxBreakTraits
	for _, b := range q.breaks {
		room -= len(b.traits)
	}
	return max(room, 0)
}

// crash returns the crash of the attempt's upstream.
func (a *Attempt) crash(b *breakOff, now time.Time) crash {
	return crash{id: CrashID(a.upstream), at: b.at, learnedAt: now, upstream: a.upstream.ID}
}

// sweepBreaks deletes old records. The caller holds q.mu.
func (q *Quarantine) sweepBreaks(now time.Time) {
	if q.breaks == nil {
		q.breaks = map[incarnation]*breakOff{}
	}
	for in, b := range q.breaks {
		if now.Sub(b.at) > breakTime {
			delete(q.breaks, in)
		}
	}
}

// Crashed records that an upstream which broke off requests has ended.
func (q *Quarantine) Crashed(now time.Time, u *route.Upstream) {
	q.mu.Lock()
	defer q.unlock()
	in := incarnationOf(u)
	b := q.breaks[in]
	if b == nil || b.crashed {
		return
	}
	if _, known := q.leaving[in]; known {
		return
	}
	b.crashed = true
	c := crash{id: CrashID(u), at: b.at, learnedAt: now, upstream: u.ID}
	q.recordCrash(c)
	q.implicateAll(now, b.traits, c)
	b.traits = nil
	q.decide(now)
}

// Survived records that an upstream which broke off requests still runs.
func (q *Quarantine) Survived(u *route.Upstream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := incarnationOf(u)
	if b := q.breaks[in]; b != nil && !b.crashed {
		delete(q.breaks, in)
	}
}

// Leaving records that upstreams are leaving, so that their end is no crash.
func (q *Quarantine) Leaving(now time.Time, us []*route.Upstream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leaving == nil {
		q.leaving = map[incarnation]time.Time{}
	}
	for in, at := range q.leaving {
		if now.Sub(at) > leavingTime {
			delete(q.leaving, in)
		}
	}
	for _, u := range us {
		if len(q.leaving) < maxLeaving {
			q.leaving[incarnationOf(u)] = now
		}
	}
}
