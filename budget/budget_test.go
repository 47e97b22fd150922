package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharedBudget lets several instances repeat whenever they may, restarts
// some of them, and checks every sliding window of the fleet.
func TestSharedBudget(t *testing.T) {
	const instances, ratio, slack = 6, 0.2, 54
	const window = 10 * time.Second
	rnd := rand.New(rand.NewPCG(1, 2))
	fresh := func() *Budget {
		return &Budget{Ratio: ratio, Window: window, Slack: slack, Instances: func() int { return instances }}
	}
	var fleet [instances]*Budget
	for i := range fleet {
		fleet[i] = fresh()
	}
	begin := time.Unix(1000, 0)
	const step = 20 * time.Millisecond
	const steps = 3000
	requests, repeats := make([]int, steps), make([]int, steps)
	for n := range steps {
		now := begin.Add(time.Duration(n) * step)
		if n%1500 == 700 {
			fleet[rnd.IntN(instances)] = fresh()
		}
		for _, b := range fleet {
			// The demand falls off in the middle and comes back.
			if rnd.Float64() < 0.3 && (n < 1000 || n > 1800) {
				b.Request(now, "p")
				requests[n]++
			}
			if b.Take(now, "p") {
				repeats[n]++
			}
		}
	}
	size := int(window / step)
	for from := 0; from+size <= steps; from++ {
		asked, again := 0, 0
		for n := from; n < from+size; n++ {
			asked += requests[n]
			again += repeats[n]
		}
		before := 0
		for n := max(from-size, 0); n < from; n++ {
			before += requests[n]
		}
		limit := ratio*float64(max(asked, before)) + slack
		assert.Assert(t, float64(again) <= limit, "window from step %d has %d repeats for %d requests", from, again, asked)
	}
}

// TestNothingNewAfterIdle checks that time without requests saves up nothing.
func TestNothingNewAfterIdle(t *testing.T) {
	b := &Budget{Ratio: 0.2, Window: 10 * time.Second, Slack: 8, Instances: func() int { return 1 }}
	now := time.Unix(5000, 0)
	for range 100 {
		b.Request(now, "p")
	}
	now = now.Add(time.Minute)
	taken := 0
	for b.Take(now, "p") {
		taken++
	}
	assert.Equal(t, taken, 4)
}
