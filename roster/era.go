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

// goneEntry is the incarnation of a removed entry.
type goneEntry struct {
	born int64
	// expired means that the entry may have expired in an outage although its upstream runs.
	expired bool
}

// goneEntries holds the removed entries, by their IDs.
type goneEntries struct {
	entries map[string]goneEntry
	order   []string // IDs, those removed first before the others
}

// add records the removal of an entry.
func (g *goneEntries) add(e *route.Upstream, expired bool) {
	if g.entries == nil {
		g.entries = map[string]goneEntry{}
	}
	g.entries[e.ID] = goneEntry{born: e.Born, expired: expired}
	g.order = append(g.order, e.ID)
	if over := len(g.order) - maxGone; over > 0 {
		for _, id := range g.order[:over] {
			delete(g.entries, id)
		}
		g.order = append([]string(nil), g.order[over:]...)
	}
}

// holds reports whether the incarnation of an entry or a later one was removed, and whether it may
// have expired.
func (g *goneEntries) holds(e *route.Upstream) (gone, expired bool) {
	r, ok := g.entries[e.ID]
	gone = ok && e.Born <= r.born
	return gone, gone && r.expired
}

// position returns the position of the list.
func (l *entryList) position() Position {
	return Position{Era: l.era, Mark: l.mark}
}

// startEra begins an era of the store that is the first one known, or a later one: then the store
// has come back from a copy. What is known of upstreams that leave or are gone holds on, because the
// copy may be from before. Entries that the copy lacks are retained until their upstreams have
// written them again.
func (l *entryList) startEra(now time.Time, era int64) {
	if l.eraKnown && era <= l.era {
		return
	}
	restored := l.eraKnown
	l.era, l.eraKnown, l.mark, l.revision = era, true, 0, 0
	l.changes, l.gaps, l.completeAfter, l.unlisted = nil, nil, 0, true
	if !restored {
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

// doubt marks the entries of the first complete list of an era that were gone before it. Those
// that may have expired are not in doubt if they are as many as expire in an outage: their
// upstreams run.
func (l *entryList) doubt(entries []*route.Upstream) {
	var expired []string
	for _, e := range entries {
		switch gone, mayRun := l.goneBefore.holds(e); {
		case mayRun:
			expired = append(expired, e.ID)
		case gone:
			l.doubted[e.ID] = true
		}
	}
	if n := len(expired); n < minExpired || n*expiredDivisor < len(entries) {
		for _, id := range expired {
			l.doubted[id] = true
		}
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
