// Package follow follows the objects of one kind in the platform's store: it
// lists them, watches for changes, and lists them again when the store no
// longer has the history.
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
	longWait       = 10 * time.Second       // how long one watch waits for a change
	shortWait      = 700 * time.Millisecond // of an Alert instance, so that a lost watch is noticed soon
	rolePollPeriod = 200 * time.Millisecond // time between checks of the role
	initialBackoff = 100 * time.Millisecond // after the first failed call
	maxBackoff     = 600 * time.Millisecond // short, so that the store's return is noticed soon
)

// Role is how closely an instance follows the store.
type Role int

// The roles, from the least to the most calls to the store.
const (
	Idle    Role = iota // makes no calls once the objects are listed: the instance is updated by its peers
	Relaxed             // watches with long waits
	Alert               // watches with short waits, so that a lost watch is noticed within one short wait
)

// Follower follows the objects of one kind. The exported fields are set before
// Run. The functions are called one at a time.
type Follower struct {
	Platform *platform.Client
	Kind     string
	Role     func() Role   // returns how closely to follow the store; nil means Relaxed
	Delay    time.Duration // bounds the random delay before the first call
	OnList   func(l platform.Listing)
	OnChange func(c platform.Changes)
	OnOutage func(err error) // called once when the store stops answering; may be nil
	OnReturn func()          // called once when the store answers again; may be nil
	Log      logrus.FieldLogger

	mu          sync.Mutex
	lastAnswer  time.Time // when the store last answered
	synced      int64     // revision up to which all changes are known
	outageStart time.Time // when the store stopped answering; zero while it answers
	group       background.Group
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

// Synced returns the revision up to which all changes of the kind are known.
func (f *Follower) Synced() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Idle reports whether this instance is updated by its peers only.
func (f *Follower) Idle() bool {
	return f.role() == Idle
}

// StoreUnreachable reports whether the store does not answer now.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.outageStart.IsZero()
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
			f.recordAnswer(0)
			f.Log.WithField("Kind", f.Kind).Info("the store no longer has the history; listing again")
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

// listOrWatch lists the objects if no revision is known yet, and watches for
// changes otherwise.
func (f *Follower) listOrWatch(ctx context.Context) error {
	after := f.Synced()
	if after != 0 && f.role() == Idle {
		f.clearOutage()
		sleep(ctx, rolePollPeriod)
		return nil
	}
	if after == 0 {
		l, err := f.Platform.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.recordAnswer(l.Revision)
		f.OnList(l)
		return nil
	}
	c, cancelled, err := f.watch(ctx, after)
	if err != nil || cancelled {
		return err
	}
	f.recordAnswer(c.Revision)
	if len(c.Events) > 0 {
		f.OnChange(c)
	}
	return nil
}

// clearOutage ends a recorded outage, because an instance that makes no calls
// cannot determine whether the store answers.
func (f *Follower) clearOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageStart = time.Time{}
}

// watch waits for changes. It reports whether it cancelled a long wait because
// the role is no longer Relaxed.
func (f *Follower) watch(ctx context.Context, after int64) (c platform.Changes, cancelled bool, err error) {
	wait := longWait
	switch {
	case f.StoreUnreachable():
		wait = 0
	case f.role() == Alert:
		wait = shortWait
	}
	if wait != longWait {
		c, err = f.Platform.Watch(ctx, f.Kind, after, wait)
		return c, false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cancelOnRoleChange(ctx, cancel)
	c, err = f.Platform.Watch(ctx, f.Kind, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errRoleChanged) {
		return c, true, nil
	}
	return c, false, err
}

// errRoleChanged is the cause with which a long wait is cancelled.
var errRoleChanged = errors.New("role of the instance changed during a watch")

// cancelOnRoleChange cancels a long wait once the role is no longer Relaxed.
func (f *Follower) cancelOnRoleChange(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(rolePollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.role() != Relaxed {
				cancel(errRoleChanged)
				return
			}
		}
	}
}

func (f *Follower) role() Role {
	if f.Role == nil {
		return Relaxed
	}
	return f.Role()
}

// recordAnswer records an answer of the store and the revision in it. It ends
// an outage.
func (f *Follower) recordAnswer(revision int64) {
	now := time.Now()
	f.mu.Lock()
	outageStart := f.outageStart
	f.outageStart = time.Time{}
	f.lastAnswer = now
	f.synced = revision
	f.mu.Unlock()
	if outageStart.IsZero() {
		return
	}
	f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "AwayMillis": now.Sub(outageStart).Milliseconds()}).Info("the store answers again")
	if f.OnReturn != nil {
		f.OnReturn()
	}
}

// recordFailure records a failed call. The first one starts an outage.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	first := f.outageStart.IsZero()
	if first {
		f.outageStart = time.Now()
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
