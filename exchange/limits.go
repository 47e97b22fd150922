package exchange

import (
	"time"

	"knapweedwell/aggregate"
	"knapweedwell/member"
	"knapweedwell/ratelimit"
)

const (
	// limitTargets is the number of others that get limits each time in a small fleet.
	// In a large one they are relayTargets.
	limitTargets = 4
	// limitRounds is the number of rounds in which changed limits are sent, and
	// limitPeriod that between two sends of unchanged ones, some each time.
	limitRounds   = 4
	limitPeriod   = 5
	maxSentLimits = 40
)

// Limits holds the limits that upstreams have named, which instances share.
type Limits interface {
	// Apply applies the evidence of peers and returns that which has changed a limit.
	Apply(now time.Time, evidence []ratelimit.Evidence) []ratelimit.Evidence
	// Evidence returns all evidence, that which has changed last first.
	Evidence(now time.Time) []ratelimit.Evidence
	// Generation rises with each change of a limit.
	Generation() uint64
}

// limitSharing is the state of the exchange of limits. Only round uses it.
type limitSharing struct {
	generation uint64
	changedIn  int // round in which a limit last changed
	next       int // position of the unchanged limits that are sent next
}

// roundLimits sends the limits that have changed, and from time to time some of the others,
// so that lost datagrams are made up for.
func (s *Service) roundLimits(now time.Time, plan aggregate.Plan, round int) {
	if s.Limits == nil {
		return
	}
	sh := &s.limits
	if g := s.Limits.Generation(); g != sh.generation {
		sh.generation, sh.changedIn = g, round
	}
	changed := sh.generation > 0 && round-sh.changedIn < limitRounds
	if !changed && round%limitPeriod != 0 {
		return
	}
	evidence := s.Limits.Evidence(now)
	if len(evidence) == 0 {
		return
	}
	if !changed {
		sh.next %= len(evidence)
		evidence = append(evidence[sh.next:], evidence[:sh.next]...)
		sh.next += maxSentLimits
	}
	evidence = evidence[:min(len(evidence), maxSentLimits)]
	data := encodeFacts(now, factsMessage{Sender: s.Self, Limits: evidence})
	for _, to := range s.limitTargets(plan) {
		s.send(to, data)
	}
}

// limitTargets returns the instances to which limits are sent, in random order.
func (s *Service) limitTargets(plan aggregate.Plan) []member.Member {
	targets := s.factTargets(plan)
	return targets[:min(len(targets), limitTargets)]
}

// applyLimits applies the evidence of a peer, in which hashes stand for the upstreams.
func (s *Service) applyLimits(now time.Time, evidence []ratelimit.Evidence) {
	r := s.Roster()
	if len(evidence) == 0 || s.Limits == nil || r == nil {
		return
	}
	ids := s.idsByHash(r)
	known := evidence[:0]
	for _, e := range evidence {
		if id, ok := ids[e.Upstream]; ok {
			e.Upstream = id
			known = append(known, e)
		}
	}
	s.Limits.Apply(now, known)
}
