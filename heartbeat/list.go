package heartbeat

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/member"
	"knapweedwell/platform"
)

const (
	instanceKind = "instances" // instanceKind holds where the instances can be found.
	joinPeriod   = 2 * time.Second
	listPeriod   = time.Minute     // listPeriod is the time between reads of the instance list while others are heard.
	lonelyPeriod = 5 * time.Second // lonelyPeriod is that while no other instance is heard.
	sweepAfter   = 2 * time.Minute // sweepAfter is how long an instance has been gone before its entry is removed.
)

// listed is what an instance says of itself in the store.
type listed struct {
	Incarnation int64
	Peer        string
}

// joinLoop keeps in touch with seeds that are not known yet, and with the
// instances that the store lists.
func (s *Service) joinLoop(ctx context.Context) {
	var registered bool
	var read time.Time
	for {
		s.join(ctx)
		s.noteLeaving()
		if !registered {
			registered = s.register(ctx)
		}
		if time.Since(read) > s.listPause() && s.readList(ctx) {
			read = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinPeriod):
		}
	}
}

// listPause returns the time between two reads of the list.
func (s *Service) listPause() time.Duration {
	silence, known := time.Duration(0), false
	s.With(func(v *member.View) { silence, known = v.Silence(time.Now()) })
	if !known || silence > member.SuspectAfter {
		return lonelyPeriod
	}
	return listPeriod
}

// register writes where this instance can be found. It reports whether that is
// done. An entry of an earlier incarnation is replaced.
func (s *Service) register(ctx context.Context) bool {
	value, err := json.Marshal(listed{Incarnation: s.Self.Incarnation, Peer: s.Peers.Address})
	if err != nil {
		return false
	}
	_, err = s.Platform.Create(ctx, instanceKind, s.Self.Name, value)
	if errors.Is(err, platform.ErrConflict) {
		err = s.reregister(ctx, value)
	}
	if err != nil {
		s.Log.WithField("Error", err.Error()).Warn("this instance is not listed in the store yet")
		return false
	}
	return true
}

func (s *Service) reregister(ctx context.Context, value []byte) error {
	o, err := s.Platform.Get(ctx, instanceKind, s.Self.Name)
	if err != nil {
		return err
	}
	var old listed
	if json.Unmarshal(o.Value, &old) == nil && old.Incarnation >= s.Self.Incarnation {
		return nil
	}
	_, err = s.Platform.Update(ctx, instanceKind, s.Self.Name, value, o.Revision)
	return err
}

// readList learns the instances that the store lists and are not known, and
// removes the entries of those that are long gone. It reports whether the list
// was read.
func (s *Service) readList(ctx context.Context) bool {
	l, err := s.Platform.List(ctx, instanceKind)
	if err != nil {
		s.Log.WithField("Error", err.Error()).Warn("the list of instances was not read")
		return false
	}
	for _, o := range l.Objects {
		var e listed
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Peer == "" {
			s.Log.WithField("Entry", o.Name).Warn("entry of an instance cannot be read")
			continue
		}
		known, gone := s.state(o.Name, e)
		switch {
		case gone:
			s.sweep(ctx, o)
		case !known:
			s.learn(ctx, e.Peer)
		}
	}
	return true
}

// state reports whether a listed instance is known to run, and whether it has
// been gone for long.
func (s *Service) state(name string, e listed) (known, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.view.Get(name)
	if !ok {
		return false, false
	}
	return m.State != member.Gone, m.State == member.Gone && m.Incarnation >= e.Incarnation && s.view.GoneFor(time.Now(), name) > sweepAfter
}

// sweep removes the entry of an instance that is gone, unless it has changed.
func (s *Service) sweep(ctx context.Context, o platform.Object) {
	err := s.Platform.Delete(ctx, instanceKind, o.Name, o.Revision)
	s.Log.WithFields(logrus.Fields{"Instance": o.Name, "Revision": o.Revision, "Done": err == nil}).Info("entry of a gone instance removed")
}

// noteLeaving passes on which upstreams the store lists as leaving, and forgets
// old news of that kind.
func (s *Service) noteLeaving() {
	changed := s.expireDeparting()
	if s.Leaving != nil {
		now := time.Now()
		s.mu.Lock()
		for _, name := range s.Leaving() {
			changed = s.depart(name, now) || changed
		}
		s.mu.Unlock()
	}
	if changed {
		s.notify()
	}
}

// Depart notes that an upstream has begun to leave.
func (s *Service) Depart(names []string) {
	s.mu.Lock()
	changed := false
	for _, name := range names {
		changed = s.depart(name, time.Now()) || changed
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
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
