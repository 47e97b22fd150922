package heartbeat

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/member"
	"knapweedwell/platform"
)

const (
	instanceKind = "instances" // objects with the peer addresses of the instances
	joinPeriod   = 2 * time.Second
	// listPeriod is the time between reads of the instance list while other
	// instances send heartbeats, and listPeriodWithoutPeers that while none does.
	listPeriod             = time.Minute
	listPeriodWithoutPeers = 5 * time.Second
	removeEntryAfter       = 2 * time.Minute // how long an instance is gone before its entry is removed
	// establishedBeats is the number of beats from which a live instance has been
	// running for long enough to know all others.
	establishedBeats = 10
)

// joinLoop contacts seeds that are not known yet and the instances that the
// store lists, and registers this instance in the store.
func (s *Service) joinLoop(ctx context.Context) {
	var registered registration
	var lastRead time.Time
	for {
		s.join(ctx)
		if lastRead.IsZero() && s.joinedEstablished() {
			lastRead = time.Now()
		}
		s.updateLeaving()
		s.registerIn(ctx, &registered)
		if time.Since(lastRead) > s.listInterval() && s.readList(ctx) {
			lastRead = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinPeriod):
		}
	}
}

// joinedEstablished reports whether the members were fetched from a fleet that has
// been running for a while, so that the list would add none.
func (s *Service) joinedEstablished() bool {
	for _, m := range s.Members() {
		if m.Name != s.Self.Name && m.State == member.Live && m.Beat >= establishedBeats {
			return true
		}
	}
	return false
}

// listInterval returns the time between two reads of the list.
func (s *Service) listInterval() time.Duration {
	silence, known := time.Duration(0), false
	s.With(func(v *member.View) { silence, known = v.Silence(time.Now()) })
	if !known || silence > member.SuspectAfter {
		return listPeriodWithoutPeers
	}
	return listPeriod
}

// readList merges the instances that the store lists and that are not known as
// running, and removes the entries of those that have been gone for longer than
// removeEntryAfter. Whether a listed instance runs shows when it is heard. It reports
// whether the list was read.
func (s *Service) readList(ctx context.Context) bool {
	l, err := s.Platform.List(ctx, instanceKind)
	if err != nil {
		s.Log.WithField("Error", err.Error()).Warn("the list of instances was not read")
		return false
	}
	var listed []member.Member
	for _, o := range l.Objects {
		var e instanceEntry
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Peer == "" {
			s.Log.WithField("Entry", o.Name).Warn("entry of an instance cannot be read")
			continue
		}
		known, running, gone := s.listedState(o.Name, e)
		switch {
		case gone:
			s.removeEntry(ctx, o)
		case running:
		case known || e.Zone == "":
			// It may be running again, or its entry is that of an earlier build.
			s.fetchMembers(ctx, e.Peer)
		default:
			listed = append(listed, e.member(o.Name))
		}
	}
	s.merge(Beat{News: listed})
	return true
}

// listedState reports whether a listed instance is known, whether it is known as
// running, and whether it has been gone for longer than removeEntryAfter.
func (s *Service) listedState(name string, e instanceEntry) (known, running, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.view.Get(name)
	if !ok {
		return false, false, false
	}
	return true, m.State != member.Gone, m.State == member.Gone && m.Incarnation >= e.Incarnation && s.view.GoneFor(time.Now(), name) > removeEntryAfter
}

// removeEntry removes the entry of a gone instance, unless the entry has
// changed.
func (s *Service) removeEntry(ctx context.Context, o platform.Object) {
	log := s.Log.WithFields(logrus.Fields{"Instance": o.Name, "Revision": o.Revision})
	if err := s.Platform.Delete(ctx, instanceKind, o.Name, o.Revision); err != nil {
		log.WithField("Error", err.Error()).Warn("entry of a gone instance was not removed")
		return
	}
	log.Info("entry of a gone instance removed")
}
