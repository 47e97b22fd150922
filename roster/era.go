package roster

import (
	"time"

	"knapweedwell/route"
)

const (
	// doubtTime is how long an entry that was gone before the store came back from a copy
	// is not used, unless it is written again. The store removes it earlier if its upstream
	// has ended.
	doubtTime = 10 * time.Second
	maxGone   = 2048 // removed entries that are remembered
)

// goneEntries holds the incarnations of removed entries, by their IDs.
type goneEntries struct {
	born  map[string]int64
	order []string // IDs, those removed first before the others
}

// add records the removal of an entry.
func (g *goneEntries) add(e *route.Upstream) {
	if g.born == nil {
		g.born = map[string]int64{}
	}
	g.born[e.ID] = e.Born
	g.order = append(g.order, e.ID)
	if over := len(g.order) - maxGone; over > 0 {
		for _, id := range g.order[:over] {
			delete(g.born, id)
		}
		g.order = append([]string(nil), g.order[over:]...)
	}
}

// holds reports whether the incarnation of an entry was removed.
func (g *goneEntries) holds(e *route.Upstream) bool {
	born, ok := g.born[e.ID]
	return ok && born == e.Born
}

// position returns the position of the list.
func (l *entryList) position() Position {
	return Position{Era: l.era, Mark: l.mark}
}

// resolve returns the position of a peer with the era that is meant. An instance of an
// earlier build names none: its marks are of the present era as long as this instance has
// seen no other.
func (l *entryList) resolve(p Position) Position {
	if p.Era == 0 && !l.restored {
		p.Era = l.era
	}
	return p
}

// startEra begins a later era of the store: the store has come back from a copy. What is
// known of upstreams that leave or are gone holds on, because the copy may be from before.
// Entries that the copy lacks are retained until their upstreams have written them again.
func (l *entryList) startEra(now time.Time, era int64) {
	if era <= l.era {
		return
	}
	l.restored = l.era > 0
	l.era, l.mark, l.revision = era, 0, 0
	l.changes, l.completeAfter, l.unlisted = nil, 0, true
	if !l.restored {
		return
	}
	l.goneBefore, l.gone = l.gone, goneEntries{}
	l.doubted, l.doubtUntil = map[string]bool{}, now.Add(doubtTime)
	for _, e := range l.entries {
		if e.Leaving {
			l.recordDeparture(now, e)
		}
	}
	l.storeReturned(now)
}

// doubt marks the entries of the first complete list of an era that were gone before it.
// If they are as many as expire in an outage, they have expired and their upstreams run.
func (l *entryList) doubt(entries []*route.Upstream) {
	for _, e := range entries {
		if l.goneBefore.holds(e) {
			l.doubted[e.ID] = true
		}
	}
	if n := len(l.doubted); n >= minExpired && n*expiredDivisor >= len(entries) {
		clear(l.doubted)
	}
	l.goneBefore = goneEntries{}
}

// endDoubts uses the entries in doubt again once doubtTime is over. It reports whether
// there were any.
func (l *entryList) endDoubts(now time.Time) bool {
	if len(l.doubted) == 0 || now.Before(l.doubtUntil) {
		return false
	}
	clear(l.doubted)
	return true
}
