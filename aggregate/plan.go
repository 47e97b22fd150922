package aggregate

import (
	"cmp"
	"slices"

	"knapweedwell/member"
)

const (
	// maxDirectPeers is the number of other instances up to which each instance
	// sends its reports to all of them and nobody aggregates.
	maxDirectPeers     = 32
	aggregatorsPerZone = 2
)

// MaxDirectPeersPerRound is the number of instances that get a report in one round
// if nobody aggregates.
const MaxDirectPeersPerRound = 12

// Plan says to whom an instance sends.
type Plan struct {
	// Direct holds all other instances if the fleet is small, and is nil if the
	// reports are aggregated.
	Direct []member.Member
	// Own holds the aggregators of this instance's zone, the first one first,
	// without this instance.
	Own []member.Member
	// Others holds the aggregators of the other zones.
	Others []member.Member
	// Rank is the position of this instance among the aggregators of its zone, -1 if
	// it is none of them.
	Rank int
	// Zones is the number of availability zones with a known instance.
	Zones int
}

// NewPlan returns the plan of an instance that knows the members, itself included.
// The function silent reports whether nothing is heard from an instance that should
// have answered.
func NewPlan(self string, members []member.Member, silent func(name string) bool) Plan {
	p := Plan{Rank: -1}
	byZone := map[string][]member.Member{}
	ownZone := ""
	peers := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.Name == self {
			ownZone = m.Zone
		} else if m.Exchange == "" || m.State == member.Gone {
			continue
		} else {
			peers = append(peers, m)
		}
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	if len(peers) <= maxDirectPeers {
		p.Direct = peers
		return p
	}
	p.Zones = len(byZone)
	for zone, instances := range byZone {
		chosen := aggregators(self, instances, silent)
		if zone != ownZone {
			p.Others = append(p.Others, chosen...)
			continue
		}
		for i, m := range chosen {
			if m.Name == self {
				p.Rank = i
			} else {
				p.Own = append(p.Own, m)
			}
		}
	}
	return p
}

// DirectRound returns those of p.Direct that get a report in a round: all, or some of
// them in turn.
func (p *Plan) DirectRound(round int) []member.Member {
	if len(p.Direct) <= MaxDirectPeersPerRound {
		return p.Direct
	}
	first := round * MaxDirectPeersPerRound % len(p.Direct)
	return append(slices.Clone(p.Direct), p.Direct...)[first : first+MaxDirectPeersPerRound]
}

// DirectRounds returns the number of rounds in which all of p.Direct get a report.
func (p *Plan) DirectRounds() int {
	return max((len(p.Direct)+MaxDirectPeersPerRound-1)/MaxDirectPeersPerRound, 1)
}

// Aggregated reports whether the reports are aggregated.
func (p *Plan) Aggregated() bool {
	return p.Zones > 0
}

// aggregators returns the aggregators of a zone: of the instances that are live and
// not silent the first by the hash of their names. Instances that have not reported
// that they are live come after these. A silent or leaving one is chosen only if
// there is no other, so that it is found again.
func aggregators(self string, instances []member.Member, silent func(name string) bool) []member.Member {
	type candidate struct {
		member.Member
		class int
		hash  uint32
	}
	candidates := make([]candidate, len(instances))
	for i, m := range instances {
		c := candidate{Member: m, hash: NameHash(m.Name)}
		switch {
		case m.State == member.Leaving, m.Name != self && silent(m.Name):
			c.class = 2
		case m.State != member.Live:
			c.class = 1
		}
		candidates[i] = c
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash))
	})
	var chosen []member.Member
	for _, c := range candidates[:min(len(candidates), aggregatorsPerZone)] {
		if c.class == 2 && len(chosen) > 0 {
			break
		}
		chosen = append(chosen, c.Member)
	}
	return chosen
}
