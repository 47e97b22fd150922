package simulation

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

const (
	limitWindow  = 4 * time.Second // in which requests to a limited upstream are counted
	limitContact = 4 * time.Second // time after the first naming from which they are counted
)

// allowedInWindow is the stated bound: one and a half times what the limit allows, and five.
func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// TestNamedLimitHoldsAcrossInstances guards against an upstream that gets more requests from
// all instances together than the limit that it has named.
func TestNamedLimitHoldsAcrossInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   string
		limited int // upstreams of three that name it
		n       int // instances
		path    string
		faults  runner.Faults
		restart bool // restarts an instance meanwhile
	}{
		{name: "streams", limit: "3", limited: 2, n: 6, path: "/talk/1?events=3"},
		{name: "calls", limit: "4.33", limited: 2, n: 6, path: "/read/1"},
		{name: "all", limit: "3", limited: 3, n: 6, path: "/book/1"},
		{name: "zero", limit: "0", limited: 1, n: 6, path: "/book/1"},
		{name: "refusals", limit: "2", limited: 2, n: 6, path: "/read/1", faults: runner.Faults{Full: true}},
		{name: "failures", limit: "2", limited: 2, n: 6, path: "/read/1", faults: runner.Faults{Failing: true}},
		{name: "restart", limit: "3", limited: 2, n: 6, path: "/book/1", restart: true},
		{name: "many instances", limit: "3", limited: 2, n: 40, path: "/book/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, c.n, func(sim *routeSimulation) {
				perSecond, err := strconv.ParseFloat(c.limit, 64)
				if err != nil {
					t.Fatal(err)
				}
				faults := c.faults
				faults.Limit = c.limit
				for i := range c.limited {
					sim.runners["calls-"+itoa(i)].SetFaults(faults)
					sim.runners["model-"+itoa(i)].SetFaults(faults)
				}
				if c.restart {
					time.AfterFunc(8*time.Second, func() {
						_ = sim.instances[c.n-1].Close()
						sim.instances = sim.instances[:c.n-1]
						sim.startInstance(c.n - 1)
					})
				}
				start := time.Now()
				sim.load(60, 16*time.Second, c.path)
				for id, r := range sim.runners {
					got, index := r.MostReceived(start.Add(limitContact), limitWindow), int(id[len(id)-1]-'0')
					if index < c.limited && got > allowedInWindow(perSecond) {
						t.Errorf("upstream %s got %d requests in %s, allowed are %d", id, got, limitWindow, allowedInWindow(perSecond))
					}
				}
			})
		})
	}
}

// TestLimitEndsEverywhere checks that an upstream gets requests again from all instances once
// its answers no longer name a limit.
func TestLimitEndsEverywhere(t *testing.T) {
	simulateRoutes(t, 6, func(sim *routeSimulation) {
		one := sim.runners["calls-0"]
		one.SetFaults(runner.Faults{Limit: "0"})
		sim.load(60, 4*time.Second, "/book/1")
		one.SetFaults(runner.Faults{})
		sim.load(60, 22*time.Second, "/book/1")
		one.TakeReceived()
		sim.load(60, 4*time.Second, "/book/1")
		if got := len(one.TakeReceived()); got < 40 {
			t.Errorf("the upstream got %d of 240 requests after its limit", got)
		}
	})
}

// TestSenselessLimit checks that a limit that is no number from zero up changes nothing.
func TestSenselessLimit(t *testing.T) {
	for _, limit := range []string{"-1", "NaN", "many", "1,5", "1e300", "+Inf"} {
		t.Run(limit, func(t *testing.T) {
			simulateRoutes(t, 2, func(sim *routeSimulation) {
				sim.setFaults("calls", runner.Faults{Limit: limit})
				sim.load(60, 2*time.Second, "/book/1")
				got := 0
				for _, r := range sim.runners {
					got += len(r.TakeReceived())
				}
				if got < 118 {
					t.Errorf("the upstreams got %d of 120 requests", got)
				}
			})
		})
	}
}

// load sends requests at a rate a second to the instances by turns and waits for their ends.
func (sim *routeSimulation) load(perSecond int, length time.Duration, path string) {
	var wg sync.WaitGroup
	instances := len(sim.instances)
	for n := range int(length.Seconds() * float64(perSecond)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sim.send(request{instance: n % instances, path: path, id: "load-" + path + time.Now().String() + itoa(n)})
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}
