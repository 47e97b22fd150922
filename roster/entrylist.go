package roster

import (
	"time"

	"knapweedwell/route"
)

// RetainTime is the length of the retention period: how long after the store's
// return an entry that expired during the outage may be missing before it is
// dropped.
const RetainTime = 2 * time.Second

const (
	// localMarkBits is the number of low bits of a mark that count the changes
	// between two revisions of the store, such as dropping retained entries.
	localMarkBits = 8
	// Entries that are removed at once may have expired only if there are at least
	// minExpired of them and at least one in expiredDivisor of all entries.
	minExpired     = 2
	expiredDivisor = 3
)

// entryList is the current list of entries. Its state depends on nothing but
// the calls of its methods.
type entryList struct {
	entries map[string]*route.Upstream
	// retained holds the entries that are used although the store does not list them, with
	// the time until which they are. Nothing prolongs it.
	retained map[string]time.Time
	// departures are the statements that upstreams have made to this instance, by their
	// IDs. They hold whatever the store and the peers list.
	departures map[string]departure
	// gone holds the entries that were removed in this era, goneBefore those of the era
	// before until the first list of this one.
	gone       goneEntries
	goneBefore goneEntries
	doubted    map[string]bool // IDs of entries that may be listed from an old copy only
	doubtUntil time.Time
	era        int64 // of the store's revisions in mark and revision
	eraKnown   bool  // by a list of the store or of a peer, which may name none
	// mark rises with each change in an era. It is the revision of the store, shifted by
	// localMarkBits, plus the number of local changes since that revision.
	mark int64
	// revision is that of the store up to which the list holds all changes; zero if that is
	// not known.
	revision int64
	// Entries that are missed before retainUntil are retained until then.
	retainUntil time.Time
	// before is the longest outage of the store that may have ended with the answer that is being
	// applied.
	before        outage
	changes       []change    // most recent changes, the oldest first
	completeAfter int64       // mark after which changes is complete, but for gaps
	gaps          []gap       // the oldest first
	unlisted      bool        // no complete list has been applied in this era
	news          []retention // changes of retained since they were last taken
	loss          *loss       // the newest one that has not been taken
}

// loss is that of many entries at once.
type loss struct {
	entries int // that are missing
	of      int // all entries
	before  outage
	expired bool // they count as expired
}

// retention is the beginning or the end of the use of an entry that the store does not list.
type retention struct {
	id    string
	until time.Time // zero at the end
}

func newEntryList() *entryList {
	return &entryList{
		entries: map[string]*route.Upstream{}, retained: map[string]time.Time{}, departures: map[string]departure{}, unlisted: true,
		before: unknownOutage,
	}
}

// storeReturned starts a retention period. It is called when the store answers
// again after an outage.
func (l *entryList) storeReturned(now time.Time) {
	l.retainUntil = now.Add(RetainTime)
}

// outdated reports whether the list holds changes after a revision of the store, which a
// peer has sent before the store's answer was read.
func (l *entryList) outdated(revision int64) bool {
	return revision < l.revision
}

// replaceAll applies a complete list unless it is outdated. It reports whether anything
// changed.
func (l *entryList) replaceAll(now time.Time, revision int64, entries []*route.Upstream) bool {
	if l.outdated(revision) {
		return false
	}
	first := l.unlisted
	if first {
		l.doubt(entries)
	}
	changed := l.reconcile(now, entries)
	gap := !first && revision > l.revision
	if gap {
		l.logGap(revision << localMarkBits)
	}
	// Retained entries are no news to the peers until they are dropped.
	return l.commit(revision, changed || first || (gap && len(l.retained) == 0))
}

// reconcile makes the entries equal to a complete list. It reports whether
// anything changed.
func (l *entryList) reconcile(now time.Time, entries []*route.Upstream) bool {
	listed := map[string]bool{}
	changed := false
	for _, e := range entries {
		listed[e.ID] = true
		changed = l.put(e) || changed
	}
	var gone []string
	for id := range l.entries {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	l.detectExpiry(now, gone)
	for _, id := range gone {
		changed = l.remove(now, id) || changed
	}
	return changed
}

// detectExpiry starts a retention period if so many entries are removed at once, after an outage of
// the store that this instance has not noticed itself, that they have probably expired and their
// upstreams have not left.
func (l *entryList) detectExpiry(now time.Time, gone []string) {
	expired := 0
	for _, id := range gone {
		if e := l.entries[id]; e != nil && !l.leaves(e) && !l.retains(id) {
			expired++
		}
	}
	if expired < minExpired || expired*expiredDivisor < len(l.entries) || now.Before(l.retainUntil) {
		return
	}
	loss := loss{entries: expired, of: len(l.entries), before: l.before}
	loss.expired = loss.before.mayExpireShare(loss.entries, loss.of)
	if loss.expired {
		l.retainUntil = now.Add(RetainTime)
	}
	l.loss = &loss
}

// commit sets the mark of the changes since the last call, if there are any. It
// returns changed.
func (l *entryList) commit(revision int64, changed bool) bool {
	l.revision = max(l.revision, revision)
	if changed {
		l.setMark(max(revision<<localMarkBits, l.mark+1))
	}
	return changed
}

// pointers returns pointers to entries.
func pointers(entries []route.Upstream) []*route.Upstream {
	all := make([]*route.Upstream, len(entries))
	for i := range entries {
		all[i] = &entries[i]
	}
	return all
}

// put adds or replaces an entry. It reports whether anything changed. That a
// retained entry is listed again is a change, because a peer that only retains
// it would delete it.
func (l *entryList) put(e *route.Upstream) bool {
	wasRetained := l.retains(e.ID)
	delete(l.retained, e.ID)
	old := l.entries[e.ID]
	if old != nil && *old == *e && !wasRetained {
		return false
	}
	if old != nil && *old != *e {
		delete(l.doubted, e.ID)
	}
	l.entries[e.ID] = e
	l.logChange(e.ID)
	return true
}

// written is put for an entry that was written in this era.
func (l *entryList) written(e *route.Upstream) bool {
	doubted := l.endDoubt(e.ID)
	return l.put(e) || doubted
}

// endDoubt ends the doubt about an entry and reports whether there was any.
func (l *entryList) endDoubt(id string) bool {
	doubted := l.doubted[id]
	delete(l.doubted, id)
	return doubted
}

// retains reports whether an entry is used although the store does not list it.
func (l *entryList) retains(id string) bool {
	_, ok := l.retained[id]
	return ok
}

// retain uses an entry until the given time although the store does not list it.
func (l *entryList) retain(id string, until time.Time) {
	l.retained[id] = until
	l.news = append(l.news, retention{id: id, until: until})
}

// remove removes an entry, or retains it during a retention period unless it
// was leaving. It reports whether the entry was removed.
func (l *entryList) remove(now time.Time, id string) bool {
	e := l.entries[id]
	if e == nil || (l.retains(id) && !l.leaves(e)) {
		return false
	}
	if now.Before(l.retainUntil) && !l.leaves(e) {
		l.retain(id, l.retainUntil)
		return false
	}
	l.deleteEntry(id, false)
	return true
}

// deleteEntry deletes an entry and logs the change. Expired means that its upstream may run
// all the same.
func (l *entryList) deleteEntry(id string, expired bool) {
	if e := l.entries[id]; e != nil {
		l.gone.add(e, expired && !l.leaves(e))
		if e.Born == 0 {
			// Its next incarnation could not be told from this one.
			delete(l.departures, id)
		}
	}
	delete(l.entries, id)
	delete(l.retained, id)
	delete(l.doubted, id)
	l.logChange(id)
}

// dropRetained deletes the entries that are not retained any longer. It reports whether
// there were any.
func (l *entryList) dropRetained(now time.Time) bool {
	dropped := false
	for id, until := range l.retained {
		if now.Before(until) {
			continue
		}
		l.news = append(l.news, retention{id: id})
		l.deleteEntry(id, true)
		dropped = true
	}
	return dropped && l.commit(l.revision, true)
}

// snapshot returns the list as it is now.
func (l *entryList) snapshot() *Roster {
	entries := make(map[string]*route.Upstream, len(l.entries))
	for id, e := range l.entries {
		if l.leaves(e) && !e.Leaving {
			leaving := *e
			leaving.Leaving = true
			e = &leaving
		}
		entries[id] = e
	}
	return newRoster(l.position(), entries)
}
