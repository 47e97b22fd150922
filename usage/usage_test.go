package usage

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testWindow = 5 * time.Second

// TestRepeatedMessages guards against counts that are added twice because a datagram is repeated
// or overtaken by an older one.
func TestRepeatedMessages(t *testing.T) {
	slot := Slot{Kind: WindowKind, Number: 7}
	c := newCollector()
	for _, count := range []int64{3, 9, 9, 5} {
		c.add(Message{Source: "a@1", Slot: slot, Entries: []Entry{{Name: "o", Count: count}}})
	}
	c.add(Message{Source: "a@2", Slot: slot, Entries: []Entry{{Name: "o", Count: 4}}})
	sum, n := c.total(slot, "z")
	assert.Equal(t, sum["o"], int64(13))
	assert.Equal(t, n, 2)
}

// TestZoneSums guards against a zone that is counted twice because it has two aggregators, and
// one whose sums are taken from the aggregator that covers less.
func TestZoneSums(t *testing.T) {
	slot := Slot{Kind: WindowKind, Number: 7}
	c := newCollector()
	c.add(Message{Source: "a@1", Slot: slot, Entries: []Entry{{Name: "o", Count: 1}}})
	c.add(Message{Source: "b@1", Zone: "y", Covers: 3, Slot: slot, Entries: []Entry{{Name: "o", Count: 30}}})
	c.add(Message{Source: "c@1", Zone: "y", Covers: 4, Slot: slot, Entries: []Entry{{Name: "o", Count: 20}}})
	sum, n := c.total(slot, "z")
	assert.Equal(t, sum["o"], int64(21))
	assert.Equal(t, n, 5)
}

// TestMessageSize guards against datagrams that are too large where there are 490 organisations.
func TestMessageSize(t *testing.T) {
	var entries []Entry
	for i := range 490 {
		entries = append(entries, Entry{Name: "organisation-" + strconv.Itoa(i), Count: 1000})
	}
	n := 0
	for _, m := range messages(Message{Source: "entry-1@1"}, entries) {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Name) + entryBytes
		}
		n += len(m.Entries)
		assert.Assert(t, size <= maxMessageBytes)
	}
	assert.Equal(t, n, 490)
}

// TestMemory guards against counts that are kept for longer than needed.
func TestMemory(t *testing.T) {
	c := newCollector()
	for number := range int64(100) {
		c.add(Message{Source: "a@1", Slot: Slot{Kind: WindowKind, Number: number}, Entries: []Entry{{Name: "o", Count: 1}}})
		c.expire(time.Unix(number*5, 0).Add(-keepTime), testWindow)
	}
	assert.Assert(t, len(c.books["a@1"]) <= 15)
}

// TestClockCorrection guards against windows that are cut by a wrong wall clock: the time
// follows the median of the peers in steps.
func TestClockCorrection(t *testing.T) {
	start := time.Unix(1000, 0)
	c := clock{base: start.Add(4 * time.Second), peers: map[string]difference{}}
	elapsed := time.Duration(0)
	for range 200 {
		elapsed += roundPeriod
		for i, wrong := range []time.Duration{0, 0, 20 * time.Millisecond, -7 * time.Second} {
			c.heard(elapsed, strconv.Itoa(i), start.Add(elapsed+wrong).UnixMilli())
		}
		before := c.base
		c.correct(elapsed)
		assert.Assert(t, c.base.Sub(before).Abs() <= maxStep)
	}
	off := c.at(elapsed).Sub(start.Add(elapsed))
	assert.Assert(t, off.Abs() <= 30*time.Millisecond, "off by %s", off)
}

// TestNextWindow checks when a window is decided, and that those missed in an outage are.
func TestNextWindow(t *testing.T) {
	for _, c := range []struct {
		last int64
		at   time.Duration // since the start of window 100
		next int64
		due  bool
	}{
		{99, 4 * time.Second, 100, false},
		{99, 6900 * time.Millisecond, 100, false},
		{99, 7 * time.Second, 100, true},
		{95, 7 * time.Second, 96, true},
		{0, 7 * time.Second, 95, true},
		{200, 7 * time.Second, 201, false},
	} {
		next, due := nextWindow(c.last, time.Unix(500, 0).Add(c.at), testWindow, 30*time.Second)
		assert.Equal(t, due, c.due, "%+v", c)
		if due {
			assert.Equal(t, next, c.next, "%+v", c)
		}
	}
}

// TestMergeLedgers guards against counts of a decided window that change after it was stored.
func TestMergeLedgers(t *testing.T) {
	known := ledger{Last: 8, Windows: []decided{{Window: 7, Counts: map[string]int64{"o": 1}, Accepted: true}, {Window: 8, Counts: map[string]int64{"o": 5}}}}
	stored := ledger{Last: 7, Windows: []decided{{Window: 7, Counts: map[string]int64{"o": 2}}}}
	l := mergeLedgers(known, stored)
	assert.Equal(t, l.Last, int64(8))
	assert.DeepEqual(t, l.Windows, []decided{{Window: 7, Counts: map[string]int64{"o": 2}, Accepted: true}, {Window: 8, Counts: map[string]int64{"o": 5}}})
}
