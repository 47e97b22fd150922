package simulation

import (
	"strings"
	"testing"
)

// TestNoFinalStatusIsNoAnswer guards against a caller that gets, as the answer to its request, what an
// upstream in trouble sent with a status that is none of a final answer. A request that may be
// repeated is served by another upstream.
func TestNoFinalStatusIsNoAnswer(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\n" + answerFields + "\r\n" + twoEvents
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20", "+20", "2e2"} {
		for name, body := range map[string]string{"with a length": "Content-Length: 4\r\n\r\nfail", "without a length": "\r\n" + twoEvents, "with an answer as its body": "\r\n" + good} {
			t.Run(status+", "+name, func(t *testing.T) {
				simulateRoutes(t, 1, func(sim *routeSimulation) {
					u := &textUpstream{texts: []string{"HTTP/1.1 " + status + " Trouble\r\n" + answerFields + body}}
					for _, service := range []string{"calls", "model"} {
						sim.startRawUpstream(service+"-raw", service, u.serve)
					}
					for _, path := range []string{"/book/1", "/once/1"} {
						got := sim.send(request{path: path, id: "u" + path[1:5]})
						if got.status != 502 || !got.complete || strings.Contains(got.body, "data: a") {
							t.Errorf("%s: got %d, complete %t, %q, expected 502", path, got.status, got.complete, got.body)
						}
					}
					u.texts = append(u.texts[:1], u.texts[0], u.texts[0], good)
					sim.startRawUpstream("calls-spare", "calls", u.serve)
					if got := sim.send(request{path: "/read/1", id: "u3"}); got.status != 200 || got.body != twoEvents {
						t.Errorf("/read/1: got %d %q, expected 200", got.status, got.body)
					}
				})
			})
		}
	}
}
