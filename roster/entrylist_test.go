package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/route"
)

func entry(id string, leaving bool) *route.Upstream {
	return &route.Upstream{ID: id, Pool: "p", Address: "10.0.0.1:1", Leaving: leaving}
}

// TestRetention follows entries over an outage of the store: those that were
// not leaving are used until the retention period ends.
func TestRetention(t *testing.T) {
	l, now := newEntryList(), time.Unix(1000, 0)
	l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", true), entry("c", false)})
	l.storeReturned(now)
	assert.Assert(t, l.replaceAll(now, 9, nil), "the leaving entry must be removed at once")
	assert.Equal(t, len(l.snapshot().Pool("p")), 2)
	l.put(entry("a", false))
	l.commit(10, true)
	before := l.mark
	assert.Assert(t, !l.dropRetained(now.Add(RetainTime-time.Millisecond)))
	assert.Assert(t, l.dropRetained(now.Add(RetainTime)))
	assert.Assert(t, l.mark > before, "the mark must rise when retained entries are dropped, so that peers fetch the change")
	r := l.snapshot()
	assert.Assert(t, r.Accepts("a") && !r.Accepts("c") && !r.Accepts("b"))
}

// TestRetentionIsNotProlonged guards against the retention of an entry that begins anew with
// each return of the store, and with each mass removal.
func TestRetentionIsNotProlonged(t *testing.T) {
	l, now := newEntryList(), time.Unix(1000, 0)
	all := []*route.Upstream{entry("a", false), entry("b", false), entry("c", false)}
	l.replaceAll(now, 5, all)
	l.storeReturned(now)
	l.replaceAll(now, 9, all[1:])
	end := now.Add(RetainTime)
	now = now.Add(RetainTime / 2)
	l.storeReturned(now)
	l.replaceAll(now, 10, all[2:])
	l.replaceAll(now, 11, nil)
	assert.Assert(t, l.dropRetained(end))
	r := l.snapshot()
	assert.Assert(t, !r.Accepts("a") && r.Accepts("b") && r.Accepts("c"), "only the first entry's retention is over")
	assert.Assert(t, l.dropRetained(now.Add(RetainTime)))
	assert.Equal(t, len(l.snapshot().Entries), 0)
}

// TestConfirmedEntry lists an entry again at one instance while another only
// retains it: the other fetches it, also after its own retention period.
func TestConfirmedEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	following, idle := newEntryList(), newEntryList()
	for _, l := range []*entryList{following, idle} {
		l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", false)})
		l.storeReturned(now)
		l.commit(9, l.remove(now, "a"))
		l.commit(9, l.remove(now, "b"))
	}
	following.commit(10, following.put(entry("a", false)))
	now = now.Add(RetainTime)
	idle.dropRetained(now)
	following.dropRetained(now)
	catchUp(following, idle)
	r := idle.snapshot()
	assert.Assert(t, r.Accepts("a"), "the entry that the store lists again must be used")
	assert.Assert(t, !r.Accepts("b"), "the entry that is still missing must not be used")
}

// TestDeltas lets one list follow another by the changes after its mark, under
// random steps: both end with the same entries.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		source, copied := newEntryList(), newEntryList()
		revision := int64(10)
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			id := string(rune('a' + rapid.IntRange(0, 9).Draw(t, "id")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				source.commit(revision, source.put(entry(id, rapid.Bool().Draw(t, "leaving"))))
			case 2:
				revision++
				source.commit(revision, source.remove(now, id))
			case 3:
				source.storeReturned(now)
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				source.dropRetained(now)
			case 4:
				catchUp(source, copied)
			}
		}
		now = now.Add(RetainTime)
		source.dropRetained(now)
		catchUp(source, copied)
		assert.DeepEqual(t, copied.entries, source.entries)
		assert.Equal(t, copied.mark, source.mark)
	})
}

// catchUp brings copied up to date, as a fetch from a peer does.
func catchUp(source, copied *entryList) {
	now := time.Unix(1000, 0)
	copied.applyFetched(now, source.reply(now, fetchRequest{Era: copied.era, After: copied.mark}))
}

// TestFetchedRemovalWhileRetaining applies the removal of an entry by a peer in
// a retention period: the entry is removed at once, since the peer has retained
// it already.
func TestFetchedRemovalWhileRetaining(t *testing.T) {
	l, now := newEntryList(), time.Unix(1000, 0)
	l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", false)})
	l.storeReturned(now)
	assert.Assert(t, l.applyFetched(now, fetchReply{Mark: 9 << localMarkBits, Removed: []string{"a"}}))
	assert.Assert(t, !l.snapshot().Accepts("a"))
}

// TestMassExpiry applies lists that omit some or most of the entries, without a
// sign of an outage before: a few omitted entries are removed at once, many are
// retained as expired.
func TestMassExpiry(t *testing.T) {
	for _, c := range []struct {
		listed, used, later int
	}{{12, 12, 12}, {11, 11, 11}, {9, 9, 9}, {7, 12, 7}, {0, 12, 0}} {
		l, now := newEntryList(), time.Unix(1000, 0)
		var all []*route.Upstream
		for i := range 12 {
			all = append(all, entry(string(rune('a'+i)), false))
		}
		l.replaceAll(now, 5, all)
		l.replaceAll(now, 9, all[:c.listed])
		assert.Equal(t, len(l.snapshot().Pool("p")), c.used, "%d listed", c.listed)
		l.dropRetained(now.Add(RetainTime))
		assert.Equal(t, len(l.snapshot().Pool("p")), c.later, "%d listed, after the retention period", c.listed)
	}
}

// TestOutdatedListChangesNothing guards against an answer of the store that is read after a
// peer has sent newer changes, and that puts upstreams back which leave or are gone.
func TestOutdatedListChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newEntryList()
	l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", false)})
	assert.Assert(t, l.applyFetched(now, fetchReply{
		Mark: 9 << localMarkBits, Revision: 9, Whole: true, Entries: []route.Upstream{*entry("a", true), *entry("c", false)},
	}))
	l.replaceAll(now, 7, []*route.Upstream{entry("a", false), entry("b", false)})
	r := l.snapshot()
	assert.Assert(t, !r.Accepts("a") && !r.Accepts("b") && r.Accepts("c"), "accepted: %v", r.Pool("p"))
	l.replaceAll(now, 9, []*route.Upstream{entry("a", true)})
	assert.Assert(t, !l.snapshot().Accepts("c"))
}
