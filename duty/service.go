package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/follow"
	"knapweedwell/kernel"
	"knapweedwell/platform"
)

const (
	checkPeriod = 100 * time.Millisecond
	readPeriod  = time.Second // between two reads of a candidate
	// callReserve is the time before the end of the lease in which no call is under way: a
	// call that was written may take this long to arrive.
	callReserve = 500 * time.Millisecond
	// retryPeriod is the time between two tries of a renewal that has failed.
	retryPeriod = 200 * time.Millisecond
	// drainTime is the time between the end of the holder's calls and the release, so that a
	// call that was written arrives before those of a successor.
	drainTime   = 100 * time.Millisecond
	callTimeout = time.Second // for one call to the store
	// yieldLeases is the number of leases between two releases of one instance because the
	// platform's API cannot be reached: it may be down for all.
	yieldLeases = 20
)

var errNotHeld = errors.New("the lease of the duties is not held")

// Service holds or awaits the lease. The exported fields are set before Run.
type Service struct {
	Self     string // identity of this incarnation of the instance
	Platform *platform.Client
	Role     func() follow.Role
	Lease    time.Duration
	// Elapsed returns the time since the machine was started, suspensions included. Nil means
	// Boottime.
	Elapsed func() time.Duration
	// APIFailingSince returns since when the platform's API has answered no call, zero if it
	// does.
	APIFailingSince func() time.Time
	// OnChange is called when the lease was taken or lost. It must not call the Service.
	OnChange func(held bool, token int64)
	Log      logrus.FieldLogger

	calls     chan struct{} // holds a value while a step or the release writes the object
	mu        sync.Mutex
	lease     lease
	stopped   bool // planned stop: the lease is not taken any more
	ctx       context.Context
	cancel    context.CancelFunc
	heldToken int64 // token of ctx, zero if there is none
	changes   int64
	idleSince Instant // since when the role of the holder is not Alert
	idle      bool
	nextRead  Instant
	nextWrite Instant
	yieldedAt Instant
	yielded   bool
	badLogged string // value of the unreadable object that was logged
	storeDown bool
	group     background.Group
}

// Run starts to await the lease.
func (s *Service) Run(*kernel.Kernel) error {
	s.prepare()
	s.group.Every(checkPeriod, func(ctx context.Context, _ time.Time) { s.step(ctx) })
	return nil
}

// prepare sets what the steps need.
func (s *Service) prepare() {
	if s.Elapsed == nil {
		s.Elapsed = Boottime
	}
	s.calls = make(chan struct{}, 1)
	s.lease = newLease(s.Lease)
}

// Close stops without releasing the lease.
func (s *Service) Close() error {
	s.group.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.held = false
	s.endCalls()
	return nil
}

func (s *Service) now() Instant {
	return Instant{Awake: time.Now(), Elapsed: s.Elapsed()}
}

// Held returns the token of the lease that this instance holds and a context that ends
// before the lease may have ended. It reports false if this instance holds none. Calls of the
// platform's API with the context are written only while the lease is held.
func (s *Service) Held() (context.Context, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldToken == 0 || !s.lease.valid(s.now(), callReserve) {
		return nil, 0, false
	}
	return s.ctx, s.heldToken, true
}

// check returns an error unless the lease with the token is held by both clocks.
func (s *Service) check(token int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldToken != token || s.lease.token != token || !s.lease.valid(s.now(), callReserve) {
		return errNotHeld
	}
	return nil
}

// State is what operators see of the lease.
type State struct {
	Holder  string // identity of the holder, as far as this instance knows
	Token   int64
	Held    bool          // by this instance
	Age     time.Duration // since the last renewal of the own lease, or since the object was seen to change
	Changes int64         // number of times that this instance took or lost the lease
}

// State returns what this instance knows of the lease.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.lease
	st := State{Held: s.heldToken != 0, Changes: s.changes}
	switch {
	case st.Held:
		st.Holder, st.Token, st.Age = s.Self, l.token, s.now().atMost(l.from)
	case l.known && l.seen.readable:
		st.Token, st.Age = l.seen.record.Token, s.now().atMost(l.seen.at)
		if !l.seen.record.Released {
			st.Holder = l.seen.record.Holder
		}
	}
	return st
}

// step makes the calls to the store that are due.
func (s *Service) step(ctx context.Context) {
	s.calls <- struct{}{}
	defer func() { <-s.calls }()
	now := s.now()
	alert := s.Role() == follow.Alert
	s.mu.Lock()
	s.expire(now)
	held, stopped, resume := s.lease.held, s.stopped, s.lease.held && s.Platform.Era() != s.lease.era
	due := now.atMost(s.nextWrite) >= 0 && s.lease.renewalDue(now)
	yield := held && s.yieldDue(now, alert)
	s.mu.Unlock()
	switch {
	case stopped:
	case resume:
		s.resume(ctx)
	case yield:
		s.release(ctx, "the duties cannot be performed here")
	case held && due:
		s.renew(ctx)
	case !held && alert:
		s.await(ctx, now)
	}
}

// expire ends the lease when its time has passed. The caller holds s.mu.
func (s *Service) expire(now Instant) {
	if s.lease.held && !s.lease.valid(now, 0) {
		s.lease.lose(now)
		s.update("the lease has expired")
	}
}

// yieldDue reports whether the holder has to give up the lease: it follows the store no longer,
// so that the others do not send it their counts, or it cannot reach the platform's API. The
// caller holds s.mu.
func (s *Service) yieldDue(now Instant, alert bool) bool {
	if alert {
		s.idle = false
	} else if !s.idle {
		s.idle, s.idleSince = true, now
	}
	if s.idle && now.atMost(s.idleSince) > s.Lease {
		return true
	}
	if s.APIFailingSince == nil || (s.yielded && now.atLeast(s.yieldedAt) < yieldLeases*s.Lease) {
		return false
	}
	since := s.APIFailingSince()
	if since.IsZero() || now.Awake.Sub(since) <= s.Lease {
		return false
	}
	s.yielded, s.yieldedAt = true, now
	return true
}

// await reads the object if that is due, and takes the lease if it is free.
func (s *Service) await(ctx context.Context, now Instant) {
	s.mu.Lock()
	take := s.lease.mayTake(now) && now.atMost(s.nextWrite) >= 0
	due := now.atMost(s.nextRead) >= 0
	s.mu.Unlock()
	switch {
	case take:
		// A cheap read may be some seconds old.
		if !s.read(ctx, s.Platform.List) {
			return
		}
		s.mu.Lock()
		take = !s.lease.held && s.lease.mayTake(s.now())
		s.mu.Unlock()
		if take {
			s.write(ctx, false)
		}
	case due:
		s.read(ctx, s.Platform.ListCheaply)
	}
}

// resume writes the object again after the store came back from a copy.
func (s *Service) resume(ctx context.Context) {
	s.mu.Lock()
	if token := s.heldToken; token != 0 {
		s.endCalls()
		s.changed(false, token, "the store came back from a copy")
	}
	due := s.now().atMost(s.nextWrite) >= 0
	s.mu.Unlock()
	if !due || !s.read(ctx, s.Platform.List) {
		return
	}
	s.mu.Lock()
	may := s.lease.held && s.lease.mayResume(s.Platform.Era())
	lost := s.lease.held && !may && s.lease.seen.era != s.lease.era
	if lost {
		s.lease.lose(s.now())
		s.update("another instance took the lease in a new era")
	}
	s.mu.Unlock()
	if may {
		s.write(ctx, false)
	}
}

// renew writes the object again with the same token, or reads it if the outcome of the last
// write is unknown.
func (s *Service) renew(ctx context.Context) {
	s.mu.Lock()
	unsure := s.lease.unsure
	s.mu.Unlock()
	if unsure && !s.read(ctx, s.Platform.List) {
		return
	}
	s.mu.Lock()
	due := s.lease.held && s.lease.era == s.Platform.Era() && s.lease.renewalDue(s.now())
	s.mu.Unlock()
	if due {
		s.write(ctx, false)
	}
}

// list is a way to read the objects of a kind.
type list func(ctx context.Context, kind string) (platform.Listing, error)

// read reads the object and reports whether the store answered.
func (s *Service) read(ctx context.Context, read list) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	s.nextRead = later(s.now(), readPeriod)
	s.mu.Unlock()
	l, err := read(ctx, platform.DutyKind)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.nextWrite = later(s.now(), retryPeriod)
		s.failed(err, "the lease cannot be read")
		return false
	}
	s.storeDown = false
	seen := sighting{era: l.Era, store: l.Revision, at: s.now()}
	for _, o := range l.Objects {
		if o.Name != platform.LeaseName {
			continue
		}
		seen.revision = o.Revision
		r, err := decodeRecord(o)
		if err == nil {
			seen.record, seen.readable = r, true
		} else if s.badLogged != string(o.Value) {
			s.badLogged = string(o.Value)
			s.Log.WithField("Error", err.Error()).Warn("the lease cannot be decoded; it counts as that of another instance until it is not renewed")
		}
	}
	s.lease.see(seen)
	s.update("the store has the lease of another instance")
	return true
}

// write writes the object: a renewal if the lease is held in the present era, a new token
// otherwise. With released set it is released.
func (s *Service) write(ctx context.Context, released bool) bool {
	s.mu.Lock()
	l := &s.lease
	era := l.seen.era
	r := record{Holder: s.Self, Token: l.token, Nonce: uuid.NewString(), Released: released}
	if !l.held || l.era != era {
		r.Token = l.nextToken()
	}
	revision := l.seen.revision
	sent := s.now()
	l.sent(r.Nonce, sent)
	s.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		s.Log.WithField("Error", err.Error()).Error("the lease cannot be encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err = s.Platform.Update(ctx, platform.DutyKind, platform.LeaseName, value, revision)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch {
	case errors.Is(err, platform.ErrConflict):
		// The write of another instance, or an earlier one of this instance.
		s.nextRead, s.nextWrite = now, now
		delete(l.writes, r.Nonce)
		l.unsure = true
		return false
	case err != nil:
		l.unsure = true
		s.nextWrite = later(now, retryPeriod)
		s.failed(err, "the lease cannot be written")
		return false
	case s.Platform.Era() != era:
		// The store came back from a copy meanwhile: the token is of an earlier era.
		l.unsure = true
		s.nextRead = now
		return false
	}
	s.storeDown = false
	l.seen = sighting{era: era, revision: revision, store: revision, record: r, readable: true, at: now}
	l.known = true
	if released {
		return true
	}
	l.accept(r, era, sent)
	s.expire(now)
	s.update("the lease was taken")
	return true
}

// failed logs the first of several failed calls. The caller holds s.mu.
func (s *Service) failed(err error, message string) {
	if !s.storeDown {
		s.Log.WithFields(logrus.Fields{"Held": s.lease.held, "Error": err.Error()}).Warn(message)
	}
	s.storeDown = true
}

// update renews the context of calls and tells of a change of the holder. The caller holds
// s.mu.
func (s *Service) update(reason string) {
	l := &s.lease
	if s.heldToken != 0 && (!l.held || l.token != s.heldToken) {
		token := s.heldToken
		s.endCalls()
		s.changed(false, token, reason)
	}
	if !l.held || s.heldToken == l.token || !l.valid(s.now(), callReserve) || l.era != s.Platform.Era() {
		return
	}
	token := l.token
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = withGuard(ctx, func() error { return s.check(token) })
	s.cancel, s.heldToken = cancel, token
	s.changed(true, token, reason)
	s.group.Go(func(group context.Context) { s.watch(group, ctx, cancel, token) })
}

// watch ends the context of calls with a token before its lease may have ended.
func (s *Service) watch(group, calls context.Context, cancel context.CancelFunc, token int64) {
	defer cancel()
	for s.check(token) == nil {
		s.mu.Lock()
		left := s.lease.length - callReserve - s.now().atMost(s.lease.from)
		s.mu.Unlock()
		select {
		case <-group.Done():
			return
		case <-calls.Done():
			return
		case <-time.After(max(min(left, checkPeriod), time.Millisecond)):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldToken == token {
		s.endCalls()
		s.changed(false, token, "the lease was not renewed in time")
	}
}

// endCalls ends the context of calls. The caller holds s.mu.
func (s *Service) endCalls() {
	if s.cancel != nil {
		s.cancel()
	}
	s.ctx, s.cancel, s.heldToken = nil, nil, 0
}

// changed logs and tells that the lease was taken or lost. The caller holds s.mu.
func (s *Service) changed(held bool, token int64, reason string) {
	s.changes++
	s.Log.WithFields(logrus.Fields{"Held": held, "Token": token, "Reason": reason}).Info("holder of the duties changed")
	if s.OnChange != nil {
		s.OnChange(held, token)
	}
}

// Release ends the calls of this instance and releases the lease, if it holds it. It does not
// take the lease again.
func (s *Service) Release(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.calls <- struct{}{}
	defer func() { <-s.calls }()
	s.mu.Lock()
	held := s.lease.held
	s.mu.Unlock()
	if held {
		s.release(ctx, "this instance leaves")
	}
}

// release ends the calls and releases the lease.
func (s *Service) release(ctx context.Context, reason string) {
	s.mu.Lock()
	token, told := s.lease.token, s.heldToken != 0
	s.endCalls()
	if told {
		s.changed(false, token, reason)
	}
	valid := s.lease.valid(s.now(), 0) && s.lease.era == s.Platform.Era()
	s.mu.Unlock()
	if valid {
		select {
		case <-ctx.Done():
		case <-time.After(drainTime):
		}
		s.write(ctx, true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.lose(s.now())
}

// later returns the instant a time after another.
func later(i Instant, d time.Duration) Instant {
	return Instant{Awake: i.Awake.Add(d), Elapsed: i.Elapsed + d}
}
