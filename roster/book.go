package roster

import (
	"slices"
	"time"

	"knapweedwell/route"
)

// DoubtTime is how long after the store's return an entry that lapsed while it
// was away may be missing before its upstream is taken as gone.
const DoubtTime = 2 * time.Second

const (
	// localBits is the bits of a mark that count the changes between two revisions
	// of the store, such as the end of a doubt.
	localBits = 8
	// leastLapse and lapseShare tell how many entries have to vanish at once, also
	// as one of so many parts of all, to be taken as lapsed.
	leastLapse = 2
	lapseShare = 3
	maxLog     = 512 // maxLog bounds the changes that are kept for peers.
)

// book is the list as it changes. It is a pure function of its calls.
type book struct {
	entries map[string]*route.Upstream
	missing map[string]bool // missing holds the entries that are used although the store does not show them.
	mark    int64           // mark rises with each change: the store's revision, and a count of local changes.
	doubt   time.Time       // doubt is until when missing entries are used.
	log     []change        // log holds the latest changes, the oldest first.
	since   int64           // since is the mark after which the log is whole.
}

// change is one entry that changed.
type change struct {
	mark int64
	id   string
}

func newBook() *book {
	return &book{entries: map[string]*route.Upstream{}, missing: map[string]bool{}}
}

// back notes that the store answers again after it was away.
func (b *book) back(now time.Time) {
	b.doubt = now.Add(DoubtTime)
}

// list takes in a whole list. It reports whether anything changed.
func (b *book) list(now time.Time, revision int64, entries []*route.Upstream) bool {
	return b.advance(revision, b.compare(now, entries))
}

// compare makes the entries those of a whole list. It reports whether anything
// changed.
func (b *book) compare(now time.Time, entries []*route.Upstream) bool {
	shown := map[string]bool{}
	changed := false
	for _, e := range entries {
		shown[e.ID] = true
		changed = b.put(e) || changed
	}
	var gone []string
	for id := range b.entries {
		if !shown[id] {
			gone = append(gone, id)
		}
	}
	b.suspect(now, gone)
	for _, id := range gone {
		changed = b.remove(now, id) || changed
	}
	return changed
}

// suspect begins a doubt if so many entries vanish at once that they have rather
// lapsed than left, as after an outage that this instance has not seen itself.
func (b *book) suspect(now time.Time, gone []string) {
	silent := 0
	for _, id := range gone {
		if e := b.entries[id]; e != nil && !e.Leaving && !b.missing[id] {
			silent++
		}
	}
	if silent >= leastLapse && silent*lapseShare >= len(b.entries) && !now.Before(b.doubt) {
		b.doubt = now.Add(DoubtTime)
	}
}

// adopt takes in what a peer knows. It reports whether that is newer.
func (b *book) adopt(f fetched) bool {
	if f.Mark <= b.mark {
		return false
	}
	kept := map[string]bool{}
	for i := range f.Entries {
		b.put(&f.Entries[i])
		kept[f.Entries[i].ID] = true
	}
	// The peer was in doubt before it told of a removal.
	for id := range b.entries {
		if (f.Whole && !kept[id]) || slices.Contains(f.Removed, id) {
			b.take(id)
		}
	}
	b.stamp(f.Mark)
	return true
}

// advance gives the changes since the last call a mark, if there are any.
func (b *book) advance(revision int64, changed bool) bool {
	if changed {
		b.stamp(max(revision<<localBits, b.mark+1))
	}
	return changed
}

// stamp gives the changes since the last call the mark.
func (b *book) stamp(mark int64) {
	b.mark = mark
	for i := len(b.log) - 1; i >= 0 && b.log[i].mark == 0; i-- {
		b.log[i].mark = mark
	}
	if over := len(b.log) - maxLog; over > 0 {
		b.since = b.log[over-1].mark
		b.log = append([]change(nil), b.log[over:]...)
	}
}

// note adds a change to the log. Its mark is set by advance.
func (b *book) note(id string) {
	b.log = append(b.log, change{id: id})
}

// after returns the entries that changed after a mark and the IDs of those that
// were removed, or false if the log does not reach back so far.
func (b *book) after(mark int64) (entries []route.Upstream, removed []string, ok bool) {
	if mark < b.since || mark == 0 {
		return nil, nil, false
	}
	seen := map[string]bool{}
	for _, c := range b.log {
		if c.mark <= mark || seen[c.id] {
			continue
		}
		seen[c.id] = true
		if e := b.entries[c.id]; e != nil {
			entries = append(entries, *e)
		} else {
			removed = append(removed, c.id)
		}
	}
	return entries, removed, true
}

// put takes in an entry. It reports whether anything changed.
func (b *book) put(e *route.Upstream) bool {
	delete(b.missing, e.ID)
	old := b.entries[e.ID]
	if old != nil && *old == *e {
		return false
	}
	b.entries[e.ID] = e
	b.note(e.ID)
	return true
}

// remove takes an entry out, or keeps it in doubt after an outage unless it was
// leaving.
func (b *book) remove(now time.Time, id string) bool {
	e := b.entries[id]
	if e == nil {
		return false
	}
	if now.Before(b.doubt) && !e.Leaving {
		b.missing[id] = true
		return false
	}
	b.take(id)
	return true
}

// take takes an entry out.
func (b *book) take(id string) {
	delete(b.entries, id)
	delete(b.missing, id)
	b.note(id)
}

// settle takes out what is still missing once the doubt is over.
func (b *book) settle(now time.Time) bool {
	if now.Before(b.doubt) || len(b.missing) == 0 {
		return false
	}
	for id := range b.missing {
		b.take(id)
	}
	return b.advance(0, true)
}

// publish returns the list as it is now.
func (b *book) publish() *Roster {
	entries := make(map[string]*route.Upstream, len(b.entries))
	for id, e := range b.entries {
		entries[id] = e
	}
	return newRoster(b.mark, entries)
}
