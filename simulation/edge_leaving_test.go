package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

// TestUpstreamSaysItLeaves guards against requests to an upstream after one of its
// answers said that it leaves, while the store lists it as ready or is away.
func TestUpstreamSaysItLeaves(t *testing.T) {
	for _, c := range []struct {
		name    string
		service string
		path    string
		faults  runner.Faults
		outage  bool
	}{
		{"success", "calls", "/read/1", runner.Faults{}, false},
		{"success, store away", "calls", "/read/1", runner.Faults{}, true},
		{"failure", "calls", "/read/1", runner.Faults{Failing: true}, false},
		{"failure of a request that may run once", "calls", "/book/1", runner.Faults{Failing: true}, true},
		{"refusal", "calls", "/book/1", runner.Faults{Full: true}, false},
		{"unsigned", "calls", "/book/1", runner.Faults{Unsigned: true}, false},
		{"stream", "model", "/talk/1?events=3", runner.Faults{}, false},
		{"stream that breaks", "model", "/talk/1?events=3", runner.Faults{BreakAfter: 1}, true},
		{"stream that may run once", "model", "/once/1?events=3", runner.Faults{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.store.SetFaults(platform.Faults{Outage: c.outage})
				c.faults.Leaving = true
				sim.setFaults(c.service, c.faults)
				for n := range 20 {
					sim.send(request{path: c.path, id: "r" + itoa(n)})
					if n == 10 && !c.outage {
						// The entries change, and are still listed as ready.
						for k := range 3 {
							sim.putEntryBorn(c.service+"-"+itoa(k), c.service, "ready", 1, 9)
						}
						time.Sleep(2 * time.Second)
					}
				}
				for k := range 3 {
					id := c.service + "-" + itoa(k)
					if got := len(sim.runners[id].Received()); got != 1 {
						t.Errorf("upstream %s got %d requests, expected one", id, got)
					}
				}
			})
		})
	}
}

// TestLeavingUpstreamRestarts checks that an upstream that said that it leaves is used
// again once it has started anew under its ID, and that the operator sees it until then.
func TestLeavingUpstreamRestarts(t *testing.T) {
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		sim.runners["calls-0"].SetFaults(runner.Faults{Leaving: true})
		sim.useAll("a", 60)
		sim.runners["calls-0"].TakeReceived()
		sim.useAll("b", 60)
		for i, in := range sim.instances {
			if got := fmt.Sprint(in.Roster.Current().Leaving()); got != "[calls-0]" {
				t.Errorf("instance %d lists %s as leaving, expected [calls-0]", i, got)
			}
		}
		if n := len(sim.runners["calls-0"].TakeReceived()); n != 0 {
			t.Errorf("the leaving upstream got %d requests after its answers, expected 0", n)
		}
		sim.store.Delete("servers", "calls-0")
		time.Sleep(4 * time.Second)
		// Old data is listed again.
		sim.putEntry("calls-0", "calls", "ready")
		time.Sleep(2 * time.Second)
		sim.useAll("c", 60)
		if n := len(sim.runners["calls-0"].TakeReceived()); n != 0 {
			t.Errorf("the upstream got %d requests after its old entry was listed again, expected 0", n)
		}
		sim.runners["calls-0"].SetFaults(runner.Faults{})
		sim.putEntryBorn("calls-0", "calls", "ready", 2, 8)
		time.Sleep(2 * time.Second)
		sim.useAll("d", 60)
		if n := len(sim.runners["calls-0"].Received()); n == 0 {
			t.Errorf("the upstream got no request after its restart")
		}
	})
}

// useAll sends n requests that may run once at the same time, by all instances in turn.
func (sim *routeSimulation) useAll(prefix string, n int) {
	sim.t.Helper()
	var wg sync.WaitGroup
	for k := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := prefix + itoa(k)
			sim.expect(sim.send(request{instance: k % len(sim.instances), path: "/book/1", id: id}), 200, "answer to "+id)
		}()
	}
	wg.Wait()
}

// TestAllUpstreamsLeave checks that requests are refused as not run once all upstreams
// of their pool have said that they leave.
func TestAllUpstreamsLeave(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		sim.setFaults("calls", runner.Faults{Leaving: true})
		for n := range 3 {
			id := "a" + itoa(n)
			sim.expect(sim.send(request{path: "/book/1", id: id}), 200, "answer to "+id)
		}
		for n := range 10 {
			resp := sim.send(request{path: "/book/1", id: "b" + itoa(n)})
			sim.expect(resp, 503, "")
			if resp.header.Get("Retry-After") == "" || sim.runCount("b"+itoa(n)) != 0 {
				t.Errorf("Retry-After %q after %d runs, expected one after no run", resp.header.Get("Retry-After"), sim.runCount("b"+itoa(n)))
			}
		}
	})
}

// TestChosenBeforeItSaysItLeaves sends many requests at almost the same time to the only
// upstream, which leaves: none is sent once the first answer has been read, not even
// those for which the upstream had been chosen and a connection was being opened.
func TestChosenBeforeItSaysItLeaves(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		for _, id := range []string{"calls-1", "calls-2"} {
			sim.putEntry(id, "calls", "draining")
		}
		time.Sleep(2 * time.Second)
		only := sim.runners["calls-0"]
		only.SetFaults(runner.Faults{Leaving: true})
		start := time.Now()
		var wg sync.WaitGroup
		for n := range 80 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sim.send(request{path: "/book/1", id: "r" + itoa(n)})
			}()
			time.Sleep(100 * time.Microsecond)
		}
		wg.Wait()
		// The first request arrives 4 ms after the start, its answer is read 1 ms later.
		if late := only.ReceivedAfter(start.Add(4*time.Millisecond + 2*sameRegionLatency)); len(late) > 0 {
			t.Errorf("%d of %d requests were sent after the first answer: %v", len(late), len(only.Received()), late)
		}
		if len(only.Received()) < 5 {
			t.Errorf("only %d requests were sent before the first answer, expected 5 and more", len(only.Received()))
		}
	})
}
