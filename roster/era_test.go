package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// reply returns the answer of a list to a peer that knows nothing.
func reply(l *entryList) fetchReply {
	f := fetchReply{Era: l.era, Mark: l.mark, Revision: l.revision, Whole: true}
	for _, e := range l.entries {
		f.Entries = append(f.Entries, *e)
	}
	return f
}

// TestErasOrderLists guards against a list of a lost era, with a higher mark, that replaces a
// later one.
func TestErasOrderLists(t *testing.T) {
	now := time.Unix(1000, 0)
	behind, ahead := newEntryList(), newEntryList()
	for _, l := range []*entryList{behind, ahead} {
		l.startEra(now, 1)
		l.replaceAll(now, 100, []*route.Upstream{entry("a", false), entry("lost", false)})
	}
	ahead.startEra(now, 2)
	ahead.replaceAll(now, 80, []*route.Upstream{entry("a", false), entry("b", false)})
	assert.Assert(t, behind.position().Before(ahead.position()))
	assert.Assert(t, !ahead.applyFetched(now, reply(behind)), "a list of a lost era must not be taken")
	assert.Assert(t, !ahead.applyFetched(now, fetchReply{Mark: 100<<localMarkBits + 1, Whole: true}), "nor one of an unknown era")
	assert.Assert(t, behind.applyFetched(now, reply(ahead)))
	assert.Equal(t, behind.position(), ahead.position())
	assert.Assert(t, behind.snapshot().Accepts("b"))
	assert.Assert(t, ahead.snapshot().Accepts("lost"), "it must be used until its upstream had the time to write it again")
	ahead.dropRetained(now.Add(RetainTime))
	assert.Assert(t, !ahead.snapshot().Accepts("lost"))
}

// TestChangesOfOneEra guards against a peer that is sent changes since a mark of another era,
// or since one before the first list.
func TestChangesOfOneEra(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newEntryList()
	l.startEra(now, 1)
	l.replaceAll(now, 100, []*route.Upstream{entry("a", false)})
	_, _, ok := l.changesAfter(90 << localMarkBits)
	assert.Assert(t, !ok, "what was removed before the first list is not known")
	l.startEra(now, 2)
	l.replaceAll(now, 95, []*route.Upstream{entry("a", false)})
	_, _, ok = l.changesAfter(94 << localMarkBits)
	assert.Assert(t, !ok)
	_, _, ok = l.changesAfter(l.mark)
	assert.Assert(t, ok)
}

// TestDoubtEnds lists entries that were gone before the store came back from a copy. Those that
// were removed while the store answered are in doubt until doubtTime is over or they are written
// again, however many. Of those that may have expired, few are, and many run.
func TestDoubtEnds(t *testing.T) {
	for _, c := range []struct {
		gone    int // of 12
		expired bool
		doubted int
	}{
		{0, false, 0},
		{1, false, 1},
		{3, false, 3},
		{4, false, 4},
		{12, false, 12},
		{1, true, 1},
		{3, true, 3},
		{4, true, 0},
		{12, true, 0},
	} {
		t.Run(fmt.Sprintf("%d, expired %t", c.gone, c.expired), func(t *testing.T) {
			now := time.Unix(1000, 0)
			var all []*route.Upstream
			for i := range 12 {
				all = append(all, born(string(rune('a'+i)), 1))
			}
			l := newEntryList()
			l.startEra(now, 1)
			l.replaceAll(now, 5, all)
			if c.expired {
				l.storeReturned(now)
			}
			for _, e := range all[:c.gone] {
				l.commit(6, l.remove(now, e.ID))
			}
			now = now.Add(RetainTime)
			l.dropRetained(now)
			l.startEra(now, 2)
			l.replaceAll(now, 5, all)
			assert.Equal(t, len(l.snapshot().Pool("p")), 12-c.doubted)
			if c.doubted > 0 {
				l.commit(7, l.written(all[0]))
				assert.Assert(t, l.snapshot().Accepts(all[0].ID), "written again")
			}
			assert.Assert(t, !l.endDoubts(now.Add(doubtTime-time.Millisecond)))
			l.endDoubts(now.Add(doubtTime))
			assert.Equal(t, len(l.snapshot().Pool("p")), 12)
		})
	}
}

// TestFetchAcrossEras guards against a peer that asks for the changes since a mark of another
// era, or as an earlier build without one, and is sent only some entries.
func TestFetchAcrossEras(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Service{list: newEntryList()}
	s.list.startEra(now, 1)
	s.list.replaceAll(now, 100, []*route.Upstream{entry("a", false), entry("b", false)})
	s.list.startEra(now, 2)
	s.list.replaceAll(now, 95, []*route.Upstream{entry("a", false)})
	s.list.commit(120, s.list.put(entry("c", false)))
	for _, c := range []struct {
		request string
		whole   bool
	}{
		{`{"Era":2,"After":24320}`, false},
		{`{"Era":1,"After":25600}`, true},
		{`{"After":25600}`, true},
		{`{"Era":3,"After":25600}`, true},
	} {
		reply, err := s.serveFetch(t.Context(), "", []byte(c.request))
		assert.NilError(t, err)
		f := reply.(fetchReply)
		assert.Equal(t, f.Whole, c.whole, c.request)
		assert.Equal(t, f.Era, int64(2))
	}
}

// TestExpiryAtPeers guards against an instance that takes the upstreams of an outage for gone
// because it has learned from a peer that their entries were removed.
func TestExpiryAtPeers(t *testing.T) {
	for _, expired := range []bool{false, true} {
		now := time.Unix(1000, 0)
		all := []*route.Upstream{born("a", 1), born("b", 1), born("c", 1)}
		source, copied := newEntryList(), newEntryList()
		for _, l := range []*entryList{source, copied} {
			l.startEra(now, 1)
			l.replaceAll(now, 5, all)
		}
		if expired {
			source.storeReturned(now)
		}
		source.commit(6, source.remove(now, "a"))
		source.commit(7, source.remove(now, "b"))
		source.dropRetained(now.Add(RetainTime))
		catchUp(source, copied)
		assert.Equal(t, len(copied.snapshot().Pool("p")), 1)
		for _, l := range []*entryList{source, copied} {
			l.startEra(now, 2)
			l.replaceAll(now, 5, all)
			assert.Equal(t, l.snapshot().Accepts("a"), expired, "copied: %t", l == copied)
		}
	}
}
