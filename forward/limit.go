package forward

import (
	"context"
	"maps"
	"time"

	"knapweedwell/route"
)

const (
	// limitWaitShare is the share of the route's target that a request waits for an upstream
	// whose limit is reached, if all have one.
	limitWaitShare = 0.5
	minLimitWait   = 5 * time.Millisecond
)

// avoidNow returns the IDs of the upstreams that may not get the request now: those that
// have failed it and those whose limit is reached.
func (rs *requestState) avoidNow(now time.Time) map[string]bool {
	exhausted := rs.s.Limits.Exhausted(now, rs.candidates(), rs.rank)
	if len(exhausted) == 0 {
		return rs.avoid
	}
	avoid := maps.Clone(rs.avoid)
	for _, id := range exhausted {
		avoid[id] = true
	}
	return avoid
}

// candidates returns the upstreams of the request's pool.
func (rs *requestState) candidates() []*route.Upstream {
	return rs.s.Roster().Pool(rs.pool.Name)
}

// limitLeft returns the time until an upstream that has not failed the request may get it.
// It reports false if no limit keeps one from that.
func (rs *requestState) limitLeft(now time.Time) (time.Duration, bool) {
	var untried []*route.Upstream
	for _, u := range rs.candidates() {
		if !rs.avoid[u.ID] {
			untried = append(untried, u)
		}
	}
	return rs.s.Limits.Left(now, untried, rs.rank)
}

// waitForLimit waits until an upstream whose limit is reached may get the request. It
// reports false if there is none, or if a request that has not begun would be late.
func (rs *requestState) waitForLimit(ctx context.Context) bool {
	now := time.Now()
	left, ok := rs.limitLeft(now)
	if !ok {
		return false
	}
	latest := rs.deadline
	if !rs.begun {
		latest = rs.arrived.Add(min(time.Duration(limitWaitShare*float64(rs.route.Aim)), rs.deadline.Sub(rs.arrived)))
	}
	left = max(left, minLimitWait)
	if now.Add(left).After(latest) {
		return false
	}
	done := rs.s.Limits.Wait(rs.pool.Name, rs.rank)
	defer done()
	select {
	case <-ctx.Done():
	case <-time.After(left):
	}
	return true
}
