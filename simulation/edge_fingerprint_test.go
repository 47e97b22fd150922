package simulation

import (
	"strings"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestDeadlyRequestCrashesNoFurtherUpstreams guards against a request without a prompt that
// comes again and crashes one upstream after the other.
func TestDeadlyRequestCrashesNoFurtherUpstreams(t *testing.T) {
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
				service := "calls"
				if strings.Contains(c.path, "events") {
					service = "model"
				}
				fleet := startCrashing(sim, service, 12, runner.Faults{
					Delay: 80 * time.Millisecond, Pause: 20 * time.Millisecond, DeadlyTarget: c.path + "deadly", DeadlyEvents: c.events,
				})
				fleet.checkDeadly(3, func(tr *traffic, n int, deadly bool) {
					r := request{instance: n % 3, id: "sound-" + itoa(n), method: c.method, path: c.path + itoa(n%7), body: c.body}
					if deadly {
						r.instance, r.id, r.path = n/deadlyIn%3, "deadly-"+itoa(n), c.path+"deadly"
					}
					tr.send(r)
				})
			})
		})
	}
}
