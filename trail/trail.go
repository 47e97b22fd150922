// Package trail records the events of the latest requests, so that an operator
// can look up why one waited, moved, was preempted or was refused.
package trail

import (
	"fmt"
	"sync"
	"time"
)

const (
	maxRequests = 2000
	maxLines    = 40 // Limit for each request.
)

// Line is one event of a request.
type Line struct {
	At   time.Time
	Text string
}

// Trail holds the events of the latest requests, up to maxRequests of them. A
// new request replaces the oldest.
type Trail struct {
	mu    sync.Mutex
	lines map[string][]Line // By request ID.
	order []string          // Ring of request IDs in the order of their first event.
	next  int               // Place in the ring of the oldest request once the ring is full.
}

// New returns an empty trail.
func New() *Trail {
	return &Trail{lines: map[string][]Line{}, order: make([]string, maxRequests)}
}

// Note adds an event to a request, with the text formatted as by fmt.Sprintf.
// Events beyond maxLines are dropped.
func (t *Trail) Note(id, format string, args ...any) {
	line := Line{At: time.Now().UTC(), Text: fmt.Sprintf(format, args...)}
	t.mu.Lock()
	defer t.mu.Unlock()
	lines, exists := t.lines[id]
	if !exists {
		delete(t.lines, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % maxRequests
	}
	if len(lines) < maxLines {
		t.lines[id] = append(lines, line)
	}
}

// Lines returns the events of a request, nil if none is recorded.
func (t *Trail) Lines(id string) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Line(nil), t.lines[id]...)
}
