// Package scaling decides how many upstreams of which kind each pool needs in each
// availability zone, and orders them while this instance holds the lease of the duties.
package scaling

import (
	"time"

	"knapweedwell/route"
)

// Demand is what callers ask of a pool at all instances together.
type Demand struct {
	ReadTokens float64 // prompt tokens that upstreams had to read, a second
	Events     float64 // a second
	Begun      float64 // requests that began to run, a second
	LateFirst  float64 // share of the streams whose first event missed its target
	LateGap    float64 // share of the streams with a longer gap than their target
	Age        time.Duration
	Covered    float64 // share of the instances whose counts it includes
	// Zones is the share of the demand by availability zone of the instances; nil if it is
	// not known.
	Zones map[string]float64
}

// Speed is what is known of the upstreams of a pool. Values are zero if not known.
type Speed struct {
	TokenSeconds   float64 // time in which an engine reads a prompt token
	RequestSeconds float64 // time of a request at a plain service
	Slots          int     // requests that one upstream runs at once
	Aim            time.Duration
	GapAim         time.Duration // shortest target for the gap between events
}

// Kinds of upstreams.
const (
	Ordinary = iota
	Reclaimable
	kinds
)

// KindName returns the name of a kind for operators.
func KindName(kind int) string {
	if kind == Reclaimable {
		return "reclaimable"
	}
	return "ordinary"
}

// Zone is the state of a pool in an availability zone in which upstreams may be ordered.
type Zone struct {
	Name    string
	Region  string
	Price   float64
	Callers float64    // share of the callers that the zone serves, relative to other zones
	Present [kinds]int // upstreams that take work
	Leaving [kinds]int
}

// Input is what a decision for one pool depends on, besides its State.
type Input struct {
	Pool   *route.Pool
	Zones  []Zone // sorted by name
	Demand Demand
	Speed  Speed
}

// Order is the number of upstreams of one kind that a zone shall have.
type Order struct {
	Pool     string
	Zone     string
	Kind     int
	Count    int
	Present  int
	Repeated bool // an earlier order was not carried out in its time
	Reason   string
}

// ZonePlan is what a decision found for one zone.
type ZonePlan struct {
	Zone    string
	Need    int // upstreams of both kinds that serve the demand with headroom
	Least   int // number below which more are ordered
	Secure  int // ordinary ones that serve the demand if all reclaimable ones are reclaimed
	Present [kinds]int
	Leaving [kinds]int
	Desired [kinds]int
	Reason  string // of the last order
}

// Decision is the result for one pool.
type Decision struct {
	Pool   string
	Hold   string  // reason why nothing is given back or ordered; empty if there is none
	Busy   float64 // upstreams that the present demand keeps as busy as its targets allow
	Late   float64 // share of late streams
	Zones  []ZonePlan
	Orders []Order
}

const (
	maxAge     = 3 * time.Second // age from which a sample is not acted on
	minCovered = 0.8             // share of the instances that a sample has to cover

	// burst is the ratio to the present demand that ordered upstreams have to serve: bursts to
	// 1.7 times come faster than an upstream starts.
	burst = 1.7
	// reorder is the ratio to the expected demand below which more are ordered. It is lower
	// than burst, so that a wave within the headroom orders and gives back nothing.
	reorder = 1.25
	// secure is the ratio to the demand that has to remain when all reclaimable upstreams go.
	secure = 1.1

	holdTime       = 4 * time.Second // two windows of demand of 2 s, from the first sample to the first return
	triedPeriod    = 2 * time.Second // between returns after which upstreams have a load that worked
	giveBackPeriod = 5 * time.Second // an order takes a second, a sample another, and it may be maxAge old
	giveBackPart   = 4               // a zone gives back at most the fourth part at a time
	peakTime       = 12 * time.Second
	refusalTime    = 10 * time.Second // reclaimed kinds are back after 8 to 10 s

	orderMargin  = 2 * time.Second // beyond the start time, for the entry to arrive
	returnTime   = 5 * time.Second // in which an order of fewer upstreams is carried out
	maxRepeats   = 1               // later an order that is not carried out counts as refused
	maxPriceRate = 0.7             // price of a reclaimable upstream from which it is not worth a restart

	// A quarter of the upstreams costs about as much as 2 to 3 of a hundred requests are worth.
	lateMargin    = 0.03 // rise of the share of late streams from which nothing is given back
	lateTolerated = 0.03 // share below which there is no such rise
	workedMargin  = 0.01 // rise up to which an upstream can take its load
	workedLate    = 0.02 // share up to which it can
	lateHigh      = 0.08 // rise from which the load counts as too high
)

// Decide returns the orders for one pool. It is a function of the state and its arguments,
// without clock and network. It handles a slow wave, a burst that comes faster than upstreams
// start, one class at many times its load, a lost zone, a reclaimed zone without
// replacements and an idle night.
//
// The state does not assume that the orders are placed; the caller reports the outcome with
// Accepted or Refused. Other orders are returned again by the next decision.
func (s *State) Decide(now time.Time, in Input) Decision {
	d := Decision{Pool: in.Pool.Name}
	switch {
	case in.Pool.Scaling == nil:
		d.Hold = "the pool has no autoscaling"
		return d
	case in.Demand.Age > maxAge:
		d.Hold = "the demand is too old"
	case in.Demand.Covered < minCovered:
		d.Hold = "the demand covers too few instances"
	case len(in.Zones) == 0:
		d.Hold = "no zone is known"
	}
	s.expire(now, in)
	if d.Hold != "" {
		d.Zones = s.presentOnly(in)
		return d
	}
	s.observe(now, in)
	needs := s.needs(in)
	d.Busy, d.Late = needs.busy, s.late
	d.Hold = s.holdReason(now, in, needs)
	for i := range in.Zones {
		plan, orders := s.decideZone(now, in, &in.Zones[i], needs.zones[i], d.Hold != "")
		d.Zones = append(d.Zones, plan)
		d.Orders = append(d.Orders, orders...)
	}
	return d
}

// holdReason returns why nothing may be given back now, empty if something may.
func (s *State) holdReason(now time.Time, in Input, needs poolNeed) string {
	switch {
	case now.Sub(s.startedAt) < holdTime:
		return "two windows of demand have not passed"
	case s.isLate(lateMargin):
		return "too many streams are late"
	}
	for i := range in.Zones {
		// Other zones may serve the callers of this one until its own upstreams have come.
		if z := &in.Zones[i]; z.Present[Ordinary]+z.Present[Reclaimable] < needs.zones[i].least {
			return "a zone has too few"
		}
	}
	return ""
}

// lacks reports whether a zone with so many upstreams needs more.
func (s *State) lacks(in Input, n zoneNeed, total int) bool {
	if in.speedKnown() && total < n.least {
		return true
	}
	return total < n.need && s.isLate(lateHigh)
}

// speedKnown reports whether the speed of the upstreams was measured. Otherwise what one can take
// is derived from the load that worked so far, so that each rise, such as that at the start,
// looks like a lack.
func (in *Input) speedKnown() bool {
	return in.Speed.TokenSeconds > 0 || in.Speed.RequestSeconds > 0
}

// presentOnly returns the plans of a decision that holds.
func (s *State) presentOnly(in Input) []ZonePlan {
	plans := make([]ZonePlan, 0, len(in.Zones))
	for i := range in.Zones {
		z := &in.Zones[i]
		plans = append(plans, ZonePlan{Zone: z.Name, Present: z.Present, Leaving: z.Leaving, Desired: s.coming(z), Reason: s.reasons[z.Name]})
	}
	return plans
}

// decideZone compares one zone with its need.
func (s *State) decideZone(now time.Time, in Input, z *Zone, n zoneNeed, hold bool) (ZonePlan, []Order) {
	coming := s.coming(z)
	want, reason := coming, ""
	useReclaimable := s.mayOrder(z.Name, Reclaimable) && isCheap(in.Pool.Scaling)
	spare := 0
	if useReclaimable {
		spare = max(n.need-n.secure, 0)
	}
	switch total := coming[Ordinary] + coming[Reclaimable]; {
	case s.lacks(in, n, total):
		want[Reclaimable] = max(coming[Reclaimable], spare)
		if s.mayOrder(z.Name, Ordinary) {
			want[Ordinary] = max(coming[Ordinary], n.secure, n.need-want[Reclaimable])
		}
		reason = "the demand needs more"
	case coming[Ordinary] < n.secureLeast && coming[Reclaimable] > 0 && s.mayOrder(z.Name, Ordinary):
		want[Ordinary] = n.secure
		reason = "a reclaim would leave too few"
	case !hold && now.Sub(s.givenBackAt[z.Name]) >= s.returnPeriod(in):
		if !in.speedKnown() {
			// The need is too uncertain to pay for both kinds until one replaces the other.
			spare = coming[Reclaimable]
		}
		want, reason = giveBack(z, coming, n, spare)
	}
	if bound(&want, in.Pool.Scaling, coming) && reason == "" {
		reason = "the bounds of the pool require it"
	}
	orders := s.ordersFor(now, in, z, want, coming, reason)
	return ZonePlan{
		Zone: z.Name, Need: n.need, Least: n.least, Secure: n.secure, Present: z.Present, Leaving: z.Leaving, Desired: want, Reason: s.reasons[z.Name],
	}, orders
}

// returnPeriod returns the time between two returns. It is short while the upstreams that are left
// after the next one still have a load that worked.
func (s *State) returnPeriod(in Input) time.Duration {
	left := float64(present(in)) * (giveBackPart - 1) / giveBackPart
	for i, x := range s.peak() {
		if x > s.worked[i]*left {
			return giveBackPeriod
		}
	}
	return triedPeriod
}

// isCheap reports whether reclaimable upstreams exist and cost clearly less.
func isCheap(s *route.Scaling) bool {
	return s.ReclaimablePrice > 0 && s.ReclaimablePrice <= maxPriceRate
}

// giveBack returns the numbers of a zone that has enough: more reclaimable upstreams if they
// can take the place of ordinary ones, and fewer of what is present beyond the need.
func giveBack(z *Zone, coming [kinds]int, n zoneNeed, spare int) (want [kinds]int, reason string) {
	want = coming
	if spare > coming[Reclaimable] {
		want[Reclaimable] = spare
		reason = "reclaimable ones cost less"
	}
	if z.Present[Ordinary] > coming[Ordinary] || z.Present[Reclaimable] > coming[Reclaimable] {
		return want, reason // the effect of the last return is not known yet
	}
	// Only reclaimable upstreams that serve already replace ordinary ones.
	serving := [kinds]int{min(z.Present[Ordinary], coming[Ordinary]), min(z.Present[Reclaimable], coming[Reclaimable])}
	step := max((serving[Ordinary]+serving[Reclaimable])/giveBackPart, 1)
	keep := max(n.secure, n.need-serving[Reclaimable])
	if excess := serving[Ordinary] - keep; excess > 0 {
		want[Ordinary] = serving[Ordinary] - min(excess, step)
		return want, "less is needed"
	}
	keep = max(n.need-serving[Ordinary], 0)
	if excess := serving[Reclaimable] - max(keep, n.need-n.secure); excess > 0 {
		want[Reclaimable] = serving[Reclaimable] - min(excess, step)
		return want, "less is needed"
	}
	return want, reason
}

// bound keeps both kinds together within the bounds of a zone and reports whether it changed the
// numbers. What is not there yet is dropped first, reclaimable ones before ordinary ones.
func bound(want *[kinds]int, s *route.Scaling, coming [kinds]int) bool {
	before := *want
	for _, kind := range []int{Reclaimable, Ordinary} {
		over := max(want[Ordinary]+want[Reclaimable]-s.Max, 0)
		want[kind] -= min(over, max(want[kind]-coming[kind], 0))
	}
	for _, kind := range []int{Reclaimable, Ordinary} {
		over := max(want[Ordinary]+want[Reclaimable]-s.Max, 0)
		want[kind] -= min(over, want[kind])
	}
	want[Ordinary] += max(s.Min-want[Ordinary]-want[Reclaimable], 0)
	return *want != before
}

// ordersFor returns the orders that change a zone to the wanted numbers, and repeats those that
// were not carried out in their time.
func (s *State) ordersFor(now time.Time, in Input, z *Zone, want, coming [kinds]int, reason string) []Order {
	var orders []Order
	for kind := range want {
		o := Order{Pool: in.Pool.Name, Zone: z.Name, Kind: kind, Count: want[kind], Present: z.Present[kind], Reason: reason}
		p, placed := s.placed[key{z.Name, kind}]
		switch {
		case want[kind] != coming[kind]:
		case placed && p.count == want[kind] && now.After(p.due) && p.count != z.Present[kind] && s.mayOrder(z.Name, kind):
			o.Repeated, o.Reason = true, "the order was not carried out in its time"
		default:
			continue
		}
		if want[kind] > z.Present[kind] && !s.mayOrder(z.Name, kind) {
			continue
		}
		orders = append(orders, o)
	}
	return orders
}
