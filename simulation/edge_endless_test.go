package simulation

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// rawUpstream is an upstream that answers each request with a head and then repeats a
// text until the connection is closed.
type rawUpstream struct {
	head   string // %s stands for the request ID
	repeat string
	pause  time.Duration // between repetitions
	sent   atomic.Int64  // bytes
	open   atomic.Int64  // connections with a request in progress
}

// startRawUpstream registers an upstream as the only one of a service. The function
// serves its connections.
func (sim *routeSimulation) startRawUpstream(id, service string, serve func(net.Conn)) {
	for other := range sim.runners {
		if strings.HasPrefix(other, service) {
			sim.store.Delete("servers", other)
		}
	}
	h := fmt.Sprintf("10.5.0.%d", len(sim.hosts)+1)
	sim.hosts[id] = h
	l, err := sim.network.listen("tcp", h+":80")
	if err != nil {
		sim.t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	sim.putEntry(id, service, "ready")
	sim.rawListeners = append(sim.rawListeners, l)
	// The removed entries are used for a while, as after an outage of the store.
	time.Sleep(4 * time.Second)
}

func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.open.Add(1)
	defer u.open.Add(-1)
	id := req.Header.Get("X-Knapweedwell-Request-Id")
	for text := strings.ReplaceAll(u.head, "%s", id); ; text = u.repeat {
		n, err := io.WriteString(c, text)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
		// Without a pause an endless answer would stop the virtual clock.
		time.Sleep(max(u.pause, 100*time.Microsecond))
	}
}

// TestEndlessAnswers lets upstreams send without end, or a byte now and then, in each
// part of an answer. The caller gets a failure or an answer that is visibly cut off, at
// the latest at the route's timeout, and the upstream's connection is closed.
func TestEndlessAnswers(t *testing.T) {
	const (
		ok           = "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\n"
		callTimeout  = 5 * time.Second  // of the routes of the simulation
		streamTime   = 20 * time.Second // likewise
		slack        = 500 * time.Millisecond
		maxUnrelayed = 1 << 20 // bytes of an answer that is not relayed
	)
	block := strings.Repeat("a", 1000)
	for _, c := range []struct {
		name      string
		path      string
		upstream  *rawUpstream
		timeout   time.Duration
		unrelayed bool // nothing of the answer may be relayed
	}{
		{"head", "/book/1", &rawUpstream{head: ok + "X-One: ", repeat: block}, callTimeout, true},
		{"head of a stream", "/once/1", &rawUpstream{head: ok + "X-One: ", repeat: block}, streamTime, true},
		{"head, dripping", "/book/1", &rawUpstream{head: ok + "X-One: ", repeat: "a", pause: 300 * time.Millisecond}, callTimeout, true},
		{"interim answers", "/book/1", &rawUpstream{repeat: "HTTP/1.1 100 Continue\r\n\r\n"}, callTimeout, true},
		{"no answer", "/book/1", &rawUpstream{repeat: block}, callTimeout, true},
		{"body", "/book/1", &rawUpstream{head: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "3e8\r\n" + block + "\r\n"}, callTimeout, false},
		{"body, dripping", "/book/1", &rawUpstream{head: ok + "Content-Length: 100000\r\n\r\n", repeat: "a", pause: 300 * time.Millisecond}, callTimeout, true},
		{"body without length", "/book/1", &rawUpstream{head: ok + "\r\n", repeat: block}, callTimeout, false},
		{"size of a chunk", "/book/1", &rawUpstream{head: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "0"}, callTimeout, true},
		{"event", "/once/1", &rawUpstream{head: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "3e8\r\n" + block + "\r\n"}, streamTime, true},
		{"event, dripping", "/once/1", &rawUpstream{head: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\na\r\n", pause: 300 * time.Millisecond}, streamTime, true},
		{"events", "/once/1", &rawUpstream{head: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "9\r\ndata: a\n\n\r\n", pause: 10 * time.Millisecond}, streamTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				service := "calls"
				if strings.HasPrefix(c.path, "/once") {
					service = "model"
				}
				sim.startRawUpstream(service+"-raw", service, c.upstream.serve)
				start := time.Now()
				got := sim.send(request{path: c.path, id: "e1"})
				if took := time.Since(start); took > c.timeout+slack {
					t.Errorf("the caller was held for %s, expected at most %s", took, c.timeout+slack)
				}
				if got.complete && got.status < 500 {
					t.Errorf("the answer looks complete: status %d, %d bytes", got.status, len(got.body))
				}
				if got.complete && got.status == 503 {
					t.Errorf("an answer that may have run was refused as not run")
				}
				sim.eventually(time.Second, "the connection to the upstream is closed", func() bool { return c.upstream.open.Load() == 0 })
				if sent := c.upstream.sent.Load(); c.unrelayed && sent > maxUnrelayed {
					t.Errorf("%d bytes were read, expected at most %d", sent, maxUnrelayed)
				}
			})
		})
	}
}

// TestSlowStreamIsNotCut plays streams whose events are further apart than the router's
// own checks of silent upstreams: a sound stream is not cut, though it is slow.
func TestSlowStreamIsNotCut(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		sim.setFaults("model", runner.Faults{Pause: 950 * time.Millisecond})
		for _, path := range []string{"/once/1?events=12", "/talk/1?events=12"} {
			sim.expect(sim.send(request{path: path, id: "slow" + path[1:5]}), 200, streamText("slow"+path[1:5], 12))
		}
		if n := sim.runCount("slowtalk"); n != 1 {
			t.Errorf("the slow stream ran %d times, expected 1", n)
		}
	})
}
