package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	idHeader        = "X-Knapweedwell-Request-Id"
	deadlineHeader  = "X-Knapweedwell-Deadline-Ms"
	expectedHeader  = "X-Knapweedwell-Expected-Instance"
	signatureHeader = "X-Knapweedwell-Response-Signature"
	notRunHeader    = "X-Knapweedwell-Not-Executed"
	lastEventHeader = "Last-Event-Id"
	promptHeader    = "X-Knapweedwell-Prompt-Prefix"
	usageHeader     = "X-Knapweedwell-Token-Usage"
	modelHeader     = "X-Knapweedwell-Model"
)

const (
	eventPeriod = 150 * time.Millisecond // time between two events of a stream
	callTime    = 20 * time.Millisecond  // time that a call takes
)

// runner is a stand-in of a runner. It serves each connection as a sound runner does.
type runner struct {
	w       *world
	id      string
	service string
	address string
	born    int64
	slots   int
	server  *http.Server

	mu        sync.Mutex
	full      bool      // refuses requests without running them
	heldUntil time.Time // streams make no event before
	arrivals  []arrival
	// works holds for each request the runs at this runner.
	works map[string][]*work
	// keepsRuns is set for a runner that does not drop a run when its connection closes.
	keepsRuns bool
	// listener goes dark when the runner crashes, and onCrash is called on a request with the
	// deadly part; both are nil for a runner that never crashes.
	listener *darkListener
	onCrash  func(r *runner, id string)
}

// work is one run of a stream: when it began and when the runner made its last event.
type work struct {
	began time.Time
	last  time.Time
}

// arrival is one request at a runner.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// startRunner starts a runner on a free port and writes its entry.
func (w *world) startRunner(id, service string, slots int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return w.serveRunner(l, id, service, slots), nil
}

// serveRunner starts a runner on a listener and writes its entry.
func (w *world) serveRunner(l net.Listener, id, service string, slots int) *runner {
	r := &runner{w: w, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, works: map[string][]*work{}}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	w.closers = append(w.closers, func() { _ = r.server.Close() })
	go func() { _ = r.server.Serve(l) }()
	w.store.Put("servers", id, r.entry("ready"))
	w.note("%s of %s listens on %s", id, service, r.address)
	return r
}

// entry returns the runner's entry in the store.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
}

// setFull makes the runner refuse requests, or not.
func (r *runner) setFull(full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = full
}

// hold lets the runner's streams make no event for the time.
func (r *runner) hold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldUntil = time.Now().Add(d)
	r.w.note("%s makes no event for %s", r.id, d)
}

// awaitHold waits until the runner makes events.
func (r *runner) awaitHold() {
	r.mu.Lock()
	until := r.heldUntil
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

// seen returns the requests that have reached the runner.
func (r *runner) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// ServeHTTP serves a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get(idHeader)
	misdirected := req.Header.Get(expectedHeader) != r.id
	if r.silent() {
		<-req.Context().Done()
		return
	}
	r.mu.Lock()
	full := r.full
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), ran: !full && !misdirected})
	r.mu.Unlock()
	w.Header().Set(idHeader, id)
	switch {
	case misdirected:
		r.w.note("%s turns away %s, which is for another runner", r.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		r.w.note("%s is full and turns away %s", r.id, id)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.w.note("%s runs %s", r.id, id)
	w.Header().Set(signatureHeader, r.id+"."+id)
	if n, err := strconv.Atoi(req.URL.Query().Get("events")); err == nil {
		r.stream(w, req, n)
		return
	}
	time.Sleep(callTime)
	fmt.Fprintf(w, "answer to %s", id)
}

// setCrash lets the runner crash on requests with the deadly part.
func (r *runner) setCrash(l *darkListener, onCrash func(*runner, string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.onCrash = l, onCrash
}

// silent reports whether the runner has crashed and is silent.
func (r *runner) silent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener != nil && r.listener.isDark()
}

// crashesOn crashes the runner if the request has the deadly part, when the answer is about to
// begin.
func (r *runner) crashesOn(req *http.Request) bool {
	r.mu.Lock()
	onCrash := r.onCrash
	r.mu.Unlock()
	if onCrash == nil || !strings.Contains(req.Header.Get(promptHeader), deadlyPart) {
		return false
	}
	time.Sleep(eventPeriod)
	onCrash(r, req.Header.Get(idHeader))
	return true
}

// beginWork records the beginning of a run.
func (r *runner) beginWork(id string) *work {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &work{began: time.Now()}
	r.works[id] = append(r.works[id], run)
	return run
}

// recordEvent records that a run has made an event.
func (r *runner) recordEvent(run *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.last = time.Now()
}

// worksOn returns the runs of a request at the runner.
func (r *runner) worksOn(id string) []work {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []work
	for _, run := range r.works[id] {
		all = append(all, *run)
	}
	return all
}

// stream sends the events after the last one that the client has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, n int) {
	last, _ := strconv.Atoi(req.Header.Get(lastEventHeader))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if r.crashesOn(req) {
		<-req.Context().Done()
		return
	}
	run := r.beginWork(req.Header.Get(idHeader))
	for k := last + 1; k <= n; k++ {
		time.Sleep(eventPeriod)
		r.awaitHold()
		if r.silent() {
			<-req.Context().Done()
			return
		}
		if req.Context().Err() != nil && !r.keepsRuns {
			r.w.note("%s drops %s after event %d, its connection was closed", r.id, req.Header.Get(idHeader), k-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", k, k, req.Header.Get(idHeader))
		_ = control.Flush()
		r.recordEvent(run)
	}
	r.w.note("%s has made all events of %s", r.id, req.Header.Get(idHeader))
}
