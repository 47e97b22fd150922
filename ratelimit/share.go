package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"knapweedwell/member"
	"knapweedwell/route"
)

// limitOf returns the limit of an upstream's incarnation, nil if it has none. The caller
// holds l.mu.
func (l *Limits) limitOf(u *route.Upstream) *limit {
	lim := l.limits[u.ID]
	if lim == nil || !lim.evidence.Named || lim.evidence.Born != u.Born {
		return nil
	}
	return lim
}

// shareOf returns the requests a second that this instance may send to an upstream, and
// sets its bucket. The caller holds l.mu.
func (l *Limits) shareOf(now time.Time, lim *limit, u *route.Upstream) float64 {
	l.updateMembers(now)
	if lim.chosenFor == l.liveHash && lim.bucket != nil {
		return lim.share
	}
	lim.chosenFor = l.liveHash
	named := max(lim.evidence.Rate, minRate)
	count := min(max(int(math.Ceil(lim.evidence.Rate)), 1), max(len(l.live), 1))
	lim.share = 0
	if l.isChosen(u, count) {
		lim.share = named / float64(count)
	}
	if lim.bucket == nil {
		lim.bucket = rate.NewLimiter(rate.Limit(lim.share), 1)
		lim.bucket.AllowN(now, 1) // requests were sent before the limit was known
	}
	lim.bucket.SetLimitAt(now, rate.Limit(lim.share))
	return lim.share
}

// updateMembers updates the live instances. The caller holds l.mu.
func (l *Limits) updateMembers(now time.Time) {
	if l.liveHash != 0 && now.Sub(l.checkedAt) < memberPeriod {
		return
	}
	l.checkedAt = now
	l.live = l.live[:0]
	l.liveHash = 1
	for _, m := range l.Members() {
		if m.State == member.Live {
			l.live = append(l.live, m)
			l.liveHash += xxhash.Sum64String(m.Name)
		}
	}
}

// isChosen reports whether this instance is among the count instances that use an upstream.
// The caller holds l.mu.
func (l *Limits) isChosen(u *route.Upstream, count int) bool {
	type candidate struct {
		far  int
		hash uint64
	}
	candidateOf := func(m member.Member) candidate {
		c := candidate{hash: xxhash.Sum64String(u.ID + "\x00" + m.Name)}
		if l.Regions[m.Zone] != l.Regions[u.Zone] {
			c.far = 1
		}
		return c
	}
	own := slices.IndexFunc(l.live, func(m member.Member) bool { return m.Name == l.Self })
	if own < 0 {
		return false
	}
	self := candidateOf(l.live[own])
	preceding := 0
	for _, m := range l.live {
		c := candidateOf(m)
		if m.Name != l.Self && cmp.Or(cmp.Compare(c.far, self.far), cmp.Compare(c.hash, self.hash)) < 0 {
			preceding++
		}
	}
	return preceding < count
}
