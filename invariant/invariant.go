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
	TierOrder              = "tier-order"
	ShedLowest             = "shed-lowest"
	PreemptLower           = "preempt-lower"
	FloorSpent             = "floor-spent-on-waiting"
	FloorServed            = "floor-served"
	GrantOnce              = "grant-once"
	LimitHeld              = "limit-held"
	OwnAnswer              = "own-answer"
	WholeAnswer            = "whole-answer"
	TrueNotRun             = "true-not-run"
	AtMostOnce             = "at-most-once"
	LeavingNoWork          = "leaving-no-work"
	NoCut                  = "planned-stop-no-cut"
	RevisionNeverFalls     = "revision-never-falls"
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
