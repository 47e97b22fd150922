// Package invariant evaluates, counts and reports the properties that must
// always hold. A violation is counted and passed to a function that logs it; in
// tests it panics.
package invariant

import (
	"fmt"
	"sort"
	"sync"
)

// Names of the invariants that the program evaluates.
const (
	// TierOrder holds if no request of a higher tier waits when a queued request
	// is dispatched; a dispatch for the floor of a class is exempt.
	TierOrder = "tier-order"
	// ShedLowest holds if no request of a lower tier than the shed one waits or
	// has just arrived.
	ShedLowest = "shed-lowest"
	// PreemptLower holds if a preempted request is of a lower tier than the one
	// that it is preempted for, and can be restarted.
	PreemptLower = "preempt-lower"
	// FloorSpent holds if a dispatch for the floor of a class takes place only
	// while that floor is due.
	FloorSpent = "floor-spent-on-waiting"
	// FloorServed holds if no waiting class was passed over more often than its
	// floor allows.
	FloorServed = "floor-served"
	// GrantOnce holds if a shard grants a request only while it has no grant.
	GrantOnce = "grant-once"
	// LimitHeld holds if the grants of an upstream do not exceed its concurrency
	// limit, apart from at most one floor grant.
	LimitHeld = "limit-held"
	// OwnAnswer holds if the answer to a request carries the ID of that request.
	OwnAnswer = "own-answer"
	// WholeAnswer holds if an answer that is passed on as complete has its stated
	// length or, as a stream, its finish.
	WholeAnswer = "whole-answer"
	// TrueNotRun holds if no upstream may have run a request that is refused as
	// not run.
	TrueNotRun = "true-not-run"
	// AtMostOnce holds if a request that may not be repeated is sent only while no
	// upstream may have run it.
	AtMostOnce = "at-most-once"
	// LeavingNoWork holds if no request is granted an upstream that may not get
	// new work, for example because it is leaving.
	LeavingNoWork = "leaving-no-work"
	// NoCut holds if all accepted requests were answered when a planned stop ends
	// in time.
	NoCut = "planned-stop-no-cut"
	// RevisionNeverFalls holds if each revision or version that comes into force
	// is higher than the one before it.
	RevisionNeverFalls = "revision-never-falls"
	// WorkNeedsConfiguration holds if a request is served only with a stored
	// configuration in force.
	WorkNeedsConfiguration = "work-needs-configuration"
)

// Count is how often one invariant was evaluated and violated.
type Count struct {
	Name      string
	Evaluated int64
	Violated  int64
}

// Checker evaluates invariants. Its exported fields are set before the first
// Check.
type Checker struct {
	// Panic makes Check panic on a violation; tests set it.
	Panic bool
	// Report, if not nil, is called with each violation.
	Report func(name, detail string)

	mu     sync.Mutex
	counts map[string]*Count
}

// Check evaluates one invariant. The format and args describe the inputs of the
// decision and are formatted only on a violation. On a nil Checker, Check does
// nothing.
func (c *Checker) Check(name string, holds bool, format string, args ...any) {
	if c == nil {
		return
	}
	c.count(name, holds)
	if holds {
		return
	}
	c.violate(name, fmt.Sprintf(format, args...))
}

func (c *Checker) count(name string, holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]*Count{}
	}
	count := c.counts[name]
	if count == nil {
		count = &Count{Name: name}
		c.counts[name] = count
	}
	count.Evaluated++
	if !holds {
		count.Violated++
	}
}

func (c *Checker) violate(name, detail string) {
	if c.Report != nil {
		c.Report(name, detail)
	}
	if c.Panic {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	}
}

// Counts returns the counts of all invariants evaluated so far, sorted by name.
func (c *Checker) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Count, 0, len(c.counts))
	for _, count := range c.counts {
		all = append(all, *count)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
