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

// TestPausedStreamStays guards against a stream that goes on at a second upstream while the
// first one, which has only paused, still works on it.
func TestPausedStreamStays(t *testing.T) {
	const (
		events = 4
		first  = 500 * time.Millisecond // after which the upstream has made the first events
	)
	paused := runner.Faults{Pause: 1800 * time.Millisecond}
	mute := paused
	mute.NoReport = true
	for _, c := range []struct {
		name   string
		faults runner.Faults
		cut    bool // whether the upstream becomes unreachable
		stop   bool // whether the instance is asked to stop
		full   bool // whether the other upstreams are full for a while
		runs   int
	}{
		{"paused", paused, false, false, false, 1},
		{"paused in a planned stop, others full", paused, false, true, true, 1},
		{"unreachable", runner.Faults{Pause: 200 * time.Millisecond}, true, false, false, 2},
		{"says nothing", mute, false, false, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.setFaults("model", c.faults)
				time.AfterFunc(first, func() {
					for id, r := range sim.runners {
						switch {
						case r.RunsOf("a") == 0:
							r.SetFaults(runner.Faults{Full: c.full})
						case c.cut:
							sim.network.setCut("10.1.0.1", sim.hosts[id], true)
							sim.network.setCut(sim.hosts[id], "10.1.0.1", true)
						}
					}
					if c.stop {
						sim.instances[0].Forward.Leave(time.Now(), time.Now().Add(8*time.Second))
					}
				})
				if c.full {
					time.AfterFunc(5*time.Second, func() { sim.setFaults("", runner.Faults{}) })
				}
				sim.expect(sim.send(request{path: "/talk/1?events=" + itoa(events), id: "a"}), 200, streamText("a", events))
				runs := 0
				for _, r := range sim.runners {
					runs += r.RunsOf("a")
				}
				if runs != c.runs {
					t.Errorf("%d upstreams ran the stream, expected %d", runs, c.runs)
				}
			})
		})
	}
}
