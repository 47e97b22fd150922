// Package service is a stand-in for a plain service whose calls may not be
// repeated. It counts how often each call ran. docs/STANDINS.md documents its
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

// Faults are the faults in force.
type Faults struct {
	Delay      time.Duration // Delay is the time that each call takes.
	DropAnswer bool          // DropAnswer runs each call and breaks the connection.
	Draining   bool
}

// Booking is the answer to a call.
type Booking struct {
	Service string
	Path    string
	Booking int // Booking is the number of calls run so far.
	Runs    int // Runs is the number of runs of this body.
	Body    string
}

// Service is the stand-in.
type Service struct {
	Name string

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int // runs counts the runs by body.
	total   int
	running int
}

// New returns a service.
func New(name string) *Service {
	return &Service{Name: name, runs: map[string]int{}}
}

// Handler returns the service with the administration calls.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/load", s.load)
	m.HandleFunc("/admin/faults", s.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, s.Runs()) })
	m.PathPrefix("/").HandlerFunc(s.run)
	return m
}

// Set puts faults in force.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each body was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for body, n := range s.runs {
		out[body] = n
	}
	return out
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	webserver.WriteJSON(w, struct {
		Running  int
		Draining bool
	}{s.running, s.faults.Draining})
}

// run runs a call: it counts the body and answers with the number of runs.
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
	n, total, f := s.runs[string(body)], s.total, s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	webserver.WriteJSON(w, Booking{Service: s.Name, Path: r.URL.Path, Booking: total, Runs: n, Body: string(body)})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	webserver.WriteJSON(w, f)
}
