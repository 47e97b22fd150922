package pick

import (
	"math"
	"slices"
	"time"
)

const (
	paceStep       = 0.3                    // paceStep is the weight of one stream in the pace of its upstream.
	paceHalfLife   = 12 * time.Second       // paceHalfLife is how fast an upstream's pace is forgotten.
	paceLifetime   = 4 * time.Second        // paceLifetime is how long peers are told of a pace.
	pacePeriod     = 200 * time.Millisecond // pacePeriod is how long a pace is used until it is worked out anew.
	poolPaceStep   = 0.05                   // poolPaceStep is the weight of one stream in the pace of its pool.
	leastWeight    = 0.05                   // leastWeight is the weight below which a peer's pace is dropped.
	widestPace     = 1.0                    // widestPace bounds the logarithm of an upstream's pace.
	maxIntervals   = 32                     // maxIntervals is how many times between events of one stream are kept.
	leastIntervals = 4                      // leastIntervals is how many of them tell a pace.
	maxPauses      = 96                     // maxPauses is how many streams' longest pauses a pool keeps.
	leastPauses    = 12                     // leastPauses is how many of them tell how often a pause is too long.
)

// pauses are the times between the events of one stream.
type pauses struct {
	last      time.Time
	longest   time.Duration
	intervals []float64
}

// event notes that events came.
func (p *pauses) event(now time.Time) {
	if !p.last.IsZero() {
		d := now.Sub(p.last)
		p.longest = max(p.longest, d)
		if len(p.intervals) < maxIntervals {
			p.intervals = append(p.intervals, d.Seconds())
		}
	}
	p.last = now
}

// pace returns the logarithm of the median time between events, or false if
// there were too few.
func (p *pauses) pace() (float64, bool) {
	if len(p.intervals) < leastIntervals {
		return 0, false
	}
	slices.Sort(p.intervals)
	median := p.intervals[len(p.intervals)/2]
	return math.Log(max(median, 1e-4)), true
}

// pace is how long an upstream takes for an event against others of its pool, as
// a logarithm, and when that was seen.
type pace struct {
	log float64
	at  time.Time
}

// seen returns the pace with the weight that it has by its age.
func (p pace) seen(now time.Time) (log, weight float64) {
	if p.at.IsZero() {
		return 0, 0
	}
	return p.log, decay(now.Sub(p.at), paceHalfLife)
}

// pace returns how much longer the upstream takes for an event than others of
// its pool, from what was seen here and at the peers. What is old counts little
// against one stream at the usual pace.
func (s *state) pace(now time.Time) float64 {
	if now.Sub(s.pacedAt) >= pacePeriod {
		s.paced, s.pacedAt = s.meanPace(now), now
	}
	return s.paced
}

func (s *state) meanPace(now time.Time) float64 {
	sum, total := s.own.seen(now)
	sum *= total
	for name, p := range s.paces {
		log, weight := p.seen(now)
		if weight < leastWeight {
			delete(s.paces, name)
			continue
		}
		sum += log * weight
		total += weight
	}
	return math.Exp(sum / max(total, 1))
}

// streamed learns from a stream of the upstream that has ended.
func (l *learned) streamed(now time.Time, s *state, p *pauses) {
	seen, ok := p.pace()
	if !ok {
		return
	}
	if !l.paced {
		l.paced, l.paceLog = true, seen
	}
	l.paceLog += poolPaceStep * (seen - l.paceLog)
	seen = min(max(seen-l.paceLog, -widestPace), widestPace)
	if !s.own.at.IsZero() {
		seen = s.own.log + paceStep*(seen-s.own.log)
	}
	s.own = pace{log: seen, at: now}
	s.pacedAt = time.Time{}
	l.pause(p.longest.Seconds() / s.pace(now))
}

// pause keeps the longest pause of a stream, as it would be at an upstream of
// the usual pace.
func (l *learned) pause(seconds float64) {
	if len(l.recent) < maxPauses {
		l.recent = append(l.recent, seconds)
	} else {
		at, _ := slices.BinarySearch(l.sorted, l.recent[l.next])
		l.sorted = slices.Delete(l.sorted, at, at+1)
		l.recent[l.next] = seconds
		l.next = (l.next + 1) % maxPauses
	}
	at, _ := slices.BinarySearch(l.sorted, seconds)
	l.sorted = slices.Insert(l.sorted, at, seconds)
}

// tooLong returns the share of streams whose longest pause is over the aim at an
// upstream of the pace.
func (l *learned) tooLong(aim time.Duration, pace float64) float64 {
	if aim <= 0 || len(l.sorted) < leastPauses {
		return 0
	}
	at, _ := slices.BinarySearch(l.sorted, aim.Seconds()/pace)
	return float64(len(l.sorted)-at) / float64(len(l.sorted))
}
