// Package limit adapts the concurrency allowed on one upstream to the time
// between tokens that is seen on it: additive increase while the target is
// held and the limit is used, multiplicative decrease while it is missed. The
// limit is not raised if gaps that grow in proportion to it would miss the
// target.
package limit

import (
	"math"
	"time"
)

const (
	window       = time.Second // window is the time over which gaps are averaged.
	increase     = 1.0         // increase is added in a good window.
	decrease     = 0.85        // decrease multiplies in a bad window.
	missAllowed  = 0.05        // missAllowed is the share of gaps that may miss the target.
	minimumLimit = 1.0
)

// Limiter holds the limit of one upstream. Max is set before the first call.
type Limiter struct {
	Max   int  // Max is the configured ceiling.
	Fixed bool // Fixed keeps the limit at Max.

	current float64
	begun   time.Time
	seen    int
	missed  int
	full    bool
	worst   float64 // worst is the largest share of its target that a gap took in the window.
}

// Limit returns the requests that may run at once.
func (l *Limiter) Limit() int {
	if l.Fixed {
		return l.Max
	}
	if l.current == 0 {
		l.current = float64(l.Max)
	}
	return int(math.Min(l.current, float64(l.Max)))
}

// Observe books n gaps between tokens of the given mean length, with the
// target of their class and the number of requests running.
func (l *Limiter) Observe(now time.Time, n int, mean, target time.Duration, running int) {
	if l.begun.IsZero() {
		l.begun = now
	}
	if target > 0 {
		l.seen += n
		l.worst = math.Max(l.worst, float64(mean)/float64(target))
		if mean > target {
			l.missed += n
		}
	}
	l.full = l.full || running >= l.Limit()
	if now.Sub(l.begun) >= window {
		l.adapt()
		l.begun = now
	}
}

func (l *Limiter) adapt() {
	l.Limit()
	switch {
	case l.seen > 0 && float64(l.missed) > missAllowed*float64(l.seen):
		l.current = math.Max(minimumLimit, math.Floor(l.current*decrease))
	case l.full && l.worst*(l.current+increase)/l.current <= 1:
		l.current = math.Min(float64(l.Max), l.current+increase)
	}
	l.seen, l.missed, l.full, l.worst = 0, 0, false, 0
}
