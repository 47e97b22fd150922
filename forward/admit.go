package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"knapweedwell/request"
)

const (
	defaultMaxBodyBytes = 4 << 20
	bodyTimeout         = 30 * time.Second
	streamAcceptTime    = 2500 * time.Millisecond // a leaving instance accepts streams for this long
	callAcceptTime      = 5 * time.Second         // a leaving instance accepts other requests for this long
)

// admit finds the route and the organisation of a request, sets its rank and
// deadline, and reads its body. It returns a failure if the request is refused.
func (x *exchange) admit() *request.Failure {
	x.table = x.s.Table()
	if x.table == nil || x.s.Roster() == nil {
		wait := startRetryAfter
		if x.s.StoreUnreachable() {
			wait = outageRetryAfter
		}
		return request.Unavailable("this instance has no configuration yet").WithRetryAfter(wait)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.table.Match(x.r.Host, path)
	if x.route == nil {
		f := request.Malformed([]request.Finding{{Place: "path", Message: "no route leads from " + x.r.Host + path}})
		f.Status = http.StatusNotFound
		return f
	}
	if f := x.authorize(); f != nil {
		return f
	}
	x.rank = x.table.RankOf(x.route, x.organisation)
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.headers.TimeLeft > 0 && x.headers.TimeLeft < x.route.Timeout {
		x.deadline = x.arrived.Add(x.headers.TimeLeft)
	}
	if f := x.refuseWhileLeaving(); f != nil {
		return f
	}
	return x.readBody()
}

// authorize finds the organisation of the request's key if the table requires
// keys. It then refuses an unknown or missing key unless the route is open.
func (x *exchange) authorize() *request.Failure {
	if !x.table.RequiresKey {
		return nil
	}
	x.organisation = x.table.OrganisationByKey(x.headers.Key)
	if x.organisation != nil || x.route.Open {
		return nil
	}
	return request.Denied("the key in the Authorization header is not known")
}

// refuseWhileLeaving refuses a request that is not expected to end before the
// planned stop does.
func (x *exchange) refuseWhileLeaving() *request.Failure {
	stopBegan := x.s.leaving.Load()
	if stopBegan == nil {
		return nil
	}
	acceptTime := callAcceptTime
	if x.route.Stream {
		acceptTime = streamAcceptTime
	}
	if x.arrived.Sub(*stopBegan) < acceptTime {
		return nil
	}
	return request.Unavailable("this instance is leaving").WithRetryAfter(leavingRetryAfter)
}

// readBody reads the whole body. It refuses a body that is larger than the
// table's limit or that does not arrive within bodyTimeout.
func (x *exchange) readBody() *request.Failure {
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	_ = x.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	if err == nil {
		_ = x.control.SetReadDeadline(time.Time{})
		return nil
	}
	x.w.Header().Set("Connection", "close")
	f := request.Malformed([]request.Finding{{Place: "body", Message: err.Error()}})
	if len(x.body) >= limit {
		f.Status = http.StatusRequestEntityTooLarge
	}
	return f
}

// context returns the context of the sends. It ends at the request's deadline,
// and also when the caller disconnects, unless the request may run only once
// and is not a stream.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable() && !x.route.Stream {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, x.deadline)
}
