package balancer

import (
	"fmt"
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
	"knapweedwell/request"
	"knapweedwell/route"
)

// loadScript is a load with the engines that serve it, read from testdata.
type loadScript struct {
	engines  int
	slots    int
	step     time.Duration // of a batch without a prompt to read
	readRate float64       // tokens a millisecond
	chunk    int           // tokens of a prompt that are read in one step
	event    int           // tokens of an event
	length   time.Duration
	classes  []loadClass

	perStream   time.Duration // added to a step for each stream
	instances   int           // they report to each other every reportPeriod
	strict      bool          // whether the feature is set that asks for the strict split
	statesSpeed bool          // whether answers state the slowdown of the engine
	zones       int           // availability zones of engines and instances
	zoneSkew    float64       // requests of the first zone relative to another
	left        int           // requests that were sent to another zone
	busiestMost float64       // bound of the requests of the busiest engine relative to the mean; zero without one
	busiest     float64       // as measured
	seeds       int           // plays with different arrivals
	speedSpread float64       // standard deviation of the logarithm of the slowdown of an engine
	speedPeriod time.Duration // time for which a slowdown lasts
}

// reportPeriod is the time between two reports of an instance of the model to the others.
const reportPeriod = 200 * time.Millisecond

type loadClass struct {
	name               string
	perSecond          float64
	burstFrom, burstTo time.Duration
	burstFactor        float64
	sharedTokens       int
	sharedParts        int // number of different shared parts
	promptTokens       int // beyond the shared part
	outputTokens       int
	gap                time.Duration
	onTime             float64       // share of the streams without a longer gap, and in target
	aim                time.Duration // target for the time to the first event; zero without one
	rank               int
}

func readLoad(t *testing.T, path string) loadScript {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	f := inifile.Parse(path, string(text))
	var l loadScript
	for _, sec := range f.Sections {
		r := f.NewReader(sec)
		seconds := func(key string) time.Duration { return time.Duration(r.Float(key, 0, 0, 1e3) * float64(time.Second)) }
		count := func(key string) int { return r.Int(key, 0, 0, 1e6) }
		if name, ok := strings.CutPrefix(sec.Header(), "Class "); ok {
			l.classes = append(l.classes, loadClass{
				name: name, perSecond: r.Float("PerSecond", 0, 0, 1e4), burstFrom: seconds("BurstFrom"), burstTo: seconds("BurstTo"),
				burstFactor: r.Float("BurstFactor", 1, 0, 100), sharedTokens: count("SharedTokens"), sharedParts: count("SharedParts"),
				promptTokens: count("PromptTokens"), outputTokens: count("OutputTokens"),
				gap: time.Duration(count("GapMillis")) * time.Millisecond, onTime: r.Float("OnTime", 0, 0, 1),
				aim: time.Duration(count("AimMillis")) * time.Millisecond, rank: count("Rank"),
			})
		} else {
			l.engines, l.slots, l.event, l.chunk = count("Count"), count("Slots"), count("EventTokens"), count("ChunkTokens")
			l.step, l.readRate = time.Duration(count("StepMicros"))*time.Microsecond, r.Float("ReadTokensPerMilli", 1, 0.1, 1e4)
			l.length = seconds("Seconds")
			l.perStream, l.instances, l.strict = time.Duration(count("StreamMicros"))*time.Microsecond, r.Int("Instances", 1, 1, 100), count("Strict") > 0
			l.statesSpeed, l.seeds = count("StatesSpeed") > 0, r.Int("Seeds", 1, 1, 100)
			l.busiestMost = r.Float("BusiestMost", 0, 0, 100)
			l.zones, l.zoneSkew = r.Int("Zones", 1, 1, 10), r.Float("ZoneSkew", 1, 0, 100)
			l.speedSpread, l.speedPeriod = r.Float("SpeedSpread", 0, 0, 1), seconds("SpeedSeconds")
		}
		r.Finish()
	}
	assert.Equal(t, len(f.Findings), 0, "%v", f.Findings)
	return l
}

// modelStream is a request at an engine of the model.
type modelStream struct {
	class   *loadClass
	attempt *Attempt
	unread  int // tokens of the prompt
	tokens  int // tokens produced
	lastAt  time.Time
	sentAt  time.Time
	late    bool
	engine  *modelEngine
}

// modelEngine produces a token of each stream in a step, and reads one piece of one
// prompt in it if there is any.
type modelEngine struct {
	upstream *route.Upstream
	cached   map[uint64]bool
	queue    []*modelStream // not yet in the batch
	batch    []*modelStream
	nextAt   time.Time // end of the current step
	number   uint64
	requests int
}

// slowdown returns the time that work takes at a time, relative to the usual time: half of
// its logarithm lasts, the other half is new in each period.
func (e *modelEngine) slowdown(l *loadScript, now time.Time) float64 {
	if l.speedSpread == 0 {
		return 1
	}
	lasting := rand.New(rand.NewPCG(e.number, 1)).NormFloat64()
	passing := rand.New(rand.NewPCG(e.number, uint64(now.UnixNano()/int64(l.speedPeriod)))).NormFloat64()
	return math.Exp(l.speedSpread * (lasting + passing) / math.Sqrt2)
}

// begin starts a step and returns its end.
func (e *modelEngine) begin(l *loadScript, now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < l.slots {
		e.batch, e.queue = append(e.batch, e.queue[0]), e.queue[1:]
	}
	took := l.step + time.Duration(len(e.batch))*l.perStream
	var first *modelStream // whose prompt is read
	for _, s := range e.batch {
		if s.unread > 0 && (first == nil || s.class.rank < first.class.rank) {
			first = s
		}
	}
	if first != nil {
		n := min(first.unread, l.chunk)
		first.unread -= n
		took += time.Duration(float64(n) / l.readRate * float64(time.Millisecond))
	}
	e.nextAt = now.Add(time.Duration(float64(took) * e.slowdown(l, now)))
}

// end ends a step and returns the streams that have ended.
func (e *modelEngine) end(l *loadScript) []*modelStream {
	var ended []*modelStream
	rest := e.batch[:0]
	for _, s := range e.batch {
		if s.unread == 0 {
			s.produce(l, e.nextAt)
		}
		if s.tokens >= s.class.outputTokens {
			ended = append(ended, s)
		} else {
			rest = append(rest, s)
		}
	}
	e.batch = rest
	return ended
}

func (s *modelStream) produce(l *loadScript, now time.Time) {
	s.tokens++
	if s.tokens == 1 {
		s.attempt.First(now)
		if l.statesSpeed {
			s.attempt.Load(now, len(s.engine.batch), len(s.engine.queue))
			s.attempt.Slowdown(now, s.engine.slowdown(l, now))
		}
		s.late = s.class.aim > 0 && now.Sub(s.sentAt) > s.class.aim
		s.lastAt = now
	}
	if s.tokens%l.event == 0 {
		s.late = s.late || now.Sub(s.lastAt) > s.class.gap
		s.attempt.Event(now)
		s.lastAt = now
	}
}

// TestLoad plays the loads in testdata with one instance in front of a model of engines,
// and checks the share of the streams of each class that have no gap over their target.
func TestLoad(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".ini"), func(t *testing.T) {
			l := readLoad(t, path)
			onTime, total := l.play()
			if l.strict || l.statesSpeed {
				busiest := l.busiest
				l.checkLevels(t, onTime, total)
				t.Logf("busiest engine: %.2f times the mean, %.2f before", busiest, l.busiest)
			}
			for _, c := range l.classes {
				share := float64(onTime[c.name]) / float64(total[c.name])
				t.Logf("%s: %.3f of %d on time", c.name, share, total[c.name])
				assert.Assert(t, share >= c.onTime, "%s: %.3f on time, expected at least %g", c.name, share, c.onTime)
			}
		})
	}
}

// TestBusiest plays the load with hot parts. It guards against an engine that gets many times
// the mean of the requests because it holds a part that much traffic shares.
func TestBusiest(t *testing.T) {
	l := readLoad(t, "testdata/hot-parts.ini")
	l.play()
	assert.Assert(t, l.busiestMost > 0)
	assert.Assert(t, l.busiest <= l.busiestMost, "busiest engine: %.2f times the mean, at most %g", l.busiest, l.busiestMost)
}

// maxLevelLoss is the share of its requests that a class may lose by a change.
const maxLevelLoss = 0.03

// checkLevels plays the load without the feature and without stated speeds, as before the
// strict split, and checks that no class is served worse with them.
func (l *loadScript) checkLevels(t *testing.T, onTime, total map[string]int) {
	t.Helper()
	l.strict, l.statesSpeed = false, false
	left := l.left
	l.left = 0
	before, beforeTotal := l.play()
	if l.zones > 1 {
		t.Logf("%d requests left their zone, %d before", left, l.left)
		assert.Check(t, left < l.left, "%d requests left their zone, %d before", left, l.left)
	}
	for _, c := range l.classes {
		old, share := float64(before[c.name])/float64(beforeTotal[c.name]), float64(onTime[c.name])/float64(total[c.name])
		t.Logf("%s: %.3f on time before", c.name, old)
		assert.Check(t, share >= old-maxLevelLoss, "%s: %.3f on time, %.3f before", c.name, share, old)
	}
}

// arrival is a request of a load.
type arrival struct {
	at    time.Time
	class *loadClass
}

func (l *loadScript) arrivals(start time.Time, rng *rand.Rand) []arrival {
	var all []arrival
	for i := range l.classes {
		c := &l.classes[i]
		for at := time.Duration(0); at < l.length; {
			rate := c.perSecond
			if at >= c.burstFrom && at < c.burstTo {
				rate *= c.burstFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			all = append(all, arrival{at: start.Add(at), class: c})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// play returns the streams on time and all streams, by class.
func (l *loadScript) play() (onTime, total map[string]int) {
	onTime, total = map[string]int{}, map[string]int{}
	for seed := range l.seeds {
		l.playSeed(uint64(seed+1), onTime, total)
	}
	return onTime, total
}

// playSeed plays the load with arrivals by a seed.
func (l *loadScript) playSeed(seed uint64, onTime, total map[string]int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	now := time.Unix(1000, 0)
	pool := &route.Pool{Name: "model", Engine: &route.Engine{MemoryTokens: 500000, EventTokens: l.event}}
	pickers := l.newPickers()
	reportAt := now.Add(reportPeriod)
	engines := make([]*modelEngine, l.engines)
	byID := map[string]*modelEngine{}
	var upstreams []*route.Upstream
	for i := range engines {
		u := &route.Upstream{ID: fmt.Sprintf("u-%02d", i), Pool: "model", Zone: zoneName(i % l.zones), Slots: l.slots}
		engines[i] = &modelEngine{upstream: u, cached: map[uint64]bool{}, number: uint64(i)}
		byID[u.ID] = engines[i]
		upstreams = append(upstreams, u)
	}
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, c := range l.classes {
		shortest, longest = min(shortest, c.gap), max(longest, c.gap)
	}
	for _, a := range l.arrivals(now, rng) {
		for e := earliest(engines, a.at); e != nil; e = earliest(engines, a.at) {
			for _, s := range e.end(l) {
				s.attempt.End(e.nextAt, Served)
				total[s.class.name]++
				if !s.late {
					onTime[s.class.name]++
				}
			}
			e.continueOrRest(l)
		}
		for ; !reportAt.After(a.at); reportAt = reportAt.Add(reportPeriod) {
			exchangeReports(reportAt, pickers)
		}
		s := &modelStream{class: a.class, sentAt: a.at}
		p := pickers[0]
		if l.instances > 1 {
			p = pickers[l.drawInstance(rng)]
		}
		part := uint64(rng.IntN(a.class.sharedParts)) + uint64(a.class.sharedParts)<<32
		prompt := &request.Prompt{
			Tokens: a.class.sharedTokens + a.class.promptTokens, MaxOutputTokens: a.class.outputTokens,
			Parts: []request.Part{{ID: part, Tokens: a.class.sharedTokens}, {ID: rng.Uint64(), Tokens: a.class.promptTokens}},
		}
		r := Request{Pool: pool, Prompt: prompt, Rank: a.class.rank, GapAim: a.class.gap, ShortestGap: a.class.gap == shortest && shortest < longest}
		c, _ := p.Choose(a.at, upstreams, r)
		s.attempt = p.Begin(a.at, r, c)
		if c.Upstream.Zone != p.Zone {
			l.left++
		}
		e := byID[c.Upstream.ID]
		s.engine, s.unread = e, prompt.Tokens
		if e.cached[part] {
			s.unread = a.class.promptTokens
		}
		e.cached[part] = true
		e.queue = append(e.queue, s)
		e.requests++
		if e.nextAt.IsZero() {
			e.begin(l, a.at)
		}
	}
	l.busiest = busiestRatio(engines)
}

// busiestRatio returns the requests of the busiest engine relative to the mean.
func busiestRatio(engines []*modelEngine) float64 {
	most, sum := 0, 0
	for _, e := range engines {
		most, sum = max(most, e.requests), sum+e.requests
	}
	return float64(most*len(engines)) / float64(max(sum, 1))
}

func zoneName(i int) string {
	return "z" + fmt.Sprint(i)
}

// modelRegions returns the regions of the zones: all are in one.
func modelRegions(zones int) map[string]string {
	regions := map[string]string{}
	for i := range zones {
		regions[zoneName(i)] = "r"
	}
	return regions
}

// drawInstance returns the number of the instance that gets the next request. Without skew
// all are equally likely.
func (l *loadScript) drawInstance(rng *rand.Rand) int {
	if l.zones > 1 && rng.Float64() < (l.zoneSkew-1)/(l.zoneSkew-1+float64(l.zones)) {
		return rng.IntN(l.instances/l.zones) * l.zones
	}
	return rng.IntN(l.instances)
}

// newPickers returns the pickers of the instances.
func (l *loadScript) newPickers() []*Picker {
	pickers := make([]*Picker, l.instances)
	for i := range pickers {
		pickers[i] = New(zoneName(i%l.zones), modelRegions(l.zones))
		for zone := range l.zones {
			pickers[i].Connected(&route.Upstream{Zone: zoneName(zone)}, 2*time.Millisecond)
		}
		pickers[i].Strict = l.strict
		pickers[i].Random = rand.New(rand.NewPCG(3, uint64(i))).Float64
	}
	return pickers
}

// exchangeReports sends the reports of each instance to all others.
func exchangeReports(now time.Time, pickers []*Picker) {
	memory := func(string) (int, bool) { return 500000, true }
	for i, from := range pickers {
		reports, placements := from.Reports(now)
		for j, to := range pickers {
			if i != j {
				to.ApplyReport(now, fmt.Sprint(i), reports, placements, memory)
			}
		}
	}
}

// continueOrRest starts the next step, or none if there is nothing to do.
func (e *modelEngine) continueOrRest(l *loadScript) {
	if len(e.batch) == 0 && len(e.queue) == 0 {
		e.nextAt = time.Time{}
		return
	}
	e.begin(l, e.nextAt)
}

// earliest returns the engine whose step ends first and before a time, nil if there is
// none.
func earliest(engines []*modelEngine, before time.Time) *modelEngine {
	var first *modelEngine
	for _, e := range engines {
		if !e.nextAt.IsZero() && e.nextAt.Before(before) && (first == nil || e.nextAt.Before(first.nextAt)) {
			first = e
		}
	}
	return first
}
