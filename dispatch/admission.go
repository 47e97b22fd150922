package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errDisplaced is the cancellation cause of a waiting request that is refused in
// favour of one of a higher tier.
var errDisplaced = errors.New("displaced by a request of a higher tier")

// admission limits the concurrent requests of one instance. At the limit, a new
// request displaces one of a lower tier that still waits for a grant.
type admission struct {
	mu       sync.Mutex
	admitted map[*requestState]context.CancelCauseFunc
	waiting  map[*requestState]bool // requests that wait for a grant
}

// admit admits r if fewer than limit requests are admitted or if r displaces one
// of them, and reports whether it did. The returned context ends when r is
// displaced. The returned function must be called when r has ended.
func (a *admission) admit(ctx context.Context, limit int, r *requestState) (context.Context, func(), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitted == nil {
		a.admitted = map[*requestState]context.CancelCauseFunc{}
		a.waiting = map[*requestState]bool{}
	}
	if len(a.admitted) >= limit && !a.displace(r) {
		return ctx, func() {}, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a.admitted[r] = cancel
	return ctx, func() { a.release(r) }, true
}

// displace cancels a waiting request of the lowest tier below the tier of r. It
// returns false if there is none.
func (a *admission) displace(r *requestState) bool {
	var victim *requestState
	for w := range a.waiting {
		if w.req.Rank > r.req.Rank && (victim == nil || w.req.Rank > victim.req.Rank) {
			victim = w
		}
	}
	if victim == nil {
		return false
	}
	a.admitted[victim](errDisplaced)
	delete(a.admitted, victim)
	delete(a.waiting, victim)
	return true
}

func (a *admission) release(r *requestState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.admitted[r]; cancel != nil {
		cancel(nil)
	}
	delete(a.admitted, r)
	delete(a.waiting, r)
}

// markWaiting marks an admitted request as waiting for a grant until the
// returned function is called.
func (a *admission) markWaiting(r *requestState) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitted[r] != nil {
		a.waiting[r] = true
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.waiting, r)
	}
}
