// Package journal remembers what happened to the latest requests, so that an
// operator can ask why one waited, moved, was preempted or refused.
package journal

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

// Journal remembers the latest requests.
type Journal struct {
	mu    sync.Mutex
	lines map[string][]Line
	order []string
	next  int
}

// New returns an empty journal.
func New() *Journal {
	return &Journal{lines: map[string][]Line{}, order: make([]string, maxRequests)}
}

// Note adds an event to a request.
func (j *Journal) Note(id, format string, args ...any) {
	line := Line{At: time.Now().UTC(), Text: fmt.Sprintf(format, args...)}
	j.mu.Lock()
	defer j.mu.Unlock()
	old, known := j.lines[id]
	if !known {
		delete(j.lines, j.order[j.next])
		j.order[j.next] = id
		j.next = (j.next + 1) % maxRequests
	}
	if len(old) < maxLines {
		j.lines[id] = append(old, line)
	}
}

// Lines returns the events of a request, nil if it is not remembered.
func (j *Journal) Lines(id string) []Line {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Line(nil), j.lines[id]...)
}
