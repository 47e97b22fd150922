package balancer

import (
	"math"
	"slices"
	"time"

	"knapweedwell/route"
)

const (
	minReservingPool      = 4    // upstreams from which some of a pool are reserved
	initialReservedShare  = 0.15 // share of a pool that is reserved until its load is known
	maxReservedShare      = 0.34 // bound of the share of a pool that is reserved
	reservedUtilisation   = 0.5  // share of the slots of reserved upstreams that their streams shall take
	fullReservation       = 0.75 // share of the slots from which a stream prefers another upstream
	reservationStep       = 0.02 // weight of one request in the means of the own load
	initialMissedShare    = 0.1  // share of the streams that are assumed to have too long a gap
	minMissedShare        = 0.05 // share from which upstreams are reserved
	missedStep            = 0.02 // weight of one stream in the share
	poolLoadStep          = 0.1  // weight of one request in the mean load of the pool
	minReservationSamples = 20   // requests from which the means are used
	longMissingTokens     = 1500 // missing tokens from which the reading of a prompt delays other streams

	elsewhereCost    = 100 * time.Millisecond // cost of an upstream that is not reserved
	longReservedCost = time.Second            // cost of a long prompt at a reserved upstream
	fullCost         = time.Second            // cost of a reserved upstream that is full to twice its slots

	keyLifetime     = 50         // requests after which the order of the upstreams is determined again
	reservationSeed = 0x5bd1e995 // makes the order of the reservation differ from those of prompt parts
)

// reservation decides how many upstreams of a pool are reserved for the streams with the
// shortest target for the gap between events.
//
// It answers a load of quick streams beside long prompts. An engine reads a prompt in
// pieces between the tokens of the streams that it serves, so that a long prompt delays
// all of them. Streams with a short target miss it wherever long prompts arrive often.
// They are therefore gathered at a part of the upstreams that long prompts avoid. Both
// rules are costs: an upstream that is much less busy is chosen all the same.
//
// All instances reserve the same upstreams, because they order them by hash. The number
// follows the share that the streams have in this instance's own running requests and
// the number of requests that run at the whole pool. It is zero while the streams at the
// other upstreams rarely have a gap over the shortest target.
type reservation struct {
	target   time.Duration // shortest target
	missed   float64       // share of the streams elsewhere with a longer gap, a moving average
	shortest int           // this instance's running streams with the shortest target
	own      int           // all of its running requests at the pool

	meanShortest, meanOwn, meanPool float64 // moving averages over requests
	samples                         int

	reserved int             // number of reserved upstreams
	lastKey  uint64          // key of the last of them
	keys     []uint64        // keys of the candidates, in order
	first    *route.Upstream // first of these candidates
}

func (v *reservation) begin(r Request) {
	v.own++
	if r.ShortestGap {
		v.shortest++
		v.target = r.GapAim
	}
}

// observeGap records the longest gap of a stream at an upstream.
func (v *reservation) observeGap(s *state, longest time.Duration) {
	if v.target == 0 || longest == 0 || v.holds(s) {
		return
	}
	missed := 0.0
	if longest > v.target {
		missed = 1
	}
	v.missed += missedStep * (missed - v.missed)
}

func (v *reservation) end(shortestGap bool) {
	v.own--
	if shortestGap {
		v.shortest--
	}
}

// observeOwn updates the means of this instance's load.
func (v *reservation) observeOwn() {
	v.samples++
	v.meanShortest += reservationStep * (float64(v.shortest) - v.meanShortest)
	v.meanOwn += reservationStep * (float64(v.own) - v.meanOwn)
}

// observePool updates the mean number of requests that run at the pool.
func (v *reservation) observePool(running int) {
	v.meanPool += poolLoadStep * (float64(running) - v.meanPool)
}

// count returns the number of upstreams to reserve of n with so many slots each.
func (v *reservation) count(n, slots int) int {
	if n < minReservingPool || v.missed < minMissedShare {
		return 0
	}
	share := initialReservedShare
	if v.samples >= minReservationSamples && v.meanOwn > 0 && slots > 0 {
		streams := v.meanPool * v.meanShortest / v.meanOwn
		share = streams / (float64(slots) * reservedUtilisation) / float64(n)
	}
	return int(math.Ceil(min(share, maxReservedShare) * float64(n)))
}

// reservationKey is the position of an upstream in the order of the reservation.
func reservationKey(s *state) uint64 {
	return mix(s.hash ^ reservationSeed)
}

// holds reports whether an upstream is reserved.
func (v *reservation) holds(s *state) bool {
	return v.reserved > 0 && reservationKey(s) <= v.lastKey
}

// updateReservation decides which of the candidates are reserved for the next choice. The caller
// holds p.mu.
func (p *Picker) updateReservation(now time.Time, v *reservation, candidates []*route.Upstream) {
	v.observeOwn()
	v.reserved = 0
	if len(candidates) == 0 {
		return
	}
	if v.reserved = v.count(len(candidates), candidates[0].Slots); v.reserved == 0 {
		return
	}
	if v.first != candidates[0] || len(v.keys) != len(candidates) || v.samples%keyLifetime == 0 {
		v.first, v.keys = candidates[0], v.keys[:0]
		for _, u := range candidates {
			v.keys = append(v.keys, reservationKey(p.state(now, u)))
		}
		slices.Sort(v.keys)
	}
	v.lastKey = v.keys[v.reserved-1]
}

// reservationCost returns the cost in seconds that the reservation adds to a choice.
func reservationCost(r Request, c Choice, reserved bool) float64 {
	switch {
	case r.Pool.Engine == nil:
		return 0
	case r.ShortestGap && !reserved:
		return elsewhereCost.Seconds()
	case r.ShortestGap && c.Upstream.Slots > 0:
		filled := float64(c.Running+1) / float64(c.Upstream.Slots)
		return fullCost.Seconds() * max(filled-fullReservation, 0)
	case !r.ShortestGap && reserved && c.Missing >= longMissingTokens:
		return longReservedCost.Seconds()
	}
	return 0
}
