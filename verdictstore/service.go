// Package verdictstore keeps the verdicts on what crashes upstreams in the platform's store, so that
// they outlast the instances: the instances that follow the store write and delete them,
// and an instance that starts or hears no peer reads them.
package verdictstore

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/follow"
	"knapweedwell/kernel"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
)

const (
	checkPeriod  = 200 * time.Millisecond
	startTimeout = 1500 * time.Millisecond // for one list before this instance is ready
	// joinTime is how long after the first list this instance looks for a peer, whose
	// facts are more recent than a list.
	joinTime = 3 * time.Second
	// readPeriod is the time between two reads of an instance that follows the store while
	// there are verdicts, and readPeriodWithoutPeers that of one that hears no peer.
	readPeriod             = 5 * time.Second
	readPeriodWithoutPeers = time.Second
	initialBackoff         = 200 * time.Millisecond // after the first failed call
	maxBackoff             = 2 * time.Second
	maxStartBackoff        = 600 * time.Millisecond // short, because this instance is not live before
	// endTolerance is the difference up to which the ends of two verdicts are the same.
	endTolerance = time.Second
)

// Verdicts holds the verdicts and the other facts about what crashes upstreams.
type Verdicts interface {
	Apply(now time.Time, facts []quarantine.Fact)
	Facts(now time.Time) []quarantine.Fact
	Verdicts(now time.Time) []quarantine.Convicted
}

// Service stores and reads verdicts. The exported fields are set before Run.
type Service struct {
	Self     string // identity of this incarnation of the instance
	Platform *platform.Client
	Verdicts Verdicts
	Role     func() follow.Role
	// FetchFacts fetches the facts of a live peer.
	FetchFacts func(ctx context.Context) error
	// Isolated reports whether no peer is heard though there are others.
	Isolated func() bool
	// Tell sends facts to the other instances.
	Tell func(facts []quarantine.Fact)
	// OnReady is called once this instance has the verdicts that a peer or the store has.
	OnReady func()
	Log     logrus.FieldLogger

	mu       sync.Mutex
	ready    bool
	stored   map[uint64]*record // verdicts that are stored or are to be, by the part
	trials   map[uint64]trial   // answers of the store that still hold, by the part
	lastRead time.Time
	readEra  int64 // of the store at the last read
	read     bool  // the store has been read
	group    background.Group
}

// record is what this instance knows of the object of a verdict.
type record struct {
	verdict  quarantine.Convicted // as stored
	revision int64                // zero if it is not known to be stored
	era      int64                // of the store when it was
	seen     bool                 // the facts of this instance had the verdict
	backoff  time.Duration        // after the last failed write, zero if it succeeded
	nextTry  time.Time
}

// Run starts to read and write verdicts.
func (s *Service) Run(*kernel.Kernel) error {
	s.group.Go(s.loop)
	return nil
}

// Close ends the calls in progress and waits for them.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// Ready reports whether this instance has the verdicts that a peer or the store has.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// loop gets the verdicts and then keeps those in the store up to date.
func (s *Service) loop(ctx context.Context) {
	fromPeer := s.start(ctx)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	s.OnReady()
	start := time.Now()
	current := fromPeer
	for wait(ctx, checkPeriod) {
		switch {
		case fromPeer:
		case time.Since(start) < joinTime:
			fromPeer = s.FetchFacts(ctx) == nil
		case !current && s.Role() == follow.Alert:
			// The first list may have been old.
			s.readAgain(ctx)
			current = true
		}
		s.step(ctx)
	}
}

// wait waits and reports false if the context ends.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// start gets the verdicts from a peer or, if none is live, from the store. It reports
// whether they came from a peer.
func (s *Service) start(ctx context.Context) bool {
	pause := initialBackoff
	for logged := false; ctx.Err() == nil; wait(ctx, pause) {
		if s.FetchFacts(ctx) == nil {
			return true
		}
		err := s.readWithin(ctx, startTimeout)
		if err == nil {
			return s.FetchFacts(ctx) == nil
		}
		pause = min(2*pause, maxStartBackoff)
		if !logged {
			s.Log.WithField("Error", err.Error()).Warn("verdicts were fetched from neither a peer nor the store yet")
		}
		logged = true
	}
	return false
}

// step makes the calls to the store that are due.
func (s *Service) step(ctx context.Context) {
	now := time.Now()
	verdicts := s.current(now)
	isolated := s.Isolated()
	if s.Role() == follow.Alert {
		for _, v := range verdicts {
			if s.writeDue(now, v) && !s.write(ctx, v) {
				break
			}
		}
		for _, part := range s.ended(now, verdicts) {
			s.remove(ctx, part)
		}
		if s.readDue(now, readPeriod) || s.eraChanged() {
			s.readAgain(ctx)
		}
	}
	if isolated && now.Sub(s.lastReadAt()) >= readPeriodWithoutPeers {
		s.readAgain(ctx)
	}
}

// current returns the verdicts of this instance, those that have ended but are not
// settled by an answer included.
func (s *Service) current(now time.Time) map[uint64]quarantine.Convicted {
	verdicts := map[uint64]quarantine.Convicted{}
	for _, f := range s.Verdicts.Facts(now) {
		if v, ok := f.(quarantine.Convicted); ok {
			verdicts[v.Trait] = v
		}
	}
	for _, v := range s.Verdicts.Verdicts(now) {
		verdicts[v.Trait] = v
	}
	return verdicts
}

// writeDue reports whether a verdict in force is to be written now.
func (s *Service) writeDue(now time.Time, v quarantine.Convicted) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recordOf(v.Trait)
	r.seen = true
	if !now.Before(v.Until) || now.Before(r.nextTry) {
		return false
	}
	return r.revision == 0 || r.era != s.Platform.Era() || v.Until.Sub(r.verdict.Until) > endTolerance
}

// recordOf returns the record of a part and creates it if necessary. The caller holds
// s.mu.
func (s *Service) recordOf(part uint64) *record {
	if s.stored == nil {
		s.stored = map[uint64]*record{}
	}
	if s.stored[part] == nil {
		s.stored[part] = &record{}
	}
	return s.stored[part]
}

// ended returns the parts whose stored verdicts are to be deleted now. It forgets those
// that were not stored.
func (s *Service) ended(now time.Time, verdicts map[uint64]quarantine.Convicted) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []uint64
	for part, r := range s.stored {
		if _, ok := verdicts[part]; ok || !r.seen || now.Before(r.nextTry) {
			continue
		}
		if r.revision == 0 && r.backoff == 0 {
			delete(s.stored, part)
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// readDue reports whether there are stored verdicts and the period has passed since the
// last read.
func (s *Service) readDue(now time.Time, period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stored) > 0 && now.Sub(s.lastRead) >= period
}

// eraChanged reports whether the store has come back from a copy since the last read, so
// that verdicts which were deleted may be stored again.
func (s *Service) eraChanged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read && s.readEra != s.Platform.Era()
}

func (s *Service) lastReadAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}
