package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"knapweedwell/webserver"
)

const (
	eraHeader    = "Store-Era"
	initialEra   = 1
	copyInterval = 500 * time.Millisecond // least time between two copies
	maxCopies    = 120
)

// backup is a copy of the store from which it can be restored.
type backup struct {
	at        time.Time
	kinds     map[string]map[string]*Object
	history   map[string][]Event
	compacted int64
	revision  int64
}

// ownerWrite is the last write of an object by its owner, an operator or an upstream.
type ownerWrite struct {
	spec    json.RawMessage
	deleted bool
}

// objectKey identifies an object.
type objectKey struct {
	kind string
	name string
}

// backUp takes a copy of the store before a change if the last one is old enough. The
// caller holds s.mu.
func (s *Server) backUp() {
	now := time.Now()
	if len(s.backups) > 0 && now.Sub(s.backups[len(s.backups)-1].at) < copyInterval {
		return
	}
	b := backup{at: now, kinds: map[string]map[string]*Object{}, history: map[string][]Event{}, compacted: s.compacted, revision: s.revision}
	for kind, objects := range s.kinds {
		b.kinds[kind] = maps.Clone(objects)
	}
	for kind, events := range s.history {
		b.history[kind] = events[:len(events):len(events)]
	}
	s.backups = append(s.backups, b)
	if over := len(s.backups) - maxCopies; over > 0 {
		s.backups = append([]backup(nil), s.backups[over:]...)
	}
}

// Restore replaces the store by its copy of the given age: all that was written since is
// lost, its revisions are given out again, and the era rises by one. After the delay the
// owners write again what they wrote with Put and Delete; a negative delay means never.
func (s *Server) Restore(age, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(time.Now().Add(-age))
	s.era++
	s.notifyWatches()
	if delay >= 0 {
		time.AfterFunc(delay, s.writeAgain)
	}
}

// restore replaces the contents by those at time t, as the next copy has them. Without one
// nothing has changed since. The caller holds s.mu.
func (s *Server) restore(t time.Time) {
	for i, b := range s.backups {
		if b.at.Before(t) {
			continue
		}
		s.kinds, s.history, s.compacted, s.revision = map[string]map[string]*Object{}, map[string][]Event{}, b.compacted, b.revision
		for kind, objects := range b.kinds {
			s.kinds[kind] = maps.Clone(objects)
		}
		maps.Copy(s.history, b.history)
		s.backups = s.backups[:i:i]
		return
	}
}

// writeAgain writes again what the owners of objects have written.
func (s *Server) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, w := range s.owned {
		if w.deleted {
			s.deleteObject(key.kind, key.name)
		} else {
			s.putObject(key.kind, key.name, w.spec)
		}
	}
}

// recordOwner records a write of an object's owner. The caller holds s.mu.
func (s *Server) recordOwner(kind, name string, w ownerWrite) {
	s.owned[objectKey{kind: kind, name: name}] = w
}

// stamp sets the header with the era. The caller holds s.mu.
func (s *Server) stamp(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

// handleRestore restores the store as the query's parameters age and delay say.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	age, errAge := time.ParseDuration(r.URL.Query().Get("age"))
	delay, errDelay := time.ParseDuration(r.URL.Query().Get("delay"))
	if errAge != nil || errDelay != nil {
		http.Error(w, "age and delay must be durations, such as 5s", http.StatusBadRequest)
		return
	}
	s.Restore(age, delay)
	webserver.WriteJSON(w, struct{}{})
}
