package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/admission"
	"knapweedwell/balancer"
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	// roomPeriod is the time after which a request that waits for room tries again without
	// being woken: the counts of peers change without a notice.
	roomPeriod = 20 * time.Millisecond
	// laterPeriod replaces roomPeriod for those that are not the first in the queue: they look
	// only for an upstream with ample room, which the first may not use.
	laterPeriod = 200 * time.Millisecond
	// ownPartShare is the share of the target of a plain service for which a request waits for
	// room that only this instance fills. It then draws for any that is known to be free.
	ownPartShare = 0.5
)

// taken is the room that a request takes at an upstream.
type taken struct {
	upstream *route.Upstream
	need     int
}

// chooseWithRoom chooses an upstream that has room for the request and takes the room and the
// right to send. It waits while the request is held back or no upstream has room. It reports
// false if no upstream is left to try, and returns a failure if the request is refused.
func (rs *requestState) chooseWithRoom(ctx context.Context) (balancer.Request, bool, *request.Failure) {
	if f := rs.checkTokens(); f != nil {
		return balancer.Request{}, false, f
	}
	var ticket *admission.Ticket
	defer func() {
		if ticket != nil {
			rs.s.Admission.Queue.Leave(ticket)
		}
	}()
	for {
		now := time.Now()
		r := rs.pickRequest(now)
		c, ok := rs.pick(now, r)
		if !ok {
			return r, false, nil
		}
		rs.choice = c
		d := rs.decide(now)
		switch {
		case d.Cause != admission.Admitted:
			return r, false, rs.refuse(now, d)
		case d.Hold > 0:
			rs.hold(ctx, d.Hold)
		case rs.takeRoom(now, &r, ticket):
			return r, true, nil
		case !rs.mayWaitForRoom(now):
			return r, false, rs.refuse(now, admission.Decision{Cause: admission.NoRoom, RetryAfter: rs.roomRetryAfter(now)})
		default:
			if ticket == nil {
				ticket = rs.s.Admission.Queue.Enter(rs.pool.Name, rs.rank)
				rs.s.Admission.Queued()
			}
			rs.waitForRoom(ctx, ticket)
		}
		if ctx.Err() != nil {
			return r, false, rs.contextDone(ctx)
		}
	}
}

// checkTokens replaces token counts that are missing or no counts, and refuses a request that
// no upstream of the pool can hold.
func (rs *requestState) checkTokens() *request.Failure {
	if rs.need > 0 {
		return nil
	}
	rs.need = 1
	if rs.pool.Engine == nil {
		return nil
	}
	p := &rs.headers.Prompt
	if p.Tokens <= 0 || p.MaxOutputTokens <= 0 {
		rs.s.Admission.Defaulted()
	}
	*p = admission.WithTokens(*p, rs.headers.LengthHint, len(rs.body))
	rs.need = admission.Held(p)
	rs.s.Admission.ObserveNeed(rs.pool.Name, rs.need)
	memory := rs.pool.Engine.MemoryTokens
	if memory <= 0 || (rs.need <= memory && !rs.headers.TokensOverflow) {
		return nil
	}
	rs.logRefusal(time.Now(), admission.Decision{Cause: admission.TooLarge})
	f := request.Malformed([]request.Finding{{Place: "tokens", Message: "the request needs more memory than an upstream has"}})
	f.Status = http.StatusRequestEntityTooLarge
	return f
}

// pick returns the upstream of the next send.
func (rs *requestState) pick(now time.Time, r balancer.Request) (balancer.Choice, bool) {
	if rs.pool.Engine == nil {
		return rs.s.Picker.ChooseSpread(now, rs.candidates(), r)
	}
	return rs.s.Picker.Choose(now, rs.candidates(), r)
}

// decide decides whether a request that was not sent yet is sent, held back or refused.
func (rs *requestState) decide(now time.Time) admission.Decision {
	if rs.sends > 0 || rs.pool.Engine == nil || rs.route.Aim <= 0 {
		return admission.Decision{}
	}
	a := admission.Request{
		Rank: rs.rank, Tokens: rs.need, Aim: rs.route.Aim, Timeout: rs.route.Timeout,
		TimeLeft: rs.deadline.Sub(now), Held: rs.decided,
	}
	rs.decided = true
	if rs.organisation != nil {
		a.Organisation = rs.organisation.Name
	}
	rs.outlook = rs.findOutlook(now)
	return rs.s.Admission.Gate(rs.pool.Name).Decide(now, a, rs.outlook)
}

// findOutlook returns what the upstreams are predicted to do with the request.
func (rs *requestState) findOutlook(now time.Time) admission.Outlook {
	c := rs.choice
	o := admission.Outlook{First: c.Outlook.Predicted, Wait: c.Outlook.Wait, Answer: rs.s.Admission.AnswerTime(rs.route.Name), FreeSlot: c.Outlook.FreeSlot}
	if o.First > c.Predicted {
		// All upstreams are excluded. One of them is tried all the same.
		o.First, o.Wait, o.FreeSlot = c.Predicted, c.Wait, true
	}
	if c.HasLowestRank {
		longer := time.Duration((rs.s.waits.factor(now, rs.pool.Name) - 1) * float64(o.Wait))
		o.First, o.Wait = o.First+longer, o.Wait+longer
	}
	return o
}

// hold waits for a time because the request gives way to others.
func (rs *requestState) hold(ctx context.Context, d time.Duration) {
	done := rs.s.Admission.Hold(!rs.held)
	rs.held = true
	defer done()
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeRoom takes room and the right to send at the chosen upstream or, if it has none, at
// another one, which becomes the chosen one.
func (rs *requestState) takeRoom(now time.Time, r *balancer.Request, ticket *admission.Ticket) bool {
	rs.drawn = rs.draw()
	mayTake := rs.s.Admission.Queue.MayTake(rs.pool.Name, rs.rank, ticket)
	if rs.takeAt(now, rs.choice.Upstream, mayTake) {
		return true
	}
	avoid := maps.Clone(r.Avoid)
	for _, u := range rs.candidates() {
		if !avoid[u.ID] && !rs.hasRoom(now, u, mayTake) {
			avoid[u.ID] = true
		}
	}
	r.Avoid = avoid
	if !rs.s.Picker.HasUpstream(now, rs.candidates(), avoid) {
		return false
	}
	c, ok := rs.pick(now, *r)
	if !ok {
		return false
	}
	rs.choice = c
	return rs.takeAt(now, c.Upstream, mayTake)
}

// takeAt takes room and the right to send at an upstream.
func (rs *requestState) takeAt(now time.Time, u *route.Upstream, mayTake bool) bool {
	l := rs.loadOf(now, u)
	room := &rs.s.Admission.Room
	if (!mayTake && !room.Ample(now, u, l, rs.need)) || !room.Take(now, u, l, rs.need) {
		return false
	}
	if !rs.s.Limits.Take(now, u, rs.rank) {
		room.Release(u, rs.need)
		return false
	}
	rs.taken = &taken{upstream: u, need: rs.need}
	return true
}

// hasRoom reports whether an upstream has room for the request.
func (rs *requestState) hasRoom(now time.Time, u *route.Upstream, mayTake bool) bool {
	l := rs.loadOf(now, u)
	room := &rs.s.Admission.Room
	return (mayTake || room.Ample(now, u, l, rs.need)) && room.Fits(now, u, l, rs.need)
}

// loadOf returns what is known of an upstream besides this instance's own requests.
func (rs *requestState) loadOf(now time.Time, u *route.Upstream) admission.Load {
	engine := rs.pool.Engine
	peers, reported := rs.s.Picker.KnownLoad(now, u, engine == nil)
	if engine == nil {
		shared := now.Sub(rs.arrived).Seconds() > ownPartShare*rs.route.Aim.Seconds()
		return admission.Load{Capacity: u.Slots, Peers: peers.Running, Reported: reported, Shared: shared, Draw: rs.drawn}
	}
	return admission.Load{Capacity: engine.MemoryTokens, Peers: peers.Tokens, Reported: rs.s.Admission.ReportedHeld(now, rs.pool.Name, reported)}
}

// draw returns a random number for a draw that is repeated each roomPeriod while the request
// waits. It is so much larger than an even one that within the time of a request half as many
// succeed as find room.
func (rs *requestState) draw() float64 {
	const halfFull = 2
	return rand.Float64() * halfFull * max(1, rs.choice.Predicted.Seconds()/roomPeriod.Seconds())
}

// releaseRoom gives back the room that the request has taken, if any.
func (rs *requestState) releaseRoom() {
	if rs.taken == nil {
		return
	}
	rs.s.Admission.Room.Release(rs.taken.upstream, rs.taken.need)
	rs.s.Admission.Queue.Release(rs.pool.Name)
	rs.taken = nil
}

// latestSend returns when the request must be sent to be answered in time.
func (rs *requestState) latestSend() time.Time {
	return rs.deadline.Add(-rs.choice.Predicted - rs.s.Admission.AnswerTime(rs.route.Name))
}

// mayWaitForRoom reports whether the request can be answered in time after a further wait.
func (rs *requestState) mayWaitForRoom(now time.Time) bool {
	return now.Add(roomPeriod).Before(rs.latestSend())
}

// waitForRoom waits until room may have become free.
func (rs *requestState) waitForRoom(ctx context.Context, t *admission.Ticket) {
	period := roomPeriod
	if !rs.s.Admission.Queue.MayTake(rs.pool.Name, rs.rank, t) {
		period = laterPeriod
	}
	timer := time.NewTimer(max(min(period, time.Until(rs.latestSend())), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.Freed:
	case <-timer.C:
	}
}

// roomRetryAfter returns when a request that found no room may be sent again.
func (rs *requestState) roomRetryAfter(now time.Time) time.Duration {
	drain := rs.choice.Predicted + rs.s.Admission.AnswerTime(rs.route.Name)
	return admission.RetryAfter(drain, rs.deadline.Sub(now), uint64(now.UnixNano()))
}

// refuse refuses the request for lack of room. A request that may have run ends as one that
// failed.
func (rs *requestState) refuse(now time.Time, d admission.Decision) *request.Failure {
	rs.logRefusal(now, d)
	if rs.runs > 0 {
		return rs.giveUp("no upstream has room: %s", d.Cause)
	}
	return request.Unavailable("the upstreams have no room for the request: %s", d.Cause).WithRetryAfter(d.RetryAfter)
}

// logRefusal counts a refusal and logs what it was decided on.
func (rs *requestState) logRefusal(now time.Time, d admission.Decision) {
	fields := logrus.Fields{
		"RequestID": rs.headers.ID, "Route": rs.route.Name, "Rank": rs.rank, "Pool": rs.pool.Name, "Need": rs.need,
		"FirstMillis": rs.outlook.First.Milliseconds(), "AheadMillis": rs.outlook.Wait.Milliseconds(), "AnswerMillis": rs.outlook.Answer.Milliseconds(),
		"FreeSlot": rs.outlook.FreeSlot, "LeftMillis": rs.deadline.Sub(now).Milliseconds(), "WaitedMillis": now.Sub(rs.arrived).Milliseconds(),
		"RetryAfterMillis": d.RetryAfter.Milliseconds(), "Running": rs.choice.Running,
	}
	if rs.organisation != nil {
		fields["Organisation"] = rs.organisation.Name
	}
	rs.s.Admission.Refused(now, d.Cause, fields)
}
