package forward

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/balancer"
	"knapweedwell/httpwire"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
)

const (
	maxForeignAnswers = 3 // answers to other requests that are read before the connection is given up
	readBufferBytes   = 4 << 10
)

// result is the outcome of one send.
type result interface {
	result()
}

// served means that the upstream gave a complete answer. The caller may have
// disconnected before all of it was written.
type served struct{}

// notSent means that nothing was sent.
type notSent struct {
	reason string
}

// rejected means that the upstream stated that it did not run the request.
type rejected struct {
	reason string
	moved  bool // whether another upstream has the address now
}

// broken means that the upstream may have run the request, and that the send
// ended without a complete and valid answer.
type broken struct {
	reason string
}

// failed means that the upstream answered with a failure status.
type failed struct {
	answer *answer
}

func (served) result()   {}
func (notSent) result()  {}
func (rejected) result() {}
func (broken) result()   {}
func (failed) result()   {}

// answer is a complete answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// transfer is one send of a request over one connection.
type transfer struct {
	rs      *requestState
	ctx     context.Context
	conn    *httpwire.Conn
	attempt *balancer.Attempt
	watched *quarantine.Attempt
	resp    *http.Response
	keep    bool // whether the connection may be reused
	sentAt  time.Time
	started bool // whether an event was received

	silent atomic.Bool // whether the connection was interrupted because the upstream was silent
}

// roundTrip sends the request and relays the answer.
func (t *transfer) roundTrip(r *httpwire.Request) result {
	if err := t.conn.Send(r); err != nil {
		if errors.Is(err, httpwire.ErrNotSent) {
			return notSent{reason: err.Error()}
		}
		t.rs.sends++
		t.rs.runs++
		return broken{reason: err.Error()}
	}
	t.rs.sends++
	headers, err := t.readHeaders(r.Method)
	if err != nil {
		t.rs.runs++
		return broken{reason: err.Error()}
	}
	if headers.NotRun {
		t.skipBody()
		if headers.ID == "" {
			// Written once more, it would be taken for the answer to the next request.
			t.keep = false
		}
		return rejected{reason: t.resp.Status, moved: t.resp.StatusCode == http.StatusMisdirectedRequest}
	}
	t.rs.runs++
	if !t.rs.route.Stream || t.resp.StatusCode >= http.StatusMultipleChoices {
		t.rs.countBegun()
	}
	return t.relayAnswer(headers)
}

// readHeaders reads the head of the answer to this request and skips answers to
// other requests. Only a rejection may lack the request's ID.
func (t *transfer) readHeaders(method string) (platform.AnswerHeaders, error) {
	t.keep = true
	for range maxForeignAnswers {
		resp, err := t.conn.ReadResponse(method)
		if err != nil {
			t.keep = false
			return platform.AnswerHeaders{}, err
		}
		t.resp = resp
		headers := platform.ReadAnswerHeaders(resp.StatusCode, resp.Header)
		if headers.ID == t.rs.headers.ID || (headers.ID == "" && headers.NotRun) {
			t.observe(headers)
			return headers, nil
		}
		t.keep = false
		if !httpwire.Delimited(resp) {
			break
		}
		if err := httpwire.DiscardBody(resp, maxBufferedBytes); err != nil {
			return platform.AnswerHeaders{}, err
		}
	}
	t.keep = false
	return platform.AnswerHeaders{}, errors.New("the connection carries answers to other requests")
}

// observe records what the upstream says of itself in the head of its answer.
func (t *transfer) observe(headers platform.AnswerHeaders) {
	if headers.HasLoad {
		t.attempt.Load(time.Now(), headers.Running, headers.Waiting)
		t.attempt.Slowdown(time.Now(), headers.Slowdown)
	}
	if headers.RetryAfter > 0 && t.attempt.Pause(time.Now(), headers.RetryAfter) {
		t.rs.logPause(headers.RetryAfter)
	}
	t.observeLimit(headers)
	if headers.Leaving {
		t.keep = false
		t.rs.recordDeparture()
	}
}

// observeLimit records the limit that the upstream names, or that it names none. The answer
// to a misdirected request is that of another upstream.
func (t *transfer) observeLimit(headers platform.AnswerHeaders) {
	if math.IsNaN(headers.Limit) || t.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	t.rs.s.Limits.Observe(time.Now(), t.rs.choice.Upstream, headers.HasLimit, headers.Limit)
}

// skipBody reads the body of a short answer that is not relayed, so that the
// connection can be reused.
func (t *transfer) skipBody() {
	if !httpwire.Delimited(t.resp) || httpwire.DiscardBody(t.resp, readBufferBytes) != nil {
		t.keep = false
	}
}

// finish returns the connection to its pool or closes it, and ends the attempt.
func (t *transfer) finish(res result) {
	// The quarantine may interrupt the connection until then.
	t.endWatch(res)
	if _, ok := res.(broken); ok {
		t.observeWait(time.Now(), true)
	}
	if t.keep && t.resp != nil && httpwire.Delimited(t.resp) {
		t.rs.s.Connections.Put(t.conn, t.resp)
	} else {
		t.conn.Close()
	}
	t.attempt.End(time.Now(), t.outcome(res))
}

// outcome returns the outcome of the send that the picker records.
func (t *transfer) outcome(res result) balancer.Outcome {
	switch res := res.(type) {
	case served:
		return balancer.Served
	case rejected:
		if res.moved {
			return balancer.Misplaced
		}
		return balancer.Rejected
	case notSent:
		return balancer.Unreachable
	case withheld:
		return balancer.Abandoned
	case broken:
		if t.silent.Load() {
			return balancer.Unreachable
		}
		if errors.Is(t.ctx.Err(), context.Canceled) || t.rs.callerGone {
			return balancer.Abandoned
		}
	case failed:
	}
	return balancer.Failed
}
