package exchange

import (
	"slices"
	"time"

	"knapweedwell/aggregate"
	"knapweedwell/balancer"
	"knapweedwell/member"
)

// summarySenderLifetime is how long an aggregator of another zone gets summaries after
// one of its own was received.
const summarySenderLifetime = 2 * time.Second

// head returns a digest with the values that all digests have.
func (s *Service) head(format byte) digest {
	position := s.Position()
	d := digest{
		Format: format, Sender: s.Self, State: s.state(), StoreUnreachable: s.StoreUnreachable(), Version: s.Version(), RosterMark: position.Mark, Parts: 1,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	d.Sequence = sequenceIn(position.Era, s.sequence)
	return d
}

// sendNotice sends the head of a digest to a peer, with the member of this instance if
// introduce is set.
func (s *Service) sendNotice(to member.Member, introduce bool) {
	d := s.head(noticeFormat)
	if introduce {
		self, _ := s.Member(s.Self)
		d.News = []member.Member{self}
	}
	s.send(to, encodeDigest(d))
}

// notify sends the state and the versions of this instance at once: an aggregator to
// all that it serves, another instance to its aggregators.
func (s *Service) notify(plan aggregate.Plan) {
	s.mu.Lock()
	names := s.fleet.collector.Reporters()
	acting := s.fleet.acting()
	s.mu.Unlock()
	targets := slices.Clone(plan.Own)
	if acting {
		targets = append(targets, plan.Others...)
		for _, name := range names {
			m, ok := s.Member(name)
			if ok && name != s.Self && !isOwnAggregator(plan, name) {
				targets = append(targets, m)
			}
		}
	}
	for _, m := range targets {
		s.sendNotice(m, s.state() != member.Live)
	}
}

// sendPlacements sends the placements in a log that a peer was not sent yet, if there
// are any.
func (s *Service) sendPlacements(to member.Member, log *placementLog) {
	s.mu.Lock()
	placements := log.unsent(to.Name, maxDigestPlacements)
	s.mu.Unlock()
	if len(placements) == 0 {
		return
	}
	d := s.head(noticeFormat)
	d.Placements = placements
	s.send(to, encodeDigest(d))
}

// otherAggregators returns the aggregators of the other zones: those of the plan and
// those that send summaries.
func (s *Service) otherAggregators(now time.Time, plan aggregate.Plan) []member.Member {
	targets := slices.Clone(plan.Others)
	for _, name := range s.recentSenders(now) {
		if slices.ContainsFunc(targets, func(m member.Member) bool { return m.Name == name }) {
			continue
		}
		if m, ok := s.Member(name); ok {
			targets = append(targets, m)
		}
	}
	return targets
}

// summaryTargets returns those of the aggregators of other zones that get a summary in
// a round.
func (s *Service) summaryTargets(others []member.Member, round int) []member.Member {
	return slices.DeleteFunc(slices.Clone(others), func(m member.Member) bool {
		if s.Regions[m.Zone] == s.Regions[s.Zone] {
			return round%summaryRounds != 0
		}
		return round%farSummaryRounds != 0
	})
}

// sendSummary sends the summary of this zone to aggregators of other zones.
func (s *Service) sendSummary(targets []member.Member, summary aggregate.Zone, news []member.Member) {
	parts := aggregate.Split(summary.Loads, loadsPerPart)
	for _, to := range targets {
		for i, loads := range parts {
			d := s.head(summaryFormat)
			d.Part, d.Parts, d.Loads = i, len(parts), loads
			d.Lists = []aggregate.Zone{{Name: summary.Name}}
			if i == 0 {
				d.Lists, d.News = []aggregate.Zone{summary}, news
			}
			s.send(to, encodeDigest(d))
		}
	}
}

// recentSenders returns the names of the aggregators of which a summary was received
// recently.
func (s *Service) recentSenders(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, at := range s.fleet.senders {
		if now.Sub(at) > summarySenderLifetime {
			delete(s.fleet.senders, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// sendTable sends the loads of all instances but one to that one, and lists of running
// instances.
func (s *Service) sendTable(name string, sc scope, total []balancer.Report, t table) {
	s.mu.Lock()
	loads := s.fleet.collector.Without(total, name)
	s.mu.Unlock()
	to, ok := s.Member(name)
	if !ok {
		return
	}
	parts := aggregate.Split(loads, loadsPerPart)
	for i, part := range parts {
		d := s.head(tableFormat)
		d.Scope, d.Part, d.Parts, d.Loads, d.Age, d.Followed = sc, i, len(parts), part, t.age, t.followed
		if sc == regionScope && i == 0 {
			d.Lists, d.News = t.turnList(), t.news
		}
		s.send(to, encodeDigest(d))
	}
}

// followed reports whether the store answers this instance or an aggregator that was
// heard recently. The caller holds s.mu.
func (s *Service) followed(now time.Time) bool {
	if !s.StoreUnreachable() {
		return true
	}
	for name, last := range s.reports {
		if s.competes(now, name, last) && !last.storeUnreachable {
			return true
		}
	}
	return false
}
