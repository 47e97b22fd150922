// Package follow follows the objects of one kind in the platform's store: it
// lists them, watches for changes, and begins anew when the history is gone.
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
	longWait     = 10 * time.Second       // longWait is how long one watch waits for a change.
	shortWait    = 700 * time.Millisecond // shortWait is that of an instance that has to notice a watch which hears nothing.
	lookPeriod   = 200 * time.Millisecond // lookPeriod is the time between looks at the role.
	firstBackoff = 100 * time.Millisecond // firstBackoff is the pause after the first failed call.
	maxBackoff   = 600 * time.Millisecond // maxBackoff bounds the pause, so that the store's return is noticed at once.
)

// Role is how closely an instance follows the store.
type Role int

// The roles.
const (
	Idle    Role = iota // Idle makes no calls: the instance learns from its peers.
	Relaxed             // Relaxed watches with long waits.
	Alert               // Alert watches with short waits, so that a watch which hears nothing is noticed.
)

// Follower follows one kind. The exported fields are set before Run. The
// functions are called one at a time.
type Follower struct {
	Platform *platform.Client
	Kind     string
	Role     func() Role   // Role tells how closely to follow; nil means Relaxed.
	Delay    time.Duration // Delay bounds the random pause before the first call.
	Listed   func(l platform.Listing)
	Changed  func(c platform.Changes)
	Lost     func(err error) // Lost is told once when the store stops answering; may be nil.
	Back     func()          // Back is told once when it answers again; may be nil.
	Log      logrus.FieldLogger

	mu      sync.Mutex
	contact time.Time // contact is when the store last answered.
	synced  int64     // synced is the revision up to which all changes are known.
	lost    time.Time // lost is when the store stopped answering; zero while it answers.
	group   background.Group
}

// Run starts to follow.
func (f *Follower) Run(*kernel.Kernel) error {
	f.group.Go(f.loop)
	return nil
}

// Close stops following.
func (f *Follower) Close() error {
	f.group.Close()
	return nil
}

// Contact returns when the store last answered, zero if it never did.
func (f *Follower) Contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Synced returns the revision up to which all changes of the kind are known.
func (f *Follower) Synced() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Idle reports whether this instance learns from its peers only.
func (f *Follower) Idle() bool {
	return f.role() == Idle
}

// Away reports whether the store does not answer now.
func (f *Follower) Away() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost.IsZero()
}

func (f *Follower) loop(ctx context.Context) {
	if f.Delay > 0 {
		sleep(ctx, rand.N(f.Delay))
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstBackoff
	pause.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		err := f.once(ctx)
		switch {
		case err == nil:
			pause.Reset()
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			f.answered(0)
			f.Log.WithField("Kind", f.Kind).Info("the store's history is gone; listing anew")
			continue
		case ctx.Err() != nil:
			return
		}
		f.failed(err)
		sleep(ctx, pause.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// once lists if nothing is known yet, and watches otherwise.
func (f *Follower) once(ctx context.Context) error {
	after := f.Synced()
	if after != 0 && f.role() == Idle {
		f.rest()
		sleep(ctx, lookPeriod)
		return nil
	}
	if after == 0 {
		l, err := f.Platform.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.answered(l.Revision)
		f.Listed(l)
		return nil
	}
	c, again, err := f.watch(ctx, after)
	if err != nil || again {
		return err
	}
	f.answered(c.Revision)
	if len(c.Events) > 0 {
		f.Changed(c)
	}
	return nil
}

// rest notes that nothing is known of the store while no call is made.
func (f *Follower) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = time.Time{}
}

// watch waits for changes. It reports whether the wait was given up to begin one
// that is shorter.
func (f *Follower) watch(ctx context.Context, after int64) (c platform.Changes, again bool, err error) {
	wait := longWait
	switch {
	case f.Away():
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
	go f.await(ctx, cancel)
	c, err = f.Platform.Watch(ctx, f.Kind, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errRole) {
		return c, true, nil
	}
	return c, false, err
}

// errRole is the cause with which a long wait is given up.
var errRole = errors.New("the instance follows the store in another way now")

// await ends a long wait once the role is another.
func (f *Follower) await(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.role() != Relaxed {
				cancel(errRole)
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

// answered notes an answer and the revision that it brought.
func (f *Follower) answered(revision int64) {
	now := time.Now()
	f.mu.Lock()
	lost := f.lost
	f.lost = time.Time{}
	f.contact = now
	f.synced = revision
	f.mu.Unlock()
	if lost.IsZero() {
		return
	}
	f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "AwayMillis": now.Sub(lost).Milliseconds()}).Info("the store answers again")
	if f.Back != nil {
		f.Back()
	}
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	first := f.lost.IsZero()
	if first {
		f.lost = time.Now()
	}
	f.mu.Unlock()
	if !first {
		return
	}
	f.Log.WithFields(logrus.Fields{"Kind": f.Kind, "Error": err.Error()}).Warn("the store does not answer")
	if f.Lost != nil {
		f.Lost(err)
	}
}
