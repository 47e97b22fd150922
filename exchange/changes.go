package exchange

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/aggregate"
	"knapweedwell/follow"
	"knapweedwell/member"
)

// beliefs is what an instance logs when it changes: whom it relies on for the reports of
// the others, and how closely it follows the store.
type beliefs struct {
	aggregated  bool
	rank        int
	aggregators []string // of the own zone, without this instance
	role        follow.Role
	unfollowed  bool // too few of the instances before this one reach the store
}

// logChanges logs what has changed since the last round.
func (s *Service) logChanges(plan aggregate.Plan) {
	now := beliefs{aggregated: plan.Aggregated(), rank: plan.Rank, role: s.Role()}
	for _, m := range plan.Own {
		now.aggregators = append(now.aggregators, m.Name)
	}
	s.mu.Lock()
	now.unfollowed = !s.unfollowedAt.IsZero()
	before := s.logged
	s.logged = now
	silent := s.fleet.silence.Names(s.lastRound)
	s.mu.Unlock()
	if now.aggregated != before.aggregated || now.rank != before.rank || !slices.Equal(now.aggregators, before.aggregators) {
		s.Log.WithFields(logrus.Fields{
			"Aggregated": now.aggregated, "Rank": now.rank, "Aggregators": now.aggregators, "Silent": silent, "State": s.state().String(),
		}).Info("aggregators of this zone changed")
	}
	if now.role != before.role {
		s.Log.WithFields(logrus.Fields{"Role": now.role.String(), "Before": before.role.String(), "StoreUnreachable": s.StoreUnreachable()}).Info("role towards the store changed")
	}
	if now.unfollowed != before.unfollowed {
		s.logUnfollowed(now)
	}
}

// logUnfollowed logs whether enough of the instances before this one reach the store, and
// when this one last failed to.
func (s *Service) logUnfollowed(now beliefs) {
	entry := s.Log.WithFields(logrus.Fields{"Role": now.role.String(), "StoreUnreachable": s.StoreUnreachable()})
	if at := s.LastFailure(); !at.IsZero() {
		entry = entry.WithField("FailureAgeMillis", time.Since(at).Milliseconds())
	}
	if now.unfollowed {
		entry.Warn("too few instances before this one reach the store")
		return
	}
	entry.Info("enough instances reach the store again")
}

// isOwnAggregator reports whether an instance is an aggregator of this zone, this one
// excepted.
func isOwnAggregator(plan aggregate.Plan, name string) bool {
	return slices.ContainsFunc(plan.Own, func(m member.Member) bool { return m.Name == name })
}
