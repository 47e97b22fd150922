package exchange

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/aggregate"
	"knapweedwell/follow"
	"knapweedwell/member"
)

const (
	// startTime is the time after the start in which an instance makes no calls beyond
	// its first lists, because it has not heard yet who follows the store.
	startTime = time.Second
	// tableTimeout is the time without a table after which an instance does not rely
	// on the aggregators any more.
	tableTimeout = 2 * time.Second
	// digestTimeout is how long nothing may be received from an aggregator before it
	// counts as not running.
	digestTimeout = 1300 * time.Millisecond
	// ownListLifetime and listLifetime are the ages up to which the list of the running
	// instances of this zone and of another one are used.
	ownListLifetime = 2 * time.Second
	listLifetime    = 6 * time.Second
	// retryTime is how long an instance that the store did not answer makes no call while
	// too few others reach the store. It grows with the number of instances before it,
	// from maxTriedInstances on.
	retryTime = 1500 * time.Millisecond
)

// Role returns how closely this instance follows the store. The instances that
// the store answers are ordered by the hash of their names: the first few
// follow the store and the others are updated by them. More of them step in at once
// where the store does not answer the first of all. An instance that the
// store does not answer is ordered among all instances, and keeps trying only
// if it is among the first. The others try again from time to time while too few
// reach the store, those late in the order less often.
//
// Where reports are aggregated, only aggregators are ordered. An instance that gets no
// table relies on nobody.
func (s *Service) Role() follow.Role {
	now, unreachable := time.Now(), s.StoreUnreachable()
	if now.Sub(s.started) < startTime {
		return follow.Idle
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.plan.Aggregated() && !s.fleet.acting() {
		return s.roleWithTables(now, unreachable)
	}
	return s.roleAfter(now, s.competitorsBefore(now), unreachable)
}

// competitors counts the instances before this one in the order of those that may follow
// the store.
type competitors struct {
	all       int
	reachable int // those that do not report that the store does not answer them
	leading   int // those that do, before the first that does not
}

// needed returns how many instances are to reach the store. Where those that come first do not, twice
// as many of the next ones step in at once: these have made no calls, so that the store may not
// answer them either, which takes them long to notice.
func (c competitors) needed() int {
	if c.leading < alertInstances {
		return alertInstances
	}
	return min(2*c.leading, maxTriedInstances)
}

// add counts an instance at a place in the order. The first one that does not report that the store
// does not answer it is at the place first.
func (c *competitors) add(place, first uint64, unreachable bool) {
	c.all++
	switch {
	case !unreachable:
		c.reachable++
	case place < first:
		c.leading++
	}
}

// competitorsBefore counts the instances before this one, by their reports. The caller holds s.mu.
func (s *Service) competitorsBefore(now time.Time) competitors {
	var before competitors
	self, first := xxhash.Sum64String(s.Self), uint64(math.MaxUint64)
	for name, last := range s.reports {
		if place := xxhash.Sum64String(name); place <= self && !last.storeUnreachable && s.competes(now, name, last) {
			first = min(first, place)
		}
	}
	for name, last := range s.reports {
		if place := xxhash.Sum64String(name); place <= self && s.competes(now, name, last) {
			before.add(place, first, last.storeUnreachable)
		}
	}
	return before
}

// roleAfter returns the role of an instance after the given competitors. The caller holds
// s.mu.
func (s *Service) roleAfter(now time.Time, before competitors, unreachable bool) follow.Role {
	if before.all < alertInstances {
		s.unfollowedAt = time.Time{}
		return follow.Alert
	}
	if before.reachable >= before.needed() {
		s.unfollowedAt = time.Time{}
		return follow.Idle
	}
	if s.unfollowedAt.IsZero() {
		s.unfollowedAt = now
	}
	rounds := before.all / maxTriedInstances
	switch {
	case !unreachable && now.Sub(s.unfollowedAt) >= time.Duration(rounds)*retryTime:
		return follow.Alert
	case unreachable && now.Sub(s.LastFailure()) >= time.Duration(max(rounds, 1))*retryTime:
		return follow.Alert
	}
	return follow.Paused
}

// competes reports whether an instance is one of those that may follow the store.
// The caller holds s.mu.
func (s *Service) competes(now time.Time, name string, last lastReport) bool {
	if last.state != member.Starting && last.state != member.Live {
		return false
	}
	if !s.fleet.plan.Aggregated() {
		return now.Sub(last.at) < s.fleet.directTimeout()
	}
	if isOwnAggregator(s.fleet.plan, name) {
		return now.Sub(last.at) < digestTimeout
	}
	return now.Sub(s.fleet.senders[name]) < digestTimeout
}

// roleWithTables returns the role of an instance that is no aggregator. It follows the
// store itself if it gets no table, or if the store answers no aggregator and it is
// among the first of its zone. The caller holds s.mu.
func (s *Service) roleWithTables(now time.Time, unreachable bool) follow.Role {
	switch {
	case now.Sub(s.fleet.tableAt) > tableTimeout && now.Sub(s.started) > tableTimeout:
		s.unfollowedAt = time.Time{}
		return follow.Alert
	case s.fleet.followed || s.fleet.tableAt.IsZero():
		s.unfollowedAt = time.Time{}
		return follow.Idle
	}
	return s.roleAfter(now, s.listedBefore(), unreachable)
}

// listedBefore counts the instances before this one, by the list of its zone. The caller holds s.mu.
func (s *Service) listedBefore() competitors {
	var before competitors
	self, first := aggregate.NameHash(s.Self), uint32(math.MaxUint32)
	instances := s.fleet.lists[s.Zone].instances
	for place, i := range instances {
		if place < self && !i.StoreUnreachable {
			first = min(first, place)
		}
	}
	for place, i := range instances {
		if place < self {
			before.add(uint64(place), uint64(first), i.StoreUnreachable)
		}
	}
	return before
}

// directTimeout returns how long nothing may be received from an instance that sends
// its reports to this one before it counts as not running.
func (a *aggregation) directTimeout() time.Duration {
	return silenceTimeout + time.Duration(a.plan.DirectRounds()-1)*extraRoundTimeout
}

// Running reports whether an instance has recently reported that it is live, to this
// instance or to an aggregator. It reports no knowledge if nothing is known of the
// instances of its zone.
func (s *Service) Running(m member.Member) (running, known bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.reports[m.Name]; ok && now.Sub(last.at) < s.fleet.directTimeout() {
		return last.state == member.Live, true
	}
	if !s.fleet.plan.Aggregated() {
		return false, true
	}
	lifetime := listLifetime
	if m.Zone == s.Zone {
		lifetime = ownListLifetime
	}
	list, ok := s.fleet.lists[m.Zone]
	if !ok || now.Sub(list.at) > lifetime {
		return false, false
	}
	i, listed := list.instances[aggregate.NameHash(m.Name)]
	return listed && i.State == member.Live, true
}
