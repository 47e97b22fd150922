// Package budget limits the sends beyond the first of each request. All
// instances share one budget for each pool: a ratio of the requests of a window,
// and some slack. Each instance spends only its part of it, from what it saw
// itself.
package budget

import (
	"sync"
	"time"
)

const (
	buckets    = 10
	ratioShare = 0.85 // ratioShare is the part of the ratio that is spent, since requests and repeats fall into different windows.
	slackShare = 0.5  // slackShare is the part of the slack that is spent, since a restarted instance has forgotten what it spent.
)

// Budget limits the repeats of one instance. The exported fields are set before
// the first call.
type Budget struct {
	Ratio     float64       // Ratio is the repeats for each request of the window.
	Window    time.Duration // Window is the length of the sliding window.
	Slack     float64       // Slack is the repeats of all instances beyond the ratio in a window.
	Instances func() int    // Instances returns how many instances share the slack.

	mu    sync.Mutex
	pools map[string]*window
}

// window counts over the last Window in buckets, and in one bucket more, since
// the first is only partly over.
type window struct {
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	at       int64 // at is the number of the present bucket.
}

func (b *Budget) window(now time.Time, pool string) *window {
	if b.pools == nil {
		b.pools = map[string]*window{}
	}
	w := b.pools[pool]
	n := now.UnixNano() / (int64(b.Window) / buckets)
	if w == nil {
		w = &window{at: n}
		b.pools[pool] = w
	}
	for skipped := 0; w.at < n; skipped++ {
		if skipped > buckets {
			w.at = n
			break
		}
		w.at++
		w.requests[w.at%(buckets+1)] = 0
		w.repeats[w.at%(buckets+1)] = 0
	}
	return w
}

// Set changes the ratio and the slack.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

// Request counts the first send of a request.
func (b *Budget) Request(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	w.requests[w.at%(buckets+1)]++
}

// Take reports whether a request may be sent once more, and counts that.
func (b *Budget) Take(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	requests, repeats := 0, 0
	for i := range w.requests {
		// The oldest bucket may lie outside the window: its requests do not count
		// and its repeats do.
		if int64(i) != (w.at+1)%(buckets+1) {
			requests += w.requests[i]
		}
		repeats += w.repeats[i]
	}
	allowed := b.Ratio*ratioShare*float64(requests) + b.Slack*slackShare/float64(max(b.Instances(), 1))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%(buckets+1)]++
	return true
}
