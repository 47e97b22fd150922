package heartbeat

import (
	"context"
	"encoding/json"

	"github.com/sirupsen/logrus"

	"knapweedwell/member"
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

// registration is what this instance believes of its entry in the store.
type registration struct {
	done bool
	era  int64 // of the store when the entry was written or read
}

// registerIn writes the entry of this instance to the store, unless that was done in the
// present era. A store that came back from a copy may lack it.
func (s *Service) registerIn(ctx context.Context, r *registration) {
	era, known := s.storeEra()
	if r.done && r.era == era {
		return
	}
	if r.done {
		s.Log.WithFields(logrus.Fields{"Era": era, "Before": r.era}).Info("the store came back from a copy: the entry of this instance is written again")
	}
	r.done = s.register(ctx)
	if !known {
		era, _ = s.storeEra() // as this first call has told
	}
	r.era = era
}

// storeEra returns the era of the store and whether it is known.
func (s *Service) storeEra() (era int64, known bool) {
	if s.StoreEra == nil {
		return 0, false
	}
	return s.StoreEra()
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
