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
	defaultBodyBytes = 4 << 20
	bodyTimeout      = 30 * time.Second
	acceptStreams    = 2500 * time.Millisecond // acceptStreams is how long a leaving instance takes streams.
	acceptCalls      = 5 * time.Second         // acceptCalls is how long it takes other requests.
)

// admit finds the route and the organisation of a request and reads its body.
func (x *exchange) admit() *request.Failure {
	x.table = x.s.Table()
	if x.table == nil || x.s.Roster() == nil {
		wait := startWait
		if x.s.Away() {
			wait = outageWait
		}
		return request.Unavailable("this instance has no configuration yet").After(wait)
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
	x.limit = x.arrived.Add(x.route.Timeout)
	if x.head.TimeLeft > 0 && x.head.TimeLeft < x.route.Timeout {
		x.limit = x.arrived.Add(x.head.TimeLeft)
	}
	if f := x.leavingTooSoon(); f != nil {
		return f
	}
	return x.readBody()
}

func (x *exchange) authorize() *request.Failure {
	if !x.table.Closed {
		return nil
	}
	x.organisation = x.table.Owner(x.head.Key)
	if x.organisation != nil || x.route.Open {
		return nil
	}
	return request.Denied("the key in the Authorization header is not known")
}

// leavingTooSoon refuses a request that is not expected to end before the
// planned stop does.
func (x *exchange) leavingTooSoon() *request.Failure {
	begun := x.s.leaving.Load()
	if begun == nil {
		return nil
	}
	accept := acceptCalls
	if x.route.Stream {
		accept = acceptStreams
	}
	if x.arrived.Sub(*begun) < accept {
		return nil
	}
	return request.Unavailable("this instance is leaving").After(leavingWait)
}

// readBody reads the whole body within the limits.
func (x *exchange) readBody() *request.Failure {
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
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

// context returns the context of the sends: it ends with the time left, and
// with the caller unless the request runs once only and is short.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable() && !x.route.Stream {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, x.limit)
}
