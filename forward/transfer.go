package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/httpwire"
	"knapweedwell/pick"
	"knapweedwell/platform"
)

const (
	maxStrays  = 3       // maxStrays bounds the answers to other requests that are read past.
	maxHeld    = 2 << 20 // maxHeld is the largest answer that is held whole before it goes out.
	streamRead = 4 << 10

	silentGaps      = 4                      // silentGaps is how many times the longest pause between events may pass.
	shortestSilence = time.Second            // shortestSilence is the least silence between events after which a stream goes on elsewhere.
	silencePeriod   = 100 * time.Millisecond // silencePeriod is the time between looks at the silence.
)

// result is how one send ended.
type result interface {
	result()
}

// served means that the caller has the whole answer.
type served struct{}

// unreachable means that nothing was sent.
type unreachable struct {
	reason string
}

// rejected means that the upstream says that it did not run the request.
type rejected struct {
	reason string
	moved  bool // moved tells that another upstream has the address.
}

// broken means that the upstream may have run the request and gave no whole
// answer.
type broken struct {
	reason string
}

// failed means that the upstream answered with a failure.
type failed struct {
	answer *answer
}

func (served) result()      {}
func (unreachable) result() {}
func (rejected) result()    {}
func (broken) result()      {}
func (failed) result()      {}

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// transfer is one send over one connection.
type transfer struct {
	x     *exchange
	ctx   context.Context
	conn  *httpwire.Conn
	lease *pick.Lease
	resp  *http.Response
	keep  bool // keep tells that the connection may be used again.

	silent atomic.Bool // silent tells that the upstream was given up for its silence.
}

// watch gives the upstream up once it is silent, if the request may run again.
// The returned function ends that.
func (t *transfer) watch() func() {
	if !t.x.mayRepeatOnce() {
		return func() {}
	}
	gap := max(silentGaps*t.x.route.GapAim, shortestSilence)
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silencePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if t.lease.Silent(now, gap) {
					t.silent.Store(true)
					t.conn.Interrupt()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// exchange sends the request and relays the answer.
func (t *transfer) exchange(r *httpwire.Request) result {
	if err := t.conn.Send(r); err != nil {
		if errors.Is(err, httpwire.ErrNotSent) {
			return unreachable{reason: err.Error()}
		}
		t.x.sends++
		t.x.runs++
		return broken{reason: err.Error()}
	}
	t.x.sends++
	reply, err := t.read(r.Method)
	if err != nil {
		t.x.runs++
		return broken{reason: err.Error()}
	}
	if reply.HasLoad {
		t.lease.Load(time.Now(), reply.Running, reply.Waiting)
	}
	if reply.NotRun {
		t.drain()
		return rejected{reason: t.resp.Status, moved: t.resp.StatusCode == http.StatusMisdirectedRequest}
	}
	t.x.runs++
	return t.answer(reply)
}

// read reads the head of the answer to this request and reads past answers to
// others. Only a refusal may come without the request's ID.
func (t *transfer) read(method string) (platform.Reply, error) {
	t.keep = true
	for range maxStrays {
		resp, err := t.conn.Read(method)
		if err != nil {
			t.keep = false
			return platform.Reply{}, err
		}
		t.resp = resp
		reply := platform.ReadReply(resp.StatusCode, resp.Header)
		if reply.ID == t.x.head.ID || (reply.ID == "" && reply.NotRun) {
			return reply, nil
		}
		t.keep = false
		if !httpwire.Framed(resp) {
			break
		}
		if err := httpwire.Skip(resp, maxHeld); err != nil {
			return platform.Reply{}, err
		}
	}
	t.keep = false
	return platform.Reply{}, errors.New("the connection carries answers to other requests")
}

// answer handles the answer of an upstream that ran the request.
func (t *transfer) answer(reply platform.Reply) result {
	status := t.resp.StatusCode
	good := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case good && !reply.Signed:
		t.keep = false
		return broken{reason: "the answer is not signed"}
	case t.resp.Header.Get("Content-Encoding") != "":
		t.keep = false
		return broken{reason: "the answer is encoded"}
	case good && t.x.route.Stream:
		return t.relay()
	case t.x.begun:
		t.keep = false
		return broken{reason: "the stream was not taken up: " + t.resp.Status}
	}
	return t.whole(good)
}

// whole reads an answer that is no stream before any of it goes out.
func (t *transfer) whole(good bool) result {
	status := t.resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(t.resp.Body, maxHeld+1))
	switch {
	case err != nil:
		t.keep = false
		return broken{reason: errors.Wrap(err, "read answer").Error()}
	case len(body) > maxHeld:
		return t.pass(body)
	}
	t.lease.First(time.Now())
	httpwire.StripHop(t.resp.Header)
	a := &answer{status: status, header: t.resp.Header, body: body}
	if good || (status < http.StatusInternalServerError && !promises(status)) {
		t.x.deliver(a)
		return served{}
	}
	if promises(status) && !t.x.route.Repeatable() {
		// Passed on, the status would say that the request did not run.
		return broken{reason: "the upstream answered " + t.resp.Status + " without saying that it did not run the request"}
	}
	return failed{answer: a}
}

// promises reports whether a status says that a request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// pass relays an answer that is too large to be held.
func (t *transfer) pass(begin []byte) result {
	httpwire.StripHop(t.resp.Header)
	t.x.begin(t.resp.StatusCode, t.resp.Header)
	t.x.w.WriteHeader(t.resp.StatusCode)
	_, err := io.Copy(t.x.w, io.MultiReader(bytes.NewReader(begin), t.resp.Body))
	if err != nil {
		t.keep = false
		return broken{reason: err.Error()}
	}
	t.x.delivered = true
	return served{}
}

// drain reads a short answer that is not passed on.
func (t *transfer) drain() {
	if !httpwire.Framed(t.resp) || httpwire.Skip(t.resp, streamRead) != nil {
		t.keep = false
	}
}

// finish gives the connection back or closes it, and ends the lease.
func (t *transfer) finish(res result) {
	if t.keep && t.resp != nil && httpwire.Framed(t.resp) {
		t.x.s.Links.Put(t.conn, t.resp)
	} else {
		t.conn.Close()
	}
	t.lease.End(time.Now(), t.outcome(res))
}

func (t *transfer) outcome(res result) pick.Outcome {
	switch res := res.(type) {
	case served:
		return pick.Served
	case rejected:
		if res.moved {
			return pick.Misplaced
		}
		return pick.Rejected
	case unreachable:
		return pick.Unreachable
	case broken:
		if t.silent.Load() {
			return pick.Unreachable
		}
		if errors.Is(t.ctx.Err(), context.Canceled) || t.x.gone {
			return pick.Left
		}
	case failed:
	}
	return pick.Failed
}
