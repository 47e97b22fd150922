// Package limit adapts the concurrency limit of one upstream to the observed time
// between tokens, by additive increase and multiplicative decrease (AIMD). The
// limit is raised while the target is met and the limit is reached, and lowered
// while the target is missed. It is not raised if gaps that grow in proportion to
// it would miss the target.
package limit

import (
	"math"
	"time"
)

const (
	window           = time.Second // time after which the limit is adapted to the observed gaps
	increase         = 1.0         // requests added after a window that met the target and reached the limit
	decrease         = 0.85        // factor after a window that missed the target
	allowedMissShare = 0.05        // share of gaps that may miss the target
	minLimit         = 1.0
)

// Limiter adapts the limit of one upstream. Max is set before the first call.
type Limiter struct {
	Max   int  // configured upper bound of the limit
	Fixed bool // the limit stays at Max

	current     float64
	windowStart time.Time
	gaps        int
	missed      int
	reached     bool    // the limit was reached in the window
	maxRatio    float64 // largest ratio of a mean gap to its target in the window
}

// Limit returns the number of requests that may run at once. It is Max before the
// first adaptation.
func (l *Limiter) Limit() int {
	if l.Fixed {
		return l.Max
	}
	if l.current == 0 {
		l.current = float64(l.Max)
	}
	return int(math.Min(l.current, float64(l.Max)))
}

// Observe records n gaps between tokens with their mean, the target of their
// class, which is zero if it has none, and the number of running requests.
func (l *Limiter) Observe(now time.Time, n int, mean, target time.Duration, running int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if target > 0 {
		l.gaps += n
		l.maxRatio = math.Max(l.maxRatio, float64(mean)/float64(target))
		if mean > target {
			l.missed += n
		}
	}
	l.reached = l.reached || running >= l.Limit()
	if now.Sub(l.windowStart) >= window {
		l.adapt()
		l.windowStart = now
	}
}

func (l *Limiter) adapt() {
	l.Limit()
	switch {
	case l.gaps > 0 && float64(l.missed) > allowedMissShare*float64(l.gaps):
		l.current = math.Max(minLimit, math.Floor(l.current*decrease))
	case l.reached && l.maxRatio*(l.current+increase)/l.current <= 1:
		l.current = math.Min(float64(l.Max), l.current+increase)
	}
	l.gaps, l.missed, l.reached, l.maxRatio = 0, 0, false, 0
}
