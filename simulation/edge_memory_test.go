package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestBodiesWithoutMemory guards against answers that are lost, or look whole though they are
// not, and against refusals that are not true, while the memory for bodies is spent.
func TestBodiesWithoutMemory(t *testing.T) {
	const (
		limit = 100_000 // bytes for all bodies
		ok    = "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\n"
	)
	small, large := strings.Repeat("a", 10_000), strings.Repeat("b", 600_000)
	event := "id: 1\ndata: " + large[:150_000] + "\n\n"
	for _, c := range []struct {
		name     string
		path     string
		body     string
		answer   string
		reset    bool
		status   int
		complete bool
		want     string // of the answer with status 200
		runs     int    // requests that reach the upstream
	}{
		{"short bodies", "/book/1", small, ok + "Content-Length: 10000\r\n\r\n" + small, false, 200, true, small, 1},
		{"large answer with a length", "/book/1", "", ok + "Content-Length: 600000\r\n\r\n" + large, false, 200, true, large, 1},
		{"large answer without a length", "/book/1", "", ok + "\r\n" + large, false, 200, true, large, 1},
		{"large answer, cut short", "/book/1", "", ok + "Content-Length: 600001\r\n\r\n" + large, false, 200, false, large, 1},
		{"large answer, reset", "/book/1", "", ok + "\r\n" + large, true, 200, false, large, 1},
		{"large failure", "/book/1", "", strings.Replace(ok, "200 OK", "500 Failed", 1) + "Content-Length: 600000\r\n\r\n" + large, false, 500, true, "", 1},
		{"large body", "/book/1", large, ok + "Content-Length: 10000\r\n\r\n" + small, false, 503, true, "", 0},
		{"large event", "/once/1", "", ok + "\r\n" + event, false, 502, true, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				memory := sim.instances[0].Forward.Memory
				memory.Limit = limit
				service := "calls"
				if strings.HasPrefix(c.path, "/once") {
					service = "model"
				}
				u := &textUpstream{texts: []string{c.answer}, reset: c.reset}
				sim.startRawUpstream(service+"-raw", service, u.serve)
				got := sim.send(request{path: c.path, id: "m1", body: c.body})
				if got.status != c.status || got.complete != c.complete || (c.status == 200 && got.body != c.want) {
					t.Errorf("got %d, complete %t, %d bytes, expected %d, %t, %d", got.status, got.complete, len(got.body), c.status, c.complete, len(c.want))
				}
				time.Sleep(time.Second)
				if n := int(u.runs.Load()); n != c.runs {
					t.Errorf("%d requests reached the upstream, expected %d", n, c.runs)
				}
				if used := memory.Used(); used != 0 {
					t.Errorf("%d bytes are still taken", used)
				}
			})
		})
	}
}

// TestPartsWithoutMemory guards against prompts of so many parts that they take more than the memory
// of the process: they are refused as not run, and their memory is free again.
func TestPartsWithoutMemory(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		memory := sim.instances[0].Forward.Memory
		memory.Limit = 10_000 // bytes
		for _, c := range []struct{ parts, status int }{{64, 200}, {300, 200}, {2000, 503}, {300, 200}} {
			got := sim.send(request{path: "/talk/1?events=2", id: "p" + itoa(c.parts), header: map[string]string{
				"X-Knapweedwell-Prompt-Prefix": ownParts(1, c.parts) + "ab:1", "X-Knapweedwell-Token-Usage": "1600,20",
			}})
			if got.status != c.status {
				t.Errorf("%d parts: status %d, expected %d", c.parts, got.status, c.status)
			}
		}
		time.Sleep(time.Second)
		if used := memory.Used(); used != 0 {
			t.Errorf("%d bytes are still taken", used)
		}
	})
}
