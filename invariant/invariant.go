// Package invariant evaluates, counts and reports the properties that must
// always hold. A violated property is logged and counted; in tests it panics.
package invariant

import (
	"fmt"
	"sort"
	"sync"
)

// Names of the invariants that the program asserts.
const (
	TierOrder      = "tier-order"
	ShedLowest     = "shed-lowest"
	PreemptLower   = "preempt-lower"
	FloorSpent     = "floor-spent-on-waiting"
	FloorServed    = "floor-served"
	GrantOnce      = "grant-once"
	LimitHeld      = "limit-held"
	OwnAnswer      = "own-answer"
	WholeAnswer    = "whole-answer"
	TrueNotRun     = "true-not-run"
	AtMostOnce     = "at-most-once"
	LeavingNoWork  = "leaving-no-work"
	NoCut          = "planned-stop-no-cut"
	RevisionRises  = "revision-never-falls"
	WorkNeedConfig = "work-needs-configuration"
)

// Count tells how often one invariant was evaluated and violated.
type Count struct {
	Name      string
	Evaluated int64
	Violated  int64
}

// Checker evaluates invariants. Its fields are set before the first Check.
type Checker struct {
	// Panic makes a violation panic; tests set it.
	Panic bool
	// Report, if set, is called with each violation.
	Report func(name, detail string)

	mu     sync.Mutex
	counts map[string]*Count
}

// Check evaluates one invariant. The detail format and args carry the inputs
// of the decision and are rendered only on a violation.
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
	n := c.counts[name]
	if n == nil {
		n = &Count{Name: name}
		c.counts[name] = n
	}
	n.Evaluated++
	if !holds {
		n.Violated++
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

// Counts returns the counts of all invariants evaluated so far, by name.
func (c *Checker) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Count, 0, len(c.counts))
	for _, n := range c.counts {
		all = append(all, *n)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
