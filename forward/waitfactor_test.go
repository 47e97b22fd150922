package forward

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitFactor checks how observed waits raise the predicted ones, by pool, and that this
// ends without observations.
func TestWaitFactor(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name              string
		predicted, waited time.Duration
		count             int
		least, most       float64
	}{
		{"nothing observed", 0, 0, 0, 1, 1},
		{"as predicted", time.Second, time.Second, 50, 1, 1},
		{"sooner than predicted", time.Second, 100 * time.Millisecond, 50, 1, 1},
		{"one late", time.Second, 4 * time.Second, 1, 1.2, 1.5},
		{"many late", time.Second, 4 * time.Second, 50, 3.9, 4},
		{"many very late", time.Second, time.Minute, 50, 7.9, maxWaitFactor},
		{"short predictions", time.Millisecond, 400 * time.Millisecond, 50, 1.9, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f waitFactors
			for range c.count {
				f.observe(now, "p", c.predicted, c.waited)
			}
			got := f.factor(now, "p")
			assert.Assert(t, got >= c.least && got <= c.most, "%v", got)
			assert.Equal(t, f.factor(now, "another"), 1.0)
			later := f.factor(now.Add(waitFactorTime), "p")
			assert.Assert(t, math.Abs(math.Log(later)-math.Log(got)/math.E) < 1e-9, "%v", later)
		})
	}
}
