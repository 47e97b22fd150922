package exchange

import (
	"slices"
	"time"

	"knapweedwell/aggregate"
	"knapweedwell/balancer"
	"knapweedwell/member"
)

const (
	// tableRounds is the number of rounds between two tables that an aggregator sends
	// to one of its share of the instances. It grows with the size of the table so that
	// an instance receives about maxTableBytes a second, up to maxTableRounds. The
	// instances of another aggregator's share get one in secondaryTables of them, so
	// that they notice if this one ends.
	tableRounds     = 3
	maxTableRounds  = 8
	secondaryTables = 2
	// otherReportRounds is the number of rounds between two reports to an aggregator
	// that does not have this instance in its share.
	otherReportRounds = 2
	maxTableBytes     = 3000 // bytes a second
	loadBytes         = 9    // bytes of one load in a digest
	probeRounds       = 10   // rounds between two probes of a silent instance
	summaryRounds     = 2    // rounds between two summaries to an aggregator in the same region
	farSummaryRounds  = 4    // rounds between two summaries to one in another region
	restTables        = 3    // one in so many tables is followed by the loads of the other regions
)

// roundAggregated sends this instance's report to the aggregators of its zone and, if
// it is one of them, the summaries and tables that are due.
func (s *Service) roundAggregated(now time.Time, plan aggregate.Plan, round int, reports []balancer.Report) {
	state := s.state()
	s.mu.Lock()
	introduce := !s.fleet.listed(s.Zone, s.Self, state)
	s.mu.Unlock()
	primary := primaryAggregator(s.Self, len(plan.Own))
	for i, p := range plan.Own {
		if introduce {
			s.sendNotice(p, true)
		}
		if i == primary || introduce || round%otherReportRounds == 0 {
			s.sendReport(p, reports, i == 0 && plan.Rank != 0)
		}
	}
	hashed := make([]balancer.Report, len(reports))
	for i, r := range reports {
		r.Upstream = upstreamHash(r.Upstream)
		hashed[i] = r
	}
	own := aggregate.Report{State: state, StoreUnreachable: s.StoreUnreachable(), Loads: hashed}
	s.mu.Lock()
	s.fleet.collector.Expire(now)
	acting := s.fleet.acting()
	if acting {
		s.fleet.collector.AddReport(now, s.Self, own)
		s.relayOwnPlacements(plan)
	}
	s.mu.Unlock()
	if acting {
		s.aggregate(now, plan)
	}
	s.probe(now, acting)
}

// probe asks the silent aggregators for a datagram from time to time, if this
// instance aggregates, and reports to the aggregators that have asked for it. So instances
// that were cut off together find the others again.
func (s *Service) probe(now time.Time, acting bool) {
	s.mu.Lock()
	var names []string
	if acting && s.fleet.round%probeRounds == 0 {
		names = s.fleet.silence.Names(now)
	}
	var askers []string
	for name, at := range s.fleet.askedAt {
		if now.Sub(at) > probeRounds*period {
			delete(s.fleet.askedAt, name)
		} else if !isOwnAggregator(s.fleet.plan, name) {
			askers = append(askers, name)
		}
	}
	s.mu.Unlock()
	for _, name := range names {
		if m, ok := s.Member(name); ok {
			s.send(m, encodeDigest(s.head(probeFormat)))
		}
	}
	for _, name := range askers {
		if m, ok := s.Member(name); ok {
			s.sendNotice(m, true)
			s.sendReport(m, nil, false)
		}
	}
}

// relayOwnPlacements adds the placements of this aggregator to those that it passes on.
// The caller holds s.mu.
func (s *Service) relayOwnPlacements(plan aggregate.Plan) {
	if plan.Rank > 0 {
		return // the first aggregator got them in a report
	}
	placements := s.own.unsent(s.Self, maxHeldPlacements)
	s.fleet.relayed.add(placements)
	s.fleet.zonal.add(placements)
}

// aggregate sends the summaries and tables that are due in this round.
func (s *Service) aggregate(now time.Time, plan aggregate.Plan) {
	s.mu.Lock()
	f := &s.fleet
	summary := f.collector.Summary()
	total := f.collector.Total(summary)
	s.addAggregators(now, &summary)
	f.setList(now, summary)
	for _, z := range f.otherLists() {
		f.setList(now, z)
	}
	reporters := f.collector.Reporters()
	age := f.collector.Age(now)
	round := f.round
	t := table{age: age, news: s.News(), lists: f.otherLists()}
	t.own, t.followed = summary, s.followed(now)
	s.mu.Unlock()
	rank := max(plan.Rank, 0)
	others := s.otherAggregators(now, plan)
	s.sendSummary(s.summaryTargets(others, round+rank), summary, t.news)
	for _, m := range others {
		s.sendPlacements(m, &s.fleet.zonal)
	}
	region, rest := s.splitByRegion(total)
	position, count := s.position(plan)
	for i, name := range reporters {
		if name == s.Self {
			s.applyTotal(now.Add(-age), regionScope, region)
			s.applyTotal(now.Add(-age), restScope, rest)
			continue
		}
		interval := tableInterval(len(region))
		if primaryAggregator(name, count) != position {
			if (round+i)%(interval*secondaryTables) == 0 {
				s.sendTable(name, noScope, nil, t)
			}
		} else if m, ok := s.Member(name); ok {
			s.sendPlacements(m, &s.fleet.relayed)
		}
		if primaryAggregator(name, count) != position {
			continue
		}
		if (round+i)%interval != 0 {
			continue
		}
		t.turn = round/interval + i
		s.sendTable(name, regionScope, region, t)
		if t.turn%restTables == 0 {
			s.sendTable(name, restScope, rest, t)
		}
	}
}

// addAggregators adds to the list of this zone the aggregators that this instance hears
// but that do not report to it, so that those that report to it find them. The caller
// holds s.mu.
func (s *Service) addAggregators(now time.Time, summary *aggregate.Zone) {
	for _, m := range s.fleet.plan.Own {
		last, ok := s.reports[m.Name]
		if ok && now.Sub(last.at) < tableTimeout && !s.fleet.collector.Has(m.Name) {
			summary.Instances = append(summary.Instances, aggregate.Instance{Hash: aggregate.NameHash(m.Name), State: last.state, StoreUnreachable: last.storeUnreachable})
		}
	}
}

// position returns the number of aggregators of this zone that report to this one,
// itself included, and the position of this one among them in the order of the hashes.
// The aggregators share the instances of the zone by it.
func (s *Service) position(plan aggregate.Plan) (position, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count = 1
	for _, m := range plan.Own {
		if !s.fleet.collector.Has(m.Name) {
			continue
		}
		count++
		if aggregate.NameHash(m.Name) < aggregate.NameHash(s.Self) {
			position++
		}
	}
	return position, count
}

// primaryAggregator returns the position of the aggregator that has an instance in its
// share, among count.
func primaryAggregator(name string, count int) int {
	return int(aggregate.NameHash(name)>>16) % max(count, 1)
}

// table holds what the tables of one round have in common.
type table struct {
	age      time.Duration // mean age of the reports
	own      aggregate.Zone
	lists    []aggregate.Zone // lists of the other zones
	news     []member.Member
	followed bool
	turn     int // number of tables sent to the recipient before
}

// turnList returns the list of this zone and those of the others by turns, this one
// every second time.
func (t *table) turnList() []aggregate.Zone {
	if len(t.lists) == 0 || t.turn%2 == 0 {
		return []aggregate.Zone{t.own}
	}
	return t.lists[t.turn/2%len(t.lists):][:1]
}

// otherLists returns the lists of the other zones.
func (a *aggregation) otherLists() []aggregate.Zone {
	return slices.DeleteFunc(a.collector.Zones(), func(z aggregate.Zone) bool { return z.Part > 0 })
}

// tableInterval returns the number of rounds between two tables to an instance.
func tableInterval(loads int) int {
	rounds := int(float64(loads*loadBytes) / maxTableBytes / period.Seconds())
	return min(max(rounds, tableRounds), maxTableRounds)
}

// splitByRegion divides loads into those of upstreams in this instance's region and
// the others.
func (s *Service) splitByRegion(loads []balancer.Report) (region, rest []balancer.Report) {
	r := s.Roster()
	if r == nil {
		return nil, loads
	}
	ids := s.idsByHash(r)
	for _, l := range loads {
		if e := r.Entries[ids[l.Upstream]]; e != nil && s.Regions[e.Zone] == s.Regions[s.Zone] {
			region = append(region, l)
		} else {
			rest = append(rest, l)
		}
	}
	return region, rest
}
