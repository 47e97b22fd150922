package heartbeat

import (
	"time"
)

// updateLeaving records the upstreams that the store lists as leaving, so
// that heartbeats pass them on, and removes the expired ones.
func (s *Service) updateLeaving() {
	changed := s.expireLeaving()
	if s.Leaving != nil {
		now := time.Now()
		s.mu.Lock()
		for _, name := range s.Leaving() {
			changed = s.recordLeaving(name, now) || changed
		}
		s.mu.Unlock()
	}
	if changed {
		s.notifySubscribers()
	}
}

// AddLeaving records that upstreams have begun to leave.
func (s *Service) AddLeaving(names []string) {
	s.mu.Lock()
	changed := false
	for _, name := range names {
		changed = s.recordLeaving(name, time.Now()) || changed
	}
	s.mu.Unlock()
	if changed {
		s.notifySubscribers()
	}
}

// recordLeaving records that an upstream was listed as leaving at a time, unless
// that is too long ago. It reports whether the upstream was not recorded
// before. The caller holds s.mu.
func (s *Service) recordLeaving(name string, at time.Time) bool {
	if time.Since(at) > leavingLifetime {
		return false
	}
	old, known := s.leavingListedAt[name]
	if !known || at.After(old) {
		s.leavingListedAt[name] = at
	}
	return !known
}

func (s *Service) expireLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for name, t := range s.leavingListedAt {
		if time.Since(t) > leavingLifetime {
			delete(s.leavingListedAt, name)
			changed = true
		}
	}
	return changed
}
