package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// faultyRoutes are the routes to the upstreams that send without end.
var faultyRoutes = []requestKind{
	{name: "faulty", path: "/faulty/", routeKind: "safe", service: "faulty", maxAttempts: 2, timeout: 2 * time.Second},
	{name: "faulty-stream", path: "/faulty-stream/", routeKind: "stream", service: "faulty", maxAttempts: 1, timeout: 2 * time.Second},
}

// soundRoute leads to sound upstreams. They and their callers share the process of the test, so
// that a short deadline, or a retry after a time, would judge that process.
var soundRoute = requestKind{name: "sound", path: "/sound/", routeKind: "unsafe", service: "calls", maxAttempts: 1, timeout: 30 * time.Second}

// endlessAnswer is an answer that its upstream sends without end.
type endlessAnswer struct {
	head   string // %s stands for the ID of the request
	repeat string
}

// serve answers the requests of a connection until its other end closes it.
func (e endlessAnswer) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	const pause = 20 * time.Millisecond
	text := strings.ReplaceAll(e.head, "%s", req.Header.Get("X-Knapweedwell-Request-Id"))
	more := strings.Repeat(e.repeat, 1+(64<<10)/len(e.repeat))
	for err == nil {
		_, err = io.WriteString(c, text)
		text = more
		time.Sleep(pause)
	}
}

// startFaulty starts two upstreams of the service faulty whose answers the function returns,
// and adds the routes to them.
func startFaulty(t *testing.T, tb *testbed, current func() endlessAnswer) {
	t.Helper()
	for i := range 2 {
		address := startServer(t, func(c net.Conn) { current().serve(c) })
		tb.store.Put("servers", fmt.Sprintf("faulty-%d", i), map[string]any{
			"service": "faulty", "address": address, "zone": "z0", "version": "v1", "slots": 400, "state": "ready", "born": 1,
		})
	}
	var routes []any
	for _, k := range append([]requestKind{soundRoute}, faultyRoutes...) {
		routes = append(routes, k.route(k.path))
	}
	tb.store.Put("config", "main", map[string]any{
		"version": tb.configVersion + 2, "routes": routes, "limits": map[string]any{"max_body_bytes": 4 << 20},
		"services": []any{
			map[string]any{"name": "calls", "health_path": "/health", "max_connections": 200},
			map[string]any{"name": "model", "health_path": "/health", "max_connections": 200, "engine": map[string]any{"slots": 16, "kv_capacity_tokens": 200000}},
			map[string]any{"name": "faulty", "health_path": "/health", "max_connections": 1000},
		},
		"tenants": []any{map[string]any{"name": organisation, "api_keys": []string{apiKey}, "priority": 0}},
	})
}

// callOnce sends a request and reads the answer at the given pace, until it ends or the time is
// over. It returns nil for a complete answer with success.
func callOnce(n *node, path string, body io.Reader, pace, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(callerPort)+path+"1", body)
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("X-Knapweedwell-Request-Id", uuid.NewString())
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	buf := make([]byte, 32<<10)
	for err == nil {
		sleep(ctx, pace)
		_, err = resp.Body.Read(buf)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// flood lets callers send requests to all nodes at once and returns how many ended in which
// way. Meanwhile others send requests to sound upstreams, which must be served.
func flood(t *testing.T, tb *testbed, atOnce int, length time.Duration, call func(n *node) error) map[string]int {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for range atOnce {
		for _, n := range tb.nodes {
			wg.Go(func() {
				name := outcome(call(n))
				mu.Lock()
				defer mu.Unlock()
				outcomes[name]++
			})
		}
	}
	sent, failed := callSteadily(tb, length)
	wg.Wait()
	t.Logf("outcomes: %v; requests of other callers: %d, failed: %d", outcomes, sent, failed)
	assert.Assert(t, sent > 0 && failed == 0, "%d of %d requests of other callers failed", failed, sent)
	for _, n := range tb.nodes {
		peak := peakMegabytes(t, n)
		t.Logf("%s: %d MB at the peak", n.name, peak)
		assert.Assert(t, peak <= memoryMegabytes, "%s: %d MB, expected at most %d", n.name, peak, memoryMegabytes)
	}
	return outcomes
}

// outcome returns the way in which a call ended.
func outcome(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return "served"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "cut off"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "given up by the caller"
	}
	return err.Error()
}

// peakMegabytes returns the peak resident memory of a node's process.
func peakMegabytes(t *testing.T, n *node) int {
	t.Helper()
	n.mu.Lock()
	assert.Assert(t, n.cmd != nil, "%s has ended", n.name)
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(t, err)
			return kb >> 10
		}
	}
	t.Fatal("the peak memory is not known")
	return 0
}

// TestEndlessBytesFromManyUpstreams guards against a process that ends for want of memory, and
// takes the requests of other callers with it, because many answers without end come at once,
// to callers that read fast, slowly or not at all.
func TestEndlessBytesFromManyUpstreams(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const (
		ok      = "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		atOnce  = 300 // requests at one instance
		unread  = time.Minute
	)
	block := strings.Repeat("a", 1000)
	chunk := "3e8\r\n" + block + "\r\n"
	tb, err := newTestbed(Options{Seed: 7, Instances: 2, Upstreams: 3, Program: buildDaemon(t), Dir: t.TempDir(), Out: t.Output()})
	assert.NilError(t, err)
	defer tb.close()
	var answer atomic.Pointer[endlessAnswer]
	startFaulty(t, tb, func() endlessAnswer { return *answer.Load() })
	time.Sleep(startupWait)
	for _, c := range []struct {
		name   string
		answer endlessAnswer
		kind   requestKind
		pace   time.Duration // between two reads of a caller
	}{
		{"heads", endlessAnswer{ok + "X-One: ", block}, faultyRoutes[0], 0},
		{"bytes that are no answer", endlessAnswer{"", block}, faultyRoutes[0], 0},
		{"bodies", endlessAnswer{chunked, chunk}, faultyRoutes[0], 0},
		{"bodies of terabytes", endlessAnswer{ok + "Content-Length: 9000000000000\r\n\r\n", block}, faultyRoutes[0], 0},
		{"bodies, read slowly", endlessAnswer{chunked, chunk}, faultyRoutes[0], 200 * time.Millisecond},
		{"bodies, never read", endlessAnswer{ok + "\r\n", block}, faultyRoutes[0], unread},
		{"failures", endlessAnswer{strings.Replace(chunked, "200 OK", "500 Error", 1), chunk}, faultyRoutes[0], 0},
		{"event", endlessAnswer{chunked, chunk}, faultyRoutes[1], 0},
		{"events, never read", endlessAnswer{chunked, "9\r\ndata: a\n\n\r\n"}, faultyRoutes[1], unread},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer.Store(&c.answer)
			outcomes := flood(t, tb, atOnce, c.kind.timeout+time.Second, func(n *node) error {
				return callOnce(n, c.kind.path, nil, c.pace, c.kind.timeout+2*time.Second)
			})
			assert.Equal(t, outcomes["served"], 0, "an answer without an end was taken for a whole one")
		})
	}
}

// TestLargeBodiesAtOnce guards against a process that ends for want of memory because many
// large bodies of requests come at once. Those for which no memory is left are refused.
func TestLargeBodiesAtOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const (
		atOnce    = 120 // requests at one instance
		bodyBytes = 4 << 20
		length    = 5 * time.Second
	)
	tb, err := newTestbed(Options{Seed: 8, Instances: 1, Upstreams: 3, Program: buildDaemon(t), Dir: t.TempDir(), Out: t.Output()})
	assert.NilError(t, err)
	defer tb.close()
	startFaulty(t, tb, func() endlessAnswer { return endlessAnswer{"HTTP/1.1 200 OK\r\n", "X-One: a\r\n"} })
	time.Sleep(startupWait)
	body := strings.Repeat("b", bodyBytes)
	for _, reader := range []func() io.Reader{
		func() io.Reader { return strings.NewReader(body) },
		func() io.Reader { return io.MultiReader(strings.NewReader(body)) }, // of unknown length
	} {
		outcomes := flood(t, tb, atOnce, length, func(n *node) error {
			return callOnce(n, soundRoute.path, reader(), 0, soundRoute.timeout+time.Second)
		})
		refused := outcomes[strconv.Itoa(http.StatusServiceUnavailable)+" "+http.StatusText(http.StatusServiceUnavailable)]
		assert.Assert(t, outcomes["served"] > 0 && outcomes["served"]+refused == atOnce*len(tb.nodes), "a request was neither served nor refused: %v", outcomes)
	}
}

// callSteadily sends requests on a route to sound upstreams for a time. It returns how many, and
// how many of them were not served.
func callSteadily(tb *testbed, length time.Duration) (sent, failed int) {
	const period = 100 * time.Millisecond
	var wg sync.WaitGroup
	var failures atomic.Int64
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(period) {
		for _, n := range tb.nodes {
			sent++
			wg.Go(func() {
				if callOnce(n, soundRoute.path, nil, 0, soundRoute.timeout+time.Second) != nil {
					failures.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return sent, int(failures.Load())
}
