package follow

import (
	"context"
	"sync"
	"time"

	"knapweedwell/background"
)

// Relay fetches from peers what the store has not brought, one fetch at a time.
// The exported fields are set before the first call.
type Relay struct {
	Delay   time.Duration // Delay is the time that the store has before a peer is asked.
	Timeout time.Duration // Timeout bounds one fetch.

	mu    sync.Mutex
	busy  bool
	group background.Group
}

// Fetch runs the fetch in the background while this instance is behind, unless
// another one is under way. If patient is set, the store has its time first.
func (r *Relay) Fetch(patient bool, behind func() bool, fetch func(ctx context.Context)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || !behind() {
		return
	}
	r.busy = true
	r.group.Go(func(ctx context.Context) {
		defer r.done()
		if patient {
			sleep(ctx, r.Delay)
		}
		if !behind() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, r.Timeout)
		defer cancel()
		fetch(ctx)
	})
}

func (r *Relay) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
}

// Close ends a fetch under way and waits for it.
func (r *Relay) Close() {
	r.group.Close()
}
