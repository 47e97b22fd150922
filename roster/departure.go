package roster

import (
	"time"

	"knapweedwell/route"
)

// departureLifetime is how long the statement of an upstream without an entry is kept,
// in case old data is listed again.
const departureLifetime = 10 * time.Minute

// departure is the statement of an upstream that it leaves.
type departure struct {
	born     int64 // incarnation that made the statement
	statedAt time.Time
}

// recordDeparture records that an upstream has said that it leaves. It reports whether
// that was not known.
func (l *entryList) recordDeparture(now time.Time, u *route.Upstream) bool {
	if d, ok := l.departures[u.ID]; ok && d.born == u.Born {
		return false
	}
	l.forgetDepartures(now)
	l.departures[u.ID] = departure{born: u.Born, statedAt: now}
	return true
}

// forgetDepartures deletes the old statements of upstreams without an entry.
func (l *entryList) forgetDepartures(now time.Time) {
	for id, d := range l.departures {
		if l.entries[id] == nil && now.Sub(d.statedAt) > departureLifetime {
			delete(l.departures, id)
		}
	}
}

// leaves reports whether an upstream leaves according to its entry or to itself, or whether
// that is in doubt.
func (l *entryList) leaves(e *route.Upstream) bool {
	d, ok := l.departures[e.ID]
	return e.Leaving || (ok && d.born == e.Born) || l.doubted[e.ID]
}
