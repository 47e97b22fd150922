// Package platform is a stand-in for the platform's object API and instance
// list, with faults that a test can bring about. docs/STANDINS.md documents
// its protocol.
package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"knapweedwell/webserver"
)

const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
)

// Object is one object as the API shows it.
type Object struct {
	Kind    string
	Name    string
	Version int64
	Value   []byte
}

// Listed is one entry of the instance list.
type Listed struct {
	Name  string
	Role  string
	Peer  string
	State string
}

// Faults are the faults in force.
type Faults struct {
	Outage      bool          // Outage makes all calls fail.
	Slow        time.Duration // Slow delays each call.
	LoseAnswers int           // LoseAnswers is the number of writes whose answers are lost after they took effect.
	ListLag     time.Duration // ListLag is the age of the instance list that is shown.
	Rate        int           // Rate is the most calls a second; zero means no bound.
}

// Server is the stand-in.
type Server struct {
	mu       sync.Mutex
	objects  map[string]*Object
	versions int64
	changed  chan struct{} // changed is closed on each write.
	list     []Listed
	shown    []Listed
	shownAt  time.Time
	faults   Faults
	calls    map[string]int64
	second   time.Time
	inSecond int
}

// New returns an empty stand-in.
func New() *Server {
	return &Server{objects: map[string]*Object{}, changed: make(chan struct{}), calls: map[string]int64{}}
}

// Handler returns the API with the administration calls.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	api := m.PathPrefix("/v1").Subrouter()
	api.Use(s.disturb)
	api.HandleFunc("/objects/{kind}/{name}", s.get).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", s.put).Methods(http.MethodPut)
	api.HandleFunc("/objects/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	api.HandleFunc("/objects/{kind}", s.names).Methods(http.MethodGet)
	api.HandleFunc("/instances", s.instances).Methods(http.MethodGet)
	m.HandleFunc("/admin/faults", s.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/instances", s.setInstances).Methods(http.MethodPut)
	m.HandleFunc("/admin/calls", s.getCalls).Methods(http.MethodGet)
	return m
}

// Set puts faults in force.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// SetInstances replaces the instance list.
func (s *Server) SetInstances(list []Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// Calls returns the number of calls by method.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// wake ends all waits. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// disturb counts a call and brings about the faults in force.
func (s *Server) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, over := s.count(r)
		time.Sleep(f.Slow)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if over {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if r.Method != http.MethodGet && s.loses() {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) count(r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.Method]++
	now := time.Now()
	if now.Sub(s.second) >= time.Second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	return s.faults, s.faults.Rate > 0 && s.inSecond > s.faults.Rate
}

func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// discard is a response that nobody gets.
type discard struct {
	header http.Header
}

// Header returns the header.
func (d *discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

func key(r *http.Request) string {
	v := mux.Vars(r)
	return v["kind"] + "/" + v["name"]
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	o, down := s.await(r, after, min(wait, maxWait))
	switch {
	case down:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case o == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		webserver.WriteJSON(w, o)
	}
}

// await waits for a version above after, up to the given time.
func (s *Server) await(r *http.Request, after int64, wait time.Duration) (*Object, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		o := s.objects[key(r)]
		if o != nil {
			copied := *o
			o = &copied
		}
		changed, down := s.changed, s.faults.Outage
		s.mu.Unlock()
		if down || wait <= 0 || (o != nil && o.Version > after) {
			return o, down
		}
		select {
		case <-changed:
		case <-timer.C:
			return o, false
		case <-r.Context().Done():
			return o, false
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var o Object
	body := http.MaxBytesReader(w, r.Body, 2*maxValueBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil || len(o.Value) > maxValueBytes {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present int64
	if old := s.objects[key(r)]; old != nil {
		present = old.Version
	}
	if present != o.Version {
		http.Error(w, "version conflict", http.StatusConflict)
		return
	}
	s.versions++
	v := mux.Vars(r)
	o.Kind, o.Name, o.Version = v["kind"], v["name"], s.versions
	s.objects[key(r)] = &o
	s.wake()
	webserver.WriteJSON(w, Object{Kind: o.Kind, Name: o.Name, Version: o.Version})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key(r)]
	switch {
	case old == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case old.Version != version:
		http.Error(w, "version conflict", http.StatusConflict)
	default:
		delete(s.objects, key(r))
		s.wake()
		webserver.WriteJSON(w, struct{}{})
	}
}

func (s *Server) names(w http.ResponseWriter, r *http.Request) {
	kind := mux.Vars(r)["kind"]
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for _, o := range s.objects {
		if o.Kind == kind {
			names = append(names, o.Name)
		}
	}
	sort.Strings(names)
	webserver.WriteJSON(w, names)
}

func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.shown == nil || now.Sub(s.shownAt) >= s.faults.ListLag {
		s.shown = append([]Listed{}, s.list...)
		s.shownAt = now
	}
	webserver.WriteJSON(w, s.shown)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	webserver.WriteJSON(w, f)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []Listed
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
	webserver.WriteJSON(w, list)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	webserver.WriteJSON(w, s.Calls())
}
