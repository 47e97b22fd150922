package duty

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/platform"
)

const (
	renewals    = 3  // writes of the holder in the length of a lease
	marginShare = 10 // the margin is this part of the lease
	minMargin   = 200 * time.Millisecond
	eraShift    = 32 // bits of a token below the era of the store
	maxNumber   = 1<<eraShift - 1
	eras        = 1 << 30 // that a token tells apart; it stays positive
)

// record is the value of the lease's object.
type record struct {
	Holder   string // identity of an incarnation
	Token    int64
	Nonce    string // new for each write
	Released bool
}

func decodeRecord(o platform.Object) (record, error) {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode lease")
	}
	if r.Holder == "" || r.Token <= 0 || r.Nonce == "" {
		return record{}, errors.Errorf("lease has holder %q, token %d and nonce %q; expected all of them", r.Holder, r.Token, r.Nonce)
	}
	return r, nil
}

// sighting is the object as a read has shown it.
type sighting struct {
	era      int64
	revision int64 // of the object, zero if it does not exist
	store    int64 // highest revision of the store that is known to this read
	record   record
	readable bool
	at       Instant // when this revision was first seen
}

// gives reports whether the object gives its holder the lease in the present era.
func (s sighting) gives() bool {
	return s.readable && !s.record.Released && tokenEra(s.era) == eraOf(s.record.Token)
}

// olderThan reports whether a read shows an earlier state of the store than another one.
func (s sighting) olderThan(other sighting) bool {
	return s.era < other.era || (s.era == other.era && s.store < other.store)
}

// lease is what one instance knows of the lease. Its methods are functions of their arguments
// and of what it knows; they serve a holder that writes a few times in the length of the lease
// and candidates that read once a second.
type lease struct {
	length time.Duration
	margin time.Duration // beyond length before another holder's lease counts as over

	seen   sighting
	known  bool // whether seen holds a sighting
	held   bool
	token  int64
	era    int64              // of the store when the lease was last written
	from   Instant            // just before the last renewal known to have succeeded was sent
	nonce  string             // of that renewal
	writes map[string]Instant // when those were sent of which the outcome is unknown, by nonce
	unsure bool               // a read has to tell the outcome of a write
	// lostAt is when this instance last ceased to hold the lease.
	lostAt  Instant
	hasLost bool
	highest int64 // highest token seen
}

func newLease(length time.Duration) lease {
	return lease{length: length, margin: max(length/marginShare, minMargin), writes: map[string]Instant{}}
}

// valid reports whether the lease is held for at least the reserve.
func (l *lease) valid(now Instant, reserve time.Duration) bool {
	return l.held && now.atMost(l.from) < l.length-reserve
}

// renewalDue reports whether the holder has to write now.
func (l *lease) renewalDue(now Instant) bool {
	return now.atMost(l.from) >= l.length/renewals
}

// see records a read of the object. A write of this instance with an unknown outcome is
// recognised by its nonce. A read that is older than an earlier one changes nothing.
func (l *lease) see(s sighting) {
	if l.known && s.olderThan(l.seen) {
		return
	}
	if l.known && s.era == l.seen.era && s.revision == l.seen.revision {
		s.at = l.seen.at
	}
	l.seen, l.known, l.unsure = s, true, false
	l.highest = max(l.highest, s.record.Token)
	sent, own := l.writes[s.record.Nonce]
	switch {
	case own && s.gives():
		l.accept(s.record, s.era, sent)
	case l.held && s.era == l.era && (!s.readable || s.record.Nonce != l.nonce):
		l.lose(s.at)
	}
}

// sent records that a write is sent, and forgets those that cannot give a lease any more.
func (l *lease) sent(nonce string, at Instant) {
	for n, sent := range l.writes {
		if at.atMost(sent) > l.length {
			delete(l.writes, n)
		}
	}
	l.writes[nonce] = at
}

// accept records that a write of this instance, sent at the given time, is in the store.
func (l *lease) accept(r record, era int64, sent Instant) {
	l.held, l.token, l.era, l.from, l.nonce = true, r.Token, era, sent, r.Nonce
	l.highest = max(l.highest, r.Token)
	l.unsure = false
	l.writes = map[string]Instant{}
}

// lose records that the lease is no longer held.
func (l *lease) lose(now Instant) {
	if l.held {
		l.lostAt, l.hasLost = now, true
	}
	l.held = false
	l.writes = map[string]Instant{}
}

// mayTake reports whether this instance, which does not hold the lease, may write it.
// A release counts only if it was written in the present era: one that a copy brought
// back says nothing of the holder since.
func (l *lease) mayTake(now Instant) bool {
	if !l.known || (l.hasLost && now.atLeast(l.lostAt) < l.length) {
		return false
	}
	if l.seen.readable && l.seen.record.Released && eraOf(l.seen.record.Token) == tokenEra(l.seen.era) {
		return true
	}
	return now.atLeast(l.seen.at) > l.length+l.margin
}

// mayResume reports whether the holder of an earlier era may write the lease at once in the
// present one: no other holder has written it since the store came back.
func (l *lease) mayResume(era int64) bool {
	return l.known && l.seen.era == era && (!l.seen.readable || eraOf(l.seen.record.Token) < tokenEra(era))
}

// nextToken returns a token above all that were given out. The number of a token never exceeds
// the store's revision, because each holder has written once at least: where the object
// is absent or unreadable, the revision takes the place of the last number.
func (l *lease) nextToken() int64 {
	era := tokenEra(l.seen.era)
	token := max(era<<eraShift, l.highest) + 1
	if !l.seen.readable {
		token = max(token, era<<eraShift|min(l.seen.store, maxNumber))
	}
	return token
}

// tokenEra returns the part of a token that stands for an era.
func tokenEra(era int64) int64 {
	return era % eras
}

func eraOf(token int64) int64 {
	return token >> eraShift
}
