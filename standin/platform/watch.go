package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"knapweedwell/webserver"
)

// watch answers with the changes of a kind after the revision in the query
// parameter watch as soon as there are any, or without changes after wait_ms, at
// most maxWait.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, errAfter := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "watch and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	wait, cancel := context.WithTimeout(r.Context(), min(time.Duration(ms)*time.Millisecond, maxWait))
	defer cancel()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for expired := false; ; {
		if s.watchesBlocked() && !expired {
			// The watch does not answer until the client closes the connection.
			<-r.Context().Done()
			return
		}
		status, events, revision, changed := s.changesSince(w, kind, after, r.RemoteAddr)
		if status != http.StatusOK {
			http.Error(w, "the watch cannot go on", status)
			return
		}
		if len(events) > 0 || expired {
			webserver.WriteJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			breakOff(w)
		case <-wait.Done():
			expired = true
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// breakOff ends an answer after its head.
func breakOff(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// watchesBlocked reports whether the fault DeafWatches is injected.
func (s *Server) watchesBlocked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.DeafWatches
}

// changesSince returns the HTTP status of a watch, the changes of a kind after
// a revision, the revision of the last change and the channel that is closed on
// the next one. It sets the header with the era.
func (s *Server) changesSince(w http.ResponseWriter, kind string, after int64, remoteAddress string) (int, []Event, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	events := []Event{}
	switch {
	case s.faults.Outage || s.faults.TurnedAway[host(remoteAddress)]:
		return http.StatusServiceUnavailable, nil, 0, nil
	case after < s.compacted || after > s.revision:
		return http.StatusGone, nil, 0, nil
	}
	for _, e := range s.history[kind] {
		if e.revision > after {
			events = append(events, e)
		}
	}
	return http.StatusOK, events, s.revision, s.changed
}
