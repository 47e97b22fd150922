package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharedBudget retries on several instances whenever their budgets allow it,
// restarts some of them, and checks the retries of all in every sliding window.
func TestSharedBudget(t *testing.T) {
	const instances, ratio, slack = 6, 0.2, 54
	const window = 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	newBudget := func() *Budget {
		return &Budget{Ratio: ratio, Window: window, Slack: slack, Instances: func() int { return instances }}
	}
	var budgets [instances]*Budget
	for i := range budgets {
		budgets[i] = newBudget()
	}
	start := time.Unix(1000, 0)
	const step = 20 * time.Millisecond
	const steps = 3000
	requests, retries := make([]int, steps), make([]int, steps)
	for n := range steps {
		now := start.Add(time.Duration(n) * step)
		if n%1500 == 700 {
			budgets[rng.IntN(instances)] = newBudget()
		}
		for _, b := range budgets {
			// No requests arrive in the middle of the run, then they resume.
			if rng.Float64() < 0.3 && (n < 1000 || n > 1800) {
				b.RecordRequest(now, "p")
				requests[n]++
			}
			if b.AllowRetry(now, "p") {
				retries[n]++
			}
		}
	}
	size := int(window / step)
	for from := 0; from+size <= steps; from++ {
		sent, retried := 0, 0
		for n := from; n < from+size; n++ {
			sent += requests[n]
			retried += retries[n]
		}
		before := 0
		for n := max(from-size, 0); n < from; n++ {
			before += requests[n]
		}
		limit := ratio*float64(max(sent, before)) + slack
		assert.Assert(t, float64(retried) <= limit, "window from step %d has %d retries for %d requests; the limit is %g", from, retried, sent, limit)
	}
}

// TestNoCreditWhileIdle checks that no retries are credited for time without
// requests.
func TestNoCreditWhileIdle(t *testing.T) {
	b := &Budget{Ratio: 0.2, Window: 10 * time.Second, Slack: 8, Instances: func() int { return 1 }}
	now := time.Unix(5000, 0)
	for range 100 {
		b.RecordRequest(now, "p")
	}
	now = now.Add(time.Minute)
	taken := 0
	for b.AllowRetry(now, "p") {
		taken++
	}
	assert.Equal(t, taken, 4)
}

// TestWindowCountsFromFirstCall guards against windows that follow the time of day, which
// may be set: the buckets begin with the first call.
func TestWindowCountsFromFirstCall(t *testing.T) {
	b := &Budget{Ratio: 2, Window: 10 * time.Second, Instances: func() int { return 1 }}
	first := time.Unix(5000, int64(900*time.Millisecond))
	b.RecordRequest(first, "p")
	assert.Assert(t, b.AllowRetry(first.Add(9200*time.Millisecond), "p"))
	b.RecordRequest(first, "q")
	assert.Assert(t, !b.AllowRetry(first.Add(10100*time.Millisecond), "q"))
	// A request that arrived before the first call counts in the first bucket.
	b.RecordRequest(first.Add(-3*time.Second), "r")
	assert.Assert(t, b.AllowRetry(first, "r"))
}
