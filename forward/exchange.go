package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/httpwire"
	"knapweedwell/invariant"
	"knapweedwell/metric"
	"knapweedwell/pick"
	"knapweedwell/platform"
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	maxRejections  = 3                       // maxRejections bounds the upstreams that may refuse one request.
	maxUnreachable = 16                      // maxUnreachable bounds the connections that may fail for one request.
	startWait      = 300 * time.Millisecond  // startWait is the advice of an instance that has just started.
	outageWait     = 2500 * time.Millisecond // outageWait is the advice of one that waits for the store's return.
	leavingWait    = 20 * time.Millisecond   // leavingWait is the advice of an instance that leaves; another one serves at once.
	fullWait       = 250 * time.Millisecond  // fullWait is the advice when all upstreams are full.
	answerMargin   = 15 * time.Millisecond   // answerMargin is left for an upstream's own answer at its deadline.
)

// exchange is one request under way.
type exchange struct {
	s            *Server
	w            http.ResponseWriter
	r            *http.Request
	control      *http.ResponseController
	head         platform.Head
	arrived      time.Time
	limit        time.Time // limit is when the caller must have its answer.
	table        *route.Table
	route        *route.Route
	organisation *route.Organisation
	pool         *route.Pool
	rank         int
	body         []byte

	sends       int // sends counts the upstreams that got the request.
	runs        int // runs counts those that may have run it.
	rejections  int
	unreachable int
	avoid       map[string]bool
	kept        *answer // kept is the failure that an upstream answered, to be passed on if there is nothing better.
	begun       bool    // begun tells that a part of the answer has gone out.
	delivered   bool    // delivered tells that the whole answer has gone out.
	status      int
	stream      stream
	first       time.Duration // first is the time to the first byte for the caller.
	choice      pick.Choice   // choice is the last choice.
	gone        bool          // gone tells that the caller left.
	reused      bool          // reused tells that the last connection was kept from an earlier request.
}

// serve sends the request until it is answered or nothing more may be tried.
func (x *exchange) serve() *request.Failure {
	name := x.route.Pool()
	x.pool = x.table.Pools[name]
	if x.pool == nil {
		x.pool = &route.Pool{Name: name}
	}
	x.avoid = map[string]bool{}
	x.s.Budget.Request(x.arrived, name)
	ctx, cancel := x.context()
	defer cancel()
	for {
		if ctx.Err() != nil {
			return x.over(ctx)
		}
		a := pick.Ask{Pool: x.pool, Rank: x.rank, Lowest: x.table.LowestRank(name), Prompt: &x.head.Prompt, GapAim: x.route.GapAim, Avoid: x.avoid}
		c, ok := x.s.Picker.Choose(time.Now(), x.s.Roster().Pool(name), a)
		if !ok {
			return x.giveUp("no upstream of %s is left to try", name)
		}
		if x.sends > 0 && !x.s.Budget.Take(time.Now(), name) {
			return x.giveUp("the retry budget is spent")
		}
		x.choice = c
		if f := x.tooMuchAhead(); f != nil {
			return f
		}
		if f, done := x.settle(ctx, x.send(ctx, a, c)); done {
			return f
		}
	}
}

// settle decides what follows a send. It reports whether the request has ended.
func (x *exchange) settle(ctx context.Context, res result) (*request.Failure, bool) {
	id := x.choice.Upstream.ID
	switch res := res.(type) {
	case served:
		return nil, true
	case unreachable:
		x.note("upstream cannot be reached", res.reason)
		x.avoid[id] = true
		if x.unreachable++; x.unreachable > maxUnreachable {
			return x.giveUp("%d upstreams cannot be reached", x.unreachable), true
		}
	case rejected:
		x.note("upstream refused", res.reason)
		x.avoid[id] = true
		if x.rejections++; x.rejections >= maxRejections {
			return x.giveUp("%d upstreams are full", x.rejections), true
		}
	case broken:
		x.avoid[id] = true
		if ctx.Err() != nil {
			return x.over(ctx), true
		}
		x.note("upstream broke off", res.reason)
		if !x.mayRepeat() {
			return x.giveUp("the upstream broke off: %s", res.reason), true
		}
	case failed:
		x.note("upstream failed", strconv.Itoa(res.answer.status))
		x.avoid[id] = true
		x.kept = res.answer
		if !x.mayRepeat() {
			return x.giveUp("the upstream answered %d", res.answer.status), true
		}
	}
	return nil, false
}

// mayRepeat reports whether a request that may have run may run again.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts
}

// mayRepeatOnce reports whether a request may run again after the run that
// begins now.
func (x *exchange) mayRepeatOnce() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts
}

// giveUp ends the request: with the failure that an upstream answered, or with
// one that tells the truth about whether it ran.
func (x *exchange) giveUp(format string, args ...any) *request.Failure {
	switch {
	case x.kept != nil && !x.begun:
		x.deliver(x.kept)
		return nil
	case x.runs > 0:
		f := request.Unknown(format, args...)
		f.Status = http.StatusBadGateway
		return f
	}
	return request.Unavailable(format, args...).After(fullWait)
}

// over ends a request whose caller has left or whose time has passed.
func (x *exchange) over(ctx context.Context) *request.Failure {
	x.gone = x.r.Context().Err() != nil
	if x.gone {
		return request.Unknown("the caller left")
	}
	if x.runs > 0 {
		return request.Unknown("the time of the request has passed: %v", ctx.Err())
	}
	return request.Unavailable("the time of the request passed before an upstream took it").After(fullWait)
}

// send sends the request to the chosen upstream and relays the answer.
func (x *exchange) send(ctx context.Context, a pick.Ask, c pick.Choice) result {
	u := c.Upstream
	lease := x.s.Picker.Begin(time.Now(), a, c)
	conn, err := x.s.Links.Get(ctx, u.ID, u.Address)
	if err != nil {
		lease.End(time.Now(), pick.Unreachable)
		return unreachable{reason: err.Error()}
	}
	x.reused = conn.Reused
	if !conn.Reused {
		x.s.Picker.Connected(u, conn.Dialed)
	}
	if !x.s.Roster().Takes(u.ID) {
		conn.Close()
		lease.End(time.Now(), pick.Left)
		return unreachable{reason: "the upstream has begun to leave"}
	}
	x.s.Check.Check(invariant.AtMostOnce, x.route.Repeatable() || x.runs == 0,
		"request %s may run once only and is sent after %d runs", x.head.ID, x.runs)
	stop := context.AfterFunc(ctx, conn.Interrupt)
	t := &transfer{x: x, ctx: ctx, conn: conn, lease: lease}
	unwatch := t.watch()
	res := t.exchange(x.outgoing(u))
	unwatch()
	if !stop() || t.silent.Load() {
		t.keep = false
	}
	t.finish(res)
	return res
}

// outgoing returns the request as the upstream gets it.
func (x *exchange) outgoing(u *route.Upstream) *httpwire.Request {
	h := x.r.Header.Clone()
	httpwire.StripHop(h)
	o := platform.Orders{Upstream: u.ID, TimeLeft: time.Until(x.limit) - answerMargin, Rank: -1, LastEvent: x.stream.lastID}
	if x.organisation != nil {
		o.Organisation = x.organisation.Name
	}
	if x.pool.Engine != nil {
		o.Rank = x.rank
	}
	platform.WriteOrders(h, o)
	return &httpwire.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body}
}

// deliver writes a whole answer to the caller.
func (x *exchange) deliver(a *answer) {
	x.begin(a.status, a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.gone = true
		return
	}
	x.delivered = true
}

// begin prepares the head of an answer that an upstream gave.
func (x *exchange) begin(status int, header http.Header) {
	x.begun = true
	x.status = status
	x.first = time.Since(x.arrived)
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if h["Date"] == nil {
		h["Date"] = nil
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil
	}
}

// end writes the failure, if any, and books the request.
func (x *exchange) end(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		x.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || x.runs == 0,
			"request %s is refused as not run after %d runs", x.head.ID, x.runs)
	}
	if x.gone {
		result = "left"
	}
	x.book(result, f)
	switch {
	case f == nil || x.gone:
	case x.begun:
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	default:
		x.status = f.Status
		_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		platform.WriteFailure(x.w, x.head.ID, f.Status, f.Error(), f.RetryAfter)
	}
}

func (x *exchange) book(result string, f *request.Failure) {
	whole := time.Since(x.arrived)
	fields := logrus.Fields{
		"RequestID": x.head.ID, "Result": result, "Millis": whole.Milliseconds(), "Sends": x.sends, "Runs": x.runs,
	}
	if x.table != nil {
		fields["Version"] = x.table.Version
	}
	if x.route != nil {
		fields["Route"] = x.route.Name
		fields["Rank"] = x.rank
		sample := metric.Sample{Class: x.route.Name, Result: result, FirstToken: x.first, Whole: whole}
		if x.organisation != nil {
			sample.Organisation = x.organisation.Name
			fields["Organisation"] = x.organisation.Name
		}
		sample.Attained = f == nil && x.first <= x.route.Aim
		x.s.Metrics.Observe(sample)
	}
	if c := x.choice; c.Upstream != nil {
		fields["Upstream"] = c.Upstream.ID
		fields["PredictedMillis"] = c.Predicted.Milliseconds()
		fields["FirstMillis"] = x.first.Milliseconds()
		fields["Missing"] = c.Missing
		fields["Ahead"] = c.Running
		fields["PeersAgeMillis"] = c.PeersAge.Milliseconds()
		if x.route.Stream {
			fields["GapMillis"] = x.stream.gap.Milliseconds()
		}
	}
	if f != nil {
		fields["Reason"] = f.Message
	}
	x.s.Log.WithFields(fields).Info("request ended")
}

// note logs what happened at an upstream.
func (x *exchange) note(what, reason string) {
	x.s.Log.WithFields(logrus.Fields{
		"RequestID": x.head.ID, "Route": x.route.Name, "Upstream": x.choice.Upstream.ID, "Sends": x.sends, "Runs": x.runs,
		"Events": x.stream.events, "KeptConnection": x.reused, "Reason": reason,
	}).Warn(what)
}
