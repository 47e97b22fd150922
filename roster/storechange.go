package roster

import (
	"time"

	"knapweedwell/route"
)

// storeChange is what an answer of the store says of one entry: its last write in the answer, and
// whether it is gone after it.
type storeChange struct {
	id       string
	entry    *route.Upstream // as last written; nil if it was not, or cannot be used
	revision int64           // of that write; zero if there was none
	gone     bool
}

// lastChanges returns one change of each entry in place of several in a row.
func lastChanges(changes []storeChange) []storeChange {
	var last []storeChange
	index := map[string]int{}
	for _, c := range changes {
		i, known := index[c.id]
		switch {
		case !known:
			index[c.id] = len(last)
			last = append(last, c)
		case c.revision > 0:
			last[i] = c
		default:
			last[i].gone = true
		}
	}
	return last
}

// applyChanges applies the changes in an answer of the store up to a revision. The list may hold
// some of them already, and later ones, too, because a peer was faster: these are no news. It
// reports whether anything changed.
func (l *entryList) applyChanges(now time.Time, revision int64, changes []storeChange) bool {
	last := lastChanges(changes)
	var gone []string
	for _, c := range last {
		if c.gone {
			gone = append(gone, c.id)
		}
	}
	l.detectExpiry(now, gone)
	changed := false
	for _, c := range last {
		changed = l.applyChange(now, c) || changed
	}
	return l.commit(revision, changed)
}

// applyChange applies a change. It reports whether anything changed.
func (l *entryList) applyChange(now time.Time, c storeChange) bool {
	news := c.revision > l.revision
	switch {
	case c.gone && l.entries[c.id] == nil:
		if news {
			l.pass(c)
		}
		return news
	case c.gone:
		changed := news && c.entry != nil && l.put(c.entry)
		return l.remove(now, c.id) || changed
	case news:
		return l.written(c.entry)
	}
	return l.endDoubt(c.id)
}

// pass records an entry that came and went, and that is not used: peers may use it.
func (l *entryList) pass(c storeChange) {
	if c.entry != nil {
		l.gone.add(c.entry, false)
	}
	l.logChange(c.id)
}
