package roster

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

// TestExpiryNeedsAnOutage guards against many removed upstreams that stay in use because they left at
// once, though no outage was long enough for the entries of so many to expire.
func TestExpiryNeedsAnOutage(t *testing.T) {
	const heartbeat, all = time.Second, 12
	for _, c := range []struct {
		length  time.Duration // of the outage that may have been
		missing int
		expired bool
	}{
		{0, 12, false},
		{1999 * time.Millisecond, 12, false},
		{2 * time.Second, 4, false},
		{2300 * time.Millisecond, 4, false},
		{2400 * time.Millisecond, 4, true},
		{2400 * time.Millisecond, 8, false},
		{2700 * time.Millisecond, 8, true},
		{2900 * time.Millisecond, 12, false},
		{3 * time.Second, 12, true},
		{math.MaxInt64, 12, true},
		{math.MaxInt64, 3, false},
	} {
		l, now := newEntryList(), time.Unix(1000, 0)
		var entries []*route.Upstream
		for i := range all {
			entries = append(entries, entry(string(rune('a'+i)), false))
		}
		l.replaceAll(now, 5, entries)
		l.before = outage{length: c.length, heartbeat: heartbeat}
		l.replaceAll(now, 9, entries[c.missing:])
		used := all - c.missing
		if c.expired {
			used = all
		}
		assert.Equal(t, len(l.snapshot().Pool("p")), used, "%d of %d missing after %s", c.missing, all, c.length)
	}
}

// TestShortestOutage checks that an outage of two heartbeats is the shortest one in which entries
// expire.
func TestShortestOutage(t *testing.T) {
	assert.Assert(t, !outage{length: 2*time.Second - 1, heartbeat: time.Second}.mayExpire())
	assert.Assert(t, outage{length: 2 * time.Second, heartbeat: time.Second}.mayExpire())
	assert.Assert(t, unknownOutage.mayExpire())
}
