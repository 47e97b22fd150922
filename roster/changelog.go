package roster

import (
	"slices"

	"knapweedwell/route"
)

const (
	maxLoggedChanges = 512 // changes that are kept for peers
	maxGaps          = 16
)

// change is one entry that changed.
type change struct {
	mark int64
	id   string
}

// gap is a part of the changes that are not known one by one, because a whole list was applied.
// A peer with a mark within it may use entries that were never known here.
type gap struct {
	after, end int64 // marks
}

// setMark sets the mark of the list and of the changes since the last call.
func (l *entryList) setMark(mark int64) {
	l.mark = mark
	if l.unlisted {
		l.unlisted, l.eraKnown = false, true
		l.completeAfter = mark
	}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].mark == 0; i-- {
		l.changes[i].mark = mark
	}
	if over := len(l.changes) - maxLoggedChanges; over > 0 {
		l.completeAfter = l.changes[over-1].mark
		l.changes = append([]change(nil), l.changes[over:]...)
	}
}

// logGap logs that a whole list is applied, after which the list has the mark end.
func (l *entryList) logGap(end int64) {
	if l.unlisted || end <= l.mark {
		return
	}
	l.gaps = append(l.gaps, gap{after: l.mark, end: end})
	if over := len(l.gaps) - maxGaps; over > 0 {
		l.completeAfter = max(l.completeAfter, l.gaps[over-1].end)
		l.gaps = append([]gap(nil), l.gaps[over:]...)
	}
}

// lastGapEnd returns the mark at the end of the last gap, zero if that is not after the mark.
func (l *entryList) lastGapEnd(mark int64) int64 {
	if n := len(l.gaps); n > 0 && l.gaps[n-1].end > mark {
		return l.gaps[n-1].end
	}
	return 0
}

// inGap reports whether a mark is within a gap.
func (l *entryList) inGap(mark int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return g.after < mark && mark < g.end })
}

// logChange logs the change of an entry. setMark sets the mark of the change.
func (l *entryList) logChange(id string) {
	l.changes = append(l.changes, change{id: id})
}

// changesAfter returns the entries that changed after a mark and the IDs of
// those that were removed. It reports false if the logged changes do not reach
// back so far, or if the mark is within a gap.
func (l *entryList) changesAfter(mark int64) (entries []route.Upstream, removed []string, ok bool) {
	if mark < l.completeAfter || mark == 0 || l.inGap(mark) {
		return nil, nil, false
	}
	seen := map[string]bool{}
	for _, c := range l.changes {
		if c.mark <= mark || seen[c.id] {
			continue
		}
		seen[c.id] = true
		if e := l.entries[c.id]; e != nil {
			entries = append(entries, *e)
		} else {
			removed = append(removed, c.id)
		}
	}
	return entries, removed, true
}
