// Package trail remembers what happened to the latest requests, so that an
// operator can ask why one waited, moved, was preempted or refused.
package trail

import (
	"fmt"
	"sync"
	"time"
)

const (
	maxRequests = 2000 // maxRequests bounds the remembered requests.
	maxLines    = 40   // maxLines bounds the lines of one request.
)

// Line is one event of a request.
type Line struct {
	At   time.Time
	Text string
}

// Trail remembers the latest requests.
type Trail struct {
	mu    sync.Mutex
	lines map[string][]Line
	order []string
	next  int
}

// New returns an empty trail.
func New() *Trail {
	return &Trail{lines: map[string][]Line{}, order: make([]string, maxRequests)}
}

// Note adds an event to a request.
func (t *Trail) Note(id, format string, args ...any) {
	line := Line{At: time.Now().UTC(), Text: fmt.Sprintf(format, args...)}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.lines[id]
	if !known {
		delete(t.lines, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % maxRequests
	}
	if len(old) < maxLines {
		t.lines[id] = append(old, line)
	}
}

// Lines returns the events of a request, nil if it is not remembered.
func (t *Trail) Lines(id string) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Line(nil), t.lines[id]...)
}
