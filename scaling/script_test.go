package scaling

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/inifile"
	"knapweedwell/route"
)

// script is a demand with the zones and faults of a pool, read from testdata.
type script struct {
	engines        int // at the start, spread over the zones
	bounds         route.Scaling
	tokensPerMilli float64
	told           float64 // speed that the decision is told
	unknown        bool    // whether the decision is not told the speed of the engines
	slots          int
	length         time.Duration
	inTimeOfKept   float64 // least share of requests in time, relative to a run without orders
	costOfKept     float64 // largest cost, relative to a run without orders
	waveSwing      float64
	wavePeriod     time.Duration
	random         *rand.Rand // of the arrivals; nil for a steady stream
	zones          []*modelZone
	classes        []class
	bursts         []phase
	losses         []phase
	reclaims       []phase
}

// phase is a time in which something differs at a zone or for a class.
type phase struct {
	name     string
	from, to time.Duration
	factor   float64
	ramp     time.Duration // in which the factor is reached and left
}

// factorAt returns the factor at a time, 1 outside the phase.
func (p *phase) factorAt(at time.Duration) float64 {
	if at < p.from || at >= p.to {
		return 1
	}
	part := 1.0
	if p.ramp > 0 {
		part = min(part, float64(at-p.from)/float64(p.ramp), float64(p.to-at)/float64(p.ramp))
	}
	return 1 + part*(p.factor-1)
}

func (p *phase) contains(at time.Duration) bool { return at >= p.from && at < p.to }

type class struct {
	name                          string
	perSecond, readTokens, events float64
	aim, gap                      time.Duration
}

func readScript(t *testing.T, path string) *script {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	f := inifile.Parse(path, string(text))
	l := &script{bounds: route.Scaling{ZonePrices: map[string]float64{}}}
	for _, sec := range f.Sections {
		r := f.NewReader(sec)
		number := func(key string) float64 { return r.Float(key, 0, 0, 1e6) }
		seconds := func(key string) time.Duration { return time.Duration(number(key) * float64(time.Second)) }
		kind, name, _ := strings.Cut(sec.Header(), " ")
		phaseOf := func() phase {
			return phase{name: name, from: seconds("From"), to: seconds("To"), factor: number("Factor"), ramp: seconds("RampSeconds")}
		}
		switch kind {
		case "Pool":
			l.engines, l.slots = int(number("Engines")), int(number("Slots"))
			l.bounds.Min, l.bounds.Max = int(number("Min")), int(number("Max"))
			l.bounds.StartTime, l.bounds.ReclaimablePrice = seconds("StartSeconds"), number("ReclaimablePrice")
			if seed := number("Seed"); seed > 0 {
				l.random = rand.New(rand.NewPCG(uint64(seed), 1))
			}
			l.told = number("ToldTokensPerMilli")
			l.tokensPerMilli, l.unknown, l.length = number("TokensPerMilli"), r.Text("Unknown", "") == "true", seconds("Seconds")
			l.inTimeOfKept, l.costOfKept = number("InTimeOfKept"), number("CostOfKept")
		case "Wave":
			l.waveSwing, l.wavePeriod = number("Swing"), seconds("Seconds")
		case "Zone":
			z := &modelZone{name: name, region: r.Text("Region", ""), price: number("Price")}
			l.bounds.ZonePrices[name] = z.price
			l.zones = append(l.zones, z)
		case "Class":
			l.classes = append(l.classes, class{
				name: name, perSecond: number("PerSecond"), readTokens: number("ReadTokens"), events: number("Events"),
				aim: seconds("AimMillis") / 1000, gap: seconds("GapMillis") / 1000,
			})
		case "Burst":
			l.bursts = append(l.bursts, phaseOf())
		case "Loss":
			l.losses = append(l.losses, phaseOf())
		case "Reclaim":
			l.reclaims = append(l.reclaims, phaseOf())
		}
		r.Finish()
	}
	assert.Equal(t, len(f.Findings), 0, "%v", f.Findings)
	sort.Slice(l.zones, func(i, j int) bool { return l.zones[i].name < l.zones[j].name })
	return l
}

// modelZone is a zone of the model: how many engines serve, start, and are about to go.
type modelZone struct {
	name, region string
	price        float64
	serving      [kinds]int
	starting     [kinds][]time.Duration // times at which engines begin to serve
	lost         bool
	used         float64 // share of its engines' time in the last step
}

// model serves the demand of a script. Engines of a zone serve their own callers first and then
// the callers of zones that have too few. Waits follow those of a queue with one server for each
// engine; a stream has too long a gap where too many pieces of prompts are read in a row.
type model struct {
	*script
	at      time.Duration
	backlog float64 // engine seconds of work that nobody has begun
	// arrivals are the requests of the present step, by class.
	arrivals []float64

	begun, inTime, cost float64
	window              Demand   // sums over the last second
	windows             []Demand // of the seconds before that the decision is not told yet
	orders              int
	refusals            int
	lowest              map[string]int // fewest engines that served in a zone
}

const (
	modelStep     = 100 * time.Millisecond
	decodeShare   = 0.1   // part of an engine's time for the tokens of streams
	sampleDelay   = 2     // seconds until the counts of a second are known
	pieceTokens   = 2000  // of a prompt that are read in one step
	streamStep    = 0.008 // mean time between the tokens of a stream, in seconds
	tokensOfEvent = 4
)

func (m *model) factor(c *class) float64 {
	f := 1.0
	if m.wavePeriod > 0 {
		f += m.waveSwing * math.Sin(2*math.Pi*m.at.Seconds()/m.wavePeriod.Seconds())
	}
	for i := range m.bursts {
		if b := &m.bursts[i]; b.name == "" || b.name == c.name {
			f *= b.factorAt(m.at)
		}
	}
	return f
}

// arriving returns the requests of one step: the mean, or a random number of a Poisson process.
func (m *model) arriving(mean float64) float64 {
	if m.random == nil {
		return mean
	}
	n := 0.0
	for t := m.random.ExpFloat64(); t < mean; t += m.random.ExpFloat64() {
		n++
	}
	return n
}

// applyFaults begins and ends losses and reclaims.
func (m *model) applyFaults() {
	for _, z := range m.zones {
		z.lost = false
		for i := range m.losses {
			if p := &m.losses[i]; p.name == z.name && p.contains(m.at) {
				z.lost, z.serving, z.starting = true, [kinds]int{}, [kinds][]time.Duration{}
			}
		}
		for i := range m.reclaims {
			if p := &m.reclaims[i]; p.name == z.name && p.contains(m.at) {
				z.serving[Reclaimable], z.starting[Reclaimable] = 0, nil
			}
		}
		for kind := range z.starting {
			var rest []time.Duration
			for _, ready := range z.starting[kind] {
				if ready <= m.at {
					z.serving[kind]++
				} else {
					rest = append(rest, ready)
				}
			}
			z.starting[kind] = rest
		}
	}
}

// place carries out an order as the platform does. It reports false if none are available.
func (m *model) place(o Order) bool {
	m.orders++
	for i := range m.reclaims {
		if o.Kind == Reclaimable && m.reclaims[i].contains(m.at) {
			m.refusals++
			return false
		}
	}
	for _, z := range m.zones {
		if z.name != o.Zone || z.lost {
			continue
		}
		total := z.serving[o.Kind] + len(z.starting[o.Kind])
		for ; total < o.Count; total++ {
			z.starting[o.Kind] = append(z.starting[o.Kind], m.at+m.bounds.StartTime)
		}
		for ; total > o.Count && len(z.starting[o.Kind]) > 0; total-- {
			z.starting[o.Kind] = z.starting[o.Kind][1:]
		}
		z.serving[o.Kind] -= max(total-o.Count, 0)
	}
	return true
}

// serve runs one step of the demand.
func (m *model) serve() {
	demand, engines, reachable := 0.0, 0.0, 0
	m.arrivals = m.arrivals[:0]
	for i := range m.classes {
		c := &m.classes[i]
		m.arrivals = append(m.arrivals, m.arriving(c.perSecond*m.factor(c)*modelStep.Seconds()))
		demand += m.arrivals[i] / modelStep.Seconds() * c.readTokens / m.tokensPerMilli / 1000
	}
	for _, z := range m.zones {
		n := z.serving[Ordinary] + z.serving[Reclaimable]
		if low, known := m.lowest[z.name]; !z.lost && (!known || n < low) {
			m.lowest[z.name] = n
		}
		engines += float64(n) * (1 - decodeShare)
		if !z.lost {
			reachable++
		}
		for kind, price := range [kinds]float64{1, m.bounds.ReclaimablePrice} {
			m.cost += z.price * price * float64(z.serving[kind]+len(z.starting[kind])) * modelStep.Seconds()
		}
	}
	spare, over := m.fill(demand, reachable)
	m.backlog = max(m.backlog+(over-spare)*modelStep.Seconds(), 0)
	wait := m.backlog / max(engines, 1)
	for _, z := range m.zones {
		if !z.lost {
			m.record(z.used, wait, 1/float64(reachable))
		}
	}
}

// fill gives each zone the work of its own callers and spreads what is over. It returns the
// engine seconds a second that are to spare and that nobody can take.
func (m *model) fill(demand float64, reachable int) (spare, over float64) {
	taken := make([]float64, len(m.zones))
	for i, z := range m.zones {
		if z.lost {
			continue
		}
		size := float64(z.serving[Ordinary]+z.serving[Reclaimable]) * (1 - decodeShare)
		taken[i] = min(demand/float64(reachable), size)
		over += demand/float64(reachable) - taken[i]
		spare += size - taken[i]
	}
	moved := min(over, spare)
	for i, z := range m.zones {
		size := float64(z.serving[Ordinary]+z.serving[Reclaimable]) * (1 - decodeShare)
		if spare > 0 {
			taken[i] += moved * (size - taken[i]) / spare
		}
		z.used = 1
		if size > 0 {
			z.used = min(taken[i]/size, 0.99)
		}
	}
	return spare - moved, over - moved
}

// record counts the requests of one step at the engines of a zone.
func (m *model) record(used, wait, share float64) {
	piece := pieceTokens / m.tokensPerMilli / 1000
	for i := range m.classes {
		c := &m.classes[i]
		n := m.arrivals[i] * share
		read := c.readTokens / m.tokensPerMilli / 1000
		mean := used / (2 * (1 - used)) * 2 * piece
		lateFirst := 1.0
		if left := c.aim.Seconds() - read - wait; left > 0 {
			lateFirst = used * math.Exp(-left/max(mean, 1e-9))
		}
		inRow := math.Pow(used, c.gap.Seconds()/piece)
		lateGap := 1 - math.Pow(1-inRow, c.events*tokensOfEvent*streamStep/c.gap.Seconds())
		m.begun += n
		m.inTime += n * (1 - lateFirst) * (1 - lateGap)
		m.window.Begun += n
		m.window.ReadTokens += n * c.readTokens
		m.window.Events += n * c.events
		m.window.LateFirst += n * lateFirst
		m.window.LateGap += n * lateGap
	}
}

// input returns what the decision is told: the demand of the last second and what is present.
func (m *model) input(pool *route.Pool) Input {
	in := Input{Pool: pool, Speed: Speed{Slots: m.slots}}
	m.windows = append(m.windows, m.window)
	in.Demand.Age = maxAge + time.Second
	if late := len(m.windows) - 1 - sampleDelay; late >= 0 {
		in.Demand = m.windows[late]
		in.Demand.LateFirst /= max(in.Demand.Begun, 1)
		in.Demand.LateGap /= max(in.Demand.Begun, 1)
		in.Demand.Covered, in.Demand.Age = 1, sampleDelay*time.Second
	}
	for i := range m.classes {
		if c := &m.classes[i]; in.Speed.Aim == 0 || c.aim < in.Speed.Aim {
			in.Speed.Aim, in.Speed.GapAim = c.aim, c.gap
		}
	}
	switch {
	case m.unknown:
	case m.told > 0:
		in.Speed.TokenSeconds = 1 / m.told / 1000
	default:
		in.Speed.TokenSeconds = 1 / m.tokensPerMilli / 1000
	}
	for _, z := range m.zones {
		callers := 1.0
		if z.lost {
			callers = 0
		}
		in.Zones = append(in.Zones, Zone{Name: z.name, Region: z.region, Price: z.price, Callers: callers, Present: z.serving})
	}
	m.window = Demand{}
	return in
}

// runScript runs a script with the decision, or without it.
func runScript(t *testing.T, path string, decide bool) *model {
	t.Helper()
	m := &model{script: readScript(t, path), lowest: map[string]int{}}
	pool := &route.Pool{Name: "engines", Engine: &route.Engine{Slots: m.slots}, Scaling: &m.bounds}
	for i, z := range m.zones {
		z.serving[Ordinary] = (m.engines + i) / len(m.zones)
	}
	start := time.Unix(1_700_000_000, 0)
	s := NewState()
	for m.at = 0; m.at < m.length; m.at += modelStep {
		m.applyFaults()
		m.serve()
		if m.at%time.Second != time.Second-modelStep || !decide {
			continue
		}
		now := start.Add(m.at)
		d := s.Decide(now, m.input(pool))
		for _, o := range d.Orders {
			checkOrder(t, m, o)
			if m.place(o) {
				s.Accepted(now, o, m.bounds.StartTime)
			} else {
				s.Refused(now, o)
			}
			if testing.Verbose() {
				t.Logf("%5.1f s: %s %s %d -> %d, busy %.1f, late %.3f: %s", m.at.Seconds(), o.Zone, KindName(o.Kind), o.Present, o.Count, d.Busy, d.Late, o.Reason)
			}
		}
	}
	return m
}

// checkOrder checks the bounds that hold for each order.
func checkOrder(t *testing.T, m *model, o Order) {
	t.Helper()
	assert.Assert(t, o.Reason != "", "an order without a reason")
	assert.Assert(t, o.Count >= 0 && o.Count <= m.bounds.Max, "%+v", o)
	for _, z := range m.zones {
		if z.name != o.Zone {
			continue
		}
		other := z.serving[1-o.Kind]
		assert.Assert(t, o.Count+other >= m.bounds.Min && o.Count+other > 0, "a whole zone is given back: %+v", o)
		total := z.serving[Ordinary] + z.serving[Reclaimable]
		if back := o.Present - o.Count; back > 1 {
			assert.Assert(t, back <= total/3, "too much of a zone is given back at a time: %+v of %d", o, total)
		}
	}
}

// TestScripts guards against callers that get fewer answers in time than without scaling, and
// against upstreams that nobody needs and nobody gives back.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".ini"), func(t *testing.T) {
			kept := runScript(t, path, false)
			m := runScript(t, path, true)
			inTime, cost := (m.inTime/m.begun)/(kept.inTime/kept.begun), m.cost/kept.cost
			t.Logf("in time %.3f (kept: %.3f, ratio %.3f), cost ratio %.3f, %d orders, %d refused, fewest engines %v",
				m.inTime/m.begun, kept.inTime/kept.begun, inTime, cost, m.orders, m.refusals, m.lowest)
			assert.Assert(t, inTime >= m.inTimeOfKept, "in time: %.3f of what callers get without orders", inTime)
			assert.Assert(t, cost <= m.costOfKept, "cost: %.3f of the cost without orders", cost)
			most := int(m.length/giveBackPeriod) * len(m.zones)
			assert.Assert(t, m.orders <= most, "%d orders, more than one in %s for each zone", m.orders, giveBackPeriod)
		})
	}
}
