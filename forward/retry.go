package forward

import (
	"context"
	"maps"
	"time"
)

// resumePeriod is the time between attempts to resume an answer that has begun.
const resumePeriod = 300 * time.Millisecond

// canSendElsewhere reports whether another upstream than the chosen one can be chosen.
func (rs *requestState) canSendElsewhere(now time.Time) bool {
	avoid := maps.Clone(rs.avoidNow(now))
	avoid[rs.choice.Upstream.ID] = true
	return rs.s.Picker.HasUpstream(now, rs.s.Roster().Pool(rs.pool.Name), avoid)
}

// reserveRetry reports whether the request can be sent to another upstream than the
// chosen one, and if so takes the retry from the budget.
func (rs *requestState) reserveRetry(now time.Time) bool {
	if !rs.canSendElsewhere(now) {
		return false
	}
	rs.retryTaken = rs.s.Budget.AllowRetry(now, rs.pool.Name)
	return rs.retryTaken
}

// takeRetry reports whether the request may be sent once more. It uses a retry that
// was reserved, or takes one from the budget.
func (rs *requestState) takeRetry() bool {
	if rs.retryTaken {
		rs.retryTaken = false
		return true
	}
	return rs.s.Budget.AllowRetry(time.Now(), rs.pool.Name)
}

// waitToResume waits before the next attempt to resume an answer whose upstream was
// interrupted by this instance, so that a sound answer is not cut off while time is
// left. It reports false for all other requests.
func (rs *requestState) waitToResume(ctx context.Context) bool {
	if !rs.begun || !rs.interrupted {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(resumePeriod):
	}
	rs.avoid = map[string]bool{}
	rs.rejections = maxRejections - 1
	rs.unreachable = maxUnreachable
	return true
}
