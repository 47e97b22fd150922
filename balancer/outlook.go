package balancer

import (
	"math/rand/v2"
	"time"

	"knapweedwell/route"
)

// reportedServices is the number of service times for which a plain service's report of its
// running requests is used: later most of them have ended.
const reportedServices = 2

// Outlook is what the candidates for a request that are not excluded are predicted to do with
// it. Predicted is the longest time there is if all are excluded.
type Outlook struct {
	Predicted time.Duration // shortest time to the first token
	Wait      time.Duration // part of Predicted that earlier requests cause
	FreeSlot  bool          // whether one of them has a free slot
}

// add adds a candidate.
func (o *Outlook) add(c *Choice) {
	o.FreeSlot = o.FreeSlot || c.Running < c.Upstream.Slots || c.Upstream.Slots <= 0
	if c.Predicted < o.Predicted {
		o.Predicted, o.Wait = c.Predicted, c.Wait
	}
}

// KnownLoad returns the counts of the peers at an upstream, and the number of running and
// waiting requests that it has reported, zero if it did not a short time ago.
func (p *Picker) KnownLoad(now time.Time, u *route.Upstream, plain bool) (Counts, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, u)
	reported := 0
	if s.loadFresh(now) && (!plain || now.Sub(s.reportedAt).Seconds() < reportedServices*p.poolStats(u.Pool).serviceSeconds) {
		reported = s.reportedRunning + s.reportedWaiting
	}
	return s.peerCounts(now), reported
}

// ChooseSpread chooses an upstream of a plain service for a request. It answers a load of
// short requests from many instances at few upstreams with few slots: counts of peers are
// older than a request takes, so that instances that all took the cheapest upstream would
// fill it together. Each takes the cheaper of two candidates drawn at random, from its own
// region while two there have a free slot.
func (p *Picker) ChooseSpread(now time.Time, candidates []*route.Upstream, r Request) (Choice, bool) {
	p.mu.Lock()
	near, all := [2]*route.Upstream{}, [2]*route.Upstream{}
	nearCount, allCount := 0, 0
	for _, u := range p.unpaused(now, candidates) {
		s := p.state(now, u)
		if r.Avoid[u.ID] || now.Before(s.excludedUntil) {
			continue
		}
		draw(&all, &allCount, u)
		if p.Regions[u.Zone] == p.Regions[p.Zone] && s.running+s.peerCounts(now).Running < u.Slots {
			draw(&near, &nearCount, u)
		}
	}
	p.mu.Unlock()
	drawn := all
	if nearCount >= len(near) {
		drawn = near
	}
	switch {
	case drawn[0] == nil:
		return p.Choose(now, candidates, r)
	case drawn[1] == nil:
		return p.Choose(now, drawn[:1], r)
	}
	return p.Choose(now, drawn[:], r)
}

// draw keeps two of the upstreams that it was called with, each pair with the same probability.
func draw(drawn *[2]*route.Upstream, count *int, u *route.Upstream) {
	if *count < len(drawn) {
		drawn[*count] = u
	} else if i := rand.IntN(*count + 1); i < len(drawn) {
		drawn[i] = u
	}
	*count++
}
