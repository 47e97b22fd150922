package aggregate

import (
	"slices"
	"time"
)

const (
	// silenceTimeout is the time after which an instance that this one sends to
	// counts as silent if nothing is received from it.
	silenceTimeout = 2 * time.Second
	// silenceTime is how long a silent instance is passed over before it is tried
	// again, unless it is heard or listed before.
	silenceTime = 20 * time.Second
	// isolationTime is the time without anything received after which this instance
	// itself was cut off.
	isolationTime = 3 * silenceTimeout
)

// Silence records which instances do not answer. Its zero value is ready for use.
type Silence struct {
	heardAt time.Time            // when something was last received from any instance
	waiting map[string]time.Time // since when nothing was received, by the name of the instance
	until   map[string]time.Time // until when a silent instance is passed over
}

// Expect records that this instance sends to the named ones now, and expects no
// answer of any other.
func (s *Silence) Expect(now time.Time, names []string) {
	waiting := make(map[string]time.Time, len(names))
	for _, name := range names {
		waiting[name] = now
		if since, ok := s.waiting[name]; ok {
			waiting[name] = since
		}
	}
	s.waiting = waiting
}

// Heard records that something was received from an instance.
func (s *Silence) Heard(now time.Time, name string) {
	if !s.heardAt.IsZero() && now.Sub(s.heardAt) > isolationTime {
		// This instance could not be reached itself.
		s.Reset()
	}
	s.heardAt = now
	delete(s.until, name)
	if _, ok := s.waiting[name]; ok {
		s.waiting[name] = now
	}
}

// Listed records that others hear the instances for the hash of whose names has
// returns true.
func (s *Silence) Listed(has func(hash uint32) bool) {
	for name := range s.until {
		if has(NameHash(name)) {
			delete(s.until, name)
		}
	}
}

// Silent reports whether an instance is passed over because it does not answer.
func (s *Silence) Silent(now time.Time, name string) bool {
	if now.Before(s.until[name]) {
		return true
	}
	since, waiting := s.waiting[name]
	if !waiting || now.Sub(since) <= silenceTimeout {
		return false
	}
	delete(s.waiting, name)
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[name] = now.Add(silenceTime)
	return true
}

// Names returns the instances that are passed over now, in order.
func (s *Silence) Names(now time.Time) []string {
	var names []string
	for name, until := range s.until {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Reset forgets all silences. It is called after this process was suspended and
// could receive nothing.
func (s *Silence) Reset() {
	s.waiting, s.until = nil, nil
}
