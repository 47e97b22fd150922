// Package service is a stand-in for a plain service whose calls must not be
// repeated. It counts the runs of each call. docs/STANDINS.md documents its
// protocol.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"knapweedwell/webserver"
)

// Faults holds the faults that are injected.
type Faults struct {
	Delay      time.Duration // duration of each call
	DropAnswer bool          // runs each call and aborts the connection
	Draining   bool          // reported with the load; calls are still accepted
}

// Booking is the answer to a call.
type Booking struct {
	Service string
	Path    string
	Booking int // number of calls that have run, including this one
	Runs    int // number of runs of this body, including this one
	Body    string
}

// Service is a simulated service.
type Service struct {
	Name string

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int // number of runs by body
	total   int            // number of runs
	running int            // number of calls in progress
}

// New returns a service with a name, which its answers contain.
func New(name string) *Service {
	return &Service{Name: name, runs: map[string]int{}}
}

// Handler returns the HTTP handler of the service, including the /admin calls.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/load", s.load)
	m.HandleFunc("/admin/faults", s.handleFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, s.Runs()) })
	m.PathPrefix("/").HandlerFunc(s.run)
	return m
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs by body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// load answers with the number of calls in progress and whether the service is
// draining.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	webserver.WriteJSON(w, struct {
		Running  int
		Draining bool
	}{s.running, s.faults.Draining})
}

// run handles a call: it counts the run and answers with the number of runs of
// the body.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.running++
	s.total++
	s.runs[string(body)]++
	runs, total, f := s.runs[string(body)], s.total, s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	webserver.WriteJSON(w, Booking{Service: s.Name, Path: r.URL.Path, Booking: total, Runs: runs, Body: string(body)})
}

// handleFaults replaces the injected faults by those in the request body.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	webserver.WriteJSON(w, f)
}
