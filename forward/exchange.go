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
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	maxRejections  = 3  // number of refusals that ends a request
	maxUnreachable = 16 // connections that may fail for one request

	startRetryAfter   = 300 * time.Millisecond  // advised by an instance that has just started
	outageRetryAfter  = 2500 * time.Millisecond // advised by an instance that waits for the store to answer again
	leavingRetryAfter = 20 * time.Millisecond   // advised by an instance that leaves; another one can serve at once
	fullRetryAfter    = 250 * time.Millisecond  // advised while all upstreams are full

	answerMargin = 15 * time.Millisecond // time for an upstream's own answer at its deadline to arrive
)

// exchange is the state of one request in progress.
type exchange struct {
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
	firstByte   time.Duration   // from arrival to the start of the answer
	choice      balancer.Choice // the picker's most recent choice
	callerGone  bool            // whether the caller disconnected or an answer could not be written to it
	reused      bool            // whether the most recent connection had served an earlier request
}

// serve sends the request to upstreams until one of them answers or no further
// attempt is allowed.
func (x *exchange) serve() *request.Failure {
	name := x.route.ChoosePool()
	x.pool = x.table.Pools[name]
	if x.pool == nil {
		x.pool = &route.Pool{Name: name}
	}
	x.avoid = map[string]bool{}
	x.s.Budget.RecordRequest(x.arrived, name)
	ctx, cancel := x.context()
	defer cancel()
	for {
		if ctx.Err() != nil {
			return x.contextDone(ctx)
		}
		r := balancer.Request{Pool: x.pool, Rank: x.rank, LowestRank: x.table.LowestRank(name), Prompt: &x.headers.Prompt, GapAim: x.route.GapAim, Avoid: x.avoid}
		c, ok := x.s.Picker.Choose(time.Now(), x.s.Roster().Pool(name), r)
		if !ok {
			return x.giveUp("no upstream of %s is left to try", name)
		}
		if x.sends > 0 && !x.s.Budget.AllowRetry(time.Now(), name) {
			return x.giveUp("the retry budget is spent")
		}
		x.choice = c
		if f := x.refuseOverload(); f != nil {
			return f
		}
		if f, done := x.handleResult(ctx, x.send(ctx, r, c)); done {
			return f
		}
	}
}

// handleResult decides what follows a send. It reports whether the request has
// ended and returns its failure, nil if the request was answered.
func (x *exchange) handleResult(ctx context.Context, res result) (*request.Failure, bool) {
	id := x.choice.Upstream.ID
	switch res := res.(type) {
	case served:
		return nil, true
	case unreachable:
		x.warn("upstream cannot be reached", res.reason)
		x.avoid[id] = true
		if x.unreachable++; x.unreachable > maxUnreachable {
			return x.giveUp("%d upstreams cannot be reached", x.unreachable), true
		}
	case rejected:
		x.warn("upstream refused", res.reason)
		x.avoid[id] = true
		if x.rejections++; x.rejections >= maxRejections {
			return x.giveUp("%d upstreams are full", x.rejections), true
		}
	case broken:
		x.avoid[id] = true
		if ctx.Err() != nil {
			return x.contextDone(ctx), true
		}
		x.warn("upstream broke off", res.reason)
		if !x.mayRetry() {
			return x.giveUp("the upstream broke off: %s", res.reason), true
		}
	case failed:
		x.warn("upstream failed", strconv.Itoa(res.answer.status))
		x.avoid[id] = true
		x.lastFailure = res.answer
		if !x.mayRetry() {
			return x.giveUp("the upstream answered %d", res.answer.status), true
		}
	}
	return nil, false
}

// mayRetry reports whether a request that may have run may run again.
func (x *exchange) mayRetry() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts
}

// mayRetryAfterRun reports whether a request may run again after the run that is
// about to start.
func (x *exchange) mayRetryAfterRun() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts
}

// giveUp ends the request. It relays the most recent failure of an upstream,
// unless part of another answer was relayed before. Without one it returns a
// failure whose type states whether the request may have run.
func (x *exchange) giveUp(format string, args ...any) *request.Failure {
	switch {
	case x.lastFailure != nil && !x.begun:
		x.deliver(x.lastFailure)
		return nil
	case x.runs > 0:
		f := request.Unknown(format, args...)
		f.Status = http.StatusBadGateway
		return f
	}
	return request.Unavailable(format, args...).WithRetryAfter(fullRetryAfter)
}

// contextDone returns the failure of a request whose caller has disconnected or
// whose deadline has passed.
func (x *exchange) contextDone(ctx context.Context) *request.Failure {
	x.callerGone = x.r.Context().Err() != nil
	if x.callerGone {
		return request.Unknown("the caller left")
	}
	if x.runs > 0 {
		return request.Unknown("the time of the request has passed: %v", ctx.Err())
	}
	return request.Unavailable("the time of the request passed before an upstream took it").WithRetryAfter(fullRetryAfter)
}

// send sends the request to the chosen upstream and relays the answer.
func (x *exchange) send(ctx context.Context, r balancer.Request, c balancer.Choice) result {
	u := c.Upstream
	attempt := x.s.Picker.Begin(time.Now(), r, c)
	conn, err := x.s.Connections.Get(ctx, u.ID, u.Address)
	if err != nil {
		attempt.End(time.Now(), balancer.Unreachable)
		return unreachable{reason: err.Error()}
	}
	x.reused = conn.Reused
	if !conn.Reused {
		x.s.Picker.Connected(u, conn.DialTime)
	}
	if !x.s.Roster().Accepts(u.ID) {
		conn.Close()
		attempt.End(time.Now(), balancer.Abandoned)
		return unreachable{reason: "the upstream has begun to leave"}
	}
	x.s.Check.Check(invariant.AtMostOnce, x.route.Repeatable() || x.runs == 0,
		"request %s may run once only and is sent after %d runs", x.headers.ID, x.runs)
	stop := context.AfterFunc(ctx, conn.Interrupt)
	t := &transfer{x: x, ctx: ctx, conn: conn, attempt: attempt}
	unwatch := t.watchSilence()
	res := t.roundTrip(x.outgoing(u))
	unwatch()
	if !stop() || t.silent.Load() {
		t.keep = false
	}
	t.finish(res)
	return res
}

// outgoing returns the request as it is sent to the upstream: the caller's
// request without hop-by-hop headers and with the router's own headers.
func (x *exchange) outgoing(u *route.Upstream) *httpwire.Request {
	h := x.r.Header.Clone()
	httpwire.StripHop(h)
	headers := platform.UpstreamHeaders{Upstream: u.ID, TimeLeft: time.Until(x.deadline) - answerMargin, Rank: -1, LastEvent: x.stream.lastID}
	if x.organisation != nil {
		headers.Organisation = x.organisation.Name
	}
	if x.pool.Engine != nil {
		headers.Rank = x.rank
	}
	platform.WriteUpstreamHeaders(h, headers)
	return &httpwire.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body}
}

// deliver writes a complete answer to the caller.
func (x *exchange) deliver(a *answer) {
	x.begin(a.status, a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.callerGone = true
		return
	}
	x.delivered = true
}

// begin sets the headers of an upstream's answer to the caller.
func (x *exchange) begin(status int, header http.Header) {
	x.begun = true
	x.status = status
	x.firstByte = time.Since(x.arrived)
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	h := x.w.Header()
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

// end records the request in metrics and log, and writes the failure, if any,
// to the caller.
func (x *exchange) end(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		x.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || x.runs == 0,
			"request %s is refused as not run after %d runs", x.headers.ID, x.runs)
	}
	if x.callerGone {
		result = "left"
	}
	x.record(result, f)
	switch {
	case f == nil || x.callerGone:
	case x.begun:
		// Aborts the connection, so that the truncated answer does not look complete.
		panic(http.ErrAbortHandler)
	default:
		x.status = f.Status
		_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		platform.WriteFailure(x.w, x.headers.ID, f.Status, f.Error(), f.RetryAfter)
	}
}

// record adds the request to the metrics and logs its end.
func (x *exchange) record(result string, f *request.Failure) {
	whole := time.Since(x.arrived)
	fields := logrus.Fields{
		"RequestID": x.headers.ID, "Result": result, "Millis": whole.Milliseconds(), "Sends": x.sends, "Runs": x.runs,
	}
	if x.table != nil {
		fields["Version"] = x.table.Version
	}
	if x.route != nil {
		fields["Route"] = x.route.Name
		fields["Rank"] = x.rank
		sample := metric.Sample{Class: x.route.Name, Result: result, FirstToken: x.firstByte, Whole: whole}
		if x.organisation != nil {
			sample.Organisation = x.organisation.Name
			fields["Organisation"] = x.organisation.Name
		}
		sample.Attained = f == nil && x.firstByte <= x.route.Aim
		x.s.Metrics.Observe(sample)
	}
	if c := x.choice; c.Upstream != nil {
		fields["Upstream"] = c.Upstream.ID
		fields["PredictedMillis"] = c.Predicted.Milliseconds()
		fields["FirstMillis"] = x.firstByte.Milliseconds()
		fields["Missing"] = c.Missing
		fields["Ahead"] = c.Running
		fields["PeersAgeMillis"] = c.PeersAge.Milliseconds()
		if x.route.Stream {
			fields["GapMillis"] = x.stream.maxGap.Milliseconds()
		}
	}
	if f != nil {
		fields["Reason"] = f.Message
	}
	x.s.Log.WithFields(fields).Info("request ended")
}

// warn logs a failed send with the given message.
func (x *exchange) warn(message, reason string) {
	x.s.Log.WithFields(logrus.Fields{
		"RequestID": x.headers.ID, "Route": x.route.Name, "Upstream": x.choice.Upstream.ID, "Sends": x.sends, "Runs": x.runs,
		"Events": x.stream.events, "KeptConnection": x.reused, "Reason": reason,
	}).Warn(message)
}
