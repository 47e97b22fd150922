package exchange

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// followTime is how long an instance must have followed the store, by its reports, before they
	// show that the store answers it: the first calls of one that has just begun may hang.
	followTime = 3 * time.Second
	// tableDelay is the time that the report of an aggregator, in a table, may have taken longer.
	tableDelay = 2 * period
	// answerLifetime is how long it is remembered when the store answered an instance.
	answerLifetime = 10 * time.Second
	// anyAggregator stands for the aggregators of which a table tells.
	anyAggregator = ""
)

// storeAnswers is what reports show of when the store answered other instances.
type storeAnswers struct {
	followers map[string]*followerAnswers // by name
}

// followerAnswers is what the reports of one instance show.
type followerAnswers struct {
	identity   string
	since      time.Time // since when it follows the store and reports that it reaches it; zero if it does not
	answeredAt time.Time // a time at which the store had answered it lately, zero if none is known
}

// follower is an instance that follows the store, by its most recent report.
type follower struct {
	name        string
	identity    string
	reportedAt  time.Time
	unreachable bool // the store does not answer it
}

// update records the most recent reports of all instances that follow the store, or have tried. An
// answer is at most usual old where the store answers, and most when an instance reports that it
// does not.
func (a *storeAnswers) update(now time.Time, followers []follower, usual, most time.Duration) {
	if a.followers == nil {
		a.followers = map[string]*followerAnswers{}
	}
	reported := map[string]bool{}
	for _, f := range followers {
		reported[f.name] = true
		known := a.followers[f.name]
		if known == nil || known.identity != f.identity {
			known = &followerAnswers{identity: f.identity}
			a.followers[f.name] = known
		}
		known.report(f, usual, most)
	}
	for name, known := range a.followers {
		if !reported[name] {
			known.since = time.Time{}
		}
		if known.since.IsZero() && now.Sub(known.answeredAt) > answerLifetime {
			delete(a.followers, name)
		}
	}
}

// report records the most recent report.
func (a *followerAnswers) report(f follower, usual, most time.Duration) {
	switch {
	case f.unreachable:
		if last := f.reportedAt.Add(-most); !a.since.IsZero() && last.Before(a.answeredAt) {
			a.answeredAt = last
		}
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = f.reportedAt
	case f.reportedAt.Sub(a.since) >= followTime:
		a.answeredAt = f.reportedAt.Add(-usual)
	}
}

// last returns the latest time at which the store is known to have answered another instance
// lately, zero if none is known.
func (a *storeAnswers) last() time.Time {
	var last time.Time
	for _, f := range a.followers {
		if f.answeredAt.After(last) {
			last = f.answeredAt
		}
	}
	return last
}

// StoreAnsweredAt returns a time at which the store had answered another instance lately, as far as
// the reports of those that follow it show; zero if they show nothing.
func (s *Service) StoreAnsweredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeAnswers.last()
}

// recordStoreAnswers records what the reports show of the store's answers to other instances.
func (s *Service) recordStoreAnswers(now time.Time) {
	if s.AnswerAges == nil {
		return
	}
	usual, most := s.AnswerAges()
	unreachable := s.StoreUnreachable()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.plan.Aggregated() && !s.fleet.acting() {
		f := follower{name: anyAggregator, reportedAt: s.fleet.tableAt, unreachable: !s.fleet.followed}
		s.storeAnswers.update(now, []follower{f}, usual+tableDelay, most+tableDelay)
		return
	}
	s.storeAnswers.update(now, s.followers(now, unreachable), usual, most)
}

// followers returns the other instances that follow the store, by the order of Role, and those that
// the store does not answer. The caller holds s.mu.
func (s *Service) followers(now time.Time, unreachable bool) []follower {
	all := []follower{{name: s.Self, unreachable: unreachable}}
	for name, last := range s.reports {
		if s.competes(now, name, last) {
			all = append(all, follower{name: name, identity: last.identity, reportedAt: last.at, unreachable: last.storeUnreachable})
		}
	}
	place := func(f follower) uint64 { return xxhash.Sum64String(f.name) }
	first := uint64(math.MaxUint64)
	for _, f := range all {
		if !f.unreachable {
			first = min(first, place(f))
		}
	}
	slices.SortFunc(all, func(a, b follower) int {
		if place(a) < place(b) {
			return -1
		}
		return 1
	})
	var before competitors
	var followers []follower
	for _, f := range all {
		if f.name != s.Self && (f.unreachable || before.all < alertInstances || before.reachable < before.needed()) {
			followers = append(followers, f)
		}
		before.add(place(f), first, f.unreachable)
	}
	return followers
}
