package simulation

import (
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestUnbegunStreamStays guards against a stream that is sent to a second upstream before its first
// event, while the first upstream, which is only slow, works on it. An upstream that does not say
// that it runs, then or later, is given up.
func TestUnbegunStreamStays(t *testing.T) {
	const (
		delay    = 6 * time.Second // to the first event
		darkness = 4 * time.Second // after the start, if the upstream becomes unreachable
	)
	slow := runner.Faults{Delay: delay}
	mute := slow
	mute.NoReport = true
	for _, c := range []struct {
		name   string
		faults runner.Faults
		dark   bool
		runs   int
	}{{"slow", slow, false, 1}, {"says nothing", mute, false, 2}, {"slow, then unreachable", slow, true, 2}} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.setFaults("model", c.faults)
				time.AfterFunc(500*time.Millisecond, func() {
					for _, r := range sim.runners {
						if r.RunsOf("a") == 0 {
							r.SetFaults(runner.Faults{})
						}
					}
				})
				if c.dark {
					time.AfterFunc(darkness, func() {
						for id, r := range sim.runners {
							if r.RunsOf("a") > 0 {
								sim.network.setCut("10.1.0.1", sim.hosts[id], true)
								sim.network.setCut(sim.hosts[id], "10.1.0.1", true)
							}
						}
					})
				}
				start := time.Now()
				sim.expect(sim.send(request{path: "/talk/1?events=4", id: "a"}), 200, streamText("a", 4))
				if took := time.Since(start); took > delay+time.Second {
					t.Errorf("the stream took %s, expected at most %s", took, delay+time.Second)
				}
				if runs := sim.runCount("a"); runs != c.runs {
					t.Errorf("%d upstreams ran the stream, expected %d", runs, c.runs)
				}
			})
		})
	}
}
