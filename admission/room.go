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
	singleShare = 0.25
	// equalParts is the number of instances up to which all have equal parts of what is free
	// beyond the reserve. In a larger fleet those would be smaller than a request.
	equalParts = 2
	// Of the reserve, the first instance by hash may fill firstShare, each further one
	// nextShare of the part of the one before it.
	firstShare = 0.75
	nextShare  = 0.25
	// The report times are those in which the counts of an instance have arrived at all
	// others: two periods of reports, or in a large fleet the way over two aggregators.
	reportTime      = 400 * time.Millisecond
	largeReportTime = time.Second
	largeFleet      = 33 // instances up to which each sends its counts to all others
	// An order of the instances holds for orderTimes report times. In the first orderGuard of
	// them an instance has the smaller of its parts in this order and the one before, so that
	// the counts of the earlier first instance arrive, also if clocks differ by a report time.
	orderTimes      = 6
	orderGuard      = 2
	memberPeriod    = 200 * time.Millisecond
	holdingLifetime = time.Minute // after which the counts of an unused upstream are deleted
)

// Load is what is known of an upstream besides this instance's own requests, in the unit of
// the capacity: tokens for an engine, slots for a plain service.
type Load struct {
	Capacity int
	Peers    int // held for the requests of other instances
	Reported int // held for all requests as the upstream reported a short time ago; zero if it did not
	// Shared allows to take more than this instance's part, if Draw, a random number, is less
	// than the ratio of what is left to the number of instances. With numbers from 0 to 1 so
	// many take it at the same time as find room, on average. It is for upstreams that are not
	// harmed by a few requests more.
	Shared bool
	Draw   float64
}

// holding is what this instance has at one incarnation of an upstream.
type holding struct {
	born             int64
	held             int
	window           int64 // number of the present report time
	present, earlier int   // least that was held in that and in the one before
	usedAt           time.Time
	positions        [2]int // of this instance in the present order and in the one before
	positionsFor     uint64 // members and order for which they were found
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
// added to one upstream in a report time than half of its capacity, and
// as long as the wall clocks of those that add a large request agree within a report time.
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
	if !r.fits(now, u, h, l, need) {
		return false
	}
	h.held += need
	return true
}

// Fits reports whether an upstream has room for a request that needs so much.
func (r *Room) Fits(now time.Time, u *route.Upstream, l Load, need int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fits(now, u, r.holding(now, u), l, need)
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
func (r *Room) fits(now time.Time, u *route.Upstream, h *holding, l Load, need int) bool {
	left := free(h, l)
	switch {
	case l.Capacity <= 0:
		return true
	case need > left:
		return false
	case len(r.live) <= 1, len(r.live) > equalParts && l.Shared && l.Draw < float64(left)/float64(len(r.live)):
		return true
	}
	// The others know at least of the least that was held here within the report time.
	added := h.held - min(h.present, h.earlier)
	before, kept := left+added, reserve(l)
	beyond := max(before-kept, 0)
	if added == 0 && float64(left) >= ampleShare*float64(l.Capacity) && float64(need) <= singleShare*float64(beyond) {
		return true
	}
	beyondPart, reservePart := r.parts(now, u, h)
	return float64(added+need) <= beyondPart*float64(beyond)+reservePart*float64(min(before, kept))
}

// parts returns the shares of what is free beyond the reserve of an upstream, and of the
// reserve, that this instance may fill in a report time. The shares of all instances add up to
// one. The order of the instances changes by the wall clock, so that each is the first at some
// upstream after a time. The caller holds r.mu.
func (r *Room) parts(now time.Time, u *route.Upstream, h *holding) (beyond, reserve float64) {
	length := int64(orderTimes * r.reportTime())
	order := now.UnixNano() / length
	if key := r.liveHash ^ uint64(order)<<1; h.positionsFor != key {
		h.positions = [2]int{r.positionAt(u, order), r.positionAt(u, order-1)}
		h.positionsFor = key
	}
	position := h.positions[0]
	if now.UnixNano()%length < int64(orderGuard*r.reportTime()) {
		position = max(position, h.positions[1])
	}
	reserve = firstShare * math.Pow(nextShare, float64(position))
	if n := len(r.live); n <= equalParts {
		return 1 / float64(n), reserve
	}
	return 1 / float64((position+1)*(position+2)), reserve
}

// positionAt returns the number of instances before this one in an order by hash. The caller
// holds r.mu.
func (r *Room) positionAt(u *route.Upstream, order int64) int {
	first := xxhash.Sum64String(u.ID) + uint64(order)*orderStep
	hash := func(name string) uint64 { return mix(xxhash.Sum64String(name) ^ mix(first)) }
	own, position := hash(r.Self), 0
	for _, name := range r.live {
		if h := hash(name); name != r.Self && cmp.Or(cmp.Compare(h, own), cmp.Compare(name, r.Self)) < 0 {
			position++
		}
	}
	return position
}

// orderStep and mix are those of SplitMix64.
const orderStep = 0x9e3779b97f4a7c15

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// reportTime returns the time in which this instance's counts arrive at all others.
func (r *Room) reportTime() time.Duration {
	if len(r.live) > largeFleet {
		return largeReportTime
	}
	return reportTime
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
	switch window := 1 + int64(now.Sub(r.started)/r.reportTime()); {
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
