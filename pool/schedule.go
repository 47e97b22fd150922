package pool

import (
	"time"

	"knapweedwell/invariant"
	"knapweedwell/placement"
	"knapweedwell/tier"
)

// schedule grants as long as a request waits and an upstream has a free slot, then
// preempts for a request that has waited too long.
func (s *Shard) schedule(now time.Time) []Decision {
	if now.Before(s.openAt) {
		return nil
	}
	var out []Decision
	for s.queue.Len() > 0 {
		it, floor := s.queue.Next(now)
		if s.Policy != Tiered {
			floor = false
		}
		r := s.requests[it.ID]
		u := s.place(now, *r, false)
		if u == nil {
			return append(out, s.preemptWaiting(now)...)
		}
		s.checkOrder(now, it, floor)
		s.queue.Dispatch(it)
		s.checkFloors()
		delete(s.requests, it.ID)
		if floor {
			// A request dispatched for its floor is not preempted.
			r.Restartable = false
		}
		out = append(out, s.grant(now, *r, u, false))
	}
	return out
}

func (s *Shard) checkOrder(now time.Time, it *tier.Item, floor bool) {
	if floor {
		s.Check.Check(invariant.FloorSpent, s.queue.FloorDue(it.Class) && s.queue.Has(it.ID),
			"shard %s dispatched a request for the floor of class %s, which is not due", s.Name, it.Class)
		return
	}
	s.Check.Check(invariant.TierOrder, it.Rank <= s.queue.HighestRank(),
		"shard %s at %s dispatched rank %d while rank %d waits", s.Name, now, it.Rank, s.queue.HighestRank())
}

func (s *Shard) checkFloors() {
	if s.Policy != Tiered {
		return
	}
	starved := s.queue.Starved()
	s.Check.Check(invariant.FloorServed, starved == "", "shard %s passed over the waiting class %s more often than its floor allows", s.Name, starved)
}

// grant records a grant and returns the decision.
func (s *Shard) grant(now time.Time, r GrantRequest, u *upstream, floor bool) Decision {
	s.Check.Check(invariant.GrantOnce, s.grants[r.ID] == nil, "shard %s granted %s twice", s.Name, r.ID)
	s.Check.Check(invariant.LeavingNoWork, u.available(now, s.MaxReportAge), "shard %s granted upstream %s, which may not get new work", s.Name, u.Name)
	g := &Grant{
		ID:          r.ID,
		Holder:      r.Holder,
		Upstream:    u.Name,
		Class:       r.Class,
		Rank:        r.Rank,
		Restartable: r.Restartable,
		BeyondLimit: floor,
		GrantedAt:   now,
		ReportedAt:  now,
	}
	s.grants[r.ID] = g
	if floor {
		u.beyondLimit++
	} else {
		u.granted++
	}
	s.Check.Check(invariant.LimitHeld, u.granted <= u.limiter.Max && u.beyondLimit <= 1,
		"upstream %s has %d grants and %d floor grants; the limits are %d and 1", u.Name, u.granted, u.beyondLimit, u.limiter.Max)
	u.recordPrefix(now, r.Prefix)
	return Granted{Request: r, Grant: *g, Address: u.Address, Waited: now.Sub(r.Arrived)}
}

func (u *upstream) recordPrefix(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	if len(u.prefixes) >= maxPrefixes {
		u.evictOldestPrefix()
	}
	u.prefixes[prefix] = now
}

func (u *upstream) evictOldestPrefix() {
	var oldest uint64
	var at time.Time
	for p, t := range u.prefixes {
		if at.IsZero() || t.Before(at) {
			oldest, at = p, t
		}
	}
	delete(u.prefixes, oldest)
}

// place returns the upstream for the request, or nil if none has a free slot.
func (s *Shard) place(now time.Time, r GrantRequest, floor bool) *upstream {
	switch s.Policy {
	case FIFO:
		return s.placeRoundRobin(now)
	case LeastReported:
		return s.placeLeastReported(now)
	}
	us := s.candidates(now, r, floor)
	cs := make([]placement.Candidate, len(us))
	for i, u := range us {
		cs[i] = u.candidate(now, r)
	}
	if i := placement.Choose(cs, r.PromptTokens); i >= 0 {
		return us[i]
	}
	return nil
}

// candidates returns the upstreams that may run the request. The one to avoid is
// omitted if any other is available.
func (s *Shard) candidates(now time.Time, r GrantRequest, floor bool) []*upstream {
	var us []*upstream
	others := false
	for _, name := range s.names {
		u := s.upstreams[name]
		if !u.available(now, s.MaxReportAge) {
			continue
		}
		others = others || name != r.Avoid
		if u.hasFreeSlot() || (floor && u.beyondLimit == 0) {
			us = append(us, u)
		}
	}
	if !others || r.Avoid == "" {
		return us
	}
	kept := us[:0]
	for _, u := range us {
		if u.Name != r.Avoid {
			kept = append(kept, u)
		}
	}
	return kept
}

func (u *upstream) candidate(now time.Time, r GrantRequest) placement.Candidate {
	grantedAt, hit := u.prefixes[r.Prefix]
	return placement.Candidate{
		Name:      u.Name,
		Running:   u.granted + u.beyondLimit,
		Foreign:   u.foreign,
		Limit:     u.limiter.Limit(),
		TokenTime: u.tokenTime,
		PrefixHit: hit && r.Prefix != 0 && now.Sub(grantedAt) < prefixLifetime,
		Faults:    u.faults,
		SameZone:  u.Zone == r.HolderZone,
	}
}

func (s *Shard) placeRoundRobin(now time.Time) *upstream {
	for range s.names {
		u := s.upstreams[s.names[s.nextUpstream%len(s.names)]]
		s.nextUpstream++
		if u.available(now, s.MaxReportAge) && u.granted < u.limiter.Limit() {
			return u
		}
	}
	return nil
}

func (s *Shard) placeLeastReported(now time.Time) *upstream {
	var best *upstream
	for _, name := range s.names {
		u := s.upstreams[name]
		if !u.available(now, s.MaxReportAge) || u.granted >= u.limiter.Limit() {
			continue
		}
		if best == nil || u.reported < best.reported {
			best = u
		}
	}
	return best
}

// floorGrant grants a request that would not be admitted, if its class has a floor
// dispatch due. Each upstream may run one request beyond its limit for this, so
// that the request needs no place in the queue.
func (s *Shard) floorGrant(now time.Time, r GrantRequest) ([]Decision, bool) {
	if now.Before(s.openAt) || !s.queue.FloorDue(r.Class) || s.queue.Waiting(r.Class) > 0 {
		return nil, false
	}
	u := s.place(now, r, true)
	if u == nil {
		return nil, false
	}
	s.Check.Check(invariant.FloorSpent, s.queue.FloorDue(r.Class), "class %s has no floor due", r.Class)
	s.queue.RecordFloorDispatch(r.Class)
	return []Decision{s.grant(now, r, u, true)}, true
}

// preemptWaiting preempts for the first waiting request if it has waited for the
// share preemptWaitShare of its target.
func (s *Shard) preemptWaiting(now time.Time) []Decision {
	if s.Policy != Tiered {
		return nil
	}
	it := s.queue.Head(now)
	if it == nil {
		return nil
	}
	r := s.requests[it.ID]
	wait := time.Duration(preemptWaitShare * float64(s.classes[r.Class].Target))
	if now.Sub(r.Arrived) < wait {
		return nil
	}
	return s.preemptFor(now, *r)
}

// preemptFor preempts one running request of a lower tier for the given one. It
// returns nil if there is none to preempt, or if more preemptions are in progress
// than requests of the same tier and higher tiers wait.
func (s *Shard) preemptFor(now time.Time, r GrantRequest) []Decision {
	if !s.classes[r.Class].Preempts || now.Before(s.openAt) {
		return nil
	}
	inProgress, victim := s.preemptable(now, r.Rank)
	if victim == nil || inProgress > s.queue.WaitingUpTo(r.Rank) {
		return nil
	}
	s.Check.Check(invariant.PreemptLower, victim.Rank > r.Rank && victim.Restartable,
		"shard %s preempts %s of rank %d for rank %d", s.Name, victim.ID, victim.Rank, r.Rank)
	victim.Preempting = true
	return []Decision{Preempt{Grant: *victim, For: r.ID}}
}

// preemptable returns the number of preemptions in progress and the grant to be
// preempted for the rank: of the lowest tier, then with the fewest tokens, then
// the newest.
func (s *Shard) preemptable(now time.Time, rank int) (int, *Grant) {
	inProgress := 0
	var victim *Grant
	for _, g := range s.grants {
		if g.Preempting {
			inProgress++
			continue
		}
		u := s.upstreams[g.Upstream]
		if g.Rank <= rank || !g.Restartable || g.BeyondLimit || u == nil || !u.available(now, s.MaxReportAge) {
			continue
		}
		if victim == nil || preemptedBefore(g, victim) {
			victim = g
		}
	}
	return inProgress, victim
}

func preemptedBefore(g, other *Grant) bool {
	if g.Rank != other.Rank {
		return g.Rank > other.Rank
	}
	if g.Tokens != other.Tokens {
		return g.Tokens < other.Tokens
	}
	if !g.GrantedAt.Equal(other.GrantedAt) {
		return g.GrantedAt.After(other.GrantedAt)
	}
	return g.ID < other.ID
}
