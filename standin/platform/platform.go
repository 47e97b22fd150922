// Package platform is a stand-in for the platform's object store, with faults
// that a test can inject. docs/STANDINS.md documents its protocol.
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
	maxValueBytes   = 1 << 20
	maxWait         = 30 * time.Second // longest time that a watch waits for changes
	defaultPageSize = 500
	serversKind     = "servers" // kind of the entries that upstreams write about themselves
	lateWriteDelay  = 3 * time.Second
)

// Metadata is the part of an object that the store maintains. Revision is that
// of the last change and Created that of the first.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object as the API returns it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is one change as a watch returns it.
type Event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	revision int64
}

// Faults holds the faults that are injected.
type Faults struct {
	Outage      bool            // fails all calls with status 503
	Silent      bool            // answers no call
	Slow        time.Duration   // delay of each call
	LoseAnswers int             // number of writes that take effect but whose answers are lost
	LateWrites  int             // number of writes that are not answered and take effect after lateWriteDelay
	DeafWatches bool            // answers no watch
	ListLag     time.Duration   // delay after which changes of upstreams' entries are visible
	Rate        int             // maximum number of calls per second; zero means no limit
	TurnedAway  map[string]bool // hosts whose calls fail as in an outage
}

// Server is an in-memory object store. PageSize is set before the first call.
type Server struct {
	PageSize int // maximum number of objects in one page of a list

	mu            sync.Mutex
	kinds         map[string]map[string]*Object // objects by kind and name
	history       map[string][]Event            // changes by kind, oldest first
	compacted     int64                         // revision up to which the history has been removed
	revision      int64                         // revision of the last change
	changed       chan struct{}                 // closed on each change of the objects or the faults
	cut           chan struct{}                 // closed when the waiting watches are cut off
	faults        Faults
	calls         map[string]int64 // number of calls by method
	secondStart   time.Time        // start of the second in which calls are counted
	callsInSecond int
	era           int64 // rises with each Restore
	backups       []backup
	owned         map[objectKey]ownerWrite
}

// New returns an empty object store.
func New() *Server {
	return NewInEra(initialEra)
}

// NewInEra returns an empty object store whose first era has the number.
func NewInEra(first int64) *Server {
	return &Server{
		PageSize: defaultPageSize,
		kinds:    map[string]map[string]*Object{},
		history:  map[string][]Event{},
		revision: 1,
		changed:  make(chan struct{}),
		cut:      make(chan struct{}),
		calls:    map[string]int64{},
		era:      first,
		owned:    map[objectKey]ownerWrite{},
	}
}

// Handler returns the HTTP handler of the API, including the /admin calls.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	api := m.PathPrefix("/v1").Subrouter()
	api.Use(s.injectFaults)
	api.HandleFunc("/objects/{kind}", s.list).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}", s.create).Methods(http.MethodPost)
	api.HandleFunc("/objects/{kind}/{name}", s.get).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", s.replace).Methods(http.MethodPut)
	api.HandleFunc("/objects/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	m.HandleFunc("/admin/faults", s.handleFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/objects/{kind}/{name}", s.setObject).Methods(http.MethodPut)
	m.HandleFunc("/admin/restore", s.handleRestore).Methods(http.MethodPut)
	m.HandleFunc("/admin/calls", s.getCalls).Methods(http.MethodGet)
	return m
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Put writes an object as its owner does, whatever faults are injected except
// ListLag, which delays changes of upstreams' entries. It panics if the value
// has no JSON form.
func (s *Server) Put(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.applyAfterLag(kind, func() {
		s.recordOwner(kind, name, ownerWrite{spec: spec})
		s.putObject(kind, name, spec)
	})
}

// Delete removes an object as its owner does, with the same delay as Put.
func (s *Server) Delete(kind, name string) {
	s.applyAfterLag(kind, func() {
		s.recordOwner(kind, name, ownerWrite{deleted: true})
		s.deleteObject(kind, name)
	})
}

// CutWatches breaks off the answers of the watches that wait for changes. All later calls are
// answered as before.
func (s *Server) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// Compact removes the history. Watches from an earlier revision than the
// current one end with status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = map[string][]Event{}
	s.notifyWatches()
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
	calls := map[string]int64{}
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// applyAfterLag makes a change of a kind of objects: after ListLag for
// upstreams' entries, otherwise at once.
func (s *Server) applyAfterLag(kind string, change func()) {
	s.mu.Lock()
	lag := s.faults.ListLag
	s.mu.Unlock()
	lockedChange := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
	}
	if kind != serversKind || lag == 0 {
		lockedChange()
		return
	}
	time.AfterFunc(lag, lockedChange)
}

// notifyWatches wakes all watches that wait for a change. The caller holds s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putObject writes an object unless its spec is unchanged, and returns it. The
// caller holds s.mu.
func (s *Server) putObject(kind, name string, spec json.RawMessage) *Object {
	old := s.kinds[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.backUp()
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
	s.notifyWatches()
	return o
}

// deleteObject removes an object if it exists. The caller holds s.mu.
func (s *Server) deleteObject(kind, name string) {
	old := s.kinds[kind][name]
	if old == nil {
		return
	}
	s.backUp()
	s.revision++
	delete(s.kinds[kind], name)
	s.history[kind] = append(s.history[kind], Event{Removed: true, Object: *old, revision: s.revision})
	s.notifyWatches()
}

// get answers with an object.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	o := s.kinds[v["kind"]][v["name"]]
	if o == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	webserver.WriteJSON(w, o)
}

// list answers with a page of the objects of a kind in the order of their
// names, starting after the name in the query parameter after. If the query has
// the parameter watch, it answers with their changes instead.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind, q := mux.Vars(r)["kind"], r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	names := []string{}
	for name := range s.kinds[kind] {
		if name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	truncated := len(names) > s.PageSize
	if truncated {
		names = names[:s.PageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, *s.kinds[kind][name])
	}
	webserver.WriteJSON(w, map[string]any{"items": items, "truncated": truncated, "store_revision": s.revision})
}

// readObject decodes the body of a write. It answers a malformed or too large
// one with status 400 and returns false.
func readObject(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var o Object
	body := http.MaxBytesReader(w, r.Body, 2*maxValueBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil || len(o.Spec) > maxValueBytes {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// create writes an object that does not exist yet.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := mux.Vars(r)["kind"]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	if old := s.kinds[kind][o.Metadata.Name]; old != nil {
		conflict(w, old)
		return
	}
	webserver.WriteJSON(w, s.putObject(kind, o.Metadata.Name, o.Spec))
}

// replace writes an object that exists. A revision in the body that is neither
// zero nor the current one is a conflict.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	old := s.kinds[v["kind"]][v["name"]]
	switch {
	case old == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		conflict(w, old)
	default:
		webserver.WriteJSON(w, s.putObject(v["kind"], v["name"], o.Spec))
	}
}

// remove deletes an object. A revision in the query that is neither zero nor the
// current one is a conflict.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	v := mux.Vars(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	old := s.kinds[v["kind"]][v["name"]]
	switch {
	case old == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case revision != 0 && old.Metadata.Revision != revision:
		conflict(w, old)
	default:
		s.deleteObject(v["kind"], v["name"])
		webserver.WriteJSON(w, struct{}{})
	}
}

// conflict answers with status 409 and the current object.
func conflict(w http.ResponseWriter, o *Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(o)
}
