package follow

import (
	"context"
	"sync"
	"time"

	"knapweedwell/background"
)

// Relay fetches from peers the changes that the store has not delivered, one
// fetch at a time. The exported fields are set before the first call.
type Relay struct {
	Delay   time.Duration // time that the store has before a peer is asked
	Timeout time.Duration // bounds one fetch

	mu       sync.Mutex
	fetching bool
	group    background.Group
}

// Fetch calls fetch in the background if this instance is behind, unless
// another fetch is running. If wait is set, the store has Delay to deliver the
// changes first.
func (r *Relay) Fetch(wait bool, behind func() bool, fetch func(ctx context.Context)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching || !behind() {
		return
	}
	r.fetching = true
	r.group.Go(func(ctx context.Context) {
		defer r.done()
		if wait {
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
	r.fetching = false
}

// Close cancels a running fetch and waits for it to return.
func (r *Relay) Close() {
	r.group.Close()
}
