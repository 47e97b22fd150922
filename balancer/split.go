package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/route"
)

// The thresholds of the strict split and of pacing.
const (
	strictMaxShare     = 0.65 // bound of the share of a pool that is reserved
	strictUtilisation  = 0.25 // share of the slots of reserved upstreams that their streams shall take
	strictReadShare    = 0.2  // share of the time of reserved upstreams that reading for their own streams may take
	otherReadShare     = 0.5  // share of the time of the other upstreams that reading may take
	mostReadShare      = 0.7  // share of the time of any upstream that reading may take where room is short
	strictSpareShare   = 0.1  // share of a pool that must be spare before it is split
	strictFullFrom     = 0.5  // share of the slots from which a stream prefers another reserved upstream
	strictMissedFrom   = 0.05 // share of streams with too long a gap from which a pool is split
	strictMissedUntil  = 0.02 // share below which the split ends
	strictCountBand    = 0.03 // change of the reserved number, as a share of the pool, that is followed
	strictLongShare    = 0.2  // tokens of a prompt, as a share of those of a step, from which it is long
	strictPaceWeight   = 3    // cost of a step that reads before a prompt, in times of the step
	strictElsewhere    = 600 * time.Millisecond
	strictLongReserved = 5 * time.Second
	strictPaceShort    = 600 * time.Millisecond // cost of a step that reads before a prompt at a reserved upstream

	// stepTokens is the number of prompt tokens that an engine reads in a step, between the
	// tokens of its streams.
	stepTokens         = 2000
	defaultEventTokens = 4 // used where the configuration does not state it

	splitReportPeriod  = time.Second     // shortest time between two reports of changes
	splitRateTime      = 3 * time.Second // time in which a past rate falls to 1/e
	splitOrderLifetime = 50              // choices after which the order of the upstreams is determined again
	initialStepSeconds = 0.005
)

// SplitLoad is the load of a pool from which the number of its reserved upstreams follows.
type SplitLoad struct {
	Upstreams    int
	Slots        int     // of one upstream
	ShortStreams float64 // running streams with the shortest target for the gap between events
	ShortRead    float64 // prompt tokens a second that upstreams read for them
	ShortPrompts float64 // number of these prompts a second
	OtherRead    float64 // prompt tokens a second that upstreams read for all other requests
	TokenSeconds float64 // time to read a token
	StepSeconds  float64 // time of a step that reads little
	Missed       float64 // share of the other upstreams' streams with a gap over the shortest target
	Reserved     int     // number in force
}

// ReservedCount returns the number of upstreams that read no long prompts and serve the
// streams with the shortest target for the gap between events.
//
// It answers a load in which most streams miss a short target although there is room: wherever
// prompts are read, each step between two tokens takes ten times as long, and an event of a
// few tokens spans as many steps. Few reserved upstreams at which the streams are crowded
// together would be as slow, because each stream brings a prompt of its own. So the number
// follows from the slots that the streams take and from the time that reading their prompts
// takes. If both sides need more than there is, each first gets what it cannot do without. It
// returns zero if not even that is there, because each side can use the other's spare time
// only without a split.
func ReservedCount(l SplitLoad) int {
	threshold := strictMissedFrom
	if l.Reserved > 0 {
		threshold = strictMissedUntil
	}
	if l.Upstreams < minReservingPool || l.Slots <= 0 || l.Missed < threshold || l.ShortStreams <= 0 {
		return 0
	}
	n := float64(l.Upstreams)
	short := l.ShortRead*l.TokenSeconds + l.ShortPrompts*l.StepSeconds
	other := l.OtherRead * (l.TokenSeconds + l.StepSeconds/stepTokens)
	streams := l.ShortStreams / float64(l.Slots)
	need := max(streams/strictUtilisation, short/strictReadShare)
	if others := other / otherReadShare; need+others > n {
		least, leastOther := max(streams, short/mostReadShare), other/mostReadShare
		spare := 0.0
		if l.Reserved == 0 {
			spare = strictSpareShare * n
		}
		free := n - least - leastOther
		if free < spare {
			return 0
		}
		need = least + free*(need-least)/(need-least+others-leastOther)
	}
	need = max(min(need, strictMaxShare*n), 1)
	if l.Reserved > 0 && math.Abs(need-float64(l.Reserved)) < max(strictCountBand*n, 1) {
		return min(l.Reserved, l.Upstreams)
	}
	return int(math.Ceil(need))
}

// ToleratedSteps returns how many of the steps of an event may read prompts before the event
// comes later than the target after the one before it.
func ToleratedSteps(target time.Duration, eventTokens int, stepSeconds, readSeconds float64) float64 {
	left := target.Seconds() - float64(eventTokens)*stepSeconds
	return min(max(left/max(readSeconds, minMedianSeconds), 0), float64(eventTokens))
}

// split is the strict split of a pool. All instances order the upstreams by hash within each
// zone, so that their reserved upstreams are the same up to differences of the number, and a
// zone has its part of them.
type split struct {
	load     SplitLoad
	missed   float64
	lastKey  float64 // key of the last reserved upstream
	choices  int
	toldAt   time.Time // time of the latest report of a change
	told     int       // reserved number in it
	first    *route.Upstream
	order    []splitPosition
	short    rate    // prompt tokens read for streams with the shortest target
	prompts  rate    // number of these streams
	written  rate    // tokens that they write
	other    rate    // prompt tokens read for all other requests
	stepTime float64 // seconds of a step that reads little
}

// splitPosition is an upstream in the order of the split.
type splitPosition struct {
	zone string
	hash uint64
	key  float64
	s    *state
}

// rate is a number a second, weighted by age.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.perSecond = r.value(now) + n/splitRateTime.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.at), 0).Seconds()/splitRateTime.Seconds())
}

// strict reports whether the strict split may apply to a pool: a feature of the deployment asks
// for it, or an upstream has stated its speed.
func (p *Picker) strict(pool *route.Pool, stats *poolStats) bool {
	return pool.Engine != nil && (p.Strict || stats.speeds.samples > 0)
}

// holds reports whether an upstream is reserved.
func (v *split) holds(s *state) bool {
	return v.load.Reserved > 0 && s.splitKey <= v.lastKey
}

// onSide reports whether an upstream is on the side of a request in the strict split of the
// pool.
func (stats *poolStats) onSide(r Request, s *state) bool {
	return stats.split.holds(s) == r.ShortestGap
}

// begin records a request that is sent.
func (v *split) begin(now time.Time, r Request, missing int) {
	if r.ShortestGap {
		v.short.add(now, float64(missing))
		v.prompts.add(now, 1)
		v.written.add(now, float64(r.Prompt.MaxOutputTokens))
	} else {
		v.other.add(now, float64(missing))
	}
}

// observeGaps records the gaps of a stream that has ended.
func (v *split) observeGaps(s *state, g *gapStats, target time.Duration, eventTokens int, slowdown float64) {
	if _, ok := g.logMedian(); ok {
		// The gaps are sorted now. The short ones are those without much reading in them.
		low := max(g.gapSeconds[len(g.gapSeconds)/8], minMedianSeconds)
		v.stepTime = updateQuantile(v.stepTime, low/float64(eventTokens)/slowdown, lowQuantile)
	}
	if target == 0 || g.longest == 0 || v.holds(s) {
		return
	}
	missed := 0.0
	if g.longest > target {
		missed = 1
	}
	v.missed += missedStep * (missed - v.missed)
}

// eventTokens returns the number of tokens in an event of the pool's streams.
func eventTokens(pool *route.Pool) int {
	if pool.Engine == nil || pool.Engine.EventTokens <= 0 {
		return defaultEventTokens
	}
	return pool.Engine.EventTokens
}

// updateSplit decides which of the candidates are reserved for the next choice. It reports
// false if the pool is not split. The caller holds p.mu.
func (p *Picker) updateSplit(now time.Time, stats *poolStats, candidates []*route.Upstream) bool {
	v, own := &stats.split, &stats.reservation
	v.choices++
	if len(candidates) == 0 {
		v.load.Reserved = 0
		return false
	}
	v.load.Upstreams, v.load.Slots = len(candidates), candidates[0].Slots
	v.load.Missed, v.load.TokenSeconds, v.load.StepSeconds = v.missed, stats.perTokenSeconds, v.stepTime
	if own.samples < minReservationSamples || own.meanOwn <= 0 {
		v.load.ShortStreams = initialReservedShare * float64(len(candidates)*v.load.Slots) * strictUtilisation
	} else {
		// The other instances' requests are of the same kinds.
		scale := max(own.meanPool/own.meanOwn, 1)
		// Streams that are held up last longer; more upstreams must not be reserved for that.
		undisturbed := v.written.value(now) * (v.stepTime + strictReadShare*stepTokens*stats.perTokenSeconds)
		v.load.ShortStreams = scale * min(own.meanShortest, undisturbed)
		v.load.ShortRead, v.load.ShortPrompts, v.load.OtherRead = scale*v.short.value(now), scale*v.prompts.value(now), scale*v.other.value(now)
	}
	if v.load.Reserved = ReservedCount(v.load); v.load.Reserved == 0 {
		return false
	}
	if v.first != candidates[0] || len(v.order) != len(candidates) || v.choices%splitOrderLifetime == 0 {
		p.orderSplit(now, v, candidates)
	}
	v.lastKey = v.order[v.load.Reserved-1].key
	return true
}

// orderSplit determines the order of the candidates. The caller holds p.mu.
func (p *Picker) orderSplit(now time.Time, v *split, candidates []*route.Upstream) {
	v.first, v.order = candidates[0], v.order[:0]
	for _, u := range candidates {
		s := p.state(now, u)
		v.order = append(v.order, splitPosition{zone: u.Zone, hash: reservationKey(s), s: s})
	}
	slices.SortFunc(v.order, func(a, b splitPosition) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash))
	})
	for from := 0; from < len(v.order); {
		to := from + 1
		for to < len(v.order) && v.order[to].zone == v.order[from].zone {
			to++
		}
		// The offset keeps equal positions of two zones apart.
		offset := float64(mix(xxhash.Sum64String(v.order[from].zone))>>11) / (1 << 53)
		for i := from; i < to; i++ {
			v.order[i].key = (float64(i-from) + offset) / float64(to-from)
			v.order[i].s.splitKey = v.order[i].key
		}
		from = to
	}
	slices.SortFunc(v.order, func(a, b splitPosition) int { return cmp.Compare(a.key, b.key) })
}

// splitCost returns the cost in seconds that the split and pacing add to a choice.
func (stats *poolStats) splitCost(r Request, c Choice, reserved bool) float64 {
	tokens := float64(eventTokens(r.Pool))
	steps := float64(c.Pending) / stepTokens
	read := stepTokens * stats.perTokenSeconds * c.slowdown
	// Steps beyond those of an event delay no event further. Without a bound, prompts would
	// leave the upstreams that hold their parts whenever all are busy, and be read again.
	paced := min(steps, tokens)
	if !r.ShortestGap {
		cost := strictPaceWeight * paced * read
		if reserved && float64(c.Missing) >= strictLongShare*stepTokens {
			// Parts that a reserved upstream holds from earlier are no reason to go there.
			held := float64(r.Prompt.Tokens - c.Missing)
			cost += strictLongReserved.Seconds() + (readWeight-1)*stats.perTokenSeconds*held
		}
		return cost
	}
	cost := strictPaceShort.Seconds() * paced
	row := min(steps+float64(c.Missing)/stepTokens, tokens)
	if over := row - ToleratedSteps(r.GapAim, eventTokens(r.Pool), stats.split.stepTime*c.slowdown, read); over > 0 && r.GapAim > 0 {
		cost += missedGapCost.Seconds() * over / tokens
	}
	switch {
	case !reserved:
		cost += strictElsewhere.Seconds()
	case c.Upstream.Slots > 0:
		// At a full upstream the cost is that of one on the other side.
		filled := float64(c.Running+1) / float64(c.Upstream.Slots)
		cost += strictElsewhere.Seconds() * max(filled-strictFullFrom, 0) / (1 - strictFullFrom)
	}
	return cost
}

// SplitState describes the split of a pool to operators.
type SplitState struct {
	Pool string
	Load SplitLoad
	// SpeedsKnown is the number of answers that have stated a speed, MeanSlowdown their
	// weighted geometric mean.
	SpeedsKnown  int
	MeanSlowdown float64
}

// Splits returns the states of the pools of engines to which the strict split may apply.
func (p *Picker) Splits() []SplitState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []SplitState
	for name, stats := range p.pools {
		if stats.split.choices > 0 || stats.speeds.samples > 0 {
			states = append(states, stats.splitState(name))
		}
	}
	return states
}

func (stats *poolStats) splitState(pool string) SplitState {
	return SplitState{Pool: pool, Load: stats.split.load, SpeedsKnown: stats.speeds.samples, MeanSlowdown: math.Exp(stats.speeds.mean)}
}

// splitChange returns the state of a pool's split if it has changed and no other change was
// reported within splitReportPeriod. The caller holds p.mu.
func (p *Picker) splitChange(now time.Time, pool string) (SplitState, bool) {
	stats := p.poolStats(pool)
	v := &stats.split
	if v.load.Reserved == v.told || now.Sub(v.toldAt) < splitReportPeriod {
		return SplitState{}, false
	}
	v.told, v.toldAt = v.load.Reserved, now
	return stats.splitState(pool), true
}
