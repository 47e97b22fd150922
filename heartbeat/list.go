package heartbeat

import (
	"context"
	"time"

	"knapweedwell/member"
	"knapweedwell/platform"
)

// listLoop reads the platform's instance list. In a large fleet the reads are
// spread out, and what one instance read comes to the others by heartbeat.
func (s *Service) listLoop(ctx context.Context) {
	for {
		s.join(ctx)
		s.readList(ctx)
		wait := listPeriod * time.Duration(1+len(s.Members())/listPerPeriod)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Service) readList(ctx context.Context) {
	changed := s.expireDeparting()
	list, err := s.Platform.Instances(ctx)
	if err != nil {
		list = nil
	}
	for _, l := range list {
		if l.Role == "upstream" && l.State == "leaving" {
			changed = s.listed(l.Name) || changed
		}
		if l.Role == "instance" && !s.knows(l) {
			s.learn(ctx, l.Peer)
		}
	}
	if changed {
		s.notify()
	}
}

func (s *Service) knows(l platform.Listed) bool {
	if l.State != "live" || l.Peer == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.view.Get(l.Name)
	return ok && m.State != member.Gone
}

func (s *Service) listed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.depart(name, time.Now())
}

// depart remembers that an upstream was listed as leaving at a time. It
// reports whether that is new. The lock is held.
func (s *Service) depart(name string, at time.Time) bool {
	if time.Since(at) > departingMemory {
		return false
	}
	old, known := s.departing[name]
	if !known || at.After(old) {
		s.departing[name] = at
	}
	return !known
}

func (s *Service) expireDeparting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for name, t := range s.departing {
		if time.Since(t) > departingMemory {
			delete(s.departing, name)
			changed = true
		}
	}
	return changed
}
