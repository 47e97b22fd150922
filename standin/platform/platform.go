// Package platform is a stand-in for the platform's object store, with faults
// that a test can bring about. docs/STANDINS.md documents its protocol.
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
	maxValueBytes  = 1 << 20
	maxWait        = 30 * time.Second
	defaultPage    = 500
	serversKind    = "servers" // serversKind holds what upstreams say of themselves.
	lateWriteDelay = 3 * time.Second
)

// Metadata is what the store says of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object as the API shows it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is one change as a watch shows it.
type Event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	revision int64
}

// Faults are the faults in force.
type Faults struct {
	Outage      bool            // Outage makes all calls fail.
	Silent      bool            // Silent leaves all calls without an answer.
	Slow        time.Duration   // Slow delays each call.
	LoseAnswers int             // LoseAnswers is the number of writes whose answers are lost after they took effect.
	LateWrites  int             // LateWrites is the number of writes that are not answered and take effect seconds later.
	DeafWatches bool            // DeafWatches lets waiting watches fall silent for good.
	ListLag     time.Duration   // ListLag is the age at which changes of upstreams' entries are shown.
	Rate        int             // Rate is the most calls a second; zero means no bound.
	TurnedAway  map[string]bool // TurnedAway holds the hosts whose calls are refused.
}

// Server is the stand-in.
type Server struct {
	PageSize int // PageSize is the most objects in one page of a list.

	mu       sync.Mutex
	kinds    map[string]map[string]*Object
	history  map[string][]Event
	dropped  int64 // dropped is the revision up to which the history is gone.
	revision int64
	changed  chan struct{} // changed is closed on each change.
	faults   Faults
	calls    map[string]int64
	second   time.Time
	inSecond int
}

// New returns an empty stand-in.
func New() *Server {
	return &Server{
		PageSize: defaultPage,
		kinds:    map[string]map[string]*Object{},
		history:  map[string][]Event{},
		revision: 1,
		changed:  make(chan struct{}),
		calls:    map[string]int64{},
	}
}

// Handler returns the API with the administration calls.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	api := m.PathPrefix("/v1").Subrouter()
	api.Use(s.disturb)
	api.HandleFunc("/objects/{kind}", s.list).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}", s.create).Methods(http.MethodPost)
	api.HandleFunc("/objects/{kind}/{name}", s.get).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", s.replace).Methods(http.MethodPut)
	api.HandleFunc("/objects/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	m.HandleFunc("/admin/faults", s.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/objects/{kind}/{name}", s.setObject).Methods(http.MethodPut)
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

// Put writes an object as its owner would, whatever faults are in force. Entries
// of upstreams show with the lag in force.
func (s *Server) Put(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.later(kind, func() { s.store(kind, name, spec) })
}

// Delete removes an object as its owner would.
func (s *Server) Delete(kind, name string) {
	s.later(kind, func() { s.drop(kind, name) })
}

// Compact drops the history, which ends all watches with an error.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision
	s.history = map[string][]Event{}
	s.wake()
}

// Revision returns the revision of the last change.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
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

// later makes a change once the lag of its kind has passed.
func (s *Server) later(kind string, change func()) {
	s.mu.Lock()
	lag := s.faults.ListLag
	s.mu.Unlock()
	locked := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
	}
	if kind != serversKind || lag == 0 {
		locked()
		return
	}
	time.AfterFunc(lag, locked)
}

// wake ends all waits. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// store writes an object. The lock is held.
func (s *Server) store(kind, name string, spec json.RawMessage) *Object {
	old := s.kinds[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &Object{Metadata: Metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old != nil {
		o.Metadata.Created = old.Metadata.Created
		o.Status = old.Status
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*Object{}
	}
	s.kinds[kind][name] = o
	s.history[kind] = append(s.history[kind], Event{Object: *o, revision: s.revision})
	s.wake()
	return o
}

// drop removes an object. The lock is held.
func (s *Server) drop(kind, name string) {
	old := s.kinds[kind][name]
	if old == nil {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.history[kind] = append(s.history[kind], Event{Removed: true, Object: *old, revision: s.revision})
	s.wake()
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[v["kind"]][v["name"]]
	if o == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	webserver.WriteJSON(w, o)
}

// list answers with a page of objects, or waits for changes.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind, q := mux.Vars(r)["kind"], r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > s.PageSize
	if more {
		names = names[:s.PageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, *s.kinds[kind][name])
	}
	webserver.WriteJSON(w, map[string]any{"items": items, "truncated": more, "store_revision": s.revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, errAfter := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "watch and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := false; ; {
		if s.deaf() && !over {
			// The connection falls silent for good.
			<-r.Context().Done()
			return
		}
		status, events, revision, changed := s.since(kind, after, r.RemoteAddr)
		if status != http.StatusOK {
			http.Error(w, "the watch cannot go on", status)
			return
		}
		if len(events) > 0 || over {
			webserver.WriteJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// deaf reports whether watches hear nothing.
func (s *Server) deaf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.DeafWatches
}

// since returns the changes of a kind after a revision, and what ends the next
// wait for more.
func (s *Server) since(kind string, after int64, from string) (int, []Event, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []Event{}
	switch {
	case s.faults.Outage || s.faults.TurnedAway[host(from)]:
		return http.StatusServiceUnavailable, nil, 0, nil
	case after < s.dropped:
		return http.StatusGone, nil, 0, nil
	}
	for _, e := range s.history[kind] {
		if e.revision > after {
			events = append(events, e)
		}
	}
	return http.StatusOK, events, s.revision, s.changed
}

// readObject decodes the body of a write. It answers malformed ones itself.
func readObject(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var o Object
	body := http.MaxBytesReader(w, r.Body, 2*maxValueBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil || len(o.Spec) > maxValueBytes {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := mux.Vars(r)["kind"]
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.kinds[kind][o.Metadata.Name]; old != nil {
		conflict(w, old)
		return
	}
	webserver.WriteJSON(w, s.store(kind, o.Metadata.Name, o.Spec))
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[v["kind"]][v["name"]]
	switch {
	case old == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		conflict(w, old)
	default:
		webserver.WriteJSON(w, s.store(v["kind"], v["name"], o.Spec))
	}
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[v["kind"]][v["name"]]
	switch {
	case old == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case revision != 0 && old.Metadata.Revision != revision:
		conflict(w, old)
	default:
		s.drop(v["kind"], v["name"])
		webserver.WriteJSON(w, struct{}{})
	}
}

// conflict answers with the object as it is.
func conflict(w http.ResponseWriter, o *Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(o)
}
