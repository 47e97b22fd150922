package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	gapRatioStep           = 0.3                    // weight of one stream in the gap ratio of its upstream
	gapRatioHalfLife       = 12 * time.Second       // time in which the weight of a gap ratio halves
	gapRatioReportLifetime = 4 * time.Second        // age up to which a gap ratio is reported to peers
	gapRatioCacheTime      = 200 * time.Millisecond // time for which a mean gap ratio is used before it is computed again
	poolGapStep            = 0.05                   // weight of one stream in the mean gap of its pool
	minGapRatioWeight      = 0.05                   // weight below which the gap ratio from a peer is deleted
	maxLogGapRatio         = 1.0                    // bound of the absolute logarithm of a gap ratio
	maxStreamGaps          = 32                     // gaps that are kept of one stream
	minStreamGaps          = 4                      // gaps that the median of a stream needs
	minMedianSeconds       = 1e-4                   // bound of a median, so that its logarithm is finite
	keptStreams            = 96                     // streams whose longest gaps a pool keeps
	minStreamsForMissShare = 12                     // streams that the share of missed targets needs
)

// gapStats records the gaps between the events of one stream.
type gapStats struct {
	last       time.Time // time of the last event
	longest    time.Duration
	gapSeconds []float64 // first gaps of the stream
}

// event records that events were received.
func (g *gapStats) event(now time.Time) {
	if !g.last.IsZero() {
		d := now.Sub(g.last)
		g.longest = max(g.longest, d)
		if len(g.gapSeconds) < maxStreamGaps {
			g.gapSeconds = append(g.gapSeconds, d.Seconds())
		}
	}
	g.last = now
}

// logMedian returns the natural logarithm of the median gap in seconds, or false
// if there are fewer than minStreamGaps.
func (g *gapStats) logMedian() (float64, bool) {
	if len(g.gapSeconds) < minStreamGaps {
		return 0, false
	}
	slices.Sort(g.gapSeconds)
	median := g.gapSeconds[len(g.gapSeconds)/2]
	return math.Log(max(median, minMedianSeconds)), true
}

// gapRatio is the ratio of an upstream's gap between events to the mean gap of its
// pool (poolStats.logGap), as a natural logarithm, and the time of its observation.
type gapRatio struct {
	log float64
	at  time.Time
}

// weighted returns the logarithm of the ratio and its weight by its age.
func (r gapRatio) weighted(now time.Time) (log, weight float64) {
	if r.at.IsZero() {
		return 0, 0
	}
	return r.log, decay(now.Sub(r.at), gapRatioHalfLife)
}

// gapRatio returns the ratio of the upstream's gap between events to the mean gap
// of its pool, including the lasting part of the slowdown that it states, as the weighted geometric mean of the ratios observed by this
// instance and its peers. Ratios whose weights sum to less than one are drawn
// towards a ratio of one, so old ones count little.
func (s *state) gapRatio(now time.Time) float64 {
	if now.Sub(s.meanGapRatioAt) >= gapRatioCacheTime {
		s.meanGapRatio, s.meanGapRatioAt = s.computeGapRatio(now), now
	}
	return s.meanGapRatio
}

func (s *state) computeGapRatio(now time.Time) float64 {
	sum, total := s.ownGapRatio.weighted(now)
	sum *= total
	for name, r := range s.peerGapRatios {
		log, weight := r.weighted(now)
		if weight < minGapRatioWeight {
			delete(s.peerGapRatios, name)
			continue
		}
		sum += log * weight
		total += weight
	}
	return math.Exp(sum / max(total, 1))
}

// observeGaps updates the mean gap of the pool and the gap ratio of the upstream
// from a stream that has ended.
func (ps *poolStats) observeGaps(now time.Time, s *state, g *gapStats) {
	observed, ok := g.logMedian()
	if !ok {
		return
	}
	if !ps.hasGap {
		ps.hasGap, ps.logGap = true, observed
	}
	ps.logGap += poolGapStep * (observed - ps.logGap)
	observed = min(max(observed-ps.logGap, -maxLogGapRatio), maxLogGapRatio)
	if !s.ownGapRatio.at.IsZero() {
		observed = s.ownGapRatio.log + gapRatioStep*(observed-s.ownGapRatio.log)
	}
	s.ownGapRatio = gapRatio{log: observed, at: now}
	s.meanGapRatioAt = time.Time{}
	ps.addLongestGap(g.longest.Seconds() / s.gapRatio(now))
}

// addLongestGap adds the longest gap of a stream, scaled to an upstream with a
// gap ratio of one.
func (ps *poolStats) addLongestGap(seconds float64) {
	if len(ps.recentGapSeconds) < keptStreams {
		ps.recentGapSeconds = append(ps.recentGapSeconds, seconds)
	} else {
		at, _ := slices.BinarySearch(ps.sortedGapSeconds, ps.recentGapSeconds[ps.oldestGap])
		ps.sortedGapSeconds = slices.Delete(ps.sortedGapSeconds, at, at+1)
		ps.recentGapSeconds[ps.oldestGap] = seconds
		ps.oldestGap = (ps.oldestGap + 1) % keptStreams
	}
	at, _ := slices.BinarySearch(ps.sortedGapSeconds, seconds)
	ps.sortedGapSeconds = slices.Insert(ps.sortedGapSeconds, at, seconds)
}

// gapMissShare returns the share of streams whose longest gap is at least the
// target at an upstream with the given gap ratio. It is zero without a target or
// with fewer than minStreamsForMissShare streams.
func (ps *poolStats) gapMissShare(target time.Duration, ratio float64) float64 {
	if target <= 0 || len(ps.sortedGapSeconds) < minStreamsForMissShare {
		return 0
	}
	at, _ := slices.BinarySearch(ps.sortedGapSeconds, target.Seconds()/ratio)
	return float64(len(ps.sortedGapSeconds)-at) / float64(len(ps.sortedGapSeconds))
}
