package usage

import (
	"strings"
	"time"
)

// Demand is what the upstreams of one pool had to do, as rates over one interval and summed
// over the instances that the sample covers.
type Demand struct {
	At         time.Time     // end of the interval, by the local clock
	Age        time.Duration // time since then
	Interval   time.Duration
	ReadTokens float64 // prompt tokens a second that upstreams had to read
	Events     float64 // events a second that were written
	Begun      float64 // requests a second that upstreams began to run
	Streams    float64 // streams a second that ended
	LateFirst  float64 // of these, those whose first event missed its target
	LateGap    float64 // of these, those in which a gap missed its target
	Coverage   float64 // share of the running instances that are covered, from 0 to 1
}

// Suffixes of the names under which the demand of a pool is counted.
const (
	readCount      = "\x00r"
	eventCount     = "\x00e"
	begunCount     = "\x00b"
	streamCount    = "\x00s"
	lateFirstCount = "\x00f"
	lateGapCount   = "\x00g"
)

const (
	demandDelay  = 2  // seconds until the counts of a second have arrived
	demandLength = 30 // seconds of demand that Demand returns
)

func demandName(pool, count string) string {
	return pool + count
}

// Events counts events of streams of a pool that were written.
func (s *Service) Events(pool string, n int) {
	if s == nil {
		return
	}
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(DemandKind, demandName(pool, eventCount), int64(n))
}

// StreamEnded counts a stream of a pool that has ended, and what it missed.
func (s *Service) StreamEnded(pool string, lateFirst, lateGap bool) {
	if s == nil {
		return
	}
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(DemandKind, demandName(pool, streamCount), 1)
	if lateFirst {
		s.add(DemandKind, demandName(pool, lateFirstCount), 1)
	}
	if lateGap {
		s.add(DemandKind, demandName(pool, lateGapCount), 1)
	}
}

// Demand returns the demand of the whole fleet in the latest seconds by pool, the oldest
// sample first. Seconds of which nothing is known have no sample. It is known to the instances
// that may hold the lease.
func (s *Service) Demand(now time.Time) map[string][]Demand {
	s.prepare()
	running := max(s.Instances(), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	trueNow := s.clock.at(s.Elapsed())
	pools := map[string]bool{}
	type sample struct {
		end       time.Time
		counts    map[string]int64
		instances int
	}
	var samples []sample
	for second := trueNow.Unix() - demandDelay - demandLength; second < trueNow.Unix()-demandDelay; second++ {
		slot := Slot{Kind: DemandKind, Number: second}
		counts, n := s.total(slot)
		if n == 0 {
			continue
		}
		samples = append(samples, sample{end: slot.end(s.Window), counts: counts, instances: n})
		for name := range counts {
			pool, _, _ := strings.Cut(name, "\x00")
			pools[pool] = true
		}
	}
	out := map[string][]Demand{}
	for pool := range pools {
		for _, sm := range samples {
			rate := func(count string) float64 { return float64(sm.counts[demandName(pool, count)]) }
			age := trueNow.Sub(sm.end)
			out[pool] = append(out[pool], Demand{
				At: now.Add(-age), Age: age, Interval: time.Second, ReadTokens: rate(readCount), Events: rate(eventCount), Begun: rate(begunCount),
				Streams: rate(streamCount), LateFirst: rate(lateFirstCount), LateGap: rate(lateGapCount),
				Coverage: min(float64(sm.instances)/float64(running), 1),
			})
		}
	}
	return out
}
