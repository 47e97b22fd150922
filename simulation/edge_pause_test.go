package simulation

import (
	"cmp"
	"strconv"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestPauseIsKept guards against requests that reach an upstream before the time has
// passed that its refusal stated in Retry-After.
func TestPauseIsKept(t *testing.T) {
	for _, c := range []struct {
		name    string
		service string
		path    string
		faults  runner.Faults
		pause   time.Duration // observed
		advised time.Duration // if longer than pause
		runs    int           // most runs of one request
	}{
		{"safe", "calls", "/read/1", runner.Faults{Full: true, RetryAfter: "2"}, 2 * time.Second, 0, 0},
		{"may run once", "calls", "/book/1", runner.Faults{Full: true, RetryAfter: "1.75"}, 1750 * time.Millisecond, 0, 0},
		{"stream", "model", "/talk/1?events=3", runner.Faults{Full: true, RetryAfter: "2"}, 2 * time.Second, 0, 0},
		{"not said to be not run", "calls", "/read/1", runner.Faults{Failing: true, FailStatus: 503, RetryAfter: "2"}, 2 * time.Second, 0, 2},
		{"not said to be not run, may run once", "calls", "/book/1", runner.Faults{Failing: true, FailStatus: 503, RetryAfter: "40"}, 40 * time.Second, 0, 1},
		{"absurd", "calls", "/book/1", runner.Faults{Full: true, RetryAfter: "1e300"}, 40 * time.Second, 5 * time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.setFaults(c.service, c.faults)
				start := time.Now()
				for n := 0; time.Since(start) < c.pause-20*time.Millisecond; n++ {
					id := "r" + itoa(n)
					resp := sim.send(request{path: c.path, id: id})
					if runs := sim.runCount(id); runs > c.runs {
						t.Errorf("request %s ran %d times", id, runs)
					}
					if n > 6 {
						sim.expect(resp, 503, "")
						sim.checkRetryAfter(resp, cmp.Or(c.advised, c.pause)-time.Since(start))
					}
					time.Sleep(c.pause / 100)
				}
				for k := range 3 {
					id := c.service + "-" + itoa(k)
					if got := len(sim.runners[id].TakeReceived()); got != 1 {
						t.Errorf("upstream %s got %d requests in its pause, expected the first one only", id, got)
					}
				}
				sim.setFaults(c.service, runner.Faults{})
				if c.advised == 0 {
					time.Sleep(100 * time.Millisecond)
					sim.expect(sim.send(request{path: c.path, id: "after"}), 200, "")
				}
			})
		})
	}
}

// checkRetryAfter checks that a refusal advises to come back when the first pause ends.
func (sim *routeSimulation) checkRetryAfter(resp response, left time.Duration) {
	sim.t.Helper()
	seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	if err != nil || seconds < left.Seconds()-0.001 || seconds > left.Seconds()+0.02 {
		sim.t.Errorf("Retry-After: got %q, expected %.3f", resp.header.Get("Retry-After"), left.Seconds())
	}
}

// TestPauseOfOne lets one upstream of three ask for a pause: the others serve all
// requests meanwhile, and it is used again afterwards.
func TestPauseOfOne(t *testing.T) {
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		one := sim.runners["calls-0"]
		one.SetFaults(runner.Faults{Full: true, RetryAfter: "3"})
		sim.useAll("a", 60)
		one.TakeReceived()
		one.SetFaults(runner.Faults{})
		for n := range 5 {
			sim.useAll("b"+itoa(n)+"-", 30)
			time.Sleep(500 * time.Millisecond)
		}
		if n := len(one.TakeReceived()); n != 0 {
			t.Errorf("the upstream got %d requests in its pause, expected 0", n)
		}
		time.Sleep(time.Second)
		sim.useAll("c", 60)
		if n := len(one.TakeReceived()); n == 0 {
			t.Errorf("the upstream got no request after its pause")
		}
	})
}

// TestChosenBeforePause sends many requests at almost the same time to the only upstream,
// which asks for a pause: none is sent once that has been read.
func TestChosenBeforePause(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		for _, id := range []string{"calls-1", "calls-2"} {
			sim.putEntry(id, "calls", "draining")
		}
		time.Sleep(2 * time.Second)
		only := sim.runners["calls-0"]
		only.SetFaults(runner.Faults{Full: true, RetryAfter: "1"})
		start := time.Now()
		var wg sync.WaitGroup
		for n := range 80 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sim.expect(sim.send(request{path: "/book/1", id: "r" + itoa(n)}), 503, "")
			}()
			time.Sleep(100 * time.Microsecond)
		}
		wg.Wait()
		// The first request arrives 4 ms after the start, its answer is read 1 ms later.
		if late := only.ReceivedAfter(start.Add(4*time.Millisecond + 2*sameRegionLatency)); len(late) > 0 {
			t.Errorf("%d of %d requests were sent after the first answer: %v", len(late), len(only.Received()), late)
		}
	})
}
