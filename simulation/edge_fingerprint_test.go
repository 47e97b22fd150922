package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// startCalls starts upstreams of the service calls in place of those of the simulation.
func startCalls(sim *routeSimulation, n int, f runner.Faults) *crashingFleet {
	fleet := &crashingFleet{sim: sim, service: "calls", faults: f, down: map[string]time.Time{}}
	for id := range sim.runners {
		if strings.HasPrefix(id, "calls") {
			sim.store.Delete("servers", id)
		}
	}
	for i := range n {
		id := fmt.Sprintf("app-%d", i)
		sim.hosts[id] = fmt.Sprintf("10.7.0.%d", i+1)
		fleet.start(id)
	}
	time.Sleep(4 * time.Second)
	return fleet
}

// call sends a request in the background.
func (tr *traffic) call(instance int, id, method, path, body string) {
	tr.wg.Go(func() {
		sentAt := time.Now()
		resp := tr.sim.send(request{instance: instance, id: id, method: method, path: path, body: body})
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.answers = append(tr.answers, timedAnswer{id: id, sentAt: sentAt, response: resp})
	})
}

// TestDeadlyRequestCrashesNoFurtherUpstreams guards against a request without a prompt that
// comes again and crashes one upstream after the other.
func TestDeadlyRequestCrashesNoFurtherUpstreams(t *testing.T) {
	const (
		learnTime = 4 * time.Second // from the third crash
		maxLate   = 3
		ticks     = 1000
		tick      = 25 * time.Millisecond
		warmUp    = 80 // ticks without the deadly request
		deadlyIn  = 16 // then one request in so many is it
	)
	for _, c := range []struct {
		name   string
		method string
		path   string // deadly is appended to it
		body   string
		events int // of a stream before the crash
	}{
		{"call that may run once", "POST", "/book/", "two sacks", 0},
		{"call without a body", "GET", "/read/", "", 0},
		{"call with a query", "GET", "/read/1?x=", "", 0},
		{"stream", "POST", "/talk/1?events=5&x=", "", 0},
		{"stream in the middle", "POST", "/once/1?events=40&x=", "", 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 3, func(sim *routeSimulation) {
				f := runner.Faults{Delay: 80 * time.Millisecond, Pause: 20 * time.Millisecond, DeadlyTarget: c.path + "deadly", DeadlyEvents: c.events}
				start := startCalls
				if strings.Contains(c.path, "events") {
					start = startModels
				}
				fleet := start(sim, 12, f)
				tr := &traffic{sim: sim}
				for n := range ticks {
					if n >= warmUp && n%deadlyIn == 0 {
						tr.call(n/deadlyIn%3, "deadly-"+itoa(n), c.method, c.path+"deadly", c.body)
					} else {
						tr.call(n%3, "sound-"+itoa(n), c.method, c.path+itoa(n%7), c.body)
					}
					time.Sleep(tick)
					fleet.restart()
				}
				tr.wg.Wait()
				if len(fleet.crashes) == 0 {
					t.Fatal("no upstream crashed")
				}
				known := fleet.crashes[min(len(fleet.crashes), 3)-1]
				late := fleet.receivedAfter("deadly-", known.Add(learnTime))
				t.Logf("%d crashes; the request came %d times later", len(fleet.crashes), late)
				if late > maxLate {
					t.Errorf("the request reached upstreams %d times later than %s after its third crash, expected at most %d", late, learnTime, maxLate)
				}
				tr.check(t, known.Add(2*learnTime))
			})
		})
	}
}
