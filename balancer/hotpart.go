package balancer

import (
	"math"
	"time"
)

const (
	hotBuckets  = 512              // counters of parts in a pool; parts that share one count together
	hotShare    = 1                // requests that one part may bring a copy, relative to the mean of an upstream
	hotRateTime = 10 * time.Second // time in which a past use of a part falls to 1/e
)

// hotParts counts how often the parts of prompts are used in a pool.
//
// It answers a part that many requests share: each is drawn to the few upstreams that hold it,
// because reading it again weighs many times its own time. That weight is right for a part with
// one user after another, but a further copy of a hot part is read once and used by many.
type hotParts struct {
	uses [hotBuckets]use
	all  use
}

// use is a number of uses, weighted by age.
type use struct {
	count float64
	at    time.Time
}

func (u *use) value(now time.Time) float64 {
	return u.count * math.Exp(-max(now.Sub(u.at), 0).Seconds()/hotRateTime.Seconds())
}

func (u *use) add(now time.Time) {
	u.count, u.at = u.value(now)+1, now
}

func (h *hotParts) add(now time.Time, part uint64) {
	h.all.add(now)
	h.uses[mix(part)%hotBuckets].add(now)
}

// weight returns the weight of reading a missing token of a prompt with the shared part.
func (h *hotParts) weight(now time.Time, part uint64, upstreams, copies int) float64 {
	return HotReadWeight(h.uses[mix(part)%hotBuckets].value(now), h.all.value(now), upstreams, copies)
}

// HotReadWeight returns the weight of reading a token that an upstream does not hold, from the
// recent uses of the part, all recent requests for the upstreams and the upstreams that hold
// the part. A copy may bring an upstream hotShare of the mean of all requests, so that with its
// other requests it has about twice the mean; beyond, the weight falls until there are more
// copies. Uses count less their standard deviation, because one instance of many sees few of them.
func HotReadWeight(uses, all float64, upstreams, copies int) float64 {
	if copies <= 0 || upstreams <= copies || all <= 0 {
		return readWeight
	}
	sure := max(uses-math.Sqrt(uses), 0)
	excess := sure * float64(upstreams) / (hotShare * all * float64(copies))
	if excess <= 1 {
		return readWeight
	}
	return 1 + (readWeight-1)/(excess*excess)
}
