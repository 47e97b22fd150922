package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/balancer"
	"knapweedwell/httpwire"
	"knapweedwell/invariant"
	"knapweedwell/metric"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	maxRejections  = 3  // number of rejections that ends a request
	maxUnreachable = 16 // connections that may fail for one request

	startRetryAfter   = 300 * time.Millisecond  // advised by an instance that has just started
	outageRetryAfter  = 2500 * time.Millisecond // advised by an instance that waits for the store to answer again
	leavingRetryAfter = 20 * time.Millisecond   // advised by an instance that leaves; another one can serve at once
	notRunRetryAfter  = 250 * time.Millisecond  // advised when no upstream ran the request

	answerMargin = 15 * time.Millisecond // the upstream's deadline is this much before the caller's, so that its answer at its deadline can arrive
)

// requestState is the state of one request in progress.
type requestState struct {
	s            *Server
	w            http.ResponseWriter
	r            *http.Request
	control      *http.ResponseController
	headers      platform.RequestHeaders
	arrived      time.Time
	deadline     time.Time // by which the caller must have its answer
	table        *route.Table
	route        *route.Route
	organisation *route.Organisation
	pool         *route.Pool
	rank         int
	body         []byte

	sends       int // number of upstreams that got the request
	runs        int // number of upstreams that may have run it
	rejections  int
	unreachable int
	avoid       map[string]bool // IDs of upstreams that are not tried again
	lastFailure *answer         // most recent failure of an upstream, relayed if no upstream serves the request
	begun       bool            // whether part of the answer was written to the caller
	delivered   bool            // whether the whole answer was written to the caller
	status      int
	stream      stream
	firstByte   time.Duration       // from arrival to the start of the answer
	choice      balancer.Choice     // the picker's most recent choice
	callerGone  bool                // whether the caller disconnected or an answer could not be written to it
	interrupted bool                // whether the last upstream that may have run it was interrupted because it was silent
	retryTaken  bool                // whether the budget has granted the next send already
	reused      bool                // whether the most recent connection had served an earlier request
	watched     *quarantine.Attempt // most recent send
	refusal     *quarantine.Refusal // because of a part of the prompt, nil if there was none
}

// serve sends the request to upstreams until one of them answers or no further
// attempt is allowed.
func (rs *requestState) serve() *request.Failure {
	name := rs.route.ChoosePool()
	rs.pool = rs.table.Pools[name]
	if rs.pool == nil {
		rs.pool = &route.Pool{Name: name}
	}
	rs.avoid = map[string]bool{}
	rs.s.Budget.RecordRequest(rs.arrived, name)
	ctx, cancel := rs.context()
	defer cancel()
	for {
		if ctx.Err() != nil {
			return rs.contextDone(ctx)
		}
		if refusal := rs.s.Quarantine.Check(time.Now(), rs.headers.Prompt.Shared()); refusal != nil {
			return rs.withhold(refusal)
		}
		r := rs.pickRequest()
		c, ok := rs.s.Picker.Choose(time.Now(), rs.s.Roster().Pool(name), r)
		if ok {
			rs.choice = c
			if f := rs.refuseOverload(); f != nil {
				return f
			}
			if !rs.s.Limits.Take(time.Now(), c.Upstream, rs.rank) {
				continue // another request was faster
			}
		}
		switch {
		case ok && (rs.sends == 0 || rs.takeRetry()):
		case !ok && rs.waitForLimit(ctx):
			continue
		case rs.waitToResume(ctx):
			continue
		case !ok:
			return rs.giveUp("no upstream of %s is left to try", name)
		default:
			return rs.giveUp("the retry budget is spent")
		}
		if f, done := rs.handleResult(ctx, rs.send(ctx, r, c)); done {
			return f
		}
	}
}

// pickRequest returns the request as the picker sees it.
func (rs *requestState) pickRequest() balancer.Request {
	return balancer.Request{
		Pool: rs.pool, Rank: rs.rank, LowestRank: rs.table.LowestRank(rs.pool.Name), Prompt: &rs.headers.Prompt,
		GapAim: rs.route.GapAim, ShortestGap: rs.table.HasShortestGap(rs.route, rs.pool.Name), Avoid: rs.avoidNow(time.Now()),
	}
}

// handleResult decides what follows a send. It reports whether the request has
// ended and returns its failure, nil if the request was answered.
func (rs *requestState) handleResult(ctx context.Context, res result) (*request.Failure, bool) {
	id := rs.choice.Upstream.ID
	switch res := res.(type) {
	case served:
		return nil, true
	case notSent:
		rs.warn("upstream cannot be reached", res.reason)
		rs.avoid[id] = true
		rs.retryTaken = rs.sends > 0
		if rs.unreachable++; rs.unreachable > maxUnreachable && !rs.waitToResume(ctx) {
			return rs.giveUp("%d upstreams cannot be reached", rs.unreachable), true
		}
	case withheld:
		return rs.withhold(res.refusal), true
	case rejected:
		rs.warn("upstream refused", res.reason)
		rs.avoid[id] = true
		if rs.rejections++; rs.rejections >= maxRejections && !rs.waitToResume(ctx) {
			return rs.giveUp("%d upstreams are full", rs.rejections), true
		}
	case broken:
		rs.avoid[id] = true
		return rs.handleBreak(ctx, res)
	case failed:
		rs.warn("upstream failed", strconv.Itoa(res.answer.status))
		rs.avoid[id] = true
		rs.lastFailure = res.answer
		if !rs.mayRetry() {
			return rs.giveUp("the upstream answered %d", res.answer.status), true
		}
	}
	return nil, false
}

// handleBreak decides what follows a send that the upstream broke off.
func (rs *requestState) handleBreak(ctx context.Context, res broken) (*request.Failure, bool) {
	if ctx.Err() != nil {
		return rs.contextDone(ctx), true
	}
	rs.warn("upstream broke off", res.reason)
	if !rs.mayRetry() || !rs.watched.MayRetry(time.Now()) {
		return rs.giveUp("the upstream broke off: %s", res.reason), true
	}
	return nil, false
}

// mayRetry reports whether a request that may have run may run again.
func (rs *requestState) mayRetry() bool {
	return rs.route.Repeatable() && !rs.stream.unnumbered.Load() && rs.runs < rs.route.MaxAttempts
}

// mayRetryAfterRun reports whether a request may run again after the run that is
// about to start.
func (rs *requestState) mayRetryAfterRun() bool {
	return rs.route.Repeatable() && rs.runs+1 < rs.route.MaxAttempts
}

// giveUp ends the request. It relays the most recent failure of an upstream,
// unless part of another answer was relayed before. Without one it returns a
// failure whose type states whether the request may have run.
func (rs *requestState) giveUp(format string, args ...any) *request.Failure {
	switch {
	case rs.lastFailure != nil && !rs.begun:
		rs.deliver(rs.lastFailure)
		return nil
	case rs.runs > 0:
		f := request.Unknown(format, args...)
		f.Status = http.StatusBadGateway
		return f
	}
	return request.Unavailable(format, args...).WithRetryAfter(rs.retryAfter())
}

// retryAfter returns the time after which a request that no upstream ran may be
// sent again: the end of the first pause if all upstreams of the pool have asked for one, or
// the time at which a limit lets it pass.
func (rs *requestState) retryAfter() time.Duration {
	left, ok := rs.s.Picker.PauseLeft(time.Now(), rs.s.Roster().Pool(rs.pool.Name))
	if ok {
		return left
	}
	left, ok = rs.limitLeft(time.Now())
	if ok {
		return max(left, notRunRetryAfter)
	}
	return notRunRetryAfter
}

// contextDone returns the failure of a request whose caller has disconnected or
// whose deadline has passed.
func (rs *requestState) contextDone(ctx context.Context) *request.Failure {
	rs.callerGone = rs.callerGone || rs.r.Context().Err() != nil
	if rs.callerGone {
		return request.Unknown("the caller left")
	}
	if rs.runs > 0 {
		return request.Unknown("the time of the request has passed: %v", ctx.Err())
	}
	return request.Unavailable("the time of the request passed before an upstream took it").WithRetryAfter(notRunRetryAfter)
}

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
	watched, refusal := rs.s.Quarantine.Begin(time.Now(), u, rs.headers.Prompt.Shared(), conn.Interrupt)
	if refusal != nil {
		conn.Close()
		attempt.End(time.Now(), balancer.Abandoned)
		return withheld{refusal: refusal}
	}
	rs.watched = watched
	rs.s.Check.Check(invariant.AtMostOnce, rs.route.Repeatable() || rs.runs == 0,
		"request %s may run once only and is sent after %d runs", rs.headers.ID, rs.runs)
	stop := context.AfterFunc(ctx, conn.Interrupt)
	t := &transfer{rs: rs, ctx: ctx, conn: conn, attempt: attempt, watched: watched}
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

// deliver writes a complete answer to the caller.
func (rs *requestState) deliver(a *answer) {
	rs.begin(a.status, a.header)
	rs.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	rs.w.WriteHeader(a.status)
	if _, err := rs.w.Write(a.body); err != nil {
		rs.callerGone = true
		return
	}
	rs.delivered = true
}

// begin sets the headers of an upstream's answer to the caller.
func (rs *requestState) begin(status int, header http.Header) {
	rs.begun = true
	rs.status = status
	rs.firstByte = time.Since(rs.arrived)
	rs.extendWrite()
	h := rs.w.Header()
	for name, values := range header {
		h[name] = values
	}
	// A nil value keeps net/http from adding a header that the upstream did not send.
	if h["Date"] == nil {
		h["Date"] = nil
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil
	}
}

// extendWrite gives the caller writeTimeout to read what is written next.
func (rs *requestState) extendWrite() {
	_ = rs.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// end records the request in metrics and log, and writes the failure, if any,
// to the caller.
func (rs *requestState) end(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		rs.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || rs.runs == 0,
			"request %s is refused as not run after %d runs", rs.headers.ID, rs.runs)
	}
	if rs.callerGone {
		result = "left"
	}
	rs.record(result, f)
	switch {
	case f == nil:
	case rs.callerGone:
		// A caller that closed only its own side must see no answer that looks complete.
		panic(http.ErrAbortHandler)
	case rs.begun:
		rs.abort(f)
	default:
		rs.status = f.Status
		rs.extendWrite()
		platform.WriteFailure(rs.w, rs.headers.ID, f.Status, f.Error(), f.RetryAfter)
	}
}

// cutCause is the reason for which an answer that has begun is not completed.
type cutCause string

const (
	cutAtDeadline cutCause = "deadline" // the time of the request has passed
	cutBySilence  cutCause = "silence"  // the upstream was interrupted because it was silent
	cutByUpstream cutCause = "upstream" // the upstream broke off
	cutByStop     cutCause = "stop"     // the instance has left
)

// abort ends the connection of a request with the failure, so that the truncated
// answer does not look complete.
func (rs *requestState) abort(f *request.Failure) {
	cause := cutByUpstream
	switch {
	case !time.Now().Before(rs.deadline):
		cause = cutAtDeadline
	case rs.interrupted:
		cause = cutBySilence
	}
	rs.s.Metrics.ObserveCutOff(string(cause))
	rs.s.Log.WithFields(logrus.Fields{
		"RequestID": rs.headers.ID, "Route": rs.route.Name, "Cause": cause, "Events": rs.stream.events,
		"Millis": time.Since(rs.arrived).Milliseconds(), "Reason": f.Message,
	}).Warn("request cut off")
	panic(http.ErrAbortHandler)
}

// record adds the request to the metrics and logs its end.
func (rs *requestState) record(result string, f *request.Failure) {
	whole := time.Since(rs.arrived)
	fields := logrus.Fields{
		"RequestID": rs.headers.ID, "Result": result, "Millis": whole.Milliseconds(), "Sends": rs.sends, "Runs": rs.runs,
	}
	if rs.table != nil {
		fields["Version"] = rs.table.Version
	}
	if rs.route != nil {
		fields["Route"] = rs.route.Name
		fields["Rank"] = rs.rank
		sample := metric.Sample{Class: rs.route.Name, Result: result, FirstToken: rs.firstByte, Whole: whole}
		if rs.organisation != nil {
			sample.Organisation = rs.organisation.Name
			fields["Organisation"] = rs.organisation.Name
		}
		sample.Attained = f == nil && rs.firstByte <= rs.route.Aim
		rs.s.Metrics.Observe(sample)
	}
	if c := rs.choice; c.Upstream != nil {
		fields["Upstream"] = c.Upstream.ID
		fields["PredictedMillis"] = c.Predicted.Milliseconds()
		fields["FirstMillis"] = rs.firstByte.Milliseconds()
		fields["Missing"] = c.Missing
		fields["Ahead"] = c.Running
		fields["PeersAgeMillis"] = c.PeersAge.Milliseconds()
		if rs.route.Stream {
			fields["GapMillis"] = rs.stream.maxGap.Milliseconds()
		}
	}
	if f != nil {
		fields["Reason"] = f.Message
	}
	if rs.refusal != nil {
		fields["Part"] = quarantine.PartName(rs.refusal.Part)
		fields["Quarantined"] = rs.refusal.Quarantined
	}
	rs.s.Log.WithFields(fields).Info("request ended")
}

// warn logs a failed send with the given message.
func (rs *requestState) warn(message, reason string) {
	rs.s.Log.WithFields(logrus.Fields{
		"RequestID": rs.headers.ID, "Route": rs.route.Name, "Upstream": rs.choice.Upstream.ID, "Sends": rs.sends, "Runs": rs.runs,
		"Events": rs.stream.events, "KeptConnection": rs.reused, "Interrupted": rs.interrupted, "Reason": reason,
	}).Warn(message)
}
