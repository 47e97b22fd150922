// Package trace records the events of the most recent requests, so that an operator
// can look up why one waited, moved, was preempted or was refused.
package trace

import (
	"fmt"
	"sync"
	"time"
)

const (
	maxRequests = 2000
	maxLines    = 40 // limit for each request
)

// Line is one event of a request.
type Line struct {
	At   time.Time
	Text string
}

// Recorder holds the events of the most recent requests, up to maxRequests of them. A
// new request replaces the oldest.
type Recorder struct {
	mu    sync.Mutex
	lines map[string][]Line // by request ID
	order []string          // ring of request IDs in the order of their first event
	next  int               // index of the oldest request once the ring is full
}

// New returns a recorder without events.
func New() *Recorder {
	return &Recorder{lines: map[string][]Line{}, order: make([]string, maxRequests)}
}

// Record adds an event to a request, with the text formatted as by fmt.Sprintf.
// Events beyond maxLines are dropped.
func (r *Recorder) Record(id, format string, args ...any) {
	line := Line{At: time.Now().UTC(), Text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	lines, exists := r.lines[id]
	if !exists {
		delete(r.lines, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % maxRequests
	}
	if len(lines) < maxLines {
		r.lines[id] = append(lines, line)
	}
}

// Lines returns the events of a request, or nil if none is recorded.
func (r *Recorder) Lines(id string) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Line(nil), r.lines[id]...)
}
