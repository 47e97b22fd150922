package usage

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/kernel"
	"knapweedwell/platform"
)

const (
	roundPeriod = 500 * time.Millisecond // between two datagrams with counts
	stepPeriod  = 200 * time.Millisecond // between two looks at what is to be decided and sent
	// decideDelay is the time from the end of a window to the decision on its counts.
	decideDelay = 2 * time.Second
	maxOff      = time.Second // difference of the time to that of the peers that is logged
	maxAhead    = 3 * time.Second
	presence    = "" // name whose count is the number of instances that counted in a slot
)

// Duties grants the right to send reports.
type Duties interface {
	Held() (ctx context.Context, token int64, ok bool)
}

// Service counts, collects and reports. The exported fields are set before Run.
type Service struct {
	Self     string // name of the instance
	Identity string // of this incarnation
	Zone     string
	Window   time.Duration
	Deadline time.Duration // time after a window's end in which its report is due
	Report   bool          // whether reports are a duty
	Duties   Duties
	API      *platform.API
	Platform *platform.Client
	// Elapsed returns the time since the machine was started, suspensions included.
	Elapsed func() time.Duration
	// Instances returns the number of running instances.
	Instances func() int
	// Send sends the messages of a round: those of this instance, and those with the sums of
	// its zone.
	Send func(own, sums []Message)
	Log  logrus.FieldLogger

	mu        sync.Mutex
	clock     clock
	own       book
	collected collector
	zoneSums  book // of this zone, as sent
	offLogged bool
	badLogged time.Time
	decisions decisions
	group     background.Group
}

// Run starts to count and report.
func (s *Service) Run(*kernel.Kernel) error {
	s.prepare()
	s.group.Every(roundPeriod, func(context.Context, time.Time) { s.round() })
	if s.Report {
		s.group.Every(stepPeriod, func(ctx context.Context, _ time.Time) { s.step(ctx) })
	}
	return nil
}

// prepare sets what the other methods need. Requests may be counted before Run.
func (s *Service) prepare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own != nil {
		return
	}
	s.clock = clock{base: time.Now().Add(-s.Elapsed()), peers: map[string]difference{}}
	s.own, s.zoneSums, s.collected = book{}, book{}, newCollector()
}

// Close stops.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// Now returns true time.
func (s *Service) Now() time.Time {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.at(s.Elapsed())
}

// Begun counts a request of an organisation that an upstream of a pool began to run.
func (s *Service) Begun(organisation, pool string, readTokens int) {
	if s == nil {
		return
	}
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	if organisation != "" {
		s.add(WindowKind, organisation, 1)
	}
	s.add(DemandKind, demandName(pool, begunCount), 1)
	s.add(DemandKind, demandName(pool, readCount), int64(max(readTokens, 0)))
}

// add adds to a count of this instance. The caller holds s.mu.
func (s *Service) add(kind Kind, name string, n int64) {
	if n <= 0 {
		return
	}
	slot := slotAt(kind, s.clock.at(s.Elapsed()), s.Window)
	s.own.raise(slot, name, s.own.get(slot, name)+n)
}

// round sends the counts that have changed.
func (s *Service) round() {
	s.mu.Lock()
	elapsed := s.Elapsed()
	s.logOff(s.clock.correct(elapsed))
	now := s.clock.at(elapsed)
	for _, kind := range []Kind{WindowKind, DemandKind} {
		s.own.raise(slotAt(kind, now, s.Window), presence, 1)
	}
	before := now.Add(-keepTime)
	s.own.expire(before, s.Window)
	s.zoneSums.expire(before, s.Window)
	s.collected.expire(before, s.Window)
	s.collected.books[s.Identity] = s.own
	for slot := range s.slots() {
		sum, _ := s.collected.direct(slot)
		for name, count := range sum {
			s.zoneSums.raise(slot, name, count)
		}
	}
	own := s.encode(now, s.own, "")
	sums := s.encode(now, s.zoneSums, s.Zone)
	s.mu.Unlock()
	s.Send(own, sums)
}

// Resend sends all counts of the last windows again in the next round, because an instance that
// has none gets them from now on.
func (s *Service) Resend() {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.clock.at(s.Elapsed()).Add(-resendTime)
	for _, b := range []book{s.own, s.zoneSums} {
		b.resend(since, s.Window)
	}
}

// TimeMessage returns a message without counts, which states the time of this instance.
func (s *Service) TimeMessage() Message {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.at(s.Elapsed())
	return Message{Source: s.Identity, Time: now.UnixMilli(), Slot: slotAt(WindowKind, now, s.Window)}
}

// slots returns the slots of which instances have sent counts. The caller holds s.mu.
func (s *Service) slots() map[Slot]bool {
	slots := map[Slot]bool{}
	for _, b := range s.collected.books {
		for slot := range b {
			slots[slot] = true
		}
	}
	return slots
}

// encode returns the messages with the counts of a book that are to be sent. The caller holds
// s.mu.
func (s *Service) encode(now time.Time, b book, zone string) []Message {
	var out []Message
	for slot, entries := range b.unsent() {
		m := Message{Source: s.Identity, Zone: zone, Covers: 1, Time: now.UnixMilli(), Slot: slot}
		if zone != "" {
			m.Covers = int(b.get(slot, presence))
		}
		out = append(out, messages(m, entries)...)
	}
	return out
}

// logOff logs when this instance's time begins and ceases to differ from that of its peers. The
// caller holds s.mu.
func (s *Service) logOff(off time.Duration) {
	far := off.Abs() > maxOff
	if far && !s.offLogged {
		s.Log.WithField("AheadMillis", -off.Milliseconds()).Warn("the time differs from that of the peers and is corrected")
	}
	s.offLogged = far
}

// Apply merges the counts of another instance.
func (s *Service) Apply(m Message) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := s.Elapsed()
	s.clock.heard(elapsed, m.Source, m.Time)
	now := s.clock.at(elapsed)
	end := m.Slot.end(s.Window)
	if end.Before(now.Add(-keepTime)) {
		return
	}
	if start := end.Add(-s.length(m.Slot.Kind)); start.After(now.Add(maxAhead)) {
		// Kept, because the own time may be the one that is wrong.
		if now.Sub(s.badLogged) > time.Minute {
			s.badLogged = now
			s.Log.WithFields(logrus.Fields{"Source": m.Source, "AheadMillis": start.Sub(now).Milliseconds()}).Warn("counts of a window that has not begun were received")
		}
		if start.After(now.Add(keepTime)) {
			return
		}
	}
	if m.Source != s.Identity && len(m.Entries) > 0 {
		s.collected.add(m)
	}
}

func (s *Service) length(kind Kind) time.Duration {
	if kind == DemandKind {
		return time.Second
	}
	return s.Window
}

// total returns the counts of a slot over the fleet and the number of instances that counted.
// The caller holds s.mu.
func (s *Service) total(slot Slot) (map[string]int64, int) {
	s.collected.books[s.Identity] = s.own
	sum, _ := s.collected.total(slot, s.Zone)
	n := int(sum[presence])
	delete(sum, presence)
	return sum, n
}
