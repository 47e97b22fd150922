package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// failureHead returns the head of a failure that does not state that the request was not run.
func failureHead(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d Failed\r\n%s", status, answerFields)
}

// TestRunIsNotRefused guards against a request that has run and is answered that it has not,
// because its upstream failed it with such a status: whatever the length and the framing of
// the failure, and however little memory is left for bodies.
func TestRunIsNotRefused(t *testing.T) {
	const overBuffer = 2<<20 + 1 // bytes, more than an answer may have that is read before it is relayed
	long := strings.Repeat("0123456789abcdef", overBuffer/16+1)
	for _, c := range []struct {
		name   string
		path   string
		failed string // after the fields of the head
		memory int64  // bytes for all bodies; zero leaves them as they are
	}{
		{"short", "/book/1", "Content-Length: 4\r\n\r\nfail", 0},
		{"empty", "/book/1", "Content-Length: 0\r\n\r\n", 0},
		{"short, without a length", "/book/1", "\r\nfail", 0},
		{"long", "/book/1", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long), 0},
		{"long, in chunks", "/book/1", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), 0},
		{"long, without a length", "/book/1", "\r\n" + long, 0},
		{"no memory", "/book/1", fmt.Sprintf("Content-Length: 100000\r\n\r\n%s", long[:100_000]), 50_000},
		{"no memory, without a length", "/book/1", "\r\n" + long[:100_000], 50_000},
		{"stream, short", "/once/1", "Content-Length: 4\r\n\r\nfail", 0},
		{"stream, long", "/once/1", "\r\n" + long, 0},
		{"stream, events", "/once/1", "Content-Type: text/event-stream\r\n\r\n" + twoEvents, 0},
	} {
		for _, status := range []int{408, 429, 503} {
			t.Run(fmt.Sprintf("%d, %s", status, c.name), func(t *testing.T) {
				simulateRoutes(t, 1, func(sim *routeSimulation) {
					if c.memory > 0 {
						sim.instances[0].Forward.Memory.Limit = c.memory
					}
					sim.expectUnknownOutcome(c.path, failureHead(status)+c.failed)
				})
			})
		}
	}
}

// TestSignedMisdirectionHasRun guards against a request that runs twice, or is refused although it
// has run, because the upstream that ran it fails it with status 421: another upstream, which
// would not have run it, signs nothing.
func TestSignedMisdirectionHasRun(t *testing.T) {
	for _, path := range []string{"/book/1", "/once/1"} {
		for name, body := range map[string]string{"with a length": "Content-Length: 4\r\n\r\nfail", "without a length": "\r\nfail"} {
			t.Run(path+", "+name, func(t *testing.T) {
				simulateRoutes(t, 1, func(sim *routeSimulation) {
					sim.expectUnknownOutcome(path, failureHead(421)+body)
				})
			})
		}
	}
}

// expectUnknownOutcome sends a request that may run once to an upstream that runs it and sends
// the text, and expects that nothing is promised to the caller.
func (sim *routeSimulation) expectUnknownOutcome(path, text string) {
	sim.t.Helper()
	service := "calls"
	if strings.HasPrefix(path, "/once") {
		service = "model"
	}
	u := &textUpstream{texts: []string{text}}
	sim.startRawUpstream(service+"-raw", service, u.serve)
	sim.startRawUpstream(service+"-spare", service, u.serve)
	got := sim.send(request{path: path, id: "u1"})
	if got.status != 502 || !got.complete {
		sim.t.Errorf("got %d, complete %t, %d bytes, expected 502", got.status, got.complete, len(got.body))
	}
	if runs := u.runs.Load(); runs != 1 {
		sim.t.Errorf("the request ran %d times, expected 1", runs)
	}
}

// TestSlowFailureHoldsNobody guards against a caller that is kept waiting for the body of a failure
// that it does not get.
func TestSlowFailureHoldsNobody(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		u := &rawUpstream{head: failureHead(503) + "Content-Length: 4000\r\n\r\n", repeat: "a", pause: 300 * time.Millisecond}
		sim.startRawUpstream("calls-raw", "calls", u.serve)
		start := time.Now()
		got := sim.send(request{path: "/book/1", id: "u1"})
		if took := time.Since(start); got.status != 502 || took > time.Second {
			t.Errorf("got %d after %s, expected 502 within a second", got.status, took)
		}
	})
}
