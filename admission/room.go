package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/member"
	"knapweedwell/route"
)

const (
	// reserveShare is the share of an upstream's capacity of which the first instance by hash
	// may fill the larger part, so that large requests find room at upstreams that are nearly
	// full.
	reserveShare = 0.25
	// ampleShare is the share of the capacity that must be free for any instance to add one
	// request in a report time, and singleShare the share of what is free beyond the reserve
	// that this request may take.
	ampleShare  = 0.5
	singleShare = 0.5
	// equalParts is the number of instances up to which all have equal parts of what is free
	// beyond the reserve. In a larger fleet those would be smaller than a request.
	equalParts = 3
	// Of the reserve, the first instance by hash may fill firstShare, each further one
	// nextShare of the part of the one before it.
	firstShare = 0.75
	nextShare  = 0.25
	// The report times are those in which the counts of an instance have arrived at all
	// others: two periods of reports, or in a large fleet the way over two aggregators.
	reportTime      = 400 * time.Millisecond
	largeReportTime = time.Second
	largeFleet      = 33 // instances up to which each sends its counts to all others
	memberPeriod    = 200 * time.Millisecond
	holdingLifetime = time.Minute // after which the counts of an unused upstream are deleted
)

// Load is what is known of an upstream besides this instance's own requests, in the unit of
// the capacity: tokens for an engine, slots for a plain service.
type Load struct {
	Capacity int
	Peers    int // held for the requests of other instances
	Reported int // held for all requests as the upstream reported a short time ago; zero if it did not
	// Shared allows to fill what is left without regard to what other instances may send at
	// the same time. The upstream then rejects what it cannot hold.
	Shared bool
}

// holding is what this instance has at one incarnation of an upstream.
type holding struct {
	born             int64
	held             int
	window           int64 // number of the present report time
	present, earlier int   // least that was held in that and in the one before
	usedAt           time.Time
	position         int // of this instance among those that may fill the reserve
	positionFor      uint64
}

// Room keeps the requests that all instances together send to an upstream within its capacity.
//
// It answers a load of long prompts at engines that crash if the requests that they hold
// exceed their memory. Each instance knows its own requests exactly and those of the others as
// of a report time ago. In that time it adds at most its part of what is free, which depends on
// its position in an order of the instances by hash. The parts add up to what is free, so that
// instances that choose the same upstream at the same time do not exceed it, whatever the sizes
// of the requests. So that a fleet that is larger than the number of requests that fit can use
// all upstreams, each instance may add one request in a report time while half of the capacity
// is free. With two instances the bound still holds; with more it holds as long as no more is
// added to one upstream in a report time than half of its capacity.
//
// An upstream that ends takes its counts with it. The exported fields are set before the first
// call.
type Room struct {
	Self    string
	Members func() []member.Member

	mu        sync.Mutex
	holdings  map[string]*holding
	live      []string
	liveHash  uint64
	checkedAt time.Time
	sweptAt   time.Time
	started   time.Time // windows are numbered from then on, by the monotonic clock
}

// Take takes room at an upstream for a request that needs so much. It reports false if there
// is none.
func (r *Room) Take(now time.Time, u *route.Upstream, l Load, need int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.holding(now, u)
	if !r.fits(u, h, l, need) {
		return false
	}
	h.held += need
	return true
}

// Fits reports whether an upstream has room for a request that needs so much.
func (r *Room) Fits(now time.Time, u *route.Upstream, l Load, need int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fits(u, r.holding(now, u), l, need)
}

// Ample reports whether an upstream has so much room that a request may take it before others
// that wait.
func (r *Room) Ample(now time.Time, u *route.Upstream, l Load, need int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.Capacity <= 0 || free(r.holding(now, u), l)-need >= reserve(l)
}

// Release gives back the room of a request that has ended.
func (r *Room) Release(u *route.Upstream, need int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.holdings[u.ID]; h != nil && h.born == u.Born {
		h.held = max(h.held-need, 0)
		h.present = min(h.present, h.held)
	}
}

// Held returns what the requests of this instance hold at all upstreams.
func (r *Room) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, h := range r.holdings {
		sum += h.held
	}
	return sum
}

func free(h *holding, l Load) int {
	return l.Capacity - max(h.held+l.Peers, l.Reported)
}

func reserve(l Load) int {
	return int(reserveShare * float64(l.Capacity))
}

// fits reports whether there is room. The caller holds r.mu.
func (r *Room) fits(u *route.Upstream, h *holding, l Load, need int) bool {
	left := free(h, l)
	switch {
	case l.Capacity <= 0:
		return true
	case need > left:
		return false
	case l.Shared || len(r.live) <= 1:
		return true
	}
	// The others know at least of the least that was held here within the report time.
	added := h.held - min(h.present, h.earlier)
	before, kept := left+added, reserve(l)
	beyond := max(before-kept, 0)
	if added == 0 && float64(left) >= ampleShare*float64(l.Capacity) && float64(need) <= singleShare*float64(beyond) {
		return true
	}
	beyondPart, reservePart := r.parts(u, h)
	return float64(added+need) <= beyondPart*float64(beyond)+reservePart*float64(min(before, kept))
}

// parts returns the shares of what is free beyond the reserve of an upstream, and of the
// reserve, that this instance may fill in a report time. The shares of all instances add up to
// one. The caller holds r.mu.
func (r *Room) parts(u *route.Upstream, h *holding) (beyond, reserve float64) {
	if h.positionFor != r.liveHash {
		h.position, h.positionFor = r.positionAt(u), r.liveHash
	}
	reserve = firstShare * math.Pow(nextShare, float64(h.position))
	if n := len(r.live); n <= equalParts {
		return 1 / float64(n), reserve
	}
	return 1 / float64((h.position+1)*(h.position+2)), reserve
}

// positionAt returns the number of instances before this one in the order by hash. The caller
// holds r.mu.
func (r *Room) positionAt(u *route.Upstream) int {
	hash := func(name string) uint64 { return xxhash.Sum64String(u.ID + "\x00" + name) }
	own, position := hash(r.Self), 0
	for _, name := range r.live {
		if h := hash(name); name != r.Self && cmp.Or(cmp.Compare(h, own), cmp.Compare(name, r.Self)) < 0 {
			position++
		}
	}
	return position
}

// holding returns what this instance has at an upstream now. The caller holds r.mu.
func (r *Room) holding(now time.Time, u *route.Upstream) *holding {
	r.update(now)
	h := r.holdings[u.ID]
	if h == nil || h.born != u.Born {
		if r.holdings == nil {
			r.holdings = map[string]*holding{}
		}
		h = &holding{born: u.Born}
		r.holdings[u.ID] = h
	}
	h.usedAt = now
	period := reportTime
	if len(r.live) > largeFleet {
		period = largeReportTime
	}
	switch window := 1 + int64(now.Sub(r.started)/period); {
	case window == h.window+1:
		h.window, h.earlier, h.present = window, h.present, h.held
	case window != h.window:
		h.window, h.earlier, h.present = window, h.held, h.held
	}
	return h
}

// update updates the live instances and deletes the counts of unused upstreams. The caller
// holds r.mu.
func (r *Room) update(now time.Time) {
	if r.liveHash != 0 && now.Sub(r.checkedAt) < memberPeriod {
		return
	}
	if r.started.IsZero() {
		r.started = now
	}
	r.checkedAt = now
	r.live, r.liveHash = r.live[:0], 1
	for _, m := range r.Members() {
		if m.State == member.Live || m.Name == r.Self {
			r.live = append(r.live, m.Name)
			r.liveHash += xxhash.Sum64String(m.Name)
		}
	}
	if !slices.Contains(r.live, r.Self) {
		r.live = append(r.live, r.Self)
	}
	if now.Sub(r.sweptAt) < holdingLifetime {
		return
	}
	r.sweptAt = now
	for id, h := range r.holdings {
		if h.held == 0 && now.Sub(h.usedAt) > holdingLifetime {
			delete(r.holdings, id)
		}
	}
}
