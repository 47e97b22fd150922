// Package route defines the routes by which callers reach pools of upstreams:
// which requests match a route, to which organisation they belong, and whether
// they may be repeated.
package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Repeat states how often a request may run.
type Repeat int

// The values of Repeat.
const (
	Once   Repeat = iota // one run for each attempt of the caller
	Safely               // any number of runs, up to MaxAttempts
)

// Route maps requests of one host and path prefix to pools.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Stream      bool          // whether answers are event streams
	Resumable   bool          // whether a stream may be resumed at another upstream
	Timeout     time.Duration // longest time that a caller waits for its answer
	Aim         time.Duration // target for the time to the answer, or to the first event of a stream
	GapAim      time.Duration // longest gap between events that meets the target
	Rank        int           // order among requests of equally urgent organisations; 0 is the most urgent
	MaxAttempts int           // largest number of runs of one request
	Open        bool          // whether callers without a key are admitted
	Targets     []Target
}

// Repeatable reports whether a request that may have run may run again: those with
// Repeat set to Safely and resumable streams, whose Repeat is Once. For the chat
// interface request.Request.Idempotent states this.
func (r *Route) Repeatable() bool {
	return r.Repeat == Safely || (r.Stream && r.Resumable)
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight float64
}

// ChoosePool returns the name of a target pool, chosen at random by weight.
func (r *Route) ChoosePool() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := rand.Float64() * total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots        int // largest number of requests that one engine runs at once
	MemoryTokens int // cache capacity of one engine
	EventTokens  int // tokens of an event of a stream; zero if it is not stated
}

// Pool is a group of upstreams that serve the same requests, in any region. The
// pools of packages shard and pool have one region each.
type Pool struct {
	Name   string
	Engine *Engine // nil for plain services
	// Scaling is nil if the number of upstreams may not be changed.
	Scaling *Scaling
}

// Scaling states within which bounds the upstreams of a pool may be ordered.
type Scaling struct {
	Min, Max  int           // upstreams of both kinds in one availability zone
	StartTime time.Duration // from the order to the first request that an upstream takes
	// ReclaimablePrice is the price of a reclaimable upstream relative to another one in the
	// same zone; zero if there are no reclaimable ones.
	ReclaimablePrice float64
	ZonePrices       map[string]float64 // price of one second of an upstream, by availability zone
}

// Organisation is a customer that a route table lists.
type Organisation struct {
	Name    string
	Rank    int
	HasRank bool // whether the organisation has a rank, which takes precedence over that of the route
}

// Limits are the bounds of a request and of a caller's connection; zero means the default.
type Limits struct {
	BodyBytes     int           // largest body
	HeaderBytes   int           // largest head
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // time for which a connection may be idle between two requests
}

// Table is one version of the routes. It is not changed once it is in force.
type Table struct {
	Version     int64
	Revision    int64 // store revision of the object that holds the table
	Routes      []*Route
	Pools       map[string]*Pool
	Keys        map[string]*Organisation // organisations by bearer key
	RequiresKey bool                     // whether callers need a key, except on open routes
	Limits      Limits

	byHost map[string][]*Route
	ranks  map[urgency]int
	lowest map[string]int      // least urgent rank by pool
	gaps   map[string]gapRange // targets for the gap between events by pool

	lastRank int // least urgent rank of an organisation
}

// gapRange holds the shortest and the longest target for the gap between events of the
// routes to a pool.
type gapRange struct {
	shortest time.Duration
	longest  time.Duration
}

// urgency orders requests: first by their organisation, then by their route.
type urgency struct {
	organisation int
	route        int
}

// MaxRanks is the largest number of different ranks that RankOf returns.
const MaxRanks = 10

// Index prepares the table for Match and RankOf. It is called once, before use.
func (t *Table) Index() {
	t.indexRanks()
	t.indexGaps()
	t.byHost = map[string][]*Route{}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// Match returns the route of a host with the longest prefix of the path, or
// nil. The path is matched as the caller sent it, without unescaping.
func (t *Table) Match(host, path string) *Route {
	rs := t.byHost[strings.ToLower(host)]
	if rs == nil {
		if name, _, ok := strings.Cut(host, ":"); ok {
			rs = t.byHost[strings.ToLower(name)]
		}
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation of a bearer key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	return t.Keys[key]
}

// indexRanks numbers all combinations of an organisation's and a route's rank in
// the order of their urgency. If there are more than MaxRanks combinations, adjacent
// ones share a number.
func (t *Table) indexRanks() {
	organisations, routes := map[int]bool{}, map[int]bool{}
	t.lastRank = 0
	for _, o := range t.Keys {
		t.lastRank = max(t.lastRank, o.Rank)
		if o.HasRank {
			organisations[o.Rank] = true
		}
	}
	// Callers without an organisation or of one without a rank are the least urgent.
	organisations[t.lastRank] = true
	for _, r := range t.Routes {
		routes[r.Rank] = true
	}
	combinations := map[urgency]bool{}
	for o := range organisations {
		for r := range routes {
			combinations[urgency{o, r}] = true
		}
	}
	all := make([]urgency, 0, len(combinations))
	for u := range combinations {
		all = append(all, u)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].organisation != all[j].organisation {
			return all[i].organisation < all[j].organisation
		}
		return all[i].route < all[j].route
	})
	t.ranks = make(map[urgency]int, len(all))
	for i, u := range all {
		t.ranks[u] = i
		if len(all) > MaxRanks {
			t.ranks[u] = i * MaxRanks / len(all)
		}
	}
	t.indexLowest()
}

// indexLowest finds the least urgent rank that a request for each pool may have: that of an
// organisation with the last rank, or of a caller without one.
func (t *Table) indexLowest() {
	t.lowest = map[string]int{}
	for _, r := range t.Routes {
		rank := 0
		if len(t.Keys) > 0 || r.Open || !t.RequiresKey {
			rank = t.ranks[urgency{t.lastRank, r.Rank}]
		}
		for _, target := range r.Targets {
			t.lowest[target.Pool] = max(t.lowest[target.Pool], rank)
		}
	}
}

// indexGaps finds the targets for the gap between events of each pool.
func (t *Table) indexGaps() {
	t.gaps = map[string]gapRange{}
	for _, r := range t.Routes {
		if r.GapAim <= 0 {
			continue
		}
		for _, target := range r.Targets {
			g, known := t.gaps[target.Pool]
			if !known || r.GapAim < g.shortest {
				g.shortest = r.GapAim
			}
			g.longest = max(g.longest, r.GapAim)
			t.gaps[target.Pool] = g
		}
	}
}

// HasShortestGap reports whether the route has the shortest target for the gap between
// events of all routes to the pool, and another one has a longer target.
func (t *Table) HasShortestGap(r *Route, pool string) bool {
	g := t.gaps[pool]
	return r.GapAim > 0 && r.GapAim == g.shortest && g.shortest < g.longest
}

// LowestRank returns the least urgent rank that a request for the pool may have.
func (t *Table) LowestRank(pool string) int {
	return t.lowest[pool]
}

// RankOf returns the rank of a request of the organisation on a route, 0 for the
// most urgent. The organisation may be nil.
func (t *Table) RankOf(r *Route, o *Organisation) int {
	u := urgency{t.lastRank, r.Rank}
	if o != nil && o.HasRank {
		u.organisation = o.Rank
	}
	return t.ranks[u]
}
