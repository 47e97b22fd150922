package simulation

import (
	"strings"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestSilentStreamNotCut guards against streams of sound but slow upstreams that are
// interrupted and then aborted, because they cannot be resumed elsewhere.
func TestSilentStreamNotCut(t *testing.T) {
	const pause = 1800 * time.Millisecond
	for _, c := range []struct {
		name   string
		path   string
		faults runner.Faults
		budget float64       // slack of the retry budget
		full   time.Duration // how long the other upstreams are full
		body   string
	}{
		{"no retry left", "/talk/1?events=4", runner.Faults{Pause: pause}, 0, 0, streamText("a", 4)},
		{"no retry left, first event", "/talk/1?events=4", runner.Faults{Delay: pause}, 0, 0, streamText("a", 4)},
		{"no retry left, call", "/read/1", runner.Faults{Delay: pause}, 0, 0, "answer to a"},
		{"others full", "/talk/1?events=4", runner.Faults{Pause: pause}, 100, 5 * time.Second, streamText("a", 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.instances[0].Forward.Budget.SetLimits(0, c.budget)
				sim.setFaults("", c.faults)
				time.AfterFunc(pause/4, func() {
					for _, r := range sim.runners {
						if r.RunsOf("a") == 0 {
							r.SetFaults(runner.Faults{Full: c.full > 0})
						}
					}
				})
				if c.full > 0 {
					time.AfterFunc(c.full, func() { sim.setFaults("", runner.Faults{}) })
				}
				sim.expect(sim.send(request{path: c.path, id: "a"}), 200, c.body)
			})
		})
	}
}

// TestSilentCallUsesItsRetry guards against a call that is interrupted for a retry and
// then fails, because the retry was used up by an upstream that could not be reached.
func TestSilentCallUsesItsRetry(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		sim.instances[0].Forward.Budget.SetLimits(0, 2)
		sim.setFaults("", runner.Faults{Delay: 1800 * time.Millisecond})
		time.AfterFunc(400*time.Millisecond, func() {
			spared := false
			for id, r := range sim.runners {
				switch {
				case r.RunsOf("a") > 0:
				case spared || !strings.HasPrefix(id, "calls"):
					sim.network.resetHost(sim.hosts[id])
				default:
					spared = true
					r.SetFaults(runner.Faults{})
				}
			}
		})
		sim.expect(sim.send(request{path: "/read/1", id: "a"}), 200, "answer to a")
	})
}
