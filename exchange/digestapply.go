package exchange

import (
	"slices"
	"time"

	"knapweedwell/aggregate"
	"knapweedwell/balancer"
	"knapweedwell/member"
)

// unknownTime is how long a list may name instances that this one does not know before
// it fetches all members.
const unknownTime = time.Second

// applyDigest applies a digest of a known instance unless a later datagram of it was
// received before.
func (s *Service) applyDigest(d digest) {
	if len(d.News) > 0 {
		s.MergeNews(d.News)
	}
	from, known := s.Member(d.Sender)
	if !known || from.Name == s.Self {
		return
	}
	now := time.Now()
	last := lastReport{
		identity: from.Identity(), sequence: d.Sequence, state: d.State, storeUnreachable: d.StoreUnreachable, at: now,
	}
	s.recordReport(d.Sender, last)
	s.mu.Lock()
	newer := s.fleet.isNewer(digestKey{d.Sender, d.Format, d.Scope, d.Part}, from.Incarnation, d.Sequence)
	s.mu.Unlock()
	if !newer {
		return
	}
	if len(d.Placements) > 0 {
		s.applyPlacements(from, d.Placements)
	}
	switch d.Format {
	case summaryFormat:
		s.applySummary(now, from, d)
	case tableFormat:
		s.applyTable(now, from, d)
	case probeFormat:
		s.recordProbe(now, from)
	}
	s.OnReport(from.Peer, d.Version, positionIn(d.Sequence, d.RosterMark, s.Position().Era))
}

// recordProbe records that an aggregator does not hear this instance. One of this zone
// then gets reports and one of another zone gets summaries.
func (s *Service) recordProbe(now time.Time, from member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.Zone == s.Zone {
		s.fleet.askedAt[from.Name] = now
	} else {
		s.fleet.senders[from.Name] = now
	}
}

// applyPlacements applies placements that an aggregator has sent. Those from another
// zone are passed on to the instances of this one.
func (s *Service) applyPlacements(from member.Member, placements []balancer.Placement) {
	_, placements = s.resolveHashes(nil, placements)
	if from.Zone != s.Zone {
		s.mu.Lock()
		s.fleet.relayed.add(placements)
		s.mu.Unlock()
	}
	s.Picker.ApplyReport(time.Now(), from.Name, nil, placements, s.EngineMemory)
}

// applySummary applies the summary of another zone.
func (s *Service) applySummary(now time.Time, from member.Member, d digest) {
	if len(d.Lists) != 1 {
		return
	}
	zone := d.Lists[0]
	zone.Part, zone.Loads = d.Part, d.Loads
	s.mu.Lock()
	s.fleet.senders[from.Name] = now
	s.fleet.collector.AddZone(now, from.Name, zone)
	s.mu.Unlock()
	s.checkUnknown(now, from, d.Lists)
}

// applyTable applies a table of an aggregator of this zone.
func (s *Service) applyTable(now time.Time, from member.Member, d digest) {
	s.mu.Lock()
	s.fleet.tableAt, s.fleet.followed = now, d.Followed
	for _, l := range d.Lists {
		s.fleet.setList(now, l)
	}
	acting := s.fleet.plan.Rank >= 0
	s.mu.Unlock()
	if !acting && d.Scope != noScope {
		// An aggregator uses its own sums.
		s.applyLoads(now.Add(-d.Age), d.Scope, d.Part, d.Parts, d.Loads)
	}
	s.checkUnknown(now, from, d.Lists)
}

// applyTotal applies the sums of this aggregator, without its own loads.
func (s *Service) applyTotal(at time.Time, sc scope, total []balancer.Report) {
	s.mu.Lock()
	loads := s.fleet.collector.Without(total, s.Self)
	s.mu.Unlock()
	s.applyLoads(at, sc, 0, 1, loads)
}

// applyLoads replaces the loads of one part of a scope in the picker.
func (s *Service) applyLoads(at time.Time, sc scope, part, parts int, loads []balancer.Report) {
	reports, _ := s.resolveHashes(loads, nil)
	s.Picker.ApplyReport(at, loadSource(sc, part, parts), reports, nil, s.EngineMemory)
}

// loadSource returns the name under which the picker holds a part of the loads. No
// instance has it, because it begins with a blank.
func loadSource(sc scope, part, parts int) string {
	return string([]byte{' ', byte('0' + sc), byte(part), byte(parts)})
}

// checkUnknown fetches the members of an aggregator whose lists have named unknown
// instances for longer than unknownTime.
func (s *Service) checkUnknown(now time.Time, from member.Member, lists []aggregate.Zone) {
	known := map[uint32]bool{}
	for _, m := range s.Members() {
		known[aggregate.NameHash(m.Name)] = true
	}
	unknown := false
	for _, l := range lists {
		unknown = unknown || slices.ContainsFunc(l.Instances, func(i aggregate.Instance) bool { return !known[i.Hash] })
	}
	s.mu.Lock()
	fetch := false
	switch {
	case !unknown:
		s.fleet.unknownAt = time.Time{}
	case s.fleet.unknownAt.IsZero():
		s.fleet.unknownAt = now
	case now.Sub(s.fleet.unknownAt) > unknownTime:
		s.fleet.unknownAt = now
		fetch = true
	}
	s.mu.Unlock()
	if fetch {
		s.FetchMembers(from.Peer)
	}
}
