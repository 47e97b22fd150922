// Package pick chooses the upstream of a request by the predicted time to its
// first token: the parts of its prompt that are missing there, the work ahead,
// the distance, and how the upstream has done lately. Each instance decides at
// once, on its own exact counts and on the counts that its peers tell.
//
// The choices are a function of the calls, the times in them and the random
// source.
package pick

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	rereadWeight  = 25                     // rereadWeight is the cost of reading a token again against waiting for one: it delays everything behind it and takes memory from other parts.
	homes         = 2                      // homes is the upstreams that are taken to hold a part which nobody is known to hold.
	farWeight     = 2                      // farWeight is the round trips that a request to another region costs.
	crowdCost     = 20 * time.Millisecond  // crowdCost is the delay by a full upstream's other requests.
	spread        = 2 * time.Millisecond   // spread is the random part of a cost, so that equal pictures do not herd.
	spreadShare   = 0.03                   // spreadShare is the relative random part.
	failureCost   = 800 * time.Millisecond // failureCost is the time that a request loses when its upstream fails.
	lateCost      = 800 * time.Millisecond // lateCost is what a pause over the aim costs.
	memoryShare   = 0.85                   // memoryShare is the filling above which an engine may preempt.
	firstBan      = 300 * time.Millisecond // firstBan is how long an upstream is avoided after it could not be reached.
	longestBan    = 4 * time.Second        // longestBan bounds that time as failures go on.
	peerLifetime  = 2 * time.Second        // peerLifetime is how long a peer's counts are used.
	stateLifetime = 30 * time.Second       // stateLifetime is how long an unused upstream is remembered.
)

// Ask is what is known of a request that needs an upstream.
type Ask struct {
	Pool   *route.Pool
	Rank   int
	Lowest int // Lowest is the least urgent rank that a request for the pool may have.
	Prompt *request.Prompt
	GapAim time.Duration   // GapAim is the longest pause between events that is on time; zero if there is none.
	Avoid  map[string]bool // Avoid holds the upstreams that have failed the request.
}

// Choice is an upstream with what decided for it.
type Choice struct {
	Upstream  *route.Upstream
	Predicted time.Duration // Predicted is the time to the first token.
	Wait      time.Duration // Wait is the part of Predicted that earlier requests cause.
	Least     bool          // Least tells that there is no less urgent request for the pool.
	Missing   int           // Missing counts the prompt's tokens that the upstream has to read.
	Running   int           // Running counts the requests that are known to run there.
	Pending   int           // Pending counts the tokens known to be read there before.
	PeersAge  time.Duration // PeersAge is the age of the oldest peer's counts used.
}

// Picker chooses upstreams. The exported fields are set before its first call.
type Picker struct {
	Zone    string
	Regions map[string]string // Regions are the regions by zone.

	mu      sync.Mutex
	states  map[string]*state
	pools   map[string]*learned
	far     map[string]float64  // far holds the seconds to connect, by zone.
	counted map[string][]*state // counted holds the states with counts of a peer, by its name.
	placed  []Placement         // placed holds the parts sent out since the last report.
	swept   time.Time
}

// New returns a picker for an instance of the zone.
func New(zone string, regions map[string]string) *Picker {
	return &Picker{
		Zone: zone, Regions: regions,
		states: map[string]*state{}, pools: map[string]*learned{}, far: map[string]float64{}, counted: map[string][]*state{},
	}
}

// Choose picks one of the upstreams, or reports that there is none. One that
// could not be reached lately is taken only if nothing else is left.
func (p *Picker) Choose(now time.Time, candidates []*route.Upstream, a Ask) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	least := p.pool(a.Pool.Name).least(now, a.Rank, a.Lowest)
	var homes [homes]string
	if a.Pool.Engine != nil && !p.held(candidates, a.Prompt) {
		homes = p.findHomes(now, candidates, a.Prompt)
	}
	var best, banned Choice
	bestCost, bannedCost := math.Inf(1), math.Inf(1)
	for _, u := range candidates {
		if a.Avoid[u.ID] {
			continue
		}
		s := p.state(now, u)
		c, cost := p.judge(now, u, s, a, slices.Contains(homes[:], u.ID))
		cost += rand.Float64() * (spread.Seconds() + spreadShare*math.Abs(cost))
		switch {
		case now.Before(s.bannedUntil):
			if cost < bannedCost {
				banned, bannedCost = c, cost
			}
		case cost < bestCost:
			best, bestCost = c, cost
		}
	}
	if best.Upstream == nil {
		best = banned
	}
	best.Least = least
	return best, best.Upstream != nil
}

// judge returns what speaks for an upstream, and its cost in seconds.
func (p *Picker) judge(now time.Time, u *route.Upstream, s *state, a Ask, home bool) (Choice, float64) {
	l := p.pool(a.Pool.Name)
	peers := s.peerCounts(now)
	c := Choice{Upstream: u, Running: s.running + peers.Running, Pending: s.pendingFor(a.Rank) + peers.Pending, PeersAge: peers.age}
	if s.loadFresh(now) {
		c.Running = max(c.Running, s.headerRunning+s.headerWaiting)
	}
	wait := p.distance(u.Zone)
	slow := s.slowness(now)
	if a.Pool.Engine != nil {
		c.Missing = s.cache.missing(a.Prompt)
		reread := c.Missing
		if home {
			reread = min(reread, max(a.Prompt.Tokens-sharedTokens(a.Prompt), 0))
		}
		read := l.perToken * slow * (float64(c.Pending) + float64(c.Missing))
		c.Wait = seconds(l.perToken * slow * float64(c.Pending))
		wait += l.base*slow + read
		c.Predicted = seconds(wait)
		wait += (rereadWeight - 1) * l.perToken * float64(reread)
		wait += lateCost.Seconds() * l.tooLong(a.GapAim, s.pace(now))
	} else {
		wait += l.hold * slow
		c.Predicted = seconds(wait)
	}
	if u.Slots > 0 {
		filled := float64(c.Running) / float64(u.Slots)
		wait += crowdCost.Seconds() * filled
		if over := c.Running + 1 - u.Slots; over > 0 {
			wait += l.hold * slow * float64(over) / float64(u.Slots)
		}
	}
	if a.Pool.Engine != nil && a.Pool.Engine.MemoryTokens > 0 {
		need := float64(s.tokens+peers.Tokens+c.Missing) / float64(a.Pool.Engine.MemoryTokens)
		if need > memoryShare {
			wait += l.hold * (need - memoryShare) * 4
		}
	}
	return c, wait + failureCost.Seconds()*s.failing(now)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// distance returns the seconds that a request to a zone takes on its way.
func (p *Picker) distance(zone string) float64 {
	if zone == p.Zone {
		return 0
	}
	d := p.far[zone]
	if p.Regions[zone] != p.Regions[p.Zone] {
		return farWeight * d
	}
	return d
}

// held reports whether an upstream is known to hold the shared parts of a
// prompt.
func (p *Picker) held(candidates []*route.Upstream, prompt *request.Prompt) bool {
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

// findHomes returns the upstreams that are taken to hold the shared parts of a
// prompt while nobody is known to, by the hash of the last of them. So instances
// agree without a message and find parts again after a restart; that there are
// two leaves room for the less busy one.
func (p *Picker) findHomes(now time.Time, candidates []*route.Upstream, prompt *request.Prompt) [homes]string {
	shared := prompt.Shared()
	part := shared[len(shared)-1].ID
	var best [homes]string
	var top [homes]uint64
	for _, u := range candidates {
		id, h := u.ID, mix(p.state(now, u).hash^part)
		for i := range best {
			if best[i] == "" || h > top[i] {
				best[i], id = id, best[i]
				top[i], h = h, top[i]
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

// Connected notes how long it took to connect to an upstream.
func (p *Picker) Connected(u *route.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.far[u.Zone]
	now := took.Seconds()
	switch {
	case !known || now < old:
		p.far[u.Zone] = now
	default:
		p.far[u.Zone] = old + 0.02*(min(now, 2*old)-old)
	}
}

func (p *Picker) state(now time.Time, u *route.Upstream) *state {
	s := p.states[u.ID]
	if s == nil || s.born != u.Born {
		fresh := newState(u.ID, u.Born)
		if s != nil {
			fresh.peers = s.peers
		}
		p.states[u.ID] = fresh
		s = fresh
	}
	s.used = now
	return s
}

func (p *Picker) pool(name string) *learned {
	l := p.pools[name]
	if l == nil {
		l = newLearned()
		p.pools[name] = l
	}
	return l
}

// sweep forgets upstreams that were not candidates for long.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.swept) < stateLifetime {
		return
	}
	p.swept = now
	for id, s := range p.states {
		if now.Sub(s.used) > stateLifetime && s.running == 0 {
			delete(p.states, id)
		}
	}
}
