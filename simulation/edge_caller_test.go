package simulation

import (
	"errors"
	"io"
	"net/http"
	"strings"
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

// TestLargeAnswerArrivesSlowly guards against large answers that are cut off because the
// limit for all writes to the caller began with the first.
func TestLargeAnswerArrivesSlowly(t *testing.T) {
	const (
		startBytes = 3 << 20
		partBytes  = 1000
		parts      = 13
		pause      = time.Second
	)
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		head := "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\nContent-Length: " + itoa(startBytes+parts*partBytes) + "\r\n\r\n"
		u := &rawUpstream{head: head + strings.Repeat("x", startBytes), repeat: strings.Repeat("x", partBytes), pause: pause}
		sim.startRawUpstream("large", "calls", u.serve)
		resp := sim.send(request{method: "GET", path: "/bulk/1", id: "a"})
		if !resp.complete || len(resp.body) != startBytes+parts*partBytes {
			t.Errorf("status %d, %d bytes, complete %t, expected %d bytes, complete", resp.status, len(resp.body), resp.complete, startBytes+parts*partBytes)
		}
	})
}

// TestUnreadLargeAnswer guards against an upstream that counts as failed because the
// caller does not read a large answer: the request must not be sent again.
func TestUnreadLargeAnswer(t *testing.T) {
	const answerBytes = 4 << 20
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		head := "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\nContent-Length: " + itoa(answerBytes) + "\r\n\r\n"
		u := &rawUpstream{head: head + strings.Repeat("x", answerBytes), pause: time.Minute}
		sim.startRawUpstream("large", "calls", u.serve)
		k := sim.keep("10.1.0.1:1")
		defer k.near.Close()
		if _, err := io.WriteString(k.near, "GET /bulk/1 HTTP/1.1\r\nHost: h.example\r\nX-Knapweedwell-Request-Id: a\r\nAuthorization: Token "+edgeKey+"\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		if err := sim.metric("10.1.0.1:3", `knapweedwell_requests_total{class="bulk",result="left"} 1`); err != nil {
			t.Error(err)
		}
	})
}

// metric returns an error unless the metrics of an instance have the line.
func (sim *routeSimulation) metric(address, line string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: sim.network.dialer("10.9.0.1")}}
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || strings.Contains(string(body), line) {
		return err
	}
	return errors.New("the metrics lack " + line)
}
