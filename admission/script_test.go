package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/inifile"
)

// script is a load with the engines that serve it, read from testdata.
type script struct {
	engines, slots   int
	readRate         float64 // tokens a second
	length           time.Duration
	lostFrom, lostTo time.Duration // engines are lost in this time
	lost             int           // number of those engines
	impatient        int           // number of organisations, from the first, whose callers ignore Retry-After and come back at once
	returns          int           // number of times that a refused caller comes back
	minOthersInTime  float64       // least share in time of the organisations but the first, of the class and time of the first one's burst
	minPatient       float64       // least share served of the callers who wait, relative to that of those who come back at once
	maxRefused       float64       // largest share of the calls that may be refused
	classes          []scriptClass
}

type scriptClass struct {
	name               string
	rank               int
	perSecond          float64
	burstFrom, burstTo time.Duration
	burstFactor        float64
	burstFirst         bool // only the first organisation sends more in the burst
	tokens             int
	answer             time.Duration
	aim, timeout       time.Duration
	minServed          float64 // least share of requests that are answered before their deadline
	minInTime          float64 // least share of requests that are answered in time
	minValue           float64 // least mean value, a late answer being worth half
}

func readScript(t *testing.T, path string) *script {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	f := inifile.Parse(path, string(text))
	s := &script{}
	for _, sec := range f.Sections {
		r := f.NewReader(sec)
		seconds := func(key string) time.Duration { return time.Duration(r.Float(key, 0, 0, 1e3) * float64(time.Second)) }
		millis := func(key string) time.Duration { return time.Duration(r.Int(key, 0, 0, 1e6)) * time.Millisecond }
		if name, ok := strings.CutPrefix(sec.Header(), "Class "); ok {
			s.classes = append(s.classes, scriptClass{
				name: name, rank: r.Int("Rank", 0, 0, 9), perSecond: r.Float("PerSecond", 0, 0, 1e4), burstFrom: seconds("BurstFrom"), burstTo: seconds("BurstTo"),
				burstFactor: r.Float("BurstFactor", 1, 0, 100), burstFirst: r.Bool("BurstFirstOrganisation", false), tokens: r.Int("Tokens", 0, 1, 1e6),
				answer: millis("AnswerMillis"), aim: millis("TargetMillis"), timeout: millis("DeadlineMillis"),
				minServed: r.Float("Served", 0, 0, 1), minInTime: r.Float("InTime", 0, 0, 1), minValue: r.Float("Value", 0, 0, 1),
			})
		} else {
			s.engines, s.slots, s.readRate = r.Int("Count", 1, 1, 1000), r.Int("Slots", 1, 1, 1000), 1e3*r.Float("ReadTokensPerMilli", 1, 0.1, 1e4)
			s.length, s.lostFrom, s.lostTo, s.lost = seconds("Seconds"), seconds("LostFrom"), seconds("LostTo"), r.Int("Lost", 0, 0, 1000)
			s.impatient, s.minPatient = r.Int("RetryAtOnceOrganisations", 0, 0, organisations), r.Float("PatientServed", 0, 0, 1)
			s.minOthersInTime, s.maxRefused, s.returns = r.Float("OthersInTime", 0, 0, 1), r.Float("MaxRefused", 1, 0, 1), r.Int("Returns", 1, 0, 1e6)
		}
		r.Finish()
	}
	assert.Equal(t, len(f.Findings), 0, "%v", f.Findings)
	return s
}

// rule decides on a request; it is today's or that of the gate.
type rule func(now time.Time, r Request, o Outlook, lowestRank bool) Decision

// waitShareRule is the rule that applies without the feature "pressure" (forward/overload.go):
// the lowest rank is refused if the work ahead takes half of its target.
func waitShareRule(_ time.Time, r Request, o Outlook, lowestRank bool) Decision {
	share := 1.0
	if r.TimeLeft.Seconds() > 0.95*r.Timeout.Seconds() {
		share = 0.5
	}
	if !lowestRank || o.Wait.Seconds() <= share*r.Aim.Seconds() {
		return Decision{}
	}
	return Decision{Cause: Capacity, RetryAfter: time.Duration(0.32 * float64(r.TimeLeft))}
}

// call is a request of a caller.
type call struct {
	class        *scriptClass
	organisation int
	arrived      time.Time
	refusedAt    time.Time // first refusal
	servedAt     time.Time // first event
	done         bool      // answered before the deadline
	held         bool
	refusals     int
}

// scriptEngine reads one prompt at a time, the most urgent first, and holds a slot for each
// request that reads or is answered.
type scriptEngine struct {
	queue    []*call
	reading  *call
	readEnd  time.Time
	answered []time.Time // ends of the answers in progress
	goneTo   time.Time
}

type event struct {
	at   time.Time
	call *call // arrives or returns; nil to advance the engines
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play holds the state of one run of a script.
type play struct {
	*script
	start   time.Time
	engines []*scriptEngine
	events  events
	calls   []*call
	refused int
	rng     *rand.Rand
}

const (
	organisations   = 8
	predictionNoise = 0.2 // standard deviation of the logarithm of a prediction
)

func (s *script) run(decide rule) *play {
	p := &play{script: s, start: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	for range s.engines {
		p.engines = append(p.engines, &scriptEngine{})
	}
	lowest := 0
	for i := range s.classes {
		p.arrive(&s.classes[i])
		lowest = max(lowest, s.classes[i].rank)
	}
	heap.Init(&p.events)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.advance(e.at)
		if e.call != nil {
			p.handle(e.at, e.call, decide, lowest)
		}
	}
	return p
}

// arrive adds the arrivals of a class.
func (p *play) arrive(c *scriptClass) {
	for org := range organisations {
		for at := time.Duration(0); ; {
			rate := c.perSecond / organisations
			if at >= c.burstFrom && at < c.burstTo && (!c.burstFirst || org == 0) {
				rate *= c.burstFactor
			}
			at += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
			if at >= p.length {
				break
			}
			call := &call{class: c, organisation: org, arrived: p.start.Add(at)}
			p.calls = append(p.calls, call)
			p.events = append(p.events, event{at: call.arrived, call: call})
		}
	}
}

// advance lets the engines start the reads that can start until now. A step is an event, so
// that each is seen at its time.
func (p *play) advance(now time.Time) {
	for _, e := range p.engines {
		e.answered = slices.DeleteFunc(e.answered, func(end time.Time) bool { return !end.After(now) })
		if e.reading != nil && !e.readEnd.After(now) {
			c := e.reading
			c.servedAt, e.reading = e.readEnd, nil
			end := e.readEnd.Add(c.class.answer)
			c.done = !end.After(c.arrived.Add(c.class.timeout))
			e.answered = append(e.answered, end)
			heap.Push(&p.events, event{at: end})
		}
		e.queue = slices.DeleteFunc(e.queue, func(c *call) bool { return now.After(c.arrived.Add(c.class.timeout)) })
		if e.reading == nil && len(e.queue) > 0 && len(e.answered) < p.slots && !now.Before(e.goneTo) {
			e.reading, e.queue = e.queue[0], e.queue[1:]
			e.readEnd = now.Add(p.readTime(e.reading.class))
			heap.Push(&p.events, event{at: e.readEnd})
		}
	}
}

func (p *play) readTime(c *scriptClass) time.Duration {
	return time.Duration(float64(c.tokens) / p.readRate * float64(time.Second))
}

// predict returns the outlook of a request at the engine with the least wait.
func (p *play) predict(now time.Time, c *scriptClass) (*scriptEngine, Outlook) {
	var best *scriptEngine
	o := Outlook{Wait: math.MaxInt64, Answer: c.answer}
	since := now.Sub(p.start)
	for i, e := range p.engines {
		if since >= p.lostFrom && since < p.lostTo && i < p.lost {
			continue
		}
		held := len(e.queue) + len(e.answered)
		wait := time.Duration(0)
		if e.reading != nil {
			held++
			wait += e.readEnd.Sub(now)
		}
		slotTime := time.Duration(0)
		for _, q := range e.queue {
			if q.class.rank <= c.rank {
				wait += p.readTime(q.class)
				slotTime += q.class.answer / time.Duration(p.slots)
			}
		}
		if held >= p.slots {
			wait = max(wait, slotTime)
		}
		o.FreeSlot = o.FreeSlot || held < p.slots
		if wait < o.Wait {
			best, o.Wait = e, wait
		}
	}
	noise := math.Exp(predictionNoise * p.rng.NormFloat64())
	o.First = time.Duration(noise * float64(o.Wait+p.readTime(c)))
	o.Wait = time.Duration(noise * float64(o.Wait))
	return best, o
}

func (p *play) handle(now time.Time, c *call, decide rule, lowest int) {
	left := c.arrived.Add(c.class.timeout).Sub(now)
	if left <= 0 {
		return
	}
	e, o := p.predict(now, c.class)
	r := Request{
		Rank: c.class.rank, Organisation: fmt.Sprint("org-", c.organisation), Tokens: c.class.tokens,
		Aim: c.class.aim, Timeout: c.class.timeout, TimeLeft: left, Held: c.held,
	}
	d := decide(now, r, o, c.class.rank == lowest)
	if c.held = d.Hold > 0; c.held {
		heap.Push(&p.events, event{at: now.Add(d.Hold), call: c})
		return
	}
	if d.Cause != Admitted {
		p.refused++
		if c.refusedAt.IsZero() {
			c.refusedAt = now
		}
		back := min(d.RetryAfter, left/3)
		impatient := c.organisation < p.impatient
		if c.refusals++; c.refusals > p.returns && !impatient {
			return
		}
		if impatient {
			back = 10 * time.Millisecond
		}
		heap.Push(&p.events, event{at: now.Add(max(back, time.Millisecond)), call: c})
		return
	}
	at := slices.IndexFunc(e.queue, func(q *call) bool { return q.class.rank > c.class.rank })
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, c)
	heap.Push(&p.events, event{at: now})
}

// tally counts what callers get.
type tally struct {
	total, served, inTime, refused int
}

func (y *tally) add(c *call) {
	y.total++
	if c.done {
		y.served++
		if c.servedAt.Sub(c.arrived) <= c.class.aim {
			y.inTime++
		}
	}
	if !c.refusedAt.IsZero() {
		y.refused++
	}
}

func (y *tally) share(n int) float64 { return float64(n) / float64(max(y.total, 1)) }

func (y *tally) value() float64 { return (y.share(y.served) + y.share(y.inTime)) / 2 }

// check returns what of a script's expectations the run misses, and logs what callers got.
func (p *play) check(t *testing.T, name string) (missed []string) {
	t.Helper()
	expect := func(what string, got, least float64) {
		if got < least {
			missed = append(missed, fmt.Sprintf("%s %.3f, expected at least %g", what, got, least))
		}
	}
	for i := range p.classes {
		c, y := &p.classes[i], tally{}
		for _, call := range p.calls {
			if call.class == c {
				y.add(call)
			}
		}
		t.Logf("%s: %s (%d tokens): of %d in time %.3f, served %.3f, value %.3f, refused at first %.3f", name, c.name, c.tokens, y.total, y.share(y.inTime), y.share(y.served), y.value(), y.share(y.refused))
		expect(c.name+" served", y.share(y.served), c.minServed)
		expect(c.name+" in time", y.share(y.inTime), c.minInTime)
		expect(c.name+" value", y.value(), c.minValue)
	}
	return append(missed, p.checkCallers(t, name)...)
}

// checkCallers returns what of a script's expectations by organisation and by caller the run
// misses, and logs what they got.
func (p *play) checkCallers(t *testing.T, name string) (missed []string) {
	t.Helper()
	expect := func(what string, got, least float64) {
		if got < least {
			missed = append(missed, fmt.Sprintf("%s %.3f, expected at least %g", what, got, least))
		}
	}
	var byOrganisation [organisations]tally
	var others, returned, patient, impatient tally
	var back, until time.Duration
	for _, c := range p.calls {
		byOrganisation[c.organisation].add(c)
		k, at := c.class, c.arrived.Sub(p.start)
		switch burst := at >= k.burstFrom && at < k.burstTo; {
		case burst && k.burstFirst && c.organisation > 0:
			others.add(c)
		case burst && c.organisation < p.impatient:
			impatient.add(c)
		case burst:
			patient.add(c)
		}
		if !c.refusedAt.IsZero() {
			returned.add(c)
			until += c.refusedAt.Sub(c.arrived)
			if c.done {
				back += c.servedAt.Sub(c.refusedAt)
			}
		}
	}
	for i := range byOrganisation {
		y := &byOrganisation[i]
		t.Logf("%s: organisation %d: of %d in time %.3f, served %.3f", name, i, y.total, y.share(y.inTime), y.share(y.served))
	}
	t.Logf("%s: other organisations in the burst in time %.3f", name, others.share(others.inTime))
	t.Logf("%s: %d refusals of %d calls, the first %s after their arrival; of the calls %.3f were served, %s after the first refusal", name, p.refused, returned.total,
		until/time.Duration(max(returned.total, 1)), returned.share(returned.served), back/time.Duration(max(returned.served, 1)))
	expect("other organisations in time", others.share(others.inTime), p.minOthersInTime)
	expect("callers who wait, served", patient.share(patient.served), p.minPatient*impatient.share(impatient.served))
	t.Logf("%s: of the callers in the burst who wait %.3f are served, of those who come back at once %.3f", name, patient.share(patient.served), impatient.share(impatient.served))
	expect("not refused", 1-float64(returned.total)/float64(len(p.calls)), 1-p.maxRefused)
	return missed
}

// TestScripts plays the loads in testdata. It guards against refusing what could be served,
// against serving the wrong requests where not all can be, and against a class, size or
// organisation that gets nothing. Each script fails with the rule that applies without the
// feature, which shows that it tests something.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 5)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".ini"), func(t *testing.T) {
			s := readScript(t, path)
			before := s.run(waitShareRule).check(t, "without the gate")
			t.Logf("without the gate: %s", strings.Join(before, "; "))
			g := &Gate{}
			after := s.run(func(now time.Time, r Request, o Outlook, _ bool) Decision { return g.Decide(now, r, o) }).check(t, "with the gate")
			assert.Assert(t, len(before) > 0, "the script does not fail without the gate")
			assert.Equal(t, len(after), 0, "%s", strings.Join(after, "; "))
		})
	}
}
