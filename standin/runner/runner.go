// Package runner is a stand-in for an upstream on the users' platform: it
// checks what it is sent, counts its runs, streams events that can be resumed,
// and fails in the ways that a test asks for.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"knapweedwell/webserver"
)

const (
	defaultEvents = 10
	maxBody       = 8 << 20
)

// Headers of the platform.
const (
	idHeader        = "X-Knapweedwell-Request-Id"
	expectedHeader  = "X-Knapweedwell-Expected-Instance"
	instanceHeader  = "X-Knapweedwell-Instance-Id"
	signatureHeader = "X-Knapweedwell-Response-Signature"
	notRunHeader    = "X-Knapweedwell-Not-Executed"
	loadHeader      = "X-Knapweedwell-Server-Load"
	lastEventHeader = "Last-Event-Id"
)

// Faults are the faults in force.
type Faults struct {
	Full       bool          // Full refuses requests without running them.
	Failing    bool          // Failing answers 500 after running them.
	Unsigned   bool          // Unsigned leaves the signature out.
	Twice      bool          // Twice answers each request two times.
	Silent     bool          // Silent runs requests and answers nothing.
	DropAnswer bool          // DropAnswer runs requests and closes the connection.
	BreakAfter int           // BreakAfter breaks a stream inside the event after so many; zero means none.
	Delay      time.Duration // Delay is the time until the first event or the answer.
	Pause      time.Duration // Pause is the time between events.
}

// Seen is one request as it came.
type Seen struct {
	Method string
	Target string
	Header http.Header
	Body   string

	at time.Time
}

// Runner is the stand-in. ID is set before the first request.
type Runner struct {
	ID string

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	seen    []Seen
	running int
	last    time.Time // last is when the last request came.
	cut     int       // cut counts the requests whose sender left.
}

// New returns a stand-in.
func New(id string) *Runner {
	return &Runner{ID: id, runs: map[string]int{}}
}

// Set puts faults in force.
func (r *Runner) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns how often each request ran.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for id, n := range r.runs {
		out[id] = n
	}
	return out
}

// Seen returns the requests that came, in order.
func (r *Runner) Seen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// RunsOf returns how often one request ran.
func (r *Runner) RunsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// TakeSeen returns the requests that came since it was last called, in order,
// and forgets them.
func (r *Runner) TakeSeen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.seen
	r.seen = nil
	return seen
}

// After returns the IDs of the requests that came after a time and are not taken
// yet.
func (r *Runner) After(t time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, s := range r.seen {
		if s.at.After(t) {
			ids = append(ids, s.Header.Get(idHeader))
		}
	}
	return ids
}

// Last returns when the last request came.
func (r *Runner) Last() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Cut returns how many requests ended because their sender left.
func (r *Runner) Cut() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// Handler returns the interface with the administration calls.
func (r *Runner) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/admin/faults":
			r.setFaults(w, req)
		case "/admin/runs":
			webserver.WriteJSON(w, r.Runs())
		case "/admin/seen":
			webserver.WriteJSON(w, r.Seen())
		default:
			r.serve(w, req)
		}
	})
}

func (r *Runner) setFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Set(f)
	webserver.WriteJSON(w, f)
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		return
	}
	id := req.Header.Get(idHeader)
	f := r.note(req, body)
	w.Header().Set(instanceHeader, r.ID)
	switch {
	case req.Header.Get(expectedHeader) != r.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f.Full || id == "":
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.begin(id)()
	select {
	case <-req.Context().Done():
		r.left()
		return
	case <-time.After(f.Delay):
	}
	r.answer(w, req, f, id)
}

// note remembers a request and returns the faults in force.
func (r *Runner) note(req *http.Request, body []byte) Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, Seen{Method: req.Method, Target: req.RequestURI, Header: req.Header.Clone(), Body: string(body), at: time.Now()})
	r.last = time.Now()
	return r.faults
}

// begin counts a run until the returned function is called.
func (r *Runner) begin(id string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.running++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}
}

func (r *Runner) left() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut++
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, f Faults, id string) {
	if f.Silent {
		<-req.Context().Done()
		r.left()
		return
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
		http.Error(w, "failed "+id, http.StatusInternalServerError)
	case events != "":
		r.stream(w, req, f, id, events)
	case f.Twice:
		r.twice(w, id)
	default:
		h.Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// stream sends numbered events from the one after the last that the sender has.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, f Faults, id, events string) {
	n, err := strconv.Atoi(events)
	if err != nil {
		n = defaultEvents
	}
	from, _ := strconv.Atoi(req.Header.Get(lastEventHeader))
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for k := from + 1; k <= n; k++ {
		if f.BreakAfter > 0 && k > from+f.BreakAfter {
			fmt.Fprintf(w, "id: %d\ndata: to", k)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", k, k, id)
		_ = control.Flush()
		select {
		case <-req.Context().Done():
			r.left()
			return
		case <-time.After(f.Pause):
		}
	}
}

// twice answers the requests of a connection, each once more at the place of the
// next answer.
func (r *Runner) twice(w http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for before := ""; ; {
		for _, of := range []string{before, id} {
			if of == "" {
				continue
			}
			text := "answer to " + of
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", idHeader, of, signatureHeader, r.ID, of, len(text), text)
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
		r.note(req, body)
		before, id = id, req.Header.Get(idHeader)
		defer r.begin(id)()
	}
}
