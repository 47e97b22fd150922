package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// TestRetainedEntryAtPeers guards against an entry that one instance has missed after an
// outage, and that its peers use without end, or again, because they have its list.
func TestRetainedEntryAtPeers(t *testing.T) {
	for _, c := range []struct {
		name    string
		removed bool // the peer has learned of the removal from another instance
		whole   bool // the peer gets the whole list
	}{{"changes", false, false}, {"whole list", false, true}, {"removed, changes", true, false}, {"removed, whole list", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			retaining, copied := newEntryList(), newEntryList()
			for _, l := range []*entryList{retaining, copied} {
				l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", false), entry("c", false)})
			}
			if c.removed {
				copied.commit(9, copied.remove(now, "a"))
			}
			retaining.storeReturned(now)
			retaining.replaceAll(now, 9, []*route.Upstream{entry("b", false), entry("c", false)})
			retaining.commit(10, retaining.put(entry("d", false)))
			if c.whole {
				retaining.completeAfter = 10 << localMarkBits
			}
			catchUp(retaining, copied)
			assert.Equal(t, copied.snapshot().Accepts("a"), !c.removed)
			assert.Assert(t, copied.snapshot().Accepts("d"))
			// The other instance ends before it drops the entry.
			copied.dropRetained(now.Add(RetainTime))
			assert.Assert(t, !copied.snapshot().Accepts("a"), "used although nobody retains it")
			copied.commit(11, copied.put(entry("a", false)))
			assert.Assert(t, copied.snapshot().Accepts("a"), "not used although it is listed again")
		})
	}
}

// TestAbsurdRetention bounds the time for which a peer asks to retain an entry.
func TestAbsurdRetention(t *testing.T) {
	for _, millis := range []int64{-1 << 62, -1, 1 << 62} {
		now := time.Unix(1000, 0)
		l := newEntryList()
		l.replaceAll(now, 5, []*route.Upstream{entry("a", false), entry("b", false)})
		l.applyFetched(now, fetchReply{Mark: 9 << localMarkBits, Retained: []retainedEntry{{ID: "a", Millis: millis}, {ID: "unknown", Millis: millis}}})
		l.dropRetained(now.Add(RetainTime))
		r := l.snapshot()
		assert.Assert(t, !r.Accepts("a") && r.Accepts("b"), "%d ms: %v", millis, r.Entries)
	}
}

// TestRetainedEntryDoesNotComeBack guards against an upstream that has left and is used again, because
// a peer retains its entry, or that of an earlier start of it.
func TestRetainedEntryDoesNotComeBack(t *testing.T) {
	for _, whole := range []bool{false, true} {
		for _, start := range []int64{2, 1} {
			t.Run(fmt.Sprintf("whole %t, start %d", whole, start), func(t *testing.T) {
				l, now := newEntryList(), time.Unix(1000, 0)
				l.replaceAll(now, 5, []*route.Upstream{born("a", 2), born("b", 1)})
				l.commit(8, l.remove(now, "a"))
				l.applyFetched(now, fetchReply{
					Mark: 8<<localMarkBits + 1, Revision: 8, Whole: whole, Entries: []route.Upstream{*born("a", start), *born("b", 1)},
					Retained: []retainedEntry{{ID: "a", Millis: 2000}},
				})
				assert.Assert(t, !l.snapshot().Accepts("a") && l.snapshot().Accepts("b"))
			})
		}
	}
}
