package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/buffer"
	"knapweedwell/request"
)

const (
	defaultMaxBodyBytes = 4 << 20
	bodyTimeout         = 30 * time.Second
	// Requests whose deadline is after the end of a planned stop are accepted during this
	// share of the stop, at most for maxEarly.
	earlyShare = 0.33
	maxEarly   = 2500 * time.Millisecond

	freeParts = 64 // parts of a prompt that take nothing of the memory for bodies
	partBytes = 32 // that a part takes, and the trait that follows from it
)

// admit finds the route and the organisation of a request, sets its rank and
// deadline, and reads its body. It returns a failure if the request is refused.
func (rs *requestState) admit() *request.Failure {
	rs.table = rs.s.Table()
	if rs.table == nil || rs.s.Roster() == nil {
		wait := startRetryAfter
		if rs.s.StoreUnreachable() {
			wait = outageRetryAfter
		}
		return request.Unavailable("this instance has no configuration yet").WithRetryAfter(wait)
	}
	path, _, _ := strings.Cut(rs.r.RequestURI, "?")
	rs.route = rs.table.Match(rs.r.Host, path)
	if rs.route == nil {
		f := request.Malformed([]request.Finding{{Place: "path", Message: "no route leads from " + rs.r.Host + path}})
		f.Status = http.StatusNotFound
		return f
	}
	if f := rs.authorize(); f != nil {
		return f
	}
	rs.rank = rs.table.RankOf(rs.route, rs.organisation)
	rs.deadline = rs.arrived.Add(rs.route.Timeout)
	if rs.headers.TimeLeft > 0 && rs.headers.TimeLeft < rs.route.Timeout {
		rs.deadline = rs.arrived.Add(rs.headers.TimeLeft)
	}
	if f := rs.refuseWhileLeaving(); f != nil {
		return f
	}
	if f := rs.reserveParts(); f != nil {
		return f
	}
	return rs.readBody()
}

// reserveParts takes memory for the parts of a long prompt and the traits that follow from them.
// It refuses the request if none is left.
func (rs *requestState) reserveParts() *request.Failure {
	n := len(rs.headers.Prompt.Parts) - freeParts
	if n <= 0 || rs.newBuffer().Reserve(int64(n)*partBytes) == nil {
		return nil
	}
	rs.s.logMemorySpent()
	rs.headers.Prompt.Parts = nil
	return request.Unavailable("no memory is left for the parts of the prompt").WithRetryAfter(memoryRetryAfter)
}

// authorize finds the organisation of the request's key if the table requires
// keys. It then refuses an unknown or missing key unless the route is open.
func (rs *requestState) authorize() *request.Failure {
	if !rs.table.RequiresKey {
		return nil
	}
	rs.organisation = rs.table.OrganisationByKey(rs.headers.Key)
	if rs.organisation != nil || rs.route.Open {
		return nil
	}
	return request.Denied("the key in the Authorization header is not known")
}

// refuseWhileLeaving refuses a request that is not expected to end before the
// planned stop does: its deadline is later, and the stop has not just begun.
func (rs *requestState) refuseWhileLeaving() *request.Failure {
	stop := rs.s.leaving.Load()
	if stop == nil || !rs.deadline.After(stop.end) {
		return nil
	}
	early := min(time.Duration(earlyShare*float64(stop.end.Sub(stop.began))), maxEarly)
	if rs.arrived.Sub(stop.began) < early {
		return nil
	}
	return request.Unavailable("this instance is leaving").WithRetryAfter(leavingRetryAfter)
}

// readBody reads the whole body. It refuses a body that is larger than the
// table's limit, that does not arrive within bodyTimeout, or for which no memory is left.
func (rs *requestState) readBody() *request.Failure {
	if rs.r.ContentLength == 0 {
		return nil
	}
	limit := int64(rs.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	_ = rs.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	source := http.MaxBytesReader(rs.w, rs.r.Body, limit)
	body := rs.newBuffer()
	err := body.Fill(source, rs.r.ContentLength, limit)
	if errors.Is(err, buffer.ErrSpent) {
		return rs.refuseBody(body, source)
	}
	rs.body = body.Bytes()
	if err == nil {
		_ = rs.control.SetReadDeadline(time.Time{})
		return nil
	}
	rs.w.Header().Set("Connection", "close")
	f := request.Malformed([]request.Finding{{Place: "body", Message: err.Error()}})
	if int64(len(rs.body)) >= limit {
		f.Status = http.StatusRequestEntityTooLarge
	}
	return f
}

// refuseBody refuses a request for whose body no memory is left. It discards the rest of the
// body: a caller that is still writing would not read the answer.
func (rs *requestState) refuseBody(body *buffer.Buffer, rest io.Reader) *request.Failure {
	rs.s.logMemorySpent()
	body.Free()
	if _, err := io.Copy(io.Discard, rest); err != nil {
		rs.w.Header().Set("Connection", "close")
	}
	_ = rs.control.SetReadDeadline(time.Time{})
	return request.Unavailable("no memory is left for the body of the request").WithRetryAfter(memoryRetryAfter)
}

// context returns the context of the sends. It ends at the request's deadline, at the end
// of a planned stop, and also when the caller disconnects, unless the request may run only
// once and is not a stream.
func (rs *requestState) context() (context.Context, context.CancelFunc) {
	ctx := rs.r.Context()
	if !rs.route.Repeatable() && !rs.route.Stream {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, rs.deadline)
	release := context.AfterFunc(rs.s.ended, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}
