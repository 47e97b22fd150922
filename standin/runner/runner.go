// Package runner is a stand-in for an upstream on the users' platform. It
// checks that requests name its upstream ID, records them, counts their runs,
// streams events that can be resumed and has faults that a test can inject.
package runner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"knapweedwell/webserver"
)

const (
	defaultEvents = 10 // number of events if the query has no valid number
	maxBodyBytes  = 8 << 20
)

// Headers of the platform's protocol.
const (
	idHeader        = "X-Knapweedwell-Request-Id"
	expectedHeader  = "X-Knapweedwell-Expected-Instance"
	instanceHeader  = "X-Knapweedwell-Instance-Id"
	signatureHeader = "X-Knapweedwell-Response-Signature"
	notRunHeader    = "X-Knapweedwell-Not-Executed"
	loadHeader      = "X-Knapweedwell-Server-Load"
	leavingHeader   = "Server-Leaving"
	limitHeader     = "Server-Limit"
	lastEventHeader = "Last-Event-Id"
	promptHeader    = "X-Knapweedwell-Prompt-Prefix"
)

// Faults holds the faults that are injected.
type Faults struct {
	Full       bool          // refuses requests without running them
	Failing    bool          // runs requests and answers with FailStatus
	FailStatus int           // zero means 500
	RetryAfter string        // Retry-After of refusals and failures
	Unsigned   bool          // omits the signature header
	Leaving    bool          // says in all answers that it leaves
	Limit      string        // requests a second, named in all answers; empty for none
	Twice      bool          // repeats each answer in place of the one to the next request
	Silent     bool          // runs requests and does not answer
	DropAnswer bool          // runs requests and closes the connection
	BreakAfter int           // number of complete events before a stream is aborted within the next one; zero means never
	Delay      time.Duration // time until the first event or the answer
	Pause      time.Duration // time between events
	DeadlyPart string        // ID of the prompt part on which the upstream crashes when it begins to answer; empty for none
	// DeadlyTarget is the target of the request that crashes the upstream, a stream after
	// DeadlyEvents events; empty for none.
	DeadlyTarget string
	DeadlyEvents int
	NoReport     bool // does not answer when it is asked for its report
}

// ReceivedRequest is one request as received.
type ReceivedRequest struct {
	Method string
	Target string
	Header http.Header
	Body   string

	receivedAt time.Time
}

// Runner is a simulated upstream. ID, its upstream ID, and OnCrash are set before the
// first request.
type Runner struct {
	ID string
	// OnCrash is called when the upstream crashes, and is to reset its connections; if
	// nil, only the connection of the request is reset.
	OnCrash func()

	mu           sync.Mutex
	faults       Faults
	runs         map[string]int    // number of runs by request ID
	received     []ReceivedRequest // requests since the last call of TakeReceived
	running      int               // number of runs in progress
	mostRunning  int               // largest number of runs in progress so far
	lastReceived time.Time         // time of the most recent request
	disconnected int               // number of requests whose client disconnected before the end
}

// New returns an upstream with the ID.
func New(id string) *Runner {
	return &Runner{ID: id, runs: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns the number of runs by request ID.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for id, n := range r.runs {
		runs[id] = n
	}
	return runs
}

// MostRunning returns the largest number of requests that ran at the same time.
func (r *Runner) MostRunning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mostRunning
}

// Received returns the requests since the last call of TakeReceived, in the
// order of their arrival.
func (r *Runner) Received() []ReceivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedRequest(nil), r.received...)
}

// RunsOf returns the number of runs of one request.
func (r *Runner) RunsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// TakeReceived returns the requests since its last call, in the order of their
// arrival, and removes them.
func (r *Runner) TakeReceived() []ReceivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.received
	r.received = nil
	return requests
}

// MostReceived returns the largest number of requests within a time span of the length that
// begins at or after from, of those not yet removed by TakeReceived.
func (r *Runner) MostReceived(from time.Time, length time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most, first := 0, 0
	for i, req := range r.received {
		for first <= i && (r.received[first].receivedAt.Before(from) || req.receivedAt.Sub(r.received[first].receivedAt) > length) {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// ReceivedAfter returns the IDs of the requests that were received after time t
// and not yet removed by TakeReceived.
func (r *Runner) ReceivedAfter(t time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, req := range r.received {
		if req.receivedAt.After(t) {
			ids = append(ids, req.Header.Get(idHeader))
		}
	}
	return ids
}

// LastReceived returns the time at which the most recent request was received,
// or the zero time if there was none.
func (r *Runner) LastReceived() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReceived
}

// Disconnected returns the number of requests that ended because their client
// disconnected.
func (r *Runner) Disconnected() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disconnected
}

// Handler returns the HTTP handler of the upstream, including the /admin calls.
func (r *Runner) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/admin/faults":
			r.handleFaults(w, req)
		case "/admin/runs":
			webserver.WriteJSON(w, r.Runs())
		case "/v1/report":
			r.serveReport(w, req)
		case "/admin/seen":
			webserver.WriteJSON(w, r.Received())
		default:
			r.serve(w, req)
		}
	})
}

// serveReport answers with what the upstream says of itself.
func (r *Runner) serveReport(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	silent, running := r.faults.NoReport || r.faults.Silent, r.running
	r.mu.Unlock()
	switch {
	case silent:
		<-req.Context().Done()
	case req.Header.Get(expectedHeader) != r.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		webserver.WriteJSON(w, map[string]any{"queued": 0, "active": running})
	}
}

// handleFaults replaces the injected faults by those in the request body.
func (r *Runner) handleFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetFaults(f)
	webserver.WriteJSON(w, f)
}

// serve handles a request. It answers without a run if the request expects
// another upstream (status 421), or if the upstream is full or the request has
// no ID (status 503 with the not-executed header).
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id := req.Header.Get(idHeader)
	f := r.record(req, body)
	w.Header().Set(instanceHeader, r.ID)
	if f.Leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if f.Limit != "" {
		w.Header().Set(limitHeader, f.Limit)
	}
	switch {
	case req.Header.Get(expectedHeader) != r.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f.Full || id == "":
		setRetryAfter(w.Header(), f)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.begin(id)()
	if !r.pause(req.Context(), f.Delay) {
		return
	}
	r.answer(w, req, f, id)
}

// setRetryAfter sets the Retry-After of a refusal or failure.
func setRetryAfter(h http.Header, f Faults) {
	if f.RetryAfter != "" {
		h.Set("Retry-After", f.RetryAfter)
	}
}

// record stores a request and returns the injected faults.
func (r *Runner) record(req *http.Request, body []byte) Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, ReceivedRequest{Method: req.Method, Target: req.RequestURI, Header: req.Header.Clone(), Body: string(body), receivedAt: time.Now()})
	r.lastReceived = time.Now()
	return r.faults
}

// begin counts a run of a request. The returned function ends the run.
func (r *Runner) begin(id string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.running++
	r.mostRunning = max(r.mostRunning, r.running)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}
}

// recordDisconnect counts a request whose client disconnected.
func (r *Runner) recordDisconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected++
}

// answer answers a request whose run has started, according to the faults f.
func (r *Runner) answer(w http.ResponseWriter, req *http.Request, f Faults, id string) {
	if f.Silent {
		<-req.Context().Done()
		r.recordDisconnect()
		return
	}
	deadly := f.DeadlyTarget != "" && req.RequestURI == f.DeadlyTarget && f.DeadlyEvents == 0
	if deadly || (f.DeadlyPart != "" && holdsPart(req, f.DeadlyPart)) {
		r.crash()
	}
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(idHeader, id)
	r.mu.Lock()
	h.Set(loadHeader, fmt.Sprintf("%d,0,8", r.running))
	r.mu.Unlock()
	if !f.Unsigned {
		h.Set(signatureHeader, r.ID+"."+id)
	}
	events := req.URL.Query().Get("events")
	switch {
	case f.Failing:
		setRetryAfter(h, f)
		http.Error(w, "failed "+id, cmp.Or(f.FailStatus, http.StatusInternalServerError))
	case events != "":
		r.stream(w, req, f, id, events)
	case f.Twice:
		r.answerTwice(w, id)
	default:
		h.Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// crash ends the connection of a request, and all others if OnCrash does.
func (r *Runner) crash() {
	if r.OnCrash != nil {
		r.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// holdsPart reports whether the prompt of a request has a part with the ID.
func holdsPart(req *http.Request, id string) bool {
	for _, item := range strings.Split(req.Header.Get(promptHeader), ",") {
		part, _, _ := strings.Cut(strings.TrimSpace(item), ":")
		if part == id {
			return true
		}
	}
	return false
}

// stream sends numbered events, starting after the last one that the client has
// received according to its last-event header.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, f Faults, id, events string) {
	n, err := strconv.Atoi(events)
	if err != nil {
		n = defaultEvents
	}
	last, _ := strconv.Atoi(req.Header.Get(lastEventHeader))
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for k := last + 1; k <= n; k++ {
		if f.BreakAfter > 0 && k > last+f.BreakAfter {
			fmt.Fprintf(w, "id: %d\ndata: to", k)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", k, k, id)
		_ = controller.Flush()
		if f.DeadlyTarget == req.RequestURI && k == last+f.DeadlyEvents {
			r.crash()
		}
		if !r.pause(req.Context(), f.Pause) {
			return
		}
	}
}

// pause waits for a duration. It returns false, and counts the request, if its client
// disconnects before.
func (r *Runner) pause(ctx context.Context, d time.Duration) bool {
	wait, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-wait.Done()
	if ctx.Err() != nil {
		r.recordDisconnect()
		return false
	}
	return true
}

// answerTwice answers the requests of a connection. After each further request,
// it repeats the previous answer, which the client takes for the answer to that
// request, and then sends the answer itself.
func (r *Runner) answerTwice(w http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for previous := ""; ; {
		for _, requestID := range []string{previous, id} {
			if requestID == "" {
				continue
			}
			text := "answer to " + requestID
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", idHeader, requestID, signatureHeader, r.ID, requestID, len(text), text)
		}
		if buf.Flush() != nil {
			return
		}
		req, err := http.ReadRequest(buf.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.record(req, body)
		previous, id = id, req.Header.Get(idHeader)
		defer r.begin(id)()
	}
}
