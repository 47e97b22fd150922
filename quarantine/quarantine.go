package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	verdictTime    = 10 * time.Minute // length of a first verdict; each further one is twice as long
	maxVerdictTime = 2 * time.Hour
	evidenceTime   = 10 * time.Minute // age up to which a crash counts
	recentTime     = time.Minute      // age up to which an answer makes a further crash necessary

	// Crashes within occasionTime may have one cause that is no request, such as a power
	// failure, and count as one occasion.
	occasionTime = 200 * time.Millisecond

	// A crash has a common cause if minCommon other upstreams crash within commonTime of it
	// without the trait. It is judged judgeTime after it, when peers have told of theirs.
	commonTime = 75 * time.Millisecond
	minCommon  = 2
	judgeTime  = 150 * time.Millisecond

	suspectOccasions = 2 // occasions that make a trait suspect
	convictOccasions = 3 // occasions that convict a trait
	minAddresses     = 2 // different addresses among them

	suspectRetryAfter = time.Second // advised while another request tries a suspected trait
)

// Quarantine holds what is known of the traits that may crash upstreams. The
// exported fields are set before the first call.
type Quarantine struct {
	Log logrus.FieldLogger
	// OnChange is called after this instance has learned a fact by itself, so that it
	// can be sent at once; may be nil.
	OnChange func()
	// Trial reports whether this instance may send the next request with a trait whose
	// verdict has ended; nil allows each.
	Trial func(trait uint64) bool

	mu         sync.Mutex
	generation uint64
	changed    bool // OnChange is due
	suspects   map[uint64]*suspect
	tried      map[uint64]*suspect // those of suspects that had a verdict which no answer has ended
	sweptAt    time.Time           // when old suspects were last deleted
	crowded    bool                // there were usualSuspects or more after that
	answered   answeredTraits      // parts, and what peers have told of
	served     answeredTraits      // whole requests
	recent     []crash             // most recent crashes, the oldest first
	decideAt   time.Time           // when crashes are to be judged, zero if all are
	breaks     map[incarnation]*breakOff
	waiting    map[*Attempt]bool         // requests without an event yet
	leaving    map[incarnation]time.Time // when upstreams were seen to leave
	refusals   int64
}

// Refusal states why a request is not sent.
type Refusal struct {
	Trait       Trait
	Crashes     int
	RetryAfter  time.Duration
	Quarantined bool // a verdict is in force; otherwise another request tries the trait
}

// Check returns a refusal if a request with the traits would not be sent now, else nil.
func (q *Quarantine) Check(now time.Time, traits []Trait) *Refusal {
	q.mu.Lock()
	defer q.unlock()
	return q.check(now, traits)
}

// check is Check. The caller holds q.mu.
func (q *Quarantine) check(now time.Time, traits []Trait) *Refusal {
	q.decideIfDue(now)
	for _, trait := range traits {
		s := q.suspects[trait.ID]
		if s == nil {
			continue
		}
		switch {
		case s.convicted(now):
			q.refusals++
			return &Refusal{Trait: trait, Crashes: s.verdict.Crashes, RetryAfter: s.verdict.Until.Sub(now), Quarantined: true}
		case s.running > 0 && q.isLimited(now, s):
			q.refusals++
			return &Refusal{Trait: trait, Crashes: len(s.crashes), RetryAfter: suspectRetryAfter}
		}
	}
	return nil
}

// Verdicts returns the verdicts in force.
func (q *Quarantine) Verdicts(now time.Time) []Convicted {
	q.mu.Lock()
	defer q.unlock()
	q.decideIfDue(now)
	var verdicts []Convicted
	for _, s := range sorted(q.tried) {
		if s.convicted(now) {
			verdicts = append(verdicts, s.verdict)
		}
	}
	return verdicts
}

// Refusals returns the number of refusals so far.
func (q *Quarantine) Refusals() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refusals
}

// Suspects returns the number of traits that are known to have been in crashes.
func (q *Quarantine) Suspects() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects)
}

// Generation returns a number that rises whenever the result of Facts gains a fact.
func (q *Quarantine) Generation() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.generation
}

// announce records that Facts has gained a fact by this instance's own means. The
// caller holds q.mu.
func (q *Quarantine) announce() {
	q.generation++
	q.changed = true
}

// unlock unlocks q.mu and calls OnChange if it is due.
func (q *Quarantine) unlock() {
	due := q.changed
	q.changed = false
	q.mu.Unlock()
	if due && q.OnChange != nil {
		q.OnChange()
	}
}

// decideIfDue decides once crashes can be judged. The caller holds q.mu.
func (q *Quarantine) decideIfDue(now time.Time) {
	if !q.decideAt.IsZero() && !now.Before(q.decideAt) {
		q.decide(now)
	}
}

// judge judges the crashes of all suspects. The caller holds q.mu.
func (q *Quarantine) judge(now time.Time) {
	q.decideAt = time.Time{}
	for _, s := range q.suspects {
		next := s.judge(now, q.recent)
		if q.decideAt.IsZero() || (!next.IsZero() && next.Before(q.decideAt)) {
			q.decideAt = next
		}
	}
}

// decide convicts each trait with enough evidence, the strongest first, because the
// crashes that one verdict explains no longer count against other traits. The caller holds
// q.mu.
func (q *Quarantine) decide(now time.Time) {
	q.judge(now)
	for {
		explained := q.explanation(now)
		doubtful := q.doubtful(now, explained.crashes)
		var strongest *suspect
		most := 0
		for _, s := range q.suspects {
			discounted := explained.of(s)
			if !s.answeredAt.IsZero() {
				discounted = doubtful
			}
			n, enough := s.evidence(now, discounted)
			if !enough || n < most || (n == most && strongest != nil && s.before(strongest)) {
				continue
			}
			strongest, most = s, n
		}
		if strongest == nil {
			break
		}
		q.convict(now, strongest)
	}
	q.reconsider(now)
}

// reconsider ends each first verdict whose crashes are explained by a trait with more
// crashes, as when facts from peers arrive after it. A verdict of a peer stays while some of
// the crashes that it is based on are not known here. The caller holds q.mu.
func (q *Quarantine) reconsider(now time.Time) {
	for _, s := range q.tried {
		if !s.convicted(now) || len(s.crashes) < max(s.verdict.Crashes, 1) || s.verdict.Until.Sub(s.verdict.At) > verdictTime {
			continue
		}
		stronger := map[uint64]bool{}
		for _, o := range q.tried {
			if o.convicted(now) && len(o.crashes) > len(s.crashes) {
				o.addTo(stronger)
			}
		}
		if n, _ := s.occasions(now, stronger, 0); n < convictOccasions && len(stronger) > 0 {
			q.clear(now, s.id, now, ownSource)
		}
	}
}

// convict gives a trait a verdict. The caller holds q.mu.
func (q *Quarantine) convict(now time.Time, s *suspect) {
	length := verdictTime
	if s.tried() {
		length = min(2*s.verdict.Until.Sub(s.verdict.At), maxVerdictTime)
	}
	q.setVerdict(s, Convicted{Trait: s.id, At: now, Until: now.Add(length), Crashes: len(s.crashes), Whole: s.whole()})
	q.announce()
	q.withdraw(s.id)
	q.log(now, s, ownSource).Warn(s.noun() + " is quarantined")
}

// doubtful returns the explained crashes and those in which a suspect was that no
// upstream has ever answered. These do not convict a trait that has been answered. The
// caller holds q.mu.
func (q *Quarantine) doubtful(now time.Time, explained map[uint64]bool) map[uint64]bool {
	crashes := maps.Clone(explained)
	for _, s := range q.suspects {
		if !s.answeredAt.IsZero() || s.convicted(now) || !s.mayBeLimited() || !s.limited(now, explained) {
			continue
		}
		if crashes == nil {
			crashes = map[uint64]bool{}
		}
		s.addTo(crashes)
	}
	return crashes
}

// explanation holds the crashes that the traits with a verdict explain.
type explanation struct {
	crashes map[uint64]bool
	traits  []*suspect // with a verdict
}

// explanation returns what the verdicts in force explain. The caller holds q.mu.
func (q *Quarantine) explanation(now time.Time) explanation {
	var e explanation
	for _, v := range q.tried {
		if v.convicted(now) {
			e.add(v)
		}
	}
	return e
}

// add adds a trait with a verdict.
func (e *explanation) add(v *suspect) {
	if e.crashes == nil {
		e.crashes = map[uint64]bool{}
	}
	v.addTo(e.crashes)
	e.traits = append(e.traits, v)
}

// of returns the crashes of the suspect s that are explained. A whole request explains no
// crash of a part that was in all of its crashes and in others.
func (e explanation) of(s *suspect) map[uint64]bool {
	exceeded := func(v *suspect) bool { return v.whole() && !s.whole() && s.exceeds(v) }
	if !slices.ContainsFunc(e.traits, exceeded) {
		return e.crashes
	}
	var rest explanation
	for _, v := range e.traits {
		if !exceeded(v) {
			rest.add(v)
		}
	}
	return rest.crashes
}

// isLimited reports whether only one request with the trait of the suspect s may run at a
// time. The caller holds q.mu.
func (q *Quarantine) isLimited(now time.Time, s *suspect) bool {
	if !s.mayBeLimited() {
		return false // as for most requests, without a look at the verdicts
	}
	return s.limited(now, q.explained(now, s))
}

// explained returns the crashes of the suspect s that a verdict explains. The caller holds
// q.mu.
func (q *Quarantine) explained(now time.Time, s *suspect) map[uint64]bool {
	return q.explanation(now).of(s)
}
