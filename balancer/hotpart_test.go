package balancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHotReadWeight guards against copies of parts that few requests share, or that have
// enough copies already, and against a hot part that keeps its weight.
func TestHotReadWeight(t *testing.T) {
	for _, c := range []struct {
		name              string
		uses, all         float64
		upstreams, copies int
		least, most       float64
	}{
		{"a sixth of all requests, one copy of 60", 300, 1800, 60, 1, 1, 1.5},
		{"the same, ten copies", 300, 1800, 60, 10, readWeight, readWeight},
		{"as much as the mean", 30, 1800, 60, 1, readWeight, readWeight},
		{"one use seen by one instance of many", 1, 10, 90, 1, readWeight, readWeight},
		{"no copy", 300, 1800, 60, 0, readWeight, readWeight},
		{"all hold it", 300, 1800, 3, 3, readWeight, readWeight},
		{"no requests", 0, 0, 60, 1, readWeight, readWeight},
	} {
		w := HotReadWeight(c.uses, c.all, c.upstreams, c.copies)
		assert.Check(t, w >= c.least && w <= c.most, "%s: %v", c.name, w)
	}
}
