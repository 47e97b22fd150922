package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// lists returns n lists as of revision 5, all with the entries.
func lists(now time.Time, n int, entries ...*route.Upstream) []*entryList {
	all := make([]*entryList, n)
	for i := range all {
		all[i] = newEntryList()
		all[i].replaceAll(now, 5, entries)
	}
	return all
}

// TestOlderListOfHigherMark guards against an upstream that has left and is used without end, because
// a peer's list is older than this one, though its newest change is not.
func TestOlderListOfHigherMark(t *testing.T) {
	now := time.Unix(1000, 0)
	all := lists(now, 2, born("b", 1), born("c", 1))
	l, peer := all[0], all[1]
	wrote := storeChange{id: "a", entry: born("a", 1), revision: 6}
	l.applyChanges(now, 6, []storeChange{wrote})
	wrote.revision = 7 // without a difference
	peer.applyChanges(now, 7, []storeChange{wrote})
	l.storeReturned(now)
	l.applyChanges(now, 8, []storeChange{wrote, {id: "a", gone: true}})
	catchUp(peer, l)
	l.dropRetained(now.Add(RetainTime))
	assert.Assert(t, !l.snapshot().Accepts("a"))
}

// TestDroppedEntryIsTold guards against an upstream that an instance no longer retains, and that a
// peer uses without end, because it does not learn of that.
func TestDroppedEntryIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lists(now, 1, born("a", 1), born("b", 1), born("c", 1))[0]
	started := newEntryList()
	started.replaceAll(now, 7, []*route.Upstream{born("a", 1), born("b", 1), born("c", 1)})
	l.storeReturned(now)
	l.applyChanges(now, 8, []storeChange{{id: "a", gone: true}})
	l.dropRetained(now.Add(RetainTime))
	catchUp(l, started)
	assert.Assert(t, !started.snapshot().Accepts("a"))
}

// TestUnknownRemovalIsPassedOn guards against an upstream that has left and that an instance uses
// without end, because the peer which it asks has never used it.
func TestUnknownRemovalIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	all := lists(now, 3, born("b", 1), born("c", 1))
	source, between, l := all[0], all[1], all[2]
	wrote := storeChange{id: "a", entry: born("a", 1), revision: 6}
	l.applyChanges(now, 6, []storeChange{wrote})
	source.applyChanges(now, 6, []storeChange{wrote})
	source.applyChanges(now, 7, []storeChange{{id: "a", gone: true}})
	catchUp(source, between)
	catchUp(between, l)
	assert.Assert(t, !l.snapshot().Accepts("a"))
}

// TestWholeListLeavesGap guards against an upstream that came and went while nobody watched, and that
// an instance which learned of it in time uses without end: those that list it again, and those
// that learn of it from them, cannot name it.
func TestWholeListLeavesGap(t *testing.T) {
	now := time.Unix(1000, 0)
	all := lists(now, 4, born("b", 1), born("c", 1))
	relisted, told, whole, l := all[0], all[1], all[2], all[3]
	l.applyChanges(now, 6, []storeChange{{id: "a", entry: born("a", 1), revision: 6}})
	relisted.replaceAll(now, 8, []*route.Upstream{born("b", 1), born("c", 1)})
	catchUp(relisted, told)
	whole.applyFetched(now, relisted.reply(now, fetchRequest{}))
	for _, source := range []*entryList{relisted, told, whole} {
		used := *l
		used.entries = map[string]*route.Upstream{"a": born("a", 1), "b": born("b", 1), "c": born("c", 1)}
		catchUp(source, &used)
		assert.Assert(t, !used.snapshot().Accepts("a"))
	}
}

// TestGapsAreBounded guards against gaps that are kept without end: a mark before those that are
// kept gets the whole list.
func TestGapsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lists(now, 1, born("a", 1))[0]
	for revision := int64(6); revision < 6+2*maxGaps; revision++ {
		l.replaceAll(now, revision, []*route.Upstream{born("a", revision)})
	}
	assert.Equal(t, len(l.gaps), maxGaps)
	assert.Assert(t, l.reply(now, fetchRequest{After: 6 << localMarkBits}).Whole)
	assert.Assert(t, !l.reply(now, fetchRequest{After: l.mark}).Whole)
}
