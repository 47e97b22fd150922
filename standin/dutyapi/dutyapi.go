// Package dutyapi is a stand-in for the platform's API for usage reports and orders of
// upstreams, with faults that a test can inject. It checks the rules for its calls.
package dutyapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is one call that was accepted.
type Call struct {
	At      time.Time
	Path    string
	Subject string
	Holder  string
	Token   int64
	Window  int64
	Counts  map[string]int64
	Desired int
}

// Faults holds the faults that are injected.
type Faults struct {
	Down     bool          // breaks off all calls
	Limited  bool          // answers 429
	Slow     time.Duration // delay of each answer, after the call was accepted
	NoneLeft bool          // answers orders with 409
}

// Server records the calls. The zero value is ready to use.
type Server struct {
	PerSecond int // calls that are accepted in one second; zero means no limit

	mu       sync.Mutex
	faults   Faults
	calls    []Call
	limited  int
	second   int64
	inSecond int
	tokens   map[string]Call // last call by subject
	windows  map[int64]map[string]int64
	breaches []string
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the calls that were accepted.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Limited returns the number of calls that were answered 429.
func (s *Server) Limited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limited
}

// Windows returns the counts that were first accepted, by window.
func (s *Server) Windows() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.windows)
}

// Breaches returns the breaches of the rules for calls.
func (s *Server) Breaches() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.breaches...)
}

// ServeHTTP accepts a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window  int64            `json:"window"`
		Counts  map[string]int64 `json:"counts"`
		Service string           `json:"service"`
		Zone    string           `json:"zone"`
		Desired int              `json:"desired"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Knapweedwell-Fencing-Token"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := Call{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Knapweedwell-Duty-Holder"), Token: token, Window: body.Window, Counts: body.Counts, Desired: body.Desired}
	if c.Path == "/scale" {
		c.Subject = body.Service + "/" + body.Zone
	}
	status, slow := s.accept(c)
	time.Sleep(slow)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// accept records a call and returns the status of its answer, zero if it is broken off.
func (s *Server) accept(c Call) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := c.At.Unix(); second != s.second {
		s.second, s.inSecond = second, 0
	}
	s.inSecond++
	switch {
	case s.faults.Down:
		return 0, s.faults.Slow
	case s.faults.Limited, s.PerSecond > 0 && s.inSecond > s.PerSecond:
		s.limited++
		return http.StatusTooManyRequests, s.faults.Slow
	}
	s.checkToken(c)
	s.calls = append(s.calls, c)
	switch {
	case c.Path == "/usage":
		s.checkWindow(c)
	case s.faults.NoneLeft:
		return http.StatusConflict, s.faults.Slow
	}
	return http.StatusOK, s.faults.Slow
}

// checkToken checks that tokens rise and that each has one holder. The caller holds s.mu.
func (s *Server) checkToken(c Call) {
	if s.tokens == nil {
		s.tokens = map[string]Call{}
	}
	key := c.Path + " " + c.Subject
	last, ok := s.tokens[key]
	switch {
	case ok && c.Token < last.Token:
		s.breach("%s: token %d of %s after %d of %s", key, c.Token, c.Holder, last.Token, last.Holder)
	case ok && c.Token == last.Token && c.Holder != last.Holder:
		s.breach("%s: token %d of both %s and %s", key, c.Token, c.Holder, last.Holder)
	}
	s.tokens[key] = c
}

// checkWindow checks that a window is reported with the same counts only. The caller holds
// s.mu.
func (s *Server) checkWindow(c Call) {
	if s.windows == nil {
		s.windows = map[int64]map[string]int64{}
	}
	if before, ok := s.windows[c.Window]; !ok {
		s.windows[c.Window] = c.Counts
	} else if !maps.Equal(before, c.Counts) {
		s.breach("window %d was reported as %v and as %v", c.Window, before, c.Counts)
	}
}

func (s *Server) breach(format string, args ...any) {
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}
