package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errDisplaced is the cause with which a waiting request is refused for one of
// a higher tier.
var errDisplaced = errors.New("a higher tier took the place of a waiting request")

// admission bounds the requests that one instance holds. At the bound, a
// request takes the place of one of a lower tier that still waits for a grant.
type admission struct {
	mu     sync.Mutex
	held   map[*run]context.CancelCauseFunc
	queued map[*run]bool // queued holds the requests that wait for a grant.
}

// enter admits a request or not. The returned function must be called when
// the request has ended.
func (a *admission) enter(ctx context.Context, limit int, r *run) (context.Context, func(), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held == nil {
		a.held = map[*run]context.CancelCauseFunc{}
		a.queued = map[*run]bool{}
	}
	if len(a.held) >= limit && !a.displace(r) {
		return ctx, func() {}, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a.held[r] = cancel
	return ctx, func() { a.leave(r) }, true
}

// displace ends the wait of a request of the lowest tier below that of r.
func (a *admission) displace(r *run) bool {
	var victim *run
	for w := range a.queued {
		if w.req.Rank > r.req.Rank && (victim == nil || w.req.Rank > victim.req.Rank) {
			victim = w
		}
	}
	if victim == nil {
		return false
	}
	a.held[victim](errDisplaced)
	delete(a.held, victim)
	delete(a.queued, victim)
	return true
}

func (a *admission) leave(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.held[r]; cancel != nil {
		cancel(nil)
	}
	delete(a.held, r)
	delete(a.queued, r)
}

// waiting marks that a request waits for a grant until the returned function
// is called.
func (a *admission) waiting(r *run) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held[r] != nil {
		a.queued[r] = true
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.queued, r)
	}
}
