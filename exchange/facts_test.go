package exchange

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/quarantine"
)

// testFacts keeps all facts that it gets, verdicts until they end.
type testFacts struct {
	onChange func()

	mu         sync.Mutex
	facts      []quarantine.Fact
	generation uint64
}

func newTestFacts(onChange func()) *testFacts {
	return &testFacts{onChange: onChange}
}

// learn adds facts that the instance has learned by itself.
func (f *testFacts) learn(facts ...quarantine.Fact) {
	f.Apply(time.Now(), facts)
	f.onChange()
}

func (f *testFacts) Apply(_ time.Time, facts []quarantine.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fresh := range facts {
		f.set(fresh)
		f.generation++
	}
}

// set adds a fact or replaces one with the same key. The caller holds f.mu.
func (f *testFacts) set(fresh quarantine.Fact) {
	key, _, _ := describeFact(fresh)
	for i, old := range f.facts {
		if k, _, _ := describeFact(old); k == key {
			f.facts[i] = fresh
			return
		}
	}
	f.facts = append(f.facts, fresh)
}

func (f *testFacts) Facts(now time.Time) []quarantine.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var facts []quarantine.Fact
	for _, fact := range f.facts {
		if c, ok := fact.(quarantine.Convicted); !ok || now.Before(c.Until) {
			facts = append(facts, fact)
		}
	}
	return facts
}

func (f *testFacts) Generation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// crash returns the facts about one crash of an upstream with 12 requests.
func crash(number int) []quarantine.Fact {
	var facts []quarantine.Fact
	for part := range 36 {
		facts = append(facts, quarantine.Implicated{Trait: 1<<31 + uint64(number*10+part), Crash: 1<<63 + uint64(number), At: time.Now()})
	}
	return facts
}

// lacking returns the number of instances that have fewer facts than expected, those that
// are left out excepted.
func (fl *testFleet) lacking(expected int, leftOut ...int) int {
	lacking := 0
	for i, f := range fl.facts {
		if len(f.Facts(time.Now())) < expected && !slices.Contains(leftOut, i) {
			lacking++
		}
	}
	return lacking
}

// reach waits until all instances have the expected number of facts and returns the time
// that it took, at most limit.
func (fl *testFleet) reach(expected int, limit time.Duration, leftOut ...int) time.Duration {
	start := time.Now()
	for fl.lacking(expected, leftOut...) > 0 && time.Since(start) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// factBytes returns the bytes of all datagrams with facts.
func (fl *testFleet) factBytes() int {
	fl.packets.mu.Lock()
	defer fl.packets.mu.Unlock()
	return fl.packets.bytes[factsFormat]
}

// TestFactsReachAll lets instances learn of crashes, and one of them of a verdict, while a
// fifth of the datagrams is lost. It bounds the time until all know and the bytes sent.
func TestFactsReachAll(t *testing.T) {
	const (
		crashes   = 5
		beginning = 6 * time.Second  // in which all facts are sent
		later     = 2 * time.Second  // in which bytes are counted once all know
		span      = 30 * time.Second // from the first crash; the mean of the bytes is taken over it
		maxBytes  = 500              // a second and instance, what the reports leave of 4 KB
	)
	for _, c := range []struct {
		instances int
		limit     time.Duration
	}{{6, time.Second}, {90, 2 * time.Second}} {
		t.Run(strconv.Itoa(c.instances), func(t *testing.T) {
			runFleet(t, c.instances, 12, func(fl *testFleet) {
				fl.observeAll()
				time.Sleep(3 * time.Second)
				assert.Equal(t, fl.factBytes(), 0, "bytes while there are no facts")
				fl.packets.setLoss(0.2)
				start := time.Now()
				expected := 0
				for n := range crashes {
					expected += fl.learnCrash(n)
					time.Sleep(250 * time.Millisecond)
				}
				took := 250*time.Millisecond + fl.reach(expected, 10*time.Second)
				t.Logf("the evidence of the last crash after at most %s", took)
				assert.Assert(t, took <= c.limit, "evidence took %s, expected at most %s", took, c.limit)
				fl.facts[1].learn(quarantine.Convicted{Trait: 1, At: time.Now(), Until: time.Now().Add(20 * time.Second), Crashes: 5})
				took = fl.reach(expected+1, 10*time.Second)
				t.Logf("the verdict after %s", took)
				assert.Assert(t, took <= c.limit, "verdict took %s, expected at most %s", took, c.limit)
				time.Sleep(beginning - time.Since(start))
				first := fl.factBytes()
				time.Sleep(later)
				rate := float64(fl.factBytes()-first) / later.Seconds()
				mean := (float64(first) + rate*(span-beginning).Seconds()) / span.Seconds() / float64(c.instances)
				t.Logf("%d bytes an instance in the first %s, %.0f a second afterwards", first/c.instances, beginning, rate/float64(c.instances))
				assert.Assert(t, mean <= maxBytes, "%.0f bytes a second and instance, expected at most %d", mean, maxBytes)
			})
		})
	}
}

// learnCrash lets several instances learn of a crash, and returns the number of its facts.
func (fl *testFleet) learnCrash(number int) int {
	const learners = 6
	facts := crash(number)
	share := len(facts) / learners
	for k := range learners {
		fl.facts[(number+k*7)%len(fl.facts)].learn(facts[k*share : (k+1)*share]...)
	}
	return len(facts)
}

// TestFactsAfterCut reconnects an instance that was cut off when there was a verdict. It
// guards against an instance that never learns a verdict which was not sent again.
func TestFactsAfterCut(t *testing.T) {
	const limit = 2 * time.Second
	for _, instances := range []int{5, 60} {
		runFleet(t, instances, 12, func(fl *testFleet) {
			fl.observeAll()
			time.Sleep(3 * time.Second)
			fl.setCut([]int{0, 1}, true)
			fl.facts[2].learn(quarantine.Convicted{Trait: 1, At: time.Now(), Until: time.Now().Add(time.Minute), Crashes: 5})
			fl.facts[0].learn(quarantine.Implicated{Trait: 3, Crash: 4, At: time.Now()})
			assert.Assert(t, fl.reach(1, 5*time.Second) < 5*time.Second || fl.lacking(1) <= 1)
			time.Sleep(5 * time.Second)
			fl.setCut([]int{0, 1}, false)
			took := fl.reach(2, 10*time.Second)
			t.Logf("%d instances: all facts %s after the cut", instances, took)
			assert.Assert(t, took <= limit, "%s, expected at most %s", took, limit)
		})
	}
}

// TestFactsKeepTheirTimes passes verdicts around for a while. It guards against verdicts
// that are prolonged by each instance that passes them on.
func TestFactsKeepTheirTimes(t *testing.T) {
	runFleet(t, 40, 12, func(fl *testFleet) {
		fl.observeAll()
		time.Sleep(3 * time.Second)
		fl.packets.setLoss(0.2)
		until := time.Now().Add(20 * time.Second)
		fl.facts[3].learn(quarantine.Convicted{Trait: 1, At: time.Now(), Until: until, Crashes: 5})
		time.Sleep(15 * time.Second)
		for i, f := range fl.facts {
			facts := f.Facts(time.Now())
			assert.Equal(t, len(facts), 1, "facts at instance %d", i)
			late := facts[0].(quarantine.Convicted).Until.Sub(until)
			assert.Assert(t, late < verdictTolerance, "verdict at instance %d ends %s late", i, late)
		}
		time.Sleep(5*time.Second + verdictTolerance)
		before := fl.factBytes()
		time.Sleep(2 * time.Second)
		assert.Equal(t, fl.factBytes(), before, "bytes after the end of all facts")
	})
}

// TestFactsDroppedAfterSuspension guards against datagrams that waited in the socket of a
// suspended instance and look young to it.
func TestFactsDroppedAfterSuspension(t *testing.T) {
	runFleet(t, 2, 1, func(fl *testFleet) {
		time.Sleep(2 * time.Second)
		s := fl.services[0]
		now := time.Now()
		data := encodeFacts(now, factsMessage{Sender: fl.members[1].Name, Facts: []quarantine.Fact{quarantine.Answered{Trait: 1, At: now}}})
		s.mu.Lock()
		s.lastRound = now.Add(-2 * suspensionTime)
		s.mu.Unlock()
		assert.NilError(t, s.receiveFacts(data))
		assert.Equal(t, len(fl.facts[0].Facts(now)), 0)
		time.Sleep(period + staleTime)
		assert.NilError(t, s.receiveFacts(data))
		assert.Equal(t, len(fl.facts[0].Facts(now)), 1)
	})
}
