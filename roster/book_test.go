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

// TestDoubt follows entries over an outage.
func TestDoubt(t *testing.T) {
	b, now := newBook(), time.Unix(1000, 0)
	b.list(now, 5, []*route.Upstream{entry("a", false), entry("b", true), entry("c", false)})
	b.back(now)
	assert.Assert(t, b.list(now, 9, nil), "the leaving one is gone at once")
	assert.Equal(t, len(b.publish().Pool("p")), 2)
	b.put(entry("a", false))
	b.advance(10, true)
	before := b.mark
	assert.Assert(t, !b.settle(now.Add(DoubtTime-time.Millisecond)))
	assert.Assert(t, b.settle(now.Add(DoubtTime)))
	assert.Assert(t, b.mark > before, "peers must hear of the end of the doubt")
	r := b.publish()
	assert.Assert(t, r.Takes("a") && !r.Takes("c") && !r.Takes("b"))
}

// TestDeltas lets one instance follow another by deltas, whatever happens: it
// ends with the same entries.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		source, copied := newBook(), newBook()
		revision := int64(10)
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			id := string(rune('a' + rapid.IntRange(0, 9).Draw(t, "id")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				source.advance(revision, source.put(entry(id, rapid.Bool().Draw(t, "leaving"))))
			case 2:
				revision++
				source.advance(revision, source.remove(now, id))
			case 3:
				source.back(now)
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				source.settle(now)
			case 4:
				catchUp(source, copied)
			}
		}
		now = now.Add(DoubtTime)
		source.settle(now)
		catchUp(source, copied)
		assert.DeepEqual(t, copied.entries, source.entries)
		assert.Equal(t, copied.mark, source.mark)
	})
}

// catchUp does what a fetch from a peer does.
func catchUp(source, copied *book) {
	f := fetched{Mark: source.mark}
	entries, removed, ok := source.after(copied.mark)
	if ok {
		f.Entries, f.Removed = entries, removed
	} else {
		f.Whole = true
		for _, e := range source.entries {
			f.Entries = append(f.Entries, *e)
		}
	}
	copied.adopt(f)
}

// TestAdoptInDoubt lets a peer tell of a removal while this instance is in doubt
// itself: the peer has waited already.
func TestAdoptInDoubt(t *testing.T) {
	b, now := newBook(), time.Unix(1000, 0)
	b.list(now, 5, []*route.Upstream{entry("a", false), entry("b", false)})
	b.back(now)
	assert.Assert(t, b.adopt(fetched{Mark: 9 << localBits, Removed: []string{"a"}}))
	assert.Assert(t, !b.publish().Takes("a"))
}

// TestLapse lets a list show few or hardly any of the entries, without any sign
// of an outage before: a few are gone, many have lapsed.
func TestLapse(t *testing.T) {
	for _, c := range []struct {
		shown, used, later int
	}{{12, 12, 12}, {11, 11, 11}, {9, 9, 9}, {7, 12, 7}, {0, 12, 0}} {
		b, now := newBook(), time.Unix(1000, 0)
		var all []*route.Upstream
		for i := range 12 {
			all = append(all, entry(string(rune('a'+i)), false))
		}
		b.list(now, 5, all)
		b.list(now, 9, all[:c.shown])
		assert.Equal(t, len(b.publish().Pool("p")), c.used, "%d shown", c.shown)
		b.settle(now.Add(DoubtTime))
		assert.Equal(t, len(b.publish().Pool("p")), c.later, "%d shown, later", c.shown)
	}
}
