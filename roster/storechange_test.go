package roster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/route"
)

// TestOldChangesAreNoNews guards against an upstream that is used again after it has left, because
// the store's answer holds old changes of it that a peer has told before: as one cut off from the
// store reads when the cut ends.
func TestOldChangesAreNoNews(t *testing.T) {
	wrote := func(revision, start int64) storeChange {
		return storeChange{id: "a", entry: born("a", start), revision: revision}
	}
	removed := storeChange{id: "a", gone: true}
	for _, c := range []struct {
		name     string
		known    int64 // revision up to which a peer has told of all changes
		listed   bool  // whether the peer lists the entry
		revision int64 // of the store's answer
		changes  []storeChange
		used     bool
	}{
		{"written and removed", 8, false, 8, []storeChange{wrote(7, 1), removed}, false},
		{"written and removed, later answer", 8, false, 20, []storeChange{wrote(7, 1), removed}, false},
		{"removed, written and removed", 9, false, 9, []storeChange{removed, wrote(8, 1), removed}, false},
		{"started again and removed", 9, false, 9, []storeChange{wrote(8, 2), removed}, false},
		{"written, the removal is not told", 9, false, 9, []storeChange{wrote(7, 1)}, false},
		{"earlier answer", 9, false, 8, []storeChange{wrote(7, 1)}, false},
		{"written, nothing known of it", 0, true, 8, []storeChange{wrote(7, 1)}, true},
		{"written and removed, nothing known of it", 0, true, 8, []storeChange{wrote(7, 1), removed}, true}, // retained
		{"removed and started again", 6, true, 8, []storeChange{removed, wrote(8, 2)}, true},
		{"started again after the peer's list", 7, false, 8, []storeChange{removed, wrote(8, 2)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := newEntryList(), time.Unix(1000, 0)
			l.replaceAll(now, 5, []*route.Upstream{born("a", 1), born("b", 1), born("c", 1)})
			if c.known > 0 {
				told := fetchReply{Mark: c.known << localMarkBits, Revision: c.known}
				if !c.listed {
					told.Removed = []string{"a"}
				}
				l.applyFetched(now, told)
			}
			l.storeReturned(now)
			mark := l.mark
			l.applyChanges(now, c.revision, c.changes)
			assert.Equal(t, l.snapshot().Accepts("a"), c.used)
			assert.Assert(t, c.used || l.mark == mark, "what is no news is told to the peers")
		})
	}
}

// TestPassedEntry guards against an upstream that came and went within one answer of the store, and
// is used all the same: here, as one whose entry expired, or at a peer that learned of it meanwhile.
func TestPassedEntry(t *testing.T) {
	l, peer, now := newEntryList(), newEntryList(), time.Unix(1000, 0)
	for _, list := range []*entryList{l, peer} {
		list.replaceAll(now, 5, []*route.Upstream{born("b", 1), born("c", 1)})
	}
	wrote := storeChange{id: "a", entry: born("a", 1), revision: 7}
	peer.applyChanges(now, 7, []storeChange{wrote})
	l.storeReturned(now)
	l.applyChanges(now, 9, []storeChange{wrote, {id: "a", gone: true}})
	assert.Assert(t, peer.snapshot().Accepts("a") && !l.snapshot().Accepts("a"))
	catchUp(l, peer)
	assert.Assert(t, !peer.snapshot().Accepts("a"))
}

// storeHistory is the history of the entries in a store.
type storeHistory struct {
	revision int64
	changes  []storeChange
	at       []int64 // revisions of changes
}

// add adds a change.
func (h *storeHistory) add(c storeChange) {
	h.revision++
	if !c.gone {
		c.revision = h.revision
	}
	h.changes, h.at = append(h.changes, c), append(h.at, h.revision)
}

// between returns the changes after a revision up to another one.
func (h *storeHistory) between(after, upTo int64) []storeChange {
	var changes []storeChange
	for i, at := range h.at {
		if after < at && at <= upTo {
			changes = append(changes, h.changes[i])
		}
	}
	return changes
}

// entries returns the entries that the store lists at a revision.
func (h *storeHistory) entries(revision int64) map[string]*route.Upstream {
	entries := map[string]*route.Upstream{}
	for _, c := range h.between(0, revision) {
		delete(entries, c.id)
		if !c.gone {
			entries[c.id] = c.entry
		}
	}
	return entries
}

// watcher is a list that follows the history.
type watcher struct {
	list   *entryList
	synced int64                   // revision up to which it has read the changes itself
	used   map[route.Upstream]bool // entries that it has had in use
}

// histories plays random steps of a store and of three lists.
type histories struct {
	now      time.Time
	store    storeHistory
	starts   map[string]int64 // of the entries, by their IDs
	watchers []*watcher
}

func newHistories() *histories {
	h := &histories{now: time.Unix(1000, 0), store: storeHistory{revision: 1}, starts: map[string]int64{}}
	for range 3 {
		w := &watcher{list: newEntryList(), synced: 1, used: map[route.Upstream]bool{}}
		w.list.replaceAll(h.now, 1, nil)
		h.watchers = append(h.watchers, w)
	}
	return h
}

// watcher draws one of the lists.
func (h *histories) watcher(t *rapid.T, label string) *watcher {
	return h.watchers[rapid.IntRange(0, len(h.watchers)-1).Draw(t, label)]
}

// write writes the entry with the ID to the store, as a new start if it is not there.
func (h *histories) write(id string) {
	if h.store.entries(h.store.revision)[id] == nil {
		h.starts[id]++
	}
	h.store.add(storeChange{id: id, entry: born(id, h.starts[id])})
}

// remove removes the entry with the ID from the store.
func (h *histories) remove(id string) {
	if h.store.entries(h.store.revision)[id] != nil {
		h.store.add(storeChange{id: id, gone: true})
	}
}

// watch lets a list read the changes up to a revision.
func (h *histories) watch(w *watcher, upTo int64) {
	if !w.list.outdated(upTo) {
		w.list.applyChanges(h.now, upTo, h.store.between(w.synced, upTo))
	}
	w.synced = upTo
}

// relist lets a list read all entries as of a revision.
func (h *histories) relist(w *watcher, revision int64) {
	w.synced = revision
	w.list.replaceAll(h.now, revision, slices.Collect(maps.Values(h.store.entries(revision))))
}

// fetch lets a list ask another one.
func (h *histories) fetch(w, source *watcher) {
	w.list.applyFetched(h.now, source.list.reply(h.now, fetchRequest{Era: w.list.era, After: w.list.mark}))
}

// pass lets time pass.
func (h *histories) pass(d time.Duration) {
	h.now = h.now.Add(d)
	for _, w := range h.watchers {
		w.list.dropRetained(h.now)
	}
}

// step takes a random step with a list.
func (h *histories) step(t *rapid.T, w *watcher) {
	id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "id")))
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1:
		h.write(id)
	case 2:
		h.remove(id)
	case 3:
		h.watch(w, rapid.Int64Range(w.synced, h.store.revision).Draw(t, "up to"))
	case 4:
		w.list.storeReturned(h.now)
	case 5:
		h.pass(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	case 6:
		h.fetch(w, h.watcher(t, "source"))
	case 7:
		h.relist(w, rapid.Int64Range(w.synced, h.store.revision).Draw(t, "listed at"))
	}
}

// check checks that what a list has begun to use since it was as before is listed by the store at the
// revision that the list knows, or retained and new to it.
func (h *histories) check(t *rapid.T, w *watcher, before *Roster) {
	listed := h.store.entries(w.list.revision)
	for _, e := range w.list.snapshot().Entries {
		known := listed[e.ID] != nil && listed[e.ID].Born == e.Born
		if !before.Accepts(e.ID) && !known && (w.used[*e] || !w.list.retains(e.ID)) {
			t.Fatalf("%v is used again, and the store lists %v at %d", *e, listed[e.ID], w.list.revision)
		}
		w.used[*e] = true
	}
}

// checkEnd checks that all lists are equal to the store once the first one has read all changes and
// the others have asked it.
func (h *histories) checkEnd(t *rapid.T) {
	first := h.watchers[0]
	first.list.applyChanges(h.now, h.store.revision, h.store.between(first.synced, h.store.revision))
	h.now = h.now.Add(RetainTime)
	for _, w := range h.watchers {
		w.list.dropRetained(h.now)
		h.fetch(w, first)
		assert.DeepEqual(t, ids(w.list.entries), ids(h.store.entries(h.store.revision)))
	}
}

// TestNothingComesBack guards against an upstream that is used again although the store lists it no
// more: lists that follow the store, their peers, or both, late and in any order, take up only
// what the store lists at the revision that they know.
func TestNothingComesBack(t *testing.T) {
	const rounds = 50
	for range rounds {
		rapid.Check(t, func(t *rapid.T) {
			h := newHistories()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w := h.watcher(t, "watcher")
				before := w.list.snapshot()
				h.step(t, w)
				h.check(t, w, before)
			}
			h.checkEnd(t)
		})
	}
}

// ids returns the IDs of entries with their starts.
func ids(entries map[string]*route.Upstream) map[string]int64 {
	starts := map[string]int64{}
	for id, e := range entries {
		starts[id] = e.Born
	}
	return starts
}
