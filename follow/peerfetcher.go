package follow

import (
	"context"
	"sync"
	"time"

	"knapweedwell/background"
)

// PeerFetcher fetches from peers the changes that the store has not delivered,
// one fetch at a time. The exported fields are set before the first call.
type PeerFetcher struct {
	Delay   time.Duration // time that the store has before a peer is asked
	Timeout time.Duration // bounds one fetch

	mu       sync.Mutex
	fetching bool
	group    background.Group
}

// Fetch calls fetch in the background if this instance is behind, unless
// another fetch is running. If wait is set, the store has Delay to deliver the
// changes first.
func (f *PeerFetcher) Fetch(wait bool, behind func() bool, fetch func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching || !behind() {
		return
	}
	f.fetching = true
	f.group.Go(func(ctx context.Context) {
		defer f.done()
		if wait {
			sleep(ctx, f.Delay)
		}
		if !behind() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, f.Timeout)
		defer cancel()
		fetch(ctx)
	})
}

func (f *PeerFetcher) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// Close cancels a running fetch and waits for it to return.
func (f *PeerFetcher) Close() {
	f.group.Close()
}
