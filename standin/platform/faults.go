package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"knapweedwell/webserver"
)

// disturb counts a call and brings about the faults in force.
func (s *Server) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, over := s.count(r)
		time.Sleep(f.Slow)
		switch {
		case f.Silent:
			<-r.Context().Done()
			return
		case f.Outage || f.TurnedAway[host(r.RemoteAddr)]:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case over:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		s.write(w, r, next)
	})
}

// host returns the host of an address.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// write handles a write, whose answer may be lost.
func (s *Server) write(w http.ResponseWriter, r *http.Request, next http.Handler) {
	lost, late := s.loses()
	switch {
	case late:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		again := r.Clone(context.WithoutCancel(r.Context()))
		again.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(lateWriteDelay, func() { next.ServeHTTP(&discard{header: http.Header{}}, again) })
		panic(http.ErrAbortHandler)
	case lost:
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
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

// loses reports whether the answer of this write is lost, and whether the write
// takes effect late.
func (s *Server) loses() (lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LateWrites > 0:
		s.faults.LateWrites--
		return true, true
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return true, false
	}
	return false, false
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

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	webserver.WriteJSON(w, f)
}

func (s *Server) setObject(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := mux.Vars(r)
	s.Put(v["kind"], v["name"], value)
	webserver.WriteJSON(w, value)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	webserver.WriteJSON(w, s.Calls())
}
