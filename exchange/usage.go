package exchange

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"knapweedwell/aggregate"
	"knapweedwell/member"
	"knapweedwell/usage"
)

const (
	// usageFormat is the format of the datagrams with counts. Earlier builds log it as a
	// datagram that cannot be read and use nothing of it.
	usageFormat     = 8
	usageTargets    = 4 // instances that get counts in a small fleet: those that are or may become Alert
	timeRounds      = 8 // rounds between two statements of the time to those that send counts
	maxUsageName    = 300
	maxUsageEntries = 2000
)

// Usage merges the counts of other instances.
type Usage interface {
	Apply(m usage.Message)
	// Resend sends all recent counts in the next round.
	Resend()
	// TimeMessage states the time of this instance.
	TimeMessage() usage.Message
}

// usageSharing is the state of the exchange of counts. Service.mu guards it.
type usageSharing struct {
	round   int
	targets map[string]bool // identities of those that got counts in the last round
	sources map[string]bool // names of those that sent counts since the time was last stated
}

// updateUsage records the targets of a round. It reports whether there is a new one, and
// returns the sources that are to be told the time of this instance.
func (s *Service) updateUsage(targets []member.Member) (fresh bool, sources []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := &s.counts
	now := map[string]bool{}
	for _, to := range targets {
		now[to.Identity()] = true
		fresh = fresh || !sh.targets[to.Identity()]
	}
	sh.targets = now
	if sh.round++; sh.round%timeRounds == 0 {
		sources = slices.Collect(maps.Keys(sh.sources))
		sh.sources = nil
	}
	return fresh, sources
}

// Collects reports whether this instance gets the counts of the fleet.
func (s *Service) Collects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.fleet.plan.Aggregated() || s.fleet.acting()
}

// SendUsage sends the counts of this instance to those that may report them, and as an
// aggregator the sums of its zone to the aggregators of the others.
func (s *Service) SendUsage(own, sums []usage.Message) {
	s.mu.Lock()
	plan, acting := s.fleet.plan, s.fleet.acting()
	s.mu.Unlock()
	targets := s.usageTargets(plan)
	var others []member.Member
	if plan.Aggregated() && acting {
		others = plan.Others
	}
	fresh, sources := s.updateUsage(slices.Concat(targets, others))
	if fresh {
		s.Usage.Resend()
	}
	for _, to := range targets {
		s.sendMessages(to, own)
	}
	for _, to := range others {
		s.sendMessages(to, sums)
	}
	for _, name := range sources {
		if to, ok := s.Member(name); ok {
			s.sendMessages(to, []usage.Message{s.Usage.TimeMessage()})
		}
	}
}

func (s *Service) sendMessages(to member.Member, messages []usage.Message) {
	for _, m := range messages {
		s.send(to, encodeUsage(m))
	}
}

// usageTargets returns the instances that get the counts of this one.
func (s *Service) usageTargets(plan aggregate.Plan) []member.Member {
	if plan.Aggregated() {
		return plan.Own
	}
	targets := slices.Clone(plan.Direct)
	slices.SortFunc(targets, func(a, b member.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []member.Member
	reachable := 0
	for _, m := range targets {
		last, heard := s.reports[m.Name]
		usable := heard && !last.storeUnreachable && (last.state == member.Live || last.state == member.Starting)
		if len(chosen) < usageTargets || (usable && reachable < alertInstances) {
			chosen = append(chosen, m)
		}
		if usable {
			reachable++
		}
	}
	return chosen
}

// encodeUsage encodes a message.
func encodeUsage(m usage.Message) []byte {
	b := []byte{usageFormat}
	b = appendText(b, m.Source)
	b = appendText(b, m.Zone)
	b = binary.AppendUvarint(b, uint64(max(m.Covers, 0)))
	b = binary.AppendUvarint(b, uint64(max(m.Time, 0)))
	b = append(b, byte(m.Slot.Kind))
	b = binary.AppendUvarint(b, uint64(max(m.Slot.Number, 0)))
	entries := m.Entries[:min(len(m.Entries), maxUsageEntries)]
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for _, e := range entries {
		b = appendText(b, e.Name)
		b = binary.AppendUvarint(b, uint64(max(e.Count, 0)))
	}
	return b
}

// decodeUsage decodes a datagram with counts.
func decodeUsage(data []byte) (usage.Message, error) {
	r := &reader{data: data}
	if v := r.bytes(1); v[0] != usageFormat {
		return usage.Message{}, errors.Errorf("counts have format %d, expected %d", v[0], usageFormat)
	}
	m := usage.Message{Source: string(r.bytes(r.count(maxUsageName))), Zone: string(r.bytes(r.count(maxUsageName)))}
	m.Covers = r.count(maxCount)
	m.Time = int64(r.count(1 << 50))
	m.Slot.Kind = usage.Kind(r.bytes(1)[0])
	m.Slot.Number = int64(r.count(maxCount))
	for range r.count(maxUsageEntries) {
		m.Entries = append(m.Entries, usage.Entry{Name: string(r.bytes(r.count(maxUsageName))), Count: int64(r.count(maxCount))})
		if r.malformed {
			break
		}
	}
	if r.malformed || len(r.data) > 0 {
		return usage.Message{}, errMalformed
	}
	return m, nil
}

// receiveUsage applies the counts of a known instance. Kinds of slots of later builds are
// ignored.
func (s *Service) receiveUsage(data []byte) error {
	m, err := decodeUsage(data)
	if err != nil {
		return err
	}
	name, _, ok := member.ParseIdentity(m.Source)
	if _, known := s.Member(name); !ok || !known || s.Usage == nil {
		return nil
	}
	if len(m.Entries) > 0 {
		s.mu.Lock()
		if s.counts.sources == nil {
			s.counts.sources = map[string]bool{}
		}
		s.counts.sources[name] = true
		s.mu.Unlock()
	}
	if m.Slot.Kind == usage.WindowKind || m.Slot.Kind == usage.DemandKind {
		s.Usage.Apply(m)
	}
	return nil
}
