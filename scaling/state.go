package scaling

import (
	"math"
	"time"
)

// key names what one order is about.
type key struct {
	zone string
	kind int
}

// placed is an order that the platform accepted.
type placed struct {
	count   int
	present int // upstreams when it was placed
	grows   bool
	due     time.Time // time at which it should have been carried out
	repeats int
}

// Dimensions of a load.
const (
	reading = iota // prompt tokens a second
	writing        // events a second
	running        // requests a second
	dimensions
)

// load is a demand, or what one upstream can take of it.
type load [dimensions]float64

// sample is the smoothed demand at one time.
type sample struct {
	at   time.Time
	load load
}

const (
	rising        = 0.9              // weight of a new sample that is higher; samples come once a second
	falling       = 0.5              // weight of a new sample that is lower
	lateSmoothing = 0.4              // weight of a new sample in the share of late streams
	quietDrift    = 0.0001           // rise of the lowest share with each sample, so that a lucky one does not count forever
	maxSamples    = 32               // for peakTime, if the loop runs more often than once a second
	trendSamples  = 3                // from which a trend is known
	minTrendTime  = time.Second      // least time between two samples of a trend
	maxTrend      = 1.0              // bound of an expected rise beyond the highest demand seen, relative to the demand
	failureTime   = 60 * time.Second // time for which a load counts as too high
	failureMargin = 0.9              // part of a load that was too high which an upstream can take
	minLatePart   = 0.8              // part of the assumed capacity below which lateness may have other causes
	overWorked    = 1.05             // ratio to the highest load that worked from which it has not
	untried       = 2.0              // ratio to the highest load that worked which an upstream is assumed to take
	lateSteps     = 2                // late samples in a row from which a load counts as too high

	// With slightly late streams, a load counts as too high later, and somewhat more of it as possible.
	slightlyLateSteps = 6
	slightlyLatePart  = 1.2

	minStreams = 5 // streams a second from which shares of them are used
)

// State is what the decisions for one pool remember while this instance holds the lease. It
// begins with what is present.
type State struct {
	startedAt   time.Time // of the samples without a gap
	observedAt  time.Time
	samples     []sample
	smooth      load
	highest     load    // of all samples
	late        float64 // share of late streams, smoothed
	quietLate   float64 // lowest share of late streams so far
	lateRun     int     // samples in a row with too many late streams
	worked      load    // highest load of an upstream with few late streams
	failed      load    // lowest recent load of an upstream with too many, zero if there is none
	failedAt    time.Time
	present     int
	changedAt   time.Time // when present last changed
	placed      map[key]placed
	refused     map[key]time.Time // until when nothing is ordered
	givenBackAt map[string]time.Time
	reasons     map[string]string // of the last order, by zone
}

// NewState returns the state at the start, or after a change of the holder.
func NewState() *State {
	return &State{placed: map[key]placed{}, refused: map[key]time.Time{}, givenBackAt: map[string]time.Time{}, reasons: map[string]string{}}
}

// Accepted records that the platform accepted an order.
func (s *State) Accepted(now time.Time, o Order, startTime time.Duration) {
	k := key{o.Zone, o.Kind}
	before := s.placed[k]
	p := placed{count: o.Count, present: o.Present, grows: o.Count > o.Present, due: now.Add(returnTime)}
	if o.Count >= o.Present {
		p.due = now.Add(startTime + startTime/2 + orderMargin)
		// An order that replaces one of which nothing has come yet is due with it.
		if before.grows && before.present == o.Present && !o.Repeated {
			p.due, p.repeats = before.due, before.repeats
		}
	} else {
		s.givenBackAt[o.Zone] = now
	}
	if o.Repeated {
		p.repeats = before.repeats + 1
	}
	s.placed[k] = p
	s.reasons[o.Zone] = o.Reason
}

// Refused records that none are available for an order.
func (s *State) Refused(now time.Time, o Order) {
	k := key{o.Zone, o.Kind}
	s.refused[k] = now.Add(refusalTime)
	delete(s.placed, k)
	s.reasons[o.Zone] = "none are available"
}

// mayOrder reports whether upstreams may be available, as far as is remembered.
func (s *State) mayOrder(zone string, kind int) bool {
	_, refused := s.refused[key{zone, kind}]
	return !refused
}

// coming returns the numbers of a zone once the orders in progress are carried out.
func (s *State) coming(z *Zone) [kinds]int {
	numbers := z.Present
	for kind := range numbers {
		if p, ok := s.placed[key{z.Name, kind}]; ok {
			numbers[kind] = p.count
		}
	}
	return numbers
}

// expire forgets refusals that are over and orders that were carried out. An order that was not
// carried out after its repetitions counts as refused.
func (s *State) expire(now time.Time, in Input) {
	for k, until := range s.refused {
		if !now.Before(until) {
			delete(s.refused, k)
		}
	}
	numbers := make(map[key]int, len(s.placed))
	for i := range in.Zones {
		for kind, n := range in.Zones[i].Present {
			numbers[key{in.Zones[i].Name, kind}] = n
		}
	}
	for k, p := range s.placed {
		switch n := numbers[k]; {
		case n == p.count:
			delete(s.placed, k)
		case now.After(p.due) && p.repeats >= maxRepeats:
			delete(s.placed, k)
			if n < p.count {
				s.refused[k] = now.Add(refusalTime)
			}
		}
	}
}

// observe adds a sample of the demand and learns from it what an upstream can take.
func (s *State) observe(now time.Time, in Input) {
	d := in.Demand
	current := load{reading: d.ReadTokens, writing: d.Events, running: d.Begun}
	late := max(d.LateFirst, d.LateGap)
	if d.Begun < minStreams {
		late = 0
	}
	if now.Sub(s.observedAt) > maxAge {
		s.startedAt = now
	}
	s.observedAt = now
	if len(s.samples) == 0 {
		s.smooth, s.late, s.quietLate = current, late, late
	}
	for i := range current {
		weight := falling
		if current[i] > s.smooth[i] {
			weight = rising
		}
		s.smooth[i] += weight * (current[i] - s.smooth[i])
		s.highest[i] = max(s.highest[i], s.smooth[i])
	}
	s.late += lateSmoothing * (late - s.late)
	s.quietLate = min(s.quietLate+quietDrift, s.late)
	s.samples = append(s.samples, sample{now, s.smooth})
	for len(s.samples) > maxSamples || now.Sub(s.samples[0].at) > peakTime {
		s.samples = s.samples[1:]
	}
	s.learn(now, in)
}

// present returns the number of upstreams that take work.
func present(in Input) int {
	n := 0
	for i := range in.Zones {
		n += in.Zones[i].Present[Ordinary] + in.Zones[i].Present[Reclaimable]
	}
	return n
}

// learn derives from the share of late streams whether upstreams can take their present load.
func (s *State) learn(now time.Time, in Input) {
	if now.Sub(s.failedAt) > failureTime {
		s.failed = load{}
	}
	n := present(in)
	if n != s.present {
		s.present, s.changedAt = n, now
	}
	if len(s.samples) == 1 {
		s.changedAt = now.Add(-giveBackPeriod)
	}
	if n == 0 {
		return
	}
	var each load
	for i := range each {
		each[i] = s.smooth[i] / float64(n)
	}
	if !s.isLate(lateMargin) {
		s.lateRun = 0
		if s.late <= max(s.quietLate+workedMargin, workedLate) && now.Sub(s.changedAt) >= giveBackPeriod {
			for i := range each {
				s.worked[i] = max(s.worked[i], each[i])
			}
		}
		return
	}
	if s.isSettling(now, in) {
		return
	}
	s.lateRun++
	s.recordFailure(now, in, each)
}

// recordFailure records the present load of an upstream as too high if streams are late for some
// time and the load explains it: it is near what is assumed possible, or higher than what worked.
func (s *State) recordFailure(now time.Time, in Input, each load) {
	steps, possible := lateSteps, 1.0
	if !s.isLate(lateHigh) {
		steps, possible = slightlyLateSteps, slightlyLatePart
	}
	capacity := s.assumed(in)
	busy, dimension := capacity.busy(each)
	worked := s.worked
	for i := range worked {
		if capacity[i] == 0 {
			worked[i] = 0 // the dimension does not count for this pool
		}
	}
	if ratio, i := worked.busy(each); busy < minLatePart && ratio > overWorked {
		busy, dimension = ratio, i
	}
	possible *= each[dimension]
	if s.lateRun < steps || busy < minLatePart || (s.failed[dimension] > 0 && possible >= s.failed[dimension]) {
		return
	}
	s.failed[dimension], s.failedAt, s.lateRun = possible, now, 0
}

// isSettling reports whether more upstreams are ordered and do not serve yet, so that the present
// load of each says nothing of what it would be with them, or whether their number has changed
// since the latest sample.
func (s *State) isSettling(now time.Time, in Input) bool {
	for i := range in.Zones {
		for kind, n := range in.Zones[i].Present {
			if p, ok := s.placed[key{in.Zones[i].Name, kind}]; ok && p.count > n && now.Before(p.due) {
				return true
			}
		}
	}
	return now.Sub(s.changedAt) < maxAge
}

// isLate reports whether the share of late streams rose by more than a margin over what it
// was at its lowest. A share that is high at any number of upstreams has other causes.
func (s *State) isLate(margin float64) bool {
	return s.late > max(s.quietLate+margin, lateTolerated)
}

// peak returns the highest demand of the last seconds.
func (s *State) peak() load {
	var highest load
	for _, x := range s.samples {
		for i := range highest {
			highest[i] = max(highest[i], x.load[i])
		}
	}
	return highest
}

// forecast returns the demand expected after a time by the slower of the last two changes, because
// a step is no trend. It counts only where the demand is higher than in all samples before: a
// wave that turns in time needs nothing more.
func (s *State) forecast(after time.Duration) load {
	expected, highest := s.smooth, s.peak()
	n := len(s.samples)
	if n < trendSamples {
		return expected
	}
	a, b, c := s.samples[n-3], s.samples[n-2], s.samples[n-1]
	for i := range expected {
		rise := min(slope(a, b, i), slope(b, c, i)) * after.Seconds()
		if s.smooth[i] < highest[i] {
			rise = 0
		}
		expected[i] += min(max(rise, 0), max(maxTrend*s.smooth[i], s.highest[i]-s.smooth[i]))
	}
	return expected
}

// slope returns the change a second from one sample to the next.
func slope(a, b sample, dimension int) float64 {
	return (b.load[dimension] - a.load[dimension]) / max(b.at.Sub(a.at), minTrendTime).Seconds()
}

// busy returns how many upstreams a demand keeps as busy as they may be, and the dimension
// that decides it. A dimension in which nothing is known of the upstreams does not count.
func (l load) busy(demand load) (n float64, dimension int) {
	for i := range l {
		if l[i] > 0 && demand[i]/l[i] > n {
			n, dimension = demand[i]/l[i], i
		}
	}
	return n, dimension
}

const (
	minUtilisation = 0.6 // bounds of the part of its time for which an upstream may be busy
	maxUtilisation = 0.8
	pieceSize      = 2000 // tokens of a prompt that an engine reads between the tokens of its streams
	burstLate      = 0.1  // share of the gaps that may be too long in a burst which the headroom is for
	engineUsage    = 0.5  // part of the slots of an engine that may be in use
	plainUsage     = 0.7  // part of the slots of a plain service that may be in use
	// tailFactor is the ratio of a wait that one of a hundred requests exceeds to the mean wait
	// of a queue with few servers.
	tailFactor = 3.0
)

// utilisation returns the part of its time for which an engine may read so that requests
// of the mean size have their first event in time, by the waits of a queue with one server, and
// so that pieces of prompts are rarely read in a row for longer than the gap between events
// may be.
func utilisation(in Input) float64 {
	d := in.Demand
	if in.Speed.Aim <= 0 || d.Begun <= 0 || d.ReadTokens <= 0 {
		return minUtilisation
	}
	read := d.ReadTokens / d.Begun * in.Speed.TokenSeconds
	x := 2 * (in.Speed.Aim.Seconds() - read) / (tailFactor * read)
	if x <= 0 {
		return minUtilisation
	}
	u := min(x/(1+x), maxUtilisation)
	if in.Speed.GapAim > 0 {
		inRow := in.Speed.GapAim.Seconds() / (pieceSize * in.Speed.TokenSeconds)
		u = min(u, math.Pow(burstLate, 1/inRow))
	}
	return max(u, minUtilisation)
}

// eventRate returns the events a second that an engine writes in time with the usable part of its
// slots. The longest of n gaps is about ln(n) times their mean if their lengths are exponential.
func eventRate(in Input) float64 {
	longest := 1.0
	if in.Demand.Begun > 0 {
		longest = max(math.Log(max(in.Demand.Events/in.Demand.Begun, 1)), 1)
	}
	return engineUsage * float64(in.Speed.Slots) * longest / in.Speed.GapAim.Seconds()
}

// assumed returns what one upstream can take, as far as it is known without a failure: what
// its speed allows, or what worked.
func (s *State) assumed(in Input) load {
	var c load
	if in.Pool.Engine == nil {
		c[running] = untried * s.worked[running]
		if in.Speed.RequestSeconds > 0 && in.Speed.Slots > 0 {
			c[running] = max(s.worked[running], plainUsage*float64(in.Speed.Slots)/in.Speed.RequestSeconds)
		}
		return c
	}
	c[reading] = untried * s.worked[reading]
	if in.Speed.TokenSeconds > 0 {
		c[reading] = max(s.worked[reading], utilisation(in)/in.Speed.TokenSeconds)
	}
	c[writing] = untried * s.worked[writing]
	if in.Speed.GapAim > 0 && in.Speed.Slots > 0 {
		c[writing] = max(s.worked[writing], eventRate(in))
	}
	return c
}

// afterFailures lowers a capacity to what did not make streams late recently.
func (s *State) afterFailures(c load) load {
	for i := range c {
		if s.failed[i] > 0 {
			c[i] = min(c[i], failureMargin*s.failed[i])
		}
	}
	return c
}

func ceil(x float64) int {
	const rounding = 1e-6 // so that sums of shares do not count as one more
	return int(math.Ceil(x - rounding))
}
