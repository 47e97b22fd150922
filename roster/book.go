package roster

import (
	"time"

	"knapweedwell/route"
)

// DoubtTime is how long after the store's return an entry that lapsed while it
// was away may be missing before its upstream is taken as gone.
const DoubtTime = 2 * time.Second

// book is the list as it changes. It is a pure function of its calls.
type book struct {
	entries  map[string]*route.Upstream
	missing  map[string]bool // missing holds the entries that are used although the store does not show them.
	revision int64
	doubt    time.Time // doubt is until when missing entries are used.
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
	shown := map[string]bool{}
	changed := false
	for _, e := range entries {
		shown[e.ID] = true
		changed = b.put(e) || changed
	}
	for id := range b.entries {
		if !shown[id] {
			changed = b.remove(now, id) || changed
		}
	}
	if changed {
		b.revision = max(b.revision, revision)
	}
	return changed
}

// put takes in an entry. It reports whether anything changed.
func (b *book) put(e *route.Upstream) bool {
	delete(b.missing, e.ID)
	old := b.entries[e.ID]
	if old != nil && *old == *e {
		return false
	}
	b.entries[e.ID] = e
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
	delete(b.entries, id)
	delete(b.missing, id)
	return true
}

// settle takes out what is still missing once the doubt is over.
func (b *book) settle(now time.Time) bool {
	if now.Before(b.doubt) || len(b.missing) == 0 {
		return false
	}
	for id := range b.missing {
		delete(b.entries, id)
	}
	b.missing = map[string]bool{}
	return true
}

// publish returns the list as it is now.
func (b *book) publish() *Roster {
	entries := make(map[string]*route.Upstream, len(b.entries))
	for id, e := range b.entries {
		entries[id] = e
	}
	return newRoster(b.revision, entries)
}
