// Package follow follows the objects of one kind in the platform's store: it
// lists them, watches for changes, and lists them again when the store no
// longer has the history or has come back from a copy.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/kernel"
	"knapweedwell/platform"
)

const (
	longWait         = 10 * time.Second       // how long one watch waits for a change
	defaultAlertWait = 700 * time.Millisecond // of an Alert instance without a deadline
	// alertWaitShare is the share of the deadline for a change that one watch of
	// an Alert instance may wait. The rest is for noticing that a watch was lost
	// and for passing the change on.
	alertWaitShare = 0.4
	// collectTime is the time between the changes that a watch returned and the next
	// watch. Changes in quick succession are thereby returned by one call.
	collectTime    = 100 * time.Millisecond
	rolePollPeriod = 200 * time.Millisecond // time between checks of the role
	initialBackoff = 100 * time.Millisecond // after the first failed call
	maxBackoff     = 600 * time.Millisecond // short, so that the store's return is noticed soon
)

// Role is how closely an instance follows the store.
type Role int

// The roles, from the least to the most calls to the store.
const (
	Idle   Role = iota // makes no calls once the objects are listed: others follow the store and update the instance
	Paused             // makes no calls for some time, though too few others reach the store
	Alert              // watches with short waits, so that a lost watch is noticed within one of them
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Alert:
		return "alert"
	case Paused:
		return "paused"
	}
	return "idle"
}

// Follower follows the objects of one kind. The exported fields are set before
// Run. The functions are called one at a time.
type Follower struct {
	Platform *platform.Client
	Kind     string
	Role     func() Role   // returns how closely to follow the store; nil means watches with long waits
	Delay    time.Duration // bounds the random delay before the first call
	Deadline time.Duration // time in which a change must be in force everywhere; zero if there is none
	MaxWait  time.Duration // bounds the wait of one watch of an Alert instance; zero means no bound
	OnList   func(l platform.Listing)
	OnChange func(c platform.Changes)
	OnOutage func(err error) // called once when the store stops answering; may be nil
	OnReturn func()          // called once when the store answers again; may be nil
	Log      logrus.FieldLogger

	mu          sync.Mutex
	lastAnswer  time.Time     // when the store last answered
	synced      int64         // revision up to which all changes are known
	era         int64         // of the revision
	unreachable bool          // whether the last call failed
	outageStart time.Time     // when the store stopped answering; zero while it answers this instance or others
	lastFailure time.Time     // when a call last failed
	syncedAt    time.Time     // when synced was the newest revision; zero before the first list
	silence     time.Duration // result of Silence
	group       background.Group

	// behind is set if the changes since synced may be many: a list is shorter. Only loop
	// uses it.
	behind bool
}

// Run starts following the store.
func (f *Follower) Run(*kernel.Kernel) error {
	f.group.Go(f.loop)
	return nil
}

// Close stops following the store.
func (f *Follower) Close() error {
	f.group.Close()
	return nil
}

// LastAnswer returns when the store last answered, zero if it never did.
func (f *Follower) LastAnswer() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswer
}

// Synced returns the revision up to which all changes of the kind are known, and its era.
func (f *Follower) Synced() (era, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era, f.synced
}

// Silence returns how long the store may have been away before its newest answer: the time
// since all changes were last known, the longest duration if they never were. An instance that
// was idle or did not run in that time cannot tell whether the store answered others.
func (f *Follower) Silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silence
}

// Idle reports whether this instance makes no calls: it is updated by its peers only.
func (f *Follower) Idle() bool {
	return f.Role != nil && f.Role() != Alert
}

// StoreUnreachable reports whether the most recent call to the store failed. An
// Idle instance makes none, so that the result may be old: LastFailure tells how old.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable
}

// LastFailure returns when a call to the store last failed, zero if none did.
func (f *Follower) LastFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastFailure
}

func (f *Follower) loop(ctx context.Context) {
	if f.Delay > 0 {
		sleep(ctx, rand.N(f.Delay))
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialBackoff
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		err := f.listOrWatch(ctx)
		switch {
		case err == nil:
			retry.Reset()
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			f.recordAnswer(0, 0, time.Now())
			f.Log.WithField("Kind", f.Kind).Info("the store no longer has the history; listing again")
			continue
		case errors.Is(err, platform.ErrTooLarge) && !f.behind:
			f.behind = true
			f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "Error": err.Error()}).Warn("the changes are too many; listing again")
			continue
		case ctx.Err() != nil:
			return
		}
		f.recordFailure(err)
		sleep(ctx, retry.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// listOrWatch lists the objects if no revision is known yet or changes may have been
// missed for long, and watches for changes otherwise.
func (f *Follower) listOrWatch(ctx context.Context) error {
	era, after := f.Synced()
	if after != 0 && f.Idle() {
		f.behind = true
		f.leaveOutage()
		sleep(ctx, rolePollPeriod)
		return nil
	}
	if after == 0 || f.behind || f.Platform.Era() != era {
		sent := time.Now()
		l, err := f.Platform.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.behind = false
		f.recordAnswer(l.Era, l.Revision, sent)
		f.OnList(l)
		return nil
	}
	wait := f.watchWait()
	latest := time.Now().Add(wait)
	c, err := f.Platform.Watch(ctx, f.Kind, after, wait)
	if err != nil {
		return err
	}
	if c.Era != era {
		// Its changes are those since a revision that has been given out again.
		return nil
	}
	f.recordAnswer(c.Era, c.Revision, latest)
	if len(c.Events) > 0 {
		f.OnChange(c)
		sleep(ctx, collectTime)
	}
	return nil
}

// watchWait returns how long the next watch waits for changes. The wait is long without a
// Role, because no one else then relies on this instance to notice a lost watch.
func (f *Follower) watchWait() time.Duration {
	switch {
	case f.StoreUnreachable():
		return 0
	case f.Role != nil:
		return f.alertWait()
	}
	return longWait
}

// alertWait returns how long one watch of an Alert instance waits.
func (f *Follower) alertWait() time.Duration {
	wait := defaultAlertWait
	if f.Deadline > 0 {
		wait = time.Duration(alertWaitShare * float64(f.Deadline))
	}
	if f.MaxWait > 0 {
		wait = min(wait, f.MaxWait)
	}
	return wait
}

// AnswerAges returns how old the newest answer of the store may be at an Alert instance: while the
// store answers, and when the instance has noticed that it does not.
func (f *Follower) AnswerAges() (usual, most time.Duration) {
	usual = f.alertWait() + collectTime
	return usual, usual + platform.WatchMargin
}

// recordAnswer records an answer of the store and the revision in it, zero if there is none.
// It ends an outage. The answer is as of the latest time given, or of now if that is earlier:
// it may have been there for long before an instance that did not run has read it.
func (f *Follower) recordAnswer(era, revision int64, latest time.Time) {
	now := time.Now()
	f.mu.Lock()
	f.silence = now.Sub(f.syncedAt)
	if revision != 0 {
		f.syncedAt = now
		if latest.Before(now) {
			f.syncedAt = latest
		}
	}
	silence := f.silence
	outageStart, eraBefore, first := f.outageStart, f.era, f.lastAnswer.IsZero()
	f.outageStart, f.unreachable = time.Time{}, false
	f.lastAnswer = now
	f.synced = revision
	f.era = max(era, eraBefore)
	f.mu.Unlock()
	if era > eraBefore && !first {
		f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "Era": era, "Before": eraBefore, "Revision": revision}).Warn("the store came back from a copy; listed again")
	}
	if outageStart.IsZero() {
		return
	}
	f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "AwayMillis": now.Sub(outageStart).Milliseconds(), "SilenceMillis": silence.Milliseconds()}).Info("the store answers again")
	if f.OnReturn != nil {
		f.OnReturn()
	}
}

// leaveOutage ends the outage of an instance that has become Idle, because others reach the store:
// its next answer, whenever that is, is no return of the store.
func (f *Follower) leaveOutage() {
	if f.Role() != Idle {
		return
	}
	f.mu.Lock()
	start := f.outageStart
	f.outageStart = time.Time{}
	f.mu.Unlock()
	if !start.IsZero() {
		f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "AwayMillis": time.Since(start).Milliseconds()}).Info("the store answers others")
	}
}

// recordFailure records a failed call. The first one starts an outage.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	now := time.Now()
	f.lastFailure, f.unreachable = now, true
	first := f.outageStart.IsZero()
	if first {
		f.outageStart = now
	}
	f.mu.Unlock()
	if !first {
		return
	}
	f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "Error": err.Error()}).Warn("the store does not answer")
	if f.OnOutage != nil {
		f.OnOutage(err)
	}
}
