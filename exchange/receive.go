package exchange

import (
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"knapweedwell/aggregate"
	"knapweedwell/balancer"
	"knapweedwell/roster"
)

func (s *Service) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.Log.WithField("Error", err.Error()).Warn("datagrams are no longer read")
			}
			return
		}
		if err := s.applyDatagram(buf[:n]); err != nil {
			s.Log.WithField("Error", err.Error()).Warn("datagram cannot be read")
			continue
		}
		s.received.Add(1)
	}
}

// applyDatagram decodes and applies a datagram.
func (s *Service) applyDatagram(data []byte) error {
	if len(data) > 0 && data[0] >= summaryFormat && data[0] <= probeFormat {
		d, err := decodeDigest(data)
		if err != nil {
			return err
		}
		s.applyDigest(d)
		return nil
	}
	if len(data) > 0 && data[0] == factsFormat {
		return s.receiveFacts(data)
	}
	if len(data) > 0 && data[0] == usageFormat {
		return s.receiveUsage(data)
	}
	m, err := decode(data)
	if err != nil {
		return err
	}
	s.apply(m)
	return nil
}

// apply applies a message of a known instance unless a later one was received
// before.
func (s *Service) apply(m message) {
	from, known := s.Member(m.Sender)
	if !known || from.Name == s.Self {
		return
	}
	now := time.Now()
	last := lastReport{identity: from.Identity(), sequence: m.Sequence, state: m.State, storeUnreachable: m.StoreUnreachable, at: now}
	if !s.recordReport(m.Sender, last) {
		return
	}
	s.mu.Lock()
	aggregated := s.fleet.plan.Aggregated()
	if aggregated && from.Zone == s.Zone {
		// The loads keep their hashes: they are only added up and passed on.
		s.fleet.collector.AddReport(now, m.Sender, aggregate.Report{State: m.State, StoreUnreachable: m.StoreUnreachable, Loads: slices.Clone(m.Reports)})
	}
	s.mu.Unlock()
	m.Reports, m.Placements = s.resolveHashes(m.Reports, m.Placements)
	if aggregated {
		s.mu.Lock()
		s.fleet.relayed.add(m.Placements)
		s.fleet.zonal.add(m.Placements)
		s.mu.Unlock()
		m.Reports = nil
	}
	s.Picker.ApplyReport(now, m.Sender, m.Reports, m.Placements, s.EngineMemory)
	s.OnReport(from.Peer, m.Version, positionIn(m.Sequence, m.RosterMark, s.Position().Era))
}

// recordReport records the state in a datagram of an instance. It reports false if a
// later datagram was received before.
func (s *Service) recordReport(sender string, r lastReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.silence.Heard(r.at, sender)
	last := s.reports[sender]
	if last.identity == r.identity && outdated(r.sequence, last.sequence) {
		return false
	}
	s.reports[sender] = r
	return true
}

// resolveHashes returns reports and placements with the IDs of upstreams in place of
// their hashes, without those of unknown upstreams. It uses the arrays of the
// arguments.
func (s *Service) resolveHashes(reports []balancer.Report, placements []balancer.Placement) ([]balancer.Report, []balancer.Placement) {
	r := s.Roster()
	if r == nil {
		return nil, nil
	}
	ids := s.idsByHash(r)
	knownReports := reports[:0]
	for _, rep := range reports {
		if id, ok := ids[rep.Upstream]; ok {
			rep.Upstream = id
			knownReports = append(knownReports, rep)
		}
	}
	knownPlacements := placements[:0]
	for _, p := range placements {
		if id, ok := ids[p.Upstream]; ok {
			p.Upstream = id
			knownPlacements = append(knownPlacements, p)
		}
	}
	return knownReports, knownPlacements
}

// idsByHash returns the IDs of a roster's upstreams by their hashes. The map is
// built once for each roster.
func (s *Service) idsByHash(r *roster.Roster) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idsRoster == r {
		return s.ids
	}
	s.idsRoster, s.ids = r, make(map[string]string, len(r.Entries))
	for id := range r.Entries {
		s.ids[upstreamHash(id)] = id
	}
	return s.ids
}

// upstreamHash returns the shortened hash of an upstream's ID that stands for
// the ID in datagrams.
func upstreamHash(id string) string {
	h := xxhash.Sum64String(id)
	var b [hashBytes]byte
	for i := range b {
		b[i] = byte(h >> (8 * i))
	}
	return string(b[:])
}
