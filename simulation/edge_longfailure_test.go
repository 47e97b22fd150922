package simulation

import (
	"strings"
	"testing"
)

// TestLongFailureIsRetried guards against a failure that the caller gets although another upstream
// would serve its request, only because the body of the failure is long. Without another upstream
// the caller gets the failure as it is.
func TestLongFailureIsRetried(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 2<<20/16+1)
	served := "HTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name   string
		path   string
		status int
		spare  bool // another upstream serves the request
		want   int
	}{
		{"500", "/read/1", 500, true, 200},
		{"503", "/read/1", 503, true, 200},
		{"421", "/read/1", 421, true, 200},
		{"alone", "/read/1", 500, false, 500},
		{"may run once", "/book/1", 500, true, 500},
		{"not found", "/read/1", 404, true, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				u := &textUpstream{texts: []string{failureHead(c.status) + "\r\n" + long, served}}
				sim.startRawUpstream("calls-raw", "calls", u.serve)
				if c.spare {
					sim.startRawUpstream("calls-spare", "calls", u.serve)
				}
				got := sim.send(request{path: c.path, id: "u1"})
				if got.status != c.want || !got.complete {
					t.Errorf("got %d, complete %t, %d bytes, expected %d", got.status, got.complete, len(got.body), c.want)
				}
				if c.want != 200 && got.body != long {
					t.Errorf("got %d bytes of the failure, expected %d", len(got.body), len(long))
				}
			})
		})
	}
}
