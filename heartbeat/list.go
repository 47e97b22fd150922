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

// instanceEntry is the entry of an instance in the store.
type instanceEntry struct {
	Incarnation int64 // of the process that wrote the entry; later ones keep the entry
	Peer        string
	Region      string
	Zone        string
	Caller      string
	Operator    string
	Exchange    string
}

// newEntry returns the entry of a member.
func newEntry(m member.Member) instanceEntry {
	return instanceEntry{
		Incarnation: m.Incarnation, Peer: m.Peer, Region: m.Region, Zone: m.Zone, Caller: m.Caller, Operator: m.Operator, Exchange: m.Exchange,
	}
}

// member returns the instance of an entry in the state before it is heard.
func (e instanceEntry) member(name string) member.Member {
	return member.Member{
		Name: name, Incarnation: e.Incarnation, State: member.Starting, Peer: e.Peer, Region: e.Region, Zone: e.Zone, Caller: e.Caller,
		Operator: e.Operator, Exchange: e.Exchange,
	}
}

// sameAddresses reports whether two entries differ in the incarnation at most.
func (e instanceEntry) sameAddresses(other instanceEntry) bool {
	e.Incarnation = other.Incarnation
	return e == other
}

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

// registration is what this instance believes of its entry in the store.
type registration struct {
	done bool
	era  int64 // of the store when the entry was written or read
}

// registerIn writes the entry of this instance to the store, unless that was done in the
// present era. A store that came back from a copy may lack it.
func (s *Service) registerIn(ctx context.Context, r *registration) {
	era := s.storeEra()
	if r.done && r.era == era {
		return
	}
	if r.done {
		s.Log.WithFields(logrus.Fields{"Era": era, "Before": r.era}).Info("the store came back from a copy: the entry of this instance is written again")
	}
	r.done = s.register(ctx)
	if era == 0 {
		era = s.storeEra() // as this first call has told
	}
	r.era = era
}

// storeEra returns the era of the store, zero if it is not known.
func (s *Service) storeEra() int64 {
	if s.StoreEra == nil {
		return 0
	}
	return s.StoreEra()
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

// register writes the entry of this instance to the store. It reports whether
// the entry is in the store. The entry of an earlier incarnation is kept unless an
// address has changed.
func (s *Service) register(ctx context.Context) bool {
	self := s.Self
	self.Peer = s.Peers.Address
	entry := newEntry(self)
	value, err := json.Marshal(entry)
	if err != nil {
		return false
	}
	o, created, err := s.Platform.CreateOrGet(ctx, instanceKind, s.Self.Name, value)
	if err == nil && !created {
		var old instanceEntry
		if json.Unmarshal(o.Value, &old) == nil && old.sameAddresses(entry) {
			return true
		}
		_, err = s.Platform.Update(ctx, instanceKind, s.Self.Name, value, o.Revision)
	}
	if err != nil {
		s.Log.WithField("Error", err.Error()).Warn("this instance is not listed in the store yet")
		return false
	}
	return true
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
