package forward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/balancer"
	"knapweedwell/httpwire"
	"knapweedwell/invariant"
	"knapweedwell/platform"
	"knapweedwell/route"
)

// send sends the request to the chosen upstream and relays the answer.
func (rs *requestState) send(ctx context.Context, r balancer.Request, c balancer.Choice) result {
	u := c.Upstream
	attempt := rs.s.Picker.Begin(time.Now(), r, c)
	conn, err := rs.s.Connections.Get(ctx, u.ID, u.Address, rs.headers.ID)
	if err != nil {
		attempt.End(time.Now(), balancer.Unreachable)
		rs.s.reportRefused(u, err)
		return notSent{reason: err.Error()}
	}
	rs.reused = conn.Reused
	if !conn.Reused {
		rs.s.Picker.Connected(u, conn.DialTime)
	}
	if reason := rs.unusableReason(u, attempt); reason != "" {
		conn.Close()
		attempt.End(time.Now(), balancer.Abandoned)
		return notSent{reason: reason}
	}
	watched, refusal := rs.s.Quarantine.Begin(time.Now(), u, rs.traits, conn.Interrupt)
	if refusal != nil {
		conn.Close()
		attempt.End(time.Now(), balancer.Abandoned)
		return withheld{refusal: refusal}
	}
	rs.watched = watched
	rs.s.Check.Check(invariant.AtMostOnce, rs.route.Repeatable() || rs.runs == 0,
		"request %s may run once only and is sent after %d runs", rs.headers.ID, rs.runs)
	stop := context.AfterFunc(ctx, conn.Interrupt)
	t := &transfer{rs: rs, ctx: ctx, conn: conn, attempt: attempt, watched: watched, sentAt: time.Now()}
	unwatch := t.watchSilence()
	res := t.withdraw(t.roundTrip(rs.outgoing(u)))
	unwatch()
	if _, ok := res.(broken); ok {
		rs.interrupted = t.silent.Load()
	}
	if !stop() || t.silent.Load() {
		t.keep = false
	}
	t.finish(res)
	return res
}

// unusableReason returns the reason why an upstream that was chosen takes no request any
// more, or an empty string.
func (rs *requestState) unusableReason(u *route.Upstream, attempt *balancer.Attempt) string {
	if !rs.s.Roster().Accepts(u.ID) {
		return "the upstream has begun to leave"
	}
	if attempt.Paused(time.Now()) {
		return "the upstream has asked for a pause"
	}
	return ""
}

// recordDeparture records that the upstream has said in its answer that it leaves.
func (rs *requestState) recordDeparture() {
	u := rs.choice.Upstream
	if !rs.s.RecordDeparture(u) {
		return
	}
	rs.s.Connections.CloseIdle(u.ID)
	rs.s.Log.WithFields(logrus.Fields{"Upstream": u.ID, "Born": u.Born, "RequestID": rs.headers.ID}).Info("upstream says that it leaves")
}

// logPause logs that the upstream wants no further request for the given time.
func (rs *requestState) logPause(d time.Duration) {
	rs.s.Log.WithFields(logrus.Fields{
		"Upstream": rs.choice.Upstream.ID, "Millis": d.Milliseconds(), "RequestID": rs.headers.ID,
	}).Info("upstream asks for a pause")
}

// outgoing returns the request as it is sent to the upstream: the caller's
// request without hop-by-hop headers and with the router's own headers.
func (rs *requestState) outgoing(u *route.Upstream) *httpwire.Request {
	h := rs.r.Header.Clone()
	httpwire.StripHop(h)
	headers := platform.UpstreamHeaders{Upstream: u.ID, TimeLeft: time.Until(rs.deadline) - answerMargin, Rank: -1, LastEvent: rs.stream.lastID}
	if rs.organisation != nil {
		headers.Organisation = rs.organisation.Name
	}
	if rs.pool.Engine != nil {
		headers.Rank = rs.rank
	}
	platform.WriteUpstreamHeaders(h, headers)
	return &httpwire.Request{Method: rs.r.Method, Target: rs.r.RequestURI, Host: rs.r.Host, Header: h, Body: rs.body}
}
