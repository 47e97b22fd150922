package exchange

import (
	"time"

	"knapweedwell/aggregate"
	"knapweedwell/member"
)

// aggregation is the state of the exchange in a large fleet. Service.mu guards it.
type aggregation struct {
	plan      aggregate.Plan
	silence   aggregate.Silence
	collector aggregate.Collector
	lists     map[string]instanceList // running instances by zone
	relayed   placementLog            // placements from all zones, for tables
	zonal     placementLog            // placements from this zone, for summaries
	senders   map[string]time.Time    // when a summary of an aggregator was received, by its name
	tableAt   time.Time               // when a table was last received
	followed  bool                    // the last table said that an aggregator follows the store
	unknownAt time.Time               // since when a list names unknown instances, zero if none does
	askedAt   map[string]time.Time    // when an aggregator of this zone sent a probe, by its name
	positions map[digestKey]digestPosition
	round     int
}

// digestKey identifies the digests that replace one another.
type digestKey struct {
	sender string
	format byte
	scope  scope
	part   int
}

// digestPosition is the incarnation of a sender and the sequence number of its most
// recent digest.
type digestPosition struct {
	incarnation int64
	sequence    uint64
}

// instanceList is the list of the running instances of a zone.
type instanceList struct {
	at        time.Time
	instances map[uint32]aggregate.Instance // by the hashes of their names
}

// newAggregation returns the state of an instance of a zone that has heard nothing.
func newAggregation(zone string) aggregation {
	return aggregation{
		collector: aggregate.Collector{Zone: zone}, lists: map[string]instanceList{}, senders: map[string]time.Time{},
		askedAt: map[string]time.Time{}, positions: map[digestKey]digestPosition{},
	}
}

// acting reports whether this instance aggregates: by its own plan or because others
// report to it.
func (a *aggregation) acting() bool {
	return a.plan.Rank >= 0 || a.collector.Len() > 1
}

// expect records the aggregators that this instance sends to now.
func (a *aggregation) expect(now time.Time) {
	var names []string
	for _, m := range a.plan.Own {
		names = append(names, m.Name)
	}
	if a.acting() {
		for _, m := range a.plan.Others {
			names = append(names, m.Name)
		}
	}
	a.silence.Expect(now, names)
}

// isNewer reports whether no later digest of the key was received, and records it.
// Digests of different keys may overtake each other.
func (a *aggregation) isNewer(key digestKey, incarnation int64, sequence uint64) bool {
	last := a.positions[key]
	if last.incarnation == incarnation && outdated(sequence, last.sequence) {
		return false
	}
	a.positions[key] = digestPosition{incarnation: incarnation, sequence: sequence}
	return true
}

// setList replaces the list of a zone.
func (a *aggregation) setList(now time.Time, z aggregate.Zone) {
	l := instanceList{at: now, instances: make(map[uint32]aggregate.Instance, len(z.Instances))}
	for _, i := range z.Instances {
		l.instances[i.Hash] = i
	}
	a.lists[z.Name] = l
	a.silence.Listed(func(hash uint32) bool {
		_, ok := l.instances[hash]
		return ok
	})
}

// listed reports whether the list of a zone has an instance in a state.
func (a *aggregation) listed(zone, name string, state member.State) bool {
	i, ok := a.lists[zone].instances[aggregate.NameHash(name)]
	return ok && i.State == state
}
