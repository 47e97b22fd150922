package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"knapweedwell/admission"
	"knapweedwell/balancer"
	"knapweedwell/buffer"
	"knapweedwell/invariant"
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
	memoryRetryAfter  = time.Second             // advised by an instance without memory for the body

	answerTokenBytes = 40 // bytes of an answer for each token, with the lines of its event

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
	buffers      []*buffer.Buffer // of the request's body and of the answers

	counted bool // whether a run of the request was counted

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
	traits      []quarantine.Trait
	refusal     *quarantine.Refusal // because of a trait, nil if there was none

	// Used with Server.Admission only.
	need    int    // tokens that an engine, or slots that a plain service holds for it
	taken   *taken // room that it has taken
	decided bool   // whether the gate has decided on it before
	held    bool   // whether it was held back
	outlook admission.Outlook
	drawn   float64 // most recent random number for a slot of a plain service
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
	rs.traits = rs.findTraits()
	rs.s.Budget.RecordRequest(rs.arrived, name)
	ctx, cancel := rs.context()
	defer cancel()
	defer rs.releaseRoom()
	for {
		if ctx.Err() != nil {
			return rs.contextDone(ctx)
		}
		if refusal := rs.s.Quarantine.Check(time.Now(), rs.traits); refusal != nil {
			return rs.withhold(refusal)
		}
		r, ok, f := rs.chooseUpstream(ctx)
		if f != nil {
			return f
		}
		switch {
		case ok && (rs.sends == 0 || rs.takeRetry()):
		case !ok && rs.waitForLimit(ctx), rs.waitToResume(ctx):
			continue
		case !ok:
			return rs.giveUp("no upstream of %s is left to try", name)
		default:
			return rs.giveUp("the retry budget is spent")
		}
		res := rs.send(ctx, r, rs.choice)
		rs.releaseRoom()
		if f, done := rs.handleResult(ctx, res); done {
			return f
		}
	}
}

// chooseUpstream chooses the upstream of the next send and takes the right to send to it. It
// reports false if there is none, and returns a failure if the request is refused.
func (rs *requestState) chooseUpstream(ctx context.Context) (balancer.Request, bool, *request.Failure) {
	if rs.s.Admission != nil {
		return rs.chooseWithRoom(ctx)
	}
	for {
		now := time.Now()
		r := rs.pickRequest(now)
		c, ok := rs.s.Picker.Choose(now, rs.candidates(), r)
		if !ok {
			return r, false, nil
		}
		rs.choice = c
		if f := rs.refuseOverload(); f != nil {
			return r, false, f
		}
		if rs.s.Limits.Take(now, c.Upstream, rs.rank) {
			return r, true, nil
		}
		// Another request was faster.
	}
}

// pickRequest returns the request as the picker sees it.
func (rs *requestState) pickRequest(now time.Time) balancer.Request {
	return balancer.Request{
		Pool: rs.pool, Rank: rs.rank, LowestRank: rs.table.LowestRank(rs.pool.Name), Prompt: &rs.headers.Prompt,
		GapAim: rs.route.GapAim, ShortestGap: rs.table.HasShortestGap(rs.route, rs.pool.Name), Avoid: rs.avoidNow(now),
		Bytes: len(rs.body) + answerTokenBytes*rs.headers.Prompt.MaxOutputTokens,
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
	reason := "the time of the request has passed"
	if rs.s.ended.Err() != nil {
		reason = "this instance has left"
	}
	if rs.runs > 0 {
		return request.Unknown("%s: %v", reason, ctx.Err())
	}
	return request.Unavailable("%s before an upstream took it", reason).WithRetryAfter(notRunRetryAfter)
}

// newBuffer returns a buffer that is freed when the request ends.
func (rs *requestState) newBuffer() *buffer.Buffer {
	b := &buffer.Buffer{Memory: rs.s.Memory}
	rs.buffers = append(rs.buffers, b)
	return b
}

// freeBuffers frees the buffers of a request that has ended.
func (rs *requestState) freeBuffers() {
	for _, b := range rs.buffers {
		b.Free()
	}
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
	rs.s.Check.Check(invariant.TrueNotRun, rs.route.Repeatable() || !impliesNotRun(status),
		"request %s is answered %d after %d runs", rs.headers.ID, status, rs.runs)
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
