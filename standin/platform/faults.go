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

// injectFaults returns a handler that counts a call and applies the injected
// faults to it before it calls next.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, overLimit := s.countCall(w, r)
		time.Sleep(f.Slow)
		switch {
		case f.Silent:
			<-r.Context().Done()
			return
		case f.Outage || f.TurnedAway[host(r.RemoteAddr)]:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case overLimit:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		s.serveWrite(w, r, next)
	})
}

// host returns the host of an address, or the address itself if it has no port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// serveWrite calls next for a write. The faults may drop its answer or delay
// its effect.
func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, next http.Handler) {
	lost, late := s.writeFault()
	switch {
	case late:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		delayed := r.Clone(context.WithoutCancel(r.Context()))
		delayed.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(lateWriteDelay, func() { next.ServeHTTP(&discardWriter{header: http.Header{}}, delayed) })
		panic(http.ErrAbortHandler)
	case lost:
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// countCall counts a call and returns the injected faults and whether the call
// exceeds their rate limit. It sets the header with the era.
func (s *Server) countCall(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	s.calls[r.Method]++
	now := time.Now()
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	return s.faults, s.faults.Rate > 0 && s.callsInSecond > s.faults.Rate
}

// writeFault reports whether the answer of this write is lost, and whether the
// write takes effect after lateWriteDelay. It decrements the counter of the
// fault.
func (s *Server) writeFault() (lost, late bool) {
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

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns the header, which is discarded.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards p.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

// handleFaults replaces the injected faults by those in the request body.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	webserver.WriteJSON(w, f)
}

// setObject writes the request body as an object, whatever faults are injected.
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

// getCalls answers with the number of calls by method.
func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	webserver.WriteJSON(w, s.Calls())
}
