package balancer

import (
	"math"
	"slices"
	"time"

	"knapweedwell/route"
)

// selection is one choice in progress.
type selection struct {
	now   time.Time
	stats *poolStats

	split     bool // whether the pool is split strictly
	zoned     bool // whether requests leave the zone by decision only
	zones     *zoneShares
	zonesDue  bool
	drawn     string // other zone to which the request may go without a margin
	preferred [preferredCount]string

	best, excluded         Choice
	bestCost, excludedCost float64
	running                int
}

// choose returns the choice, one without an upstream if there is none. The caller holds p.mu.
func (p *Picker) choose(now time.Time, candidates []*route.Upstream, r Request) Choice {
	p.sweep(now)
	stats := p.poolStats(r.Pool.Name)
	sel := selection{now: now, stats: stats, bestCost: math.Inf(1), excludedCost: math.Inf(1)}
	lowest := stats.observeRank(now, r.Rank, r.LowestRank)
	sel.zoned = p.strict(r.Pool, stats)
	sel.split = sel.zoned && p.updateSplit(now, stats, candidates)
	if r.Pool.Engine != nil {
		p.updateReservation(now, &stats.reservation, candidates)
	}
	candidates = p.unpaused(now, candidates)
	if r.Pool.Engine != nil && !p.anyHolds(candidates, r, stats, sel.split) {
		sel.preferred = p.preferredByHash(now, candidates, r, stats, sel.split)
	}
	sel.zones = &stats.zones[kind(r.ShortestGap)]
	if sel.zoned {
		sel.zonesDue, sel.drawn = sel.zones.due(now), sel.zones.drawZone(p.random())
	}
	for _, u := range candidates {
		if !r.Avoid[u.ID] {
			p.consider(&sel, u, r)
		}
	}
	if sel.best.Upstream == nil {
		sel.best = sel.excluded
	}
	sel.best.HasLowestRank = lowest
	if sel.zonesDue {
		p.updateZones(now, sel.zones, r)
	}
	if sel.zoned {
		sel.zones.count(p, sel.best.Upstream)
	}
	stats.reservation.observePool(sel.running)
	return sel.best
}

// consider compares a candidate with the best one so far.
func (p *Picker) consider(sel *selection, u *route.Upstream, r Request) {
	s := p.state(sel.now, u)
	c, cost := p.score(sel.now, u, s, r, sel.stats, slices.Index(sel.preferred[:], u.ID))
	sel.running += c.Running
	cost += sel.stats.sideCost(r, c, s, sel.split)
	if sel.zoned {
		cost += p.zoneCost(u, s, r, sel.drawn)
	}
	excluded := sel.now.Before(s.excludedUntil)
	if sel.zonesDue && !excluded && (!sel.split || sel.stats.onSide(r, s)) {
		sel.zones.add(u, c.Running, p.busySeconds(sel.now, sel.stats, s, r, c))
	}
	cost += p.random() * (jitter.Seconds() + relativeJitter*math.Abs(cost))
	switch {
	case excluded:
		if cost < sel.excludedCost {
			sel.excluded, sel.excludedCost = c, cost
		}
	case cost < sel.bestCost:
		sel.best, sel.bestCost = c, cost
	}
}
