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

	states []*state // states of the candidates, nil if they are looked up one by one

	hot        *hotParts
	readWeight float64 // weight of reading a token that the upstream does not hold

	best, excluded         Choice
	bestCost, excludedCost float64
	running                int
	outlook                Outlook
}

// choose returns the choice, one without an upstream if there is none. The caller holds p.mu.
func (p *Picker) choose(now time.Time, candidates []*route.Upstream, r Request) Choice {
	p.sweep(now)
	stats := p.poolStats(r.Pool.Name)
	sel := selection{now: now, stats: stats, readWeight: readWeight, bestCost: math.Inf(1), excludedCost: math.Inf(1)}
	sel.outlook.Predicted = math.MaxInt64
	lowest := stats.observeRank(now, r.Rank, r.LowestRank)
	sel.zoned = p.strict(r.Pool, stats)
	sel.split = sel.zoned && p.updateSplit(now, stats, candidates)
	if r.Pool.Engine != nil {
		p.updateReservation(now, &stats.reservation, candidates)
	}
	candidates = p.unpaused(now, candidates)
	sel.hot = &stats.hot[kind(r.ShortestGap)]
	if r.Pool.Engine != nil && !p.findHolders(&sel, candidates, r) {
		sel.preferred = p.preferredByHash(&sel, candidates, r)
	}
	sel.zones = &stats.zones[kind(r.ShortestGap)]
	if sel.zoned {
		sel.zonesDue, sel.drawn = sel.zones.due(now), sel.zones.drawZone(p.random())
	}
	for i, u := range candidates {
		if !r.Avoid[u.ID] {
			p.consider(&sel, u, p.stateOf(&sel, i, u), r)
		}
	}
	if sel.best.Upstream == nil {
		sel.best = sel.excluded
	}
	sel.best.HasLowestRank, sel.best.Outlook = lowest, sel.outlook
	if sel.zonesDue {
		p.updateZones(now, sel.zones, r)
	}
	if sel.zoned {
		sel.zones.count(p, sel.best.Upstream)
	}
	stats.reservation.observePool(sel.running)
	return sel.best
}

// stateOf returns the state of the candidate with the index.
func (p *Picker) stateOf(sel *selection, i int, u *route.Upstream) *state {
	if sel.states != nil {
		return sel.states[i]
	}
	return p.state(sel.now, u)
}

// findHolders reports whether a candidate is known to hold the shared parts of the prompt, as
// anyHolds. Where the strict split may apply, only upstreams on the side of the request count,
// and the weight of reading the parts follows from the number of holders.
func (p *Picker) findHolders(sel *selection, candidates []*route.Upstream, r Request) bool {
	if !sel.zoned {
		return p.anyHolds(candidates, r.Prompt)
	}
	p.candidateStates = p.candidateStates[:0]
	for _, u := range candidates {
		p.candidateStates = append(p.candidateStates, p.state(sel.now, u))
	}
	sel.states = p.candidateStates
	shared := r.Prompt.Shared()
	if len(shared) == 0 {
		return true
	}
	upstreams, copies := 0, 0
	for _, s := range sel.states {
		if sel.split && !sel.stats.onSide(r, s) {
			continue
		}
		upstreams++
		if s.cache.holds(shared) {
			copies++
		}
	}
	part := shared[len(shared)-1].ID
	sel.hot.add(sel.now, part)
	if float64(sharedTokens(r.Prompt)) >= strictLongShare*stepTokens {
		sel.readWeight = sel.hot.weight(sel.now, part, upstreams, copies)
	}
	return copies > 0
}

// consider compares a candidate with the best one so far.
func (p *Picker) consider(sel *selection, u *route.Upstream, s *state, r Request) {
	c, cost := p.score(sel.now, u, s, r, sel.stats, slices.Index(sel.preferred[:], u.ID), sel.readWeight)
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
	if excluded {
		if cost < sel.excludedCost {
			sel.excluded, sel.excludedCost = c, cost
		}
		return
	}
	sel.outlook.add(&c)
	if cost < sel.bestCost {
		sel.best, sel.bestCost = c, cost
	}
}
