package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// born returns the entry of an upstream's incarnation that the store lists as ready.
func born(id string, at int64) *route.Upstream {
	e := entry(id, false)
	e.Born = at
	return e
}

// TestDeparture lists an upstream that has said that it leaves in each way in which
// entries arrive: it is not used again, but its next incarnation is.
func TestDeparture(t *testing.T) {
	for name, list := range map[string]func(l *entryList, now time.Time, e *route.Upstream){
		"listed":  func(l *entryList, now time.Time, e *route.Upstream) { l.replaceAll(now, 9, []*route.Upstream{e}) },
		"changed": func(l *entryList, _ time.Time, e *route.Upstream) { l.commit(9, l.put(e)) },
		"fetched": func(l *entryList, now time.Time, e *route.Upstream) {
			l.applyFetched(now, fetchReply{Mark: l.mark + 1, Entries: []route.Upstream{*e}})
		},
		"removed and listed": func(l *entryList, now time.Time, e *route.Upstream) { l.remove(now, e.ID); l.commit(9, l.put(e)) },
	} {
		t.Run(name, func(t *testing.T) {
			l, now := newEntryList(), time.Unix(1000, 0)
			l.replaceAll(now, 5, []*route.Upstream{born("a", 1), born("b", 1)})
			assert.Assert(t, l.recordDeparture(now, born("a", 1)))
			assert.Assert(t, !l.recordDeparture(now, born("a", 1)))
			assert.DeepEqual(t, l.snapshot().Leaving(), []string{"a"})
			list(l, now, &route.Upstream{ID: "a", Pool: "q", Address: "10.0.0.2:1", Born: 1})
			assert.Assert(t, !l.snapshot().Accepts("a"))
			assert.Equal(t, len(l.snapshot().Pool("q")), 0)
			list(l, now, born("a", 2))
			assert.Assert(t, l.snapshot().Accepts("a"))
		})
	}
}

// TestDepartureNotRetained removes the entry of an upstream that has said that it leaves
// in a retention period: it is removed at once, like one that the store lists as leaving.
func TestDepartureNotRetained(t *testing.T) {
	l, now := newEntryList(), time.Unix(1000, 0)
	l.replaceAll(now, 5, []*route.Upstream{born("a", 1), born("b", 1)})
	l.recordDeparture(now, born("a", 1))
	l.storeReturned(now)
	l.replaceAll(now, 9, nil)
	assert.Assert(t, l.snapshot().Entries["a"] == nil && l.snapshot().Accepts("b"))
}

// TestDeparturesForgotten checks that statements are kept while the upstream is listed,
// and for departureLifetime after them otherwise.
func TestDeparturesForgotten(t *testing.T) {
	l, now := newEntryList(), time.Unix(1000, 0)
	l.replaceAll(now, 5, []*route.Upstream{born("listed", 1), born("gone", 1), born("unknown", 0)})
	for _, u := range []*route.Upstream{born("listed", 1), born("gone", 1), born("unknown", 0)} {
		l.recordDeparture(now, u)
	}
	l.remove(now, "gone")
	l.remove(now, "unknown")
	assert.Equal(t, len(l.departures), 2, "the incarnations of one upstream cannot be distinguished")
	now = now.Add(departureLifetime)
	l.recordDeparture(now, born("b", 1))
	assert.Equal(t, len(l.departures), 3)
	l.recordDeparture(now.Add(time.Millisecond), born("c", 1))
	assert.Equal(t, len(l.departures), 3)
	assert.Assert(t, !l.snapshot().Accepts("listed"))
}
