// Package balancer chooses the upstream of a request by the predicted time to its
// first token. The prediction uses the prompt parts that the upstream does not
// hold, the work queued before the request, the network delay and the upstream's
// recent slowness and failures. Each instance decides without asking others, from
// the exact counts of its own requests and the counts that its peers report.
//
// It is used where the instance serves routes, by packages edge and forward. The
// chat interface uses packages pool and placement instead.
//
// The choices depend only on the calls, the times in them and the random source.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	// readWeight is the cost of reading a token that the upstream does not hold
	// relative to waiting for one: the read delays all later requests and takes
	// memory from other parts.
	readWeight = 25
	// preferredCount is the number of upstreams that are preferred for a part
	// which no upstream is known to hold.
	preferredCount = 2
	// preferenceStep is the share of the parts that count as missing at each further
	// preferred upstream. So all instances choose the first one unless it has more work.
	preferenceStep = 0.125
	// The random parts of a cost keep instances with equal views from all
	// choosing the same upstream.
	jitter         = 2 * time.Millisecond
	relativeJitter = 0.03

	crossRegionRoundTrips = 2                      // round trips that a request to another region takes
	sharingCost           = 20 * time.Millisecond  // delay caused by the other requests of a full upstream
	failureCost           = 800 * time.Millisecond // time that a request loses when its upstream fails
	missedGapCost         = 800 * time.Millisecond // cost of a gap over the target
	memoryThreshold       = 0.85                   // memory utilisation above which an engine may preempt
	memoryCostFactor      = 4                      // cost in service times per unit of utilisation above the threshold
	connectStep           = 0.02                   // weight of a longer time to connect in the estimate of its zone
	firstExclusion        = 300 * time.Millisecond // exclusion after a failure to connect
	longestExclusion      = 4 * time.Second        // bound of the exclusion after consecutive failures
	maxExclusionDoublings = 6                      // keeps the doubled time from overflowing
	peerLifetime          = 2 * time.Second        // age up to which a peer's counts are used
	stateLifetime         = 30 * time.Second       // time after which the state of an unused upstream is deleted
)

// Request describes a request that needs an upstream.
type Request struct {
	Pool       *route.Pool
	Rank       int
	LowestRank int // least urgent rank that a request for the pool may have
	Prompt     *request.Prompt
	GapAim     time.Duration // longest gap between events that meets the target; zero without a target
	// ShortestGap is set if other requests for the pool have a longer target than GapAim
	// and none has a shorter one.
	ShortestGap bool
	Bytes       int             // expected size of the request and its answer
	Avoid       map[string]bool // IDs of the upstreams that have failed the request
}

// Choice is a chosen upstream with the values that the choice was based on.
type Choice struct {
	Upstream      *route.Upstream
	Predicted     time.Duration // time to the first token
	Wait          time.Duration // part of Predicted that earlier requests cause
	HasLowestRank bool          // no less urgent rank is configured for the pool or was recently used
	Missing       int           // prompt tokens that the upstream has to read
	Running       int           // requests known to run at the upstream
	Pending       int           // tokens known to be read there before those of the request
	PeersAge      time.Duration // age of the oldest counts of a peer that were used
	Outlook       Outlook       // at all candidates

	slowdown float64 // expected slowdown of the upstream, as in speedStats
}

// Picker chooses upstreams. The exported fields are set before its first call.
type Picker struct {
	Zone    string
	Regions map[string]string // regions by zone
	Random  func() float64    // numbers from 0 to 1 that break ties; nil means the shared source
	// Strict asks for the strict split in all pools of engines; it also applies to pools
	// whose upstreams state their speed.
	Strict bool
	// ZoneCost and RegionCost are the delays that the operator would accept to save a
	// megabyte of traffic between availability zones, or between regions.
	ZoneCost   time.Duration
	RegionCost time.Duration
	// OnSplit is called after changes of a split, at most once a second for a pool. It may be
	// nil.
	OnSplit func(SplitState)
	// OnZoneShare is called when requests of a pool begin or end to be sent to another zone by
	// decision, at most once a second for each kind of them. It may be nil.
	OnZoneShare func(ZoneState)

	mu              sync.Mutex
	states          map[string]*state
	pools           map[string]*poolStats
	connectSeconds  map[string]float64  // seconds to connect, by zone
	peerStates      map[string][]*state // states that hold counts of a peer, by its name
	candidateStates []*state            // states of the candidates of the choice in progress
	cachedParts     cachedParts
	placements      []Placement // parts sent to upstreams since the last report
	sweptAt         time.Time
	lastPauseEnd    time.Time // no upstream is paused from then on
}

// New returns a picker for an instance of the zone.
func New(zone string, regions map[string]string) *Picker {
	return &Picker{
		Zone: zone, Regions: regions,
		states: map[string]*state{}, pools: map[string]*poolStats{}, connectSeconds: map[string]float64{}, peerStates: map[string][]*state{},
	}
}

// HasUpstream reports whether one of the candidates is neither avoided, excluded nor
// paused.
func (p *Picker) HasUpstream(now time.Time, candidates []*route.Upstream, avoid map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.unpaused(now, candidates) {
		if !avoid[u.ID] && !now.Before(p.state(now, u).excludedUntil) {
			return true
		}
	}
	return false
}

// Choose returns the candidate with the lowest cost that is not in r.Avoid, or
// false if there is none. An upstream that is excluded after a failure to connect
// is chosen only if there is no other; one that is paused is never chosen.
func (p *Picker) Choose(now time.Time, candidates []*route.Upstream, r Request) (Choice, bool) {
	p.mu.Lock()
	c := p.choose(now, candidates, r)
	split, splitChanged := p.splitChange(now, r.Pool.Name)
	zone, zoneChanged := p.zoneChange(now, r)
	p.mu.Unlock()
	if splitChanged && p.OnSplit != nil {
		p.OnSplit(split)
	}
	if zoneChanged && p.OnZoneShare != nil {
		p.OnZoneShare(zone)
	}
	return c, c.Upstream != nil
}

// sideCost returns the cost in seconds that the split of the pool adds to a choice.
func (ps *poolStats) sideCost(r Request, c Choice, s *state, strict bool) float64 {
	if strict {
		return ps.splitCost(r, c, ps.split.holds(s))
	}
	return reservationCost(r, c, ps.reservation.holds(s))
}

// score returns the choice of an upstream and its cost in seconds. The position of the
// upstream among the preferred ones is negative if it is none of them. The weight is that of
// reading a token that the upstream does not hold.
func (p *Picker) score(now time.Time, u *route.Upstream, s *state, r Request, stats *poolStats, preferred int, weight float64) (Choice, float64) {
	peers := s.peerCounts(now)
	c := Choice{Upstream: u, Running: s.running + peers.Running, Pending: s.pendingFor(r.Rank) + peers.Pending, PeersAge: peers.age}
	if s.loadFresh(now) {
		c.Running = max(c.Running, s.reportedRunning+s.reportedWaiting)
	}
	cost := p.delayTo(u, s)
	slowdown, relative := stats.speeds.slowdowns(now, &s.speed)
	c.slowdown = slowdown
	slow := slowdown * s.slowness(now)
	if r.Pool.Engine != nil {
		c.Missing = s.cache.missing(r.Prompt)
		toRead := c.Missing
		if preferred >= 0 {
			unshared := min(toRead, max(r.Prompt.Tokens-sharedTokens(r.Prompt), 0))
			toRead = unshared + int(preferenceStep*float64(preferred)*float64(toRead-unshared))
		}
		read := stats.perTokenSeconds * slow * (float64(c.Pending) + float64(c.Missing))
		c.Wait = seconds(stats.perTokenSeconds * slow * float64(c.Pending))
		cost += stats.baseSeconds*slow + read
		c.Predicted = seconds(cost)
		cost += (weight - 1) * stats.perTokenSeconds * float64(toRead)
		cost += missedGapCost.Seconds() * stats.gapMissShare(r.GapAim, relative*s.gapRatio(now))
	} else {
		cost += stats.serviceSeconds * slow
		c.Predicted = seconds(cost)
	}
	if u.Slots > 0 {
		filled := float64(c.Running) / float64(u.Slots)
		cost += sharingCost.Seconds() * filled
		if over := c.Running + 1 - u.Slots; over > 0 {
			cost += stats.serviceSeconds * slow * float64(over) / float64(u.Slots)
		}
	}
	if r.Pool.Engine != nil && r.Pool.Engine.MemoryTokens > 0 {
		need := float64(s.tokens+peers.Tokens+c.Missing) / float64(r.Pool.Engine.MemoryTokens)
		if need > memoryThreshold {
			cost += stats.serviceSeconds * (need - memoryThreshold) * memoryCostFactor
		}
	}
	return c, cost + failureCost.Seconds()*s.decayedFailureShare(now)
}

func (p *Picker) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// delayTo returns the time that the network adds to a request to an upstream.
func (p *Picker) delayTo(u *route.Upstream, s *state) float64 {
	switch p.distanceTo(u, s) {
	case sameZone:
		return 0
	case sameRegion:
		return p.connectSeconds[u.Zone]
	default:
		return crossRegionRoundTrips * p.connectSeconds[u.Zone]
	}
}

// networkDelaySeconds returns the time that the network adds to a request to the
// zone.
func (p *Picker) networkDelaySeconds(zone string) float64 {
	if zone == p.Zone {
		return 0
	}
	d := p.connectSeconds[zone]
	if p.Regions[zone] != p.Regions[p.Zone] {
		return crossRegionRoundTrips * d
	}
	return d
}

// anyHolds reports whether a candidate is known to hold the shared parts of the
// prompt. It is true for a prompt without shared parts.
func (p *Picker) anyHolds(candidates []*route.Upstream, prompt *request.Prompt) bool {
	shared := prompt.Shared()
	if len(shared) == 0 {
		return true
	}
	for _, u := range candidates {
		if s := p.states[u.ID]; s != nil && s.born == u.Born && s.cache.holds(shared) {
			return true
		}
	}
	return false
}

// preferredByHash returns the upstreams that are preferred for the shared parts of
// a prompt while none is known to hold them, by rendezvous hashing of the last
// part. So instances agree without a message and find parts again after a
// restart. There are preferredCount of them so that the less busy one can be
// chosen.
// They are not reserved upstreams, unless the request is one of those for which these
// are reserved. In a strict split they are on the side of the request.
func (p *Picker) preferredByHash(sel *selection, candidates []*route.Upstream, r Request) [preferredCount]string {
	shared := r.Prompt.Shared()
	part := shared[len(shared)-1].ID
	var best [preferredCount]string
	var top [preferredCount]uint64
	for i, u := range candidates {
		s := p.stateOf(sel, i, u)
		if (!sel.split && !r.ShortestGap && sel.stats.reservation.holds(s)) || (sel.split && !sel.stats.onSide(r, s)) {
			continue
		}
		id, h := u.ID, mix(s.hash^part)
		for j := range best {
			if best[j] == "" || h > top[j] {
				best[j], id = id, best[j]
				top[j], h = h, top[j]
			}
			if id == "" {
				break
			}
		}
	}
	return best
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func sharedTokens(prompt *request.Prompt) int {
	n := 0
	for _, part := range prompt.Shared() {
		n += part.Tokens
	}
	return n
}

// Connected updates the time to connect to the zone of an upstream from one
// connection. The estimate falls to a shorter time at once and rises slowly.
func (p *Picker) Connected(u *route.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.connectSeconds[u.Zone]
	observed := took.Seconds()
	switch {
	case !known || observed < old:
		p.connectSeconds[u.Zone] = observed
	default:
		p.connectSeconds[u.Zone] = old + connectStep*(min(observed, 2*old)-old)
	}
}

// state returns the state of the upstream's incarnation. The state of a new
// incarnation has the counts of the peers and nothing else from the one before.
// The caller holds p.mu.
func (p *Picker) state(now time.Time, u *route.Upstream) *state {
	s := p.states[u.ID]
	if s == nil || s.born != u.Born {
		fresh := newState(u.ID, u.Born, &p.cachedParts)
		if s != nil {
			fresh.peers = s.peers
			s.cache.clear()
		}
		p.states[u.ID] = fresh
		s = fresh
	}
	s.usedAt = now
	return s
}

func (p *Picker) poolStats(name string) *poolStats {
	ps := p.pools[name]
	if ps == nil {
		ps = newPoolStats()
		p.pools[name] = ps
	}
	return ps
}

// sweep deletes the states of upstreams that have not been candidates for
// stateLifetime, unless they are paused.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < stateLifetime {
		return
	}
	p.sweptAt = now
	for id, s := range p.states {
		if now.Sub(s.usedAt) > stateLifetime && s.running == 0 && !now.Before(s.pausedUntil) {
			s.cache.clear()
			delete(p.states, id)
		}
	}
}
