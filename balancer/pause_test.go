package balancer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// pause lets an upstream ask for a pause in its answer to a request.
func pause(p *Picker, now time.Time, u *route.Upstream, d time.Duration) bool {
	a := p.Begin(now, newRequest(1, 2, 0), Choice{Upstream: u})
	defer a.End(now, Rejected)
	return a.Pause(now, d)
}

// TestPause checks that a paused upstream is not chosen, not even as the only one, until
// the latest end that it stated, and that its next incarnation is chosen.
func TestPause(t *testing.T) {
	us, now, p, r := upstreams(2), time.Unix(1000, 0), newPicker(), newRequest(1, 2, 0)
	assert.Assert(t, pause(p, now, us[0], 2*time.Second))
	assert.Assert(t, !pause(p, now, us[0], time.Second))
	for range 50 {
		c, ok := p.Choose(now, us, r)
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.ID, "u-1")
	}
	_, all := p.PauseLeft(now, us)
	assert.Assert(t, !all)
	assert.Assert(t, pause(p, now, us[1], time.Minute))
	_, ok := p.Choose(now, us, r)
	assert.Assert(t, !ok)
	left, all := p.PauseLeft(now, us)
	assert.Assert(t, all)
	assert.Equal(t, left, 2*time.Second)
	restarted := *us[1]
	restarted.Born = 99
	c, ok := p.Choose(now, []*route.Upstream{us[0], &restarted}, r)
	assert.Assert(t, ok)
	assert.Equal(t, c.Upstream.Born, int64(99))
	c, ok = p.Choose(now.Add(2*time.Second), us[:1], r)
	assert.Assert(t, ok)
	assert.Equal(t, c.Upstream.ID, "u-0")
}

// TestLongPause checks that a pause is bounded, and that it is not forgotten while the
// upstream is not a candidate.
func TestLongPause(t *testing.T) {
	us, now, p, r := upstreams(2), time.Unix(1000, 0), newPicker(), newRequest(1, 2, 0)
	pause(p, now, us[0], math.MaxInt64)
	for end := now.Add(maxPause - time.Second); now.Before(end); now = now.Add(time.Second) {
		_, ok := p.Choose(now, us[1:], r)
		assert.Assert(t, ok)
	}
	_, ok := p.Choose(now, us[:1], r)
	assert.Assert(t, !ok)
	_, ok = p.Choose(now.Add(time.Second), us[:1], r)
	assert.Assert(t, ok)
}

// TestHasUpstreamPaused guards against the interruption of a silent upstream for the sake
// of another one that is paused, to which the request then cannot be sent.
func TestHasUpstreamPaused(t *testing.T) {
	us, now, p := upstreams(2), time.Unix(1000, 0), newPicker()
	avoid := map[string]bool{"u-0": true}
	assert.Assert(t, p.HasUpstream(now, us, avoid))
	pause(p, now, us[1], time.Second)
	assert.Assert(t, !p.HasUpstream(now, us, avoid))
	assert.Assert(t, p.HasUpstream(now.Add(time.Second), us, avoid))
}
