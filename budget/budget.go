// Package budget limits retries, the sends of a request after its first. All
// instances share one budget for each pool: a ratio of the requests in a sliding
// window, plus a slack. Each instance spends only its part of the budget, from its
// own counts.
package budget

import (
	"sync"
	"time"
)

const (
	buckets = 10
	// ratioShare is the share of the ratio that is spent. It is below one because a
	// request and its retries can fall into different windows.
	ratioShare = 0.85
	// slackShare is the share of the slack that is spent. It is below one because
	// an instance loses its counts when it restarts.
	slackShare = 0.5
)

// Budget limits the retries of one instance. The exported fields are set before
// the first call.
type Budget struct {
	Ratio     float64       // retries for each request in the window
	Window    time.Duration // length of the sliding window
	Slack     float64       // retries of all instances in a window beyond the ratio
	Instances func() int    // returns the number of instances that share the slack

	mu    sync.Mutex
	start time.Time // of the first bucket: the first call
	pools map[string]*window
}

// window holds the counts of the last Window in buckets. It has one bucket more
// than a Window because the current one is not complete.
type window struct {
	requests [buckets + 1]int
	retries  [buckets + 1]int
	current  int64 // number of the current bucket since the start of the Budget
}

// window returns the counts of a pool and advances them to now. The caller holds
// b.mu.
func (b *Budget) window(now time.Time, pool string) *window {
	if b.pools == nil {
		b.pools = map[string]*window{}
		b.start = now
	}
	w := b.pools[pool]
	// The difference of two times does not change when the time of day is set.
	n := max(int64(now.Sub(b.start)/(b.Window/buckets)), 0)
	if w == nil {
		w = &window{current: n}
		b.pools[pool] = w
	}
	for skipped := 0; w.current < n; skipped++ {
		if skipped > buckets {
			w.current = n
			break
		}
		w.current++
		w.requests[w.current%(buckets+1)] = 0
		w.retries[w.current%(buckets+1)] = 0
	}
	return w
}

// SetLimits changes the ratio and the slack.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

// RecordRequest records the first send of a request.
func (b *Budget) RecordRequest(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	w.requests[w.current%(buckets+1)]++
}

// AllowRetry reports whether a request may be sent once more, and if so records the
// retry.
func (b *Budget) AllowRetry(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	requests, retries := 0, 0
	for i := range w.requests {
		// The oldest bucket may be outside the window: its retries count, its
		// requests do not.
		if int64(i) != (w.current+1)%(buckets+1) {
			requests += w.requests[i]
		}
		retries += w.retries[i]
	}
	allowed := b.Ratio*ratioShare*float64(requests) + b.Slack*slackShare/float64(max(b.Instances(), 1))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.current%(buckets+1)]++
	return true
}
