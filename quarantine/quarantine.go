package quarantine

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/request"
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
	// without the part. It is judged judgeTime after it, when peers have told of theirs.
	commonTime = 75 * time.Millisecond
	minCommon  = 2
	judgeTime  = 150 * time.Millisecond

	suspectOccasions = 2 // occasions that make a part suspect
	convictOccasions = 3 // occasions that convict a part
	minAddresses     = 2 // different addresses among them

	suspectRetryAfter = time.Second // advised while another request tries a suspected part
)

// Quarantine holds what is known of the prompt parts that may crash upstreams. The
// exported fields are set before the first call.
type Quarantine struct {
	Log logrus.FieldLogger
	// OnChange is called after this instance has learned a fact by itself, so that it
	// can be sent at once; may be nil.
	OnChange func()
	// Trial reports whether this instance may send the next request with a part whose
	// verdict has ended; nil allows each.
	Trial func(part uint64) bool

	mu         sync.Mutex
	generation uint64
	changed    bool // OnChange is due
	suspects   map[uint64]*suspect
	created    uint64 // number of suspects so far
	answered   answeredParts
	recent     []crash   // most recent crashes, the oldest first
	decideAt   time.Time // when crashes are to be judged, zero if all are
	breaks     map[incarnation]*breakOff
	waiting    map[*Attempt]bool         // requests without an event yet
	leaving    map[incarnation]time.Time // when upstreams were seen to leave
	refusals   int64
}

// Refusal states why a request is not sent.
type Refusal struct {
	Part        uint64
	Crashes     int
	RetryAfter  time.Duration
	Quarantined bool // a verdict is in force; otherwise another request tries the part
}

// Check returns a refusal if a request with the parts would not be sent now, else nil.
func (q *Quarantine) Check(now time.Time, parts []request.Part) *Refusal {
	q.mu.Lock()
	defer q.unlock()
	return q.check(now, parts)
}

// check is Check. The caller holds q.mu.
func (q *Quarantine) check(now time.Time, parts []request.Part) *Refusal {
	q.decideIfDue(now)
	for _, part := range parts {
		s := q.suspects[part.ID]
		if s == nil {
			continue
		}
		switch {
		case s.convicted(now):
			q.refusals++
			return &Refusal{Part: s.part, Crashes: s.verdict.Crashes, RetryAfter: s.verdict.Until.Sub(now), Quarantined: true}
		case s.running > 0 && s.limited(now, q.explained(now)):
			q.refusals++
			return &Refusal{Part: s.part, Crashes: len(s.crashes), RetryAfter: suspectRetryAfter}
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
	for _, s := range q.sorted() {
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

// Suspects returns the number of parts that are known to have been in crashes.
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

// decide convicts each part with enough evidence, the strongest first, because the
// crashes that one verdict explains no longer count against other parts. The caller holds
// q.mu.
func (q *Quarantine) decide(now time.Time) {
	q.judge(now)
	for {
		explained := q.explained(now)
		doubtful := q.doubtful(now, explained)
		var strongest *suspect
		most := 0
		for _, s := range q.suspects {
			discounted := explained
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

// reconsider ends each first verdict whose crashes are explained by a part with more
// crashes, as when facts from peers arrive after it. The caller holds q.mu.
func (q *Quarantine) reconsider(now time.Time) {
	for _, s := range q.suspects {
		if !s.convicted(now) || len(s.crashes) == 0 || s.verdict.Until.Sub(s.verdict.At) > verdictTime {
			continue
		}
		stronger := map[uint64]bool{}
		for _, o := range q.suspects {
			if o.convicted(now) && len(o.crashes) > len(s.crashes) {
				o.addTo(stronger)
			}
		}
		if n, _ := s.occasions(now, stronger, 0); n < convictOccasions && len(stronger) > 0 {
			q.clear(now, s.part, now, ownSource)
		}
	}
}

// convict gives a part a verdict. The caller holds q.mu.
func (q *Quarantine) convict(now time.Time, s *suspect) {
	length := verdictTime
	if s.tried() {
		length = min(2*s.verdict.Until.Sub(s.verdict.At), maxVerdictTime)
	}
	s.verdict = Convicted{Part: s.part, At: now, Until: now.Add(length), Crashes: len(s.crashes)}
	q.announce()
	q.withdraw(s.part)
	q.log(now, s, ownSource).Warn("prompt part is quarantined")
}

// doubtful returns the explained crashes and those in which a suspect was that no
// upstream has ever answered. These do not convict a part that has been answered. The
// caller holds q.mu.
func (q *Quarantine) doubtful(now time.Time, explained map[uint64]bool) map[uint64]bool {
	crashes := maps.Clone(explained)
	for _, s := range q.suspects {
		if !s.answeredAt.IsZero() || s.convicted(now) || !s.limited(now, explained) {
			continue
		}
		if crashes == nil {
			crashes = map[uint64]bool{}
		}
		s.addTo(crashes)
	}
	return crashes
}

// explained returns the crashes that the parts with a verdict explain. The caller
// holds q.mu.
func (q *Quarantine) explained(now time.Time) map[uint64]bool {
	var crashes map[uint64]bool
	for _, s := range q.suspects {
		if !s.convicted(now) {
			continue
		}
		if crashes == nil {
			crashes = map[uint64]bool{}
		}
		s.addTo(crashes)
	}
	return crashes
}
