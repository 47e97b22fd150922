package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

// serveStream serves a stream of 20 events with one longer gap from an upstream
// and returns the time of its end.
func serveStream(p *Picker, now time.Time, u *route.Upstream, n int, gap, longestGap time.Duration) time.Time {
	r := newRequest(uint64(n%3), uint64(1000+n), 1)
	a := p.Begin(now, r, Choice{Upstream: u, Predicted: 100 * time.Millisecond})
	now = now.Add(100 * time.Millisecond)
	a.First(now)
	for event := range 20 {
		a.Event(now)
		if event == 10 {
			now = now.Add(longestGap)
		} else {
			now = now.Add(gap)
		}
	}
	a.End(now, Served)
	return now
}

// countChoices returns the number of choices of each upstream among requests
// without shared parts.
func countChoices(p *Picker, now time.Time, us []*route.Upstream, target time.Duration) map[string]int {
	counts := map[string]int{}
	for n := range 60 {
		r := Request{Pool: model, GapAim: target, Prompt: &request.Prompt{Parts: []request.Part{{ID: uint64(5000 + n), Tokens: 800}}, Tokens: 800}}
		if c, ok := p.Choose(now, us, r); ok {
			counts[c.Upstream.ID]++
		}
	}
	return counts
}

// TestGapRatio checks that an upstream whose gaps are 1.8 times as long as those of
// the other three gets no stream whose target it would miss and gets others, and
// that a peer without observations of it does the same after a report.
func TestGapRatio(t *testing.T) {
	us, now := upstreams(4), time.Unix(1000, 0)
	p, peer := newPicker(), newPicker()
	for n := range 80 {
		u, gap, longestGap := us[n%4], 20*time.Millisecond, 150*time.Millisecond
		if u == us[2] {
			gap, longestGap = 36*time.Millisecond, 270*time.Millisecond
		}
		if n%10 != 7 {
			now = serveStream(p, now, u, n, gap, longestGap)
		}
		if u != us[2] {
			_ = serveStream(peer, now, u, n, gap, longestGap)
		}
	}
	const tight, wide = 200 * time.Millisecond, 500 * time.Millisecond
	assert.Equal(t, countChoices(p, now, us, tight)[us[2].ID], 0)
	assert.Assert(t, countChoices(p, now, us, wide)[us[2].ID] > 0)
	assert.Assert(t, countChoices(peer, now, us, tight)[us[2].ID] > 0, "the peer has no observation of the upstream yet")
	p.Begin(now, newRequest(1, 2, 1), Choice{Upstream: us[2]})
	reports, _ := p.Reports(now)
	peer.ApplyReport(now, "first", reports, nil, func(string) (int, bool) { return 0, false })
	now = now.Add(gapRatioCacheTime)
	assert.Equal(t, countChoices(peer, now, us, tight)[us[2].ID], 0)
	later := now.Add(6 * gapRatioHalfLife)
	assert.Assert(t, countChoices(peer, later, us, tight)[us[2].ID] > 0, "the upstream was not tried again after its gap ratio became old")
}

// TestGapMissShare compares the stored longest gaps with several targets.
func TestGapMissShare(t *testing.T) {
	ps := newPoolStats()
	for n := range 3 * keptStreams {
		ps.addLongestGap(float64(n%10+1) / 10)
	}
	assert.Equal(t, len(ps.sortedGapSeconds), keptStreams)
	assert.Assert(t, ps.gapMissShare(2*time.Second, 1) == 0)
	assert.Assert(t, ps.gapMissShare(50*time.Millisecond, 1) == 1)
	half := ps.gapMissShare(550*time.Millisecond, 1)
	assert.Assert(t, half > 0.4 && half < 0.6, half)
	assert.Assert(t, ps.gapMissShare(550*time.Millisecond, 2) > half)
	assert.Assert(t, ps.gapMissShare(0, 1) == 0, "a route without a target must miss none")
}
