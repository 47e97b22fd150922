package simulation

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

const (
	deadlyPart  = "dead"
	longPart    = "9f86d081884c7d659a2feaa0c55ad015" // an ID of 128 bits
	restartTime = 2 * time.Second                    // from the crash of an upstream to its return under a new ID
	// An upstream that goes dark is back later, at another address, and its entry goes before.
	darkTime      = 4500 * time.Millisecond
	entryLifetime = 3600 * time.Millisecond // without a write of the upstream
)

// crashingFleet lets upstreams crash and return.
type crashingFleet struct {
	sim     *routeSimulation
	service string
	faults  runner.Faults
	dark    bool // upstreams do not reset their connections when they crash

	mu      sync.Mutex
	crashes []time.Time
	down    map[string]time.Time // when the upstreams that are down crashed, by ID
}

// startCrashing starts n upstreams of a service which crash as the faults say, in place of
// those of the simulation.
func startCrashing(sim *routeSimulation, service string, n int, f runner.Faults) *crashingFleet {
	fleet := &crashingFleet{sim: sim, service: service, faults: f, down: map[string]time.Time{}}
	for id := range sim.runners {
		if strings.HasPrefix(id, service) {
			sim.store.Delete("servers", id)
		}
	}
	for i := range n {
		id := fmt.Sprintf("crashing-%d", i)
		sim.hosts[id] = fmt.Sprintf("10.6.0.%d", i+1)
		fleet.start(id)
	}
	// The removed entries are used for a while, as after an outage of the store.
	time.Sleep(4 * time.Second)
	return fleet
}

// start starts an upstream whose host is known.
func (c *crashingFleet) start(id string) {
	r := runner.New(id)
	r.SetFaults(c.faults)
	r.OnCrash = func() { c.crash(id, c.sim.hosts[id]) }
	c.sim.runners[id] = r
	c.sim.serve(c.sim.hosts[id]+":80", r.Handler())
	c.sim.putEntry(id, c.service, "ready")
}

// crash resets the connections of an upstream and closes its listener, or lets its host go
// dark.
func (c *crashingFleet) crash(id, h string) {
	c.mu.Lock()
	_, down := c.down[id]
	if !down {
		c.crashes = append(c.crashes, time.Now())
		c.down[id] = time.Now()
	}
	c.mu.Unlock()
	switch {
	case down:
	case c.dark:
		c.sim.network.setCut("*", h, true)
		c.sim.network.setCut(h, "*", true)
		time.AfterFunc(entryLifetime, func() { c.sim.store.Delete("servers", id) })
	default:
		c.sim.network.resetHost(h)
	}
}

// downTime returns the time from the crash of an upstream to its return.
func (c *crashingFleet) downTime() time.Duration {
	if c.dark {
		return darkTime
	}
	return restartTime
}

// restart starts the upstreams again that have been down for long enough.
func (c *crashingFleet) restart() {
	c.mu.Lock()
	var due []string
	for id, at := range c.down {
		if time.Since(at) >= c.downTime() {
			due = append(due, id)
			delete(c.down, id)
		}
	}
	c.mu.Unlock()
	slices.Sort(due)
	for _, id := range due {
		h := c.sim.hosts[id]
		c.sim.store.Delete("servers", id)
		if c.dark {
			h = fmt.Sprintf("10.6.1.%d", len(c.sim.hosts))
		}
		id += "r"
		c.sim.hosts[id] = h
		c.start(id)
	}
}

// receivedAfter returns the number of requests with the prefix in their IDs that
// upstreams received after time t.
func (c *crashingFleet) receivedAfter(prefix string, t time.Time) int {
	n := 0
	for _, r := range c.sim.runners {
		for _, id := range r.ReceivedAfter(t) {
			if strings.HasPrefix(id, prefix) {
				n++
			}
		}
	}
	return n
}

// traffic sends requests in the background and keeps their answers.
type traffic struct {
	sim *routeSimulation
	wg  sync.WaitGroup

	mu      sync.Mutex
	answers []timedAnswer
}

type timedAnswer struct {
	id     string
	sentAt time.Time
	response
}

// stream sends a request for a stream with a prompt of two shared parts.
func (tr *traffic) stream(instance int, id, first, second string) {
	prompt := fmt.Sprintf("%s:1000,%s:500,%x:100", first, second, time.Now().UnixNano())
	tr.send(request{instance: instance, path: "/talk/1?events=5", id: id, header: map[string]string{
		"X-Knapweedwell-Prompt-Prefix": prompt, "X-Knapweedwell-Token-Usage": "1600,20",
	}})
}

// send sends a request in the background.
func (tr *traffic) send(r request) {
	tr.wg.Go(func() {
		sentAt := time.Now()
		resp := tr.sim.send(r)
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.answers = append(tr.answers, timedAnswer{id: r.id, sentAt: sentAt, response: resp})
	})
}

// TestDeadlyPartCrashesNoFurtherUpstreams guards against requests with one part in their
// prompts that crash one upstream after the other for as long as they come.
func TestDeadlyPartCrashesNoFurtherUpstreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		dark   bool
		deadly string // ID of the deadly part
		before int    // parts before it that no other request has
	}{
		{"resets", false, deadlyPart, 0},
		{"dark", true, deadlyPart, 0},
		{"long ID", false, longPart, 0},
		{"many parts", false, deadlyPart, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 3, func(sim *routeSimulation) {
				fleet := startCrashing(sim, "model", 12, runner.Faults{Delay: 80 * time.Millisecond, Pause: 20 * time.Millisecond, DeadlyPart: c.deadly})
				fleet.dark = c.dark
				fleet.checkDeadly(5, func(tr *traffic, n int, deadly bool) {
					if deadly {
						tr.stream(n/deadlyIn%3, "deadly-"+itoa(n), "aa", ownParts(n, c.before)+c.deadly)
					} else {
						tr.stream(n%3, "sound-"+itoa(n), "aa", "b"+itoa(n%7))
					}
				})
			})
		})
	}
}

// ownParts returns the beginning of a list with parts that only the n-th request has.
func ownParts(n, parts int) string {
	var list strings.Builder
	for i := range parts {
		fmt.Fprintf(&list, "%x:1,", 1<<30+n<<12+i)
	}
	return list.String()
}

// Times of the traffic in which one request in deadlyIn is deadly, after warmUp ticks without.
const (
	deadlyTicks = 1000
	deadlyTick  = 25 * time.Millisecond
	deadlyIn    = 16
	warmUpTicks = 80
)

// checkDeadly sends a request a tick and fails the test if more than three deadly ones reach
// upstreams later than 4 s after the crash with the number known, or if sound ones fail later.
func (c *crashingFleet) checkDeadly(known int, send func(tr *traffic, n int, deadly bool)) {
	const (
		learnTime = 4 * time.Second
		maxLate   = 3
	)
	t := c.sim.t
	tr := &traffic{sim: c.sim}
	for n := range deadlyTicks {
		send(tr, n, n >= warmUpTicks && n%deadlyIn == 0)
		time.Sleep(deadlyTick)
		c.restart()
	}
	tr.wg.Wait()
	if len(c.crashes) == 0 {
		t.Fatal("no upstream crashed")
	}
	knownAt := c.crashes[min(len(c.crashes), known)-1]
	late := c.receivedAfter("deadly-", knownAt.Add(learnTime))
	t.Logf("%d crashes; %d deadly requests later", len(c.crashes), late)
	if late > maxLate {
		t.Errorf("%d deadly requests reached upstreams later than %s after crash %d, expected at most %d", late, learnTime, known, maxLate)
	}
	tr.check(t, knownAt.Add(2*learnTime))
}

// check fails the test unless all sound requests that were sent after time t are answered
// and all others are refused as not run.
func (tr *traffic) check(t *testing.T, after time.Time) {
	t.Helper()
	counts := map[string]int{}
	for _, a := range tr.answers {
		if a.sentAt.Before(after) {
			continue
		}
		kind, _, _ := strings.Cut(a.id, "-")
		counts[kind]++
		if kind == "sound" && (a.status != 200 || !a.complete) {
			t.Errorf("request %s: status %d, complete %t, %s", a.id, a.status, a.complete, a.body)
		}
		if kind == "deadly" && a.status != 503 {
			t.Errorf("request %s: status %d, expected 503", a.id, a.status)
		}
	}
	if counts["sound"] == 0 || counts["deadly"] == 0 {
		t.Errorf("the test sent no requests of a kind after the crashes: %v", counts)
	}
}

// TestStartWithSlowStore guards against instances that never become live after all of them
// ended, because the store takes over a second for an answer.
func TestStartWithSlowStore(t *testing.T) {
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		sim.store.SetFaults(platform.Faults{Slow: 1200 * time.Millisecond})
		for i := range 2 {
			_ = sim.instances[i].Close()
			sim.instances[i] = nil
		}
		for i := range 2 {
			sim.startInstance(i)
		}
		sim.eventually(12*time.Second, "both instances are live", func() bool { return sim.instances[2].Live() && sim.instances[3].Live() })
	})
}
