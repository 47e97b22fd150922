package forward

import (
	"time"

	"knapweedwell/request"
)

const (
	// maxWaitShare is the share of the route's target that a request of the lowest
	// rank may wait for the work ahead of it. With more work ahead, the engines
	// cannot serve all requests in time.
	maxWaitShare = 0.5
	// maxLateWaitShare replaces maxWaitShare for a request that has already lost
	// part of its time, for instance to a refusal.
	maxLateWaitShare = 1.0
	// fullTimeShare is the share of the route's timeout above which no time counts
	// as lost.
	fullTimeShare = 0.95
	// retryAfterShare is the share of the time left after which a refused request
	// is advised to be sent again.
	retryAfterShare = 0.32
)

// refuseOverload refuses a request of the lowest rank that was not sent yet if
// the work ahead of it at the best upstream takes too large a share of the
// route's target. This way accepted requests are served in time, and no request
// is refused in favour of a less urgent one.
func (rs *requestState) refuseOverload() *request.Failure {
	c := rs.choice
	if rs.sends > 0 || !c.HasLowestRank || rs.pool.Engine == nil || rs.route.Aim <= 0 {
		return nil
	}
	maxShare := maxLateWaitShare
	if rs.headers.TimeLeft == 0 || rs.headers.TimeLeft.Seconds() > fullTimeShare*rs.route.Timeout.Seconds() {
		maxShare = maxWaitShare
	}
	wait := time.Duration(float64(c.Wait) * rs.s.waits.factor(time.Now(), rs.pool.Name))
	if wait.Seconds() <= maxShare*rs.route.Aim.Seconds() {
		return nil
	}
	timeLeft := time.Until(rs.deadline)
	return request.Unavailable("the upstreams have work for %s ahead of the request", wait.Round(time.Millisecond)).WithRetryAfter(time.Duration(retryAfterShare * float64(timeLeft)))
}

// observeWait records once how long a request of the lowest rank has waited for its first
// event: until now, or for longer if the send has ended without one.
func (t *transfer) observeWait(now time.Time, ended bool) {
	c := t.rs.choice
	if t.started || !c.HasLowestRank || t.rs.pool.Engine == nil {
		return
	}
	t.started = true
	waited := now.Sub(t.sentAt)
	if ended && waited < c.Predicted {
		return
	}
	t.rs.s.waits.observe(now, t.rs.pool.Name, c.Predicted, waited)
}
