// Package roster maintains the list of upstreams that register themselves in the
// platform's store. It follows the store and the peers, stops using an upstream
// that leaves according to the store or to one of its own answers, and retains entries that expire in an outage of the store for a
// retention period.
package roster

import (
	"sort"

	"knapweedwell/route"
)

// Position orders the states of rosters: by the era of the store, and by the mark within an
// era. The era is zero if the store names none.
type Position struct {
	Era  int64
	Mark int64
}

// Before reports whether a state with position p is older than one with position o.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Mark < o.Mark
}

// Roster is the list of upstreams at one time. It is not changed once it is
// published.
type Roster struct {
	Position Position // of its newest change
	Entries  map[string]*route.Upstream

	pools map[string][]*route.Upstream
}

// newRoster returns a roster of the entries.
func newRoster(position Position, entries map[string]*route.Upstream) *Roster {
	r := &Roster{Position: position, Entries: entries, pools: map[string][]*route.Upstream{}}
	for _, e := range entries {
		if !e.Leaving {
			r.pools[e.Pool] = append(r.pools[e.Pool], e)
		}
	}
	for _, es := range r.pools {
		sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
	}
	return r
}

// Pool returns the entries of a pool that take new work, by ID.
func (r *Roster) Pool(name string) []*route.Upstream {
	if r == nil {
		return nil
	}
	return r.pools[name]
}

// Accepts reports whether the upstream with the ID is in the roster and not
// leaving.
func (r *Roster) Accepts(id string) bool {
	e := r.Entries[id]
	return e != nil && !e.Leaving
}

// LeavingUpstreams returns the upstreams that are leaving.
func (r *Roster) LeavingUpstreams() []*route.Upstream {
	var us []*route.Upstream
	if r == nil {
		return nil
	}
	for _, e := range r.Entries {
		if e.Leaving {
			us = append(us, e)
		}
	}
	return us
}

// Leaving returns the IDs of the upstreams that are leaving, in order.
func (r *Roster) Leaving() []string {
	var ids []string
	for _, u := range r.LeavingUpstreams() {
		ids = append(ids, u.ID)
	}
	sort.Strings(ids)
	return ids
}
