package simulation

import (
	"io"
	"net/http"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestHalfClosedCallerGetsNoFalseEnd guards against answers that look complete although
// the request was given up, because the caller closed its side of the connection.
func TestHalfClosedCallerGetsNoFalseEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		faults runner.Faults
	}{
		{"stream that has begun", "/talk/1?events=6", runner.Faults{Pause: 300 * time.Millisecond}},
		{"stream before its first event", "/talk/1?events=6", runner.Faults{Delay: 2 * time.Second}},
		{"call", "/read/1", runner.Faults{Delay: 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				sim.setFaults("", c.faults)
				k := sim.keep("10.1.0.1:1")
				defer k.near.Close()
				if _, err := io.WriteString(k.near, "GET "+c.path+" HTTP/1.1\r\nHost: h.example\r\nX-Knapweedwell-Request-Id: a\r\nAuthorization: Token "+edgeKey+"\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(700 * time.Millisecond)
				k.near.out.close(false)
				resp, err := http.ReadResponse(k.reader, nil)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if body, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					t.Errorf("got a complete answer %q, expected a closed connection", body)
				}
			})
		})
	}
}

// TestStreamEndsAfterLongPause guards against a stream whose end is lost, because the
// limit for its last write began with the event before.
func TestStreamEndsAfterLongPause(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		sim.setFaults("model", runner.Faults{Pause: 12 * time.Second})
		sim.expect(sim.send(request{path: "/once/1?events=1", id: "a"}), 200, streamText("a", 1))
	})
}
