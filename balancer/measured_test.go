package balancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMeasured guards against an initial value that is taken for the speed of the engines: it is
// half of the true time here, so that half of the engines needed would seem enough.
func TestMeasured(t *testing.T) {
	const trueSeconds = 2 * initialPerTokenSeconds
	p := New("zone", nil)
	token, request := p.Measured("pool")
	assert.Equal(t, token, 0.0)
	assert.Equal(t, request, 0.0)
	stats := p.poolStats("pool")
	for i := range 400 {
		// Every third sample is undisturbed, the others wait.
		observed := trueSeconds
		if i%3 > 0 {
			observed *= 1.5
		}
		stats.observeFirstToken(stats.baseSeconds+3000*observed, 3000, true)
		token, _ = p.Measured("pool")
		assert.Assert(t, token == 0 || token > 0.9*trueSeconds && token < 1.6*trueSeconds, "%g after %d samples", token, i+1)
	}
	assert.Assert(t, token > 0)
	for range minServiceSamples {
		_, request = p.Measured("pool")
		assert.Equal(t, request, 0.0)
		stats.observeServiceTime(0.03)
	}
	_, request = p.Measured("pool")
	assert.Assert(t, request > 0.03 && request < 0.05, "%g", request)
}
