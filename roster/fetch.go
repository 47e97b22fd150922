package roster

import (
	"slices"
	"time"

	"knapweedwell/route"
)

// fetchRequest asks a peer for the changes after a mark of an era.
type fetchRequest struct {
	Era   int64
	After int64
}

// fetchReply is a peer's answer to a fetchRequest.
type fetchReply struct {
	Era      int64
	Mark     int64
	Revision int64 // of the store up to which the peer has all changes; zero from earlier builds
	Whole    bool  // Entries are all entries of the peer, not only the changed ones
	// GapEnd is the mark up to which not all changes are known one by one; zero if they are, and
	// from earlier builds.
	GapEnd   int64
	Entries  []route.Upstream
	Removed  []string
	Expired  []string        // those of Removed that may have expired although their upstreams run
	Retained []retainedEntry // entries that the peer uses although the store does not list them
}

// retainedEntry is an entry that is retained for some time more.
type retainedEntry struct {
	ID     string
	Millis int64
}

// retentions returns until when the peer's retained entries are used. An absurd time is bounded.
func (f *fetchReply) retentions(now time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for _, r := range f.Retained {
		left := min(max(r.Millis, 0), RetainTime.Milliseconds())
		ends[r.ID] = now.Add(time.Duration(left) * time.Millisecond)
	}
	return ends
}

// reply returns the answer to the request of a peer.
func (l *entryList) reply(now time.Time, req fetchRequest) fetchReply {
	f := fetchReply{Era: l.era, Mark: l.mark, Revision: l.revision}
	for id, until := range l.retained {
		f.Retained = append(f.Retained, retainedEntry{ID: id, Millis: until.Sub(now).Milliseconds()})
	}
	entries, removed, ok := l.changesAfter(req.After)
	if ok && req.Era == l.era {
		f.Entries, f.Removed, f.GapEnd = entries, removed, l.lastGapEnd(req.After)
		for _, id := range removed {
			if l.gone.entries[id].expired {
				f.Expired = append(f.Expired, id)
			}
		}
		return f
	}
	f.Whole = true
	for _, e := range l.entries {
		f.Entries = append(f.Entries, *e)
	}
	return f
}

// applyFetched applies the answer of a peer. It reports whether the answer
// is newer than the list.
func (l *entryList) applyFetched(now time.Time, f fetchReply) bool {
	position := Position{Era: f.Era, Mark: f.Mark}
	if !l.position().Before(position) || (!f.Whole && (!l.eraKnown || position.Era > l.era)) {
		return false
	}
	if position.Era == l.era && f.Revision < l.revision && f.Revision > 0 {
		// The peer's list is older, though its newest change is not.
		return l.commit(l.revision, true)
	}
	l.startEra(now, position.Era)
	if l.unlisted && f.Whole {
		l.doubt(pointers(f.Entries))
	}
	if f.Whole {
		l.logGap(max(f.Mark, f.Revision<<localMarkBits))
	} else {
		l.logGap(f.GapEnd)
	}
	l.takeEntries(now, &f)
	l.dropRemoved(&f)
	l.setMark(f.Mark)
	l.revision = max(l.revision, f.Revision)
	return true
}

// takeEntries takes the entries of a peer's answer. Those that the store does not list are
// retained no longer than by the peer, and not taken if they are known to be gone.
func (l *entryList) takeEntries(now time.Time, f *fetchReply) {
	retained := f.retentions(now)
	for i := range f.Entries {
		e := &f.Entries[i]
		_, missing := retained[e.ID]
		gone, _ := l.gone.holds(e)
		switch {
		case missing && l.entries[e.ID] != nil:
		case missing && gone:
			l.logChange(e.ID)
		case f.Whole:
			l.put(e)
		default:
			l.written(e)
		}
	}
	for id, until := range retained {
		if l.entries[id] != nil && !l.retains(id) {
			l.retain(id, until)
		}
	}
}

// dropRemoved drops the entries that a peer has removed. It has retained them itself before. One
// that is not known here may be in use at another peer, which learns of its removal from here.
func (l *entryList) dropRemoved(f *fetchReply) {
	for _, id := range f.Removed {
		if l.entries[id] == nil {
			l.logChange(id)
		}
	}
	kept := map[string]bool{}
	for i := range f.Entries {
		kept[f.Entries[i].ID] = true
	}
	for id := range l.entries {
		if (f.Whole && !kept[id]) || slices.Contains(f.Removed, id) {
			l.deleteEntry(id, l.retains(id) || slices.Contains(f.Expired, id))
		}
	}
}
