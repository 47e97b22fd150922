package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
)

// TestSpeedWeight guards against following old values of a speed that has changed since, and
// against forgetting those of a speed that lasts. Upstreams state a value every 100 ms.
func TestSpeedWeight(t *testing.T) {
	for _, c := range []struct {
		name     string
		lasting  bool
		least    float64
		greatest float64
	}{{"lasting", true, 0.9, 1}, {"new each time", false, 0, 0.2}} {
		rng := rand.New(rand.NewPCG(1, 2))
		var st speedStats
		now, speeds := time.Unix(1000, 0), make([]speed, 10)
		for n := range 100 {
			now = now.Add(100 * time.Millisecond)
			for i := range speeds {
				x := math.Exp(0.3 * rng.NormFloat64())
				if c.lasting {
					x = 0.6 + 0.1*float64(i) + 0.01*float64(n%2)
				}
				st.observe(now, &speeds[i], x)
			}
		}
		w := st.weights[speedAgeClass(100*time.Millisecond)]
		assert.Assert(t, w >= c.least && w <= c.greatest, "%s: weight %.2f", c.name, w)
		for class := 1; class < speedAgeClasses; class++ {
			assert.Assert(t, st.weights[class] <= st.weights[class-1], "an older value must not weigh more")
		}
	}
}

// TestSlowMachine guards against choosing an upstream that says that it is slow now while
// another is as usual, and against an unknown speed being taken for anything but the usual.
func TestSlowMachine(t *testing.T) {
	us, now, p := upstreams(2), time.Unix(1000, 0), newPicker()
	r := Request{Pool: model, Prompt: &request.Prompt{Tokens: 4000}}
	for n := range 20 {
		for i, u := range us {
			a := p.Begin(now, r, Choice{Upstream: u})
			a.Slowdown(now, []float64{1, 3}[(i+n/10)%2])
			a.End(now, Abandoned)
		}
		now = now.Add(10 * time.Millisecond)
		c, ok := p.Choose(now, us, r)
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.ID, us[n/10].ID, "after %d values", n+1)
	}
	slowdown, relative := p.poolStats(model.Name).speeds.slowdowns(now, &speed{})
	assert.Equal(t, slowdown, 1.0)
	assert.Equal(t, relative, 1.0)
}

// TestSenselessSpeed guards against a stated value that is no number, or none that a machine
// can have, putting an upstream out of use.
func TestSenselessSpeed(t *testing.T) {
	us, now, p := upstreams(1), time.Unix(1000, 0), newPicker()
	r := newRequest(1, 2, 0)
	for _, x := range []float64{math.NaN(), 0, -1, math.Inf(1), 1e300} {
		p.Begin(now, r, Choice{Upstream: us[0]}).Slowdown(now, x)
	}
	c, ok := p.Choose(now, us, r)
	assert.Assert(t, ok)
	assert.Assert(t, c.Predicted > 0 && c.Predicted < 10*time.Second, "%v", c.Predicted)
}
