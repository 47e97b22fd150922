package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	host              = "h.example"
	organisation      = "a"
	apiKey            = "key-of-a"
	addressLifetime   = time.Second
	directoryTimeout  = time.Second // for one request to the directory
	directoryAttempts = 3
	clientCount       = 8
	maxStreamEvents   = 40
)

// requestKind is a kind of request that callers send, with the route that it
// takes.
type requestKind struct {
	name        string
	path        string
	routeKind   string // value of "kind" in the platform's configuration
	service     string
	resumable   bool
	maxAttempts int
	timeout     time.Duration
}

// requestKinds are all kinds of request. The first may be repeated, and is used
// for the extra route.
var requestKinds = []requestKind{
	{name: "read", path: "/read/", routeKind: "safe", service: "calls", maxAttempts: 2, timeout: 3 * time.Second},
	{name: "book", path: "/book/", routeKind: "unsafe", service: "calls", maxAttempts: 1, timeout: 3 * time.Second},
	{name: "talk", path: "/talk/", routeKind: "stream", service: "model", resumable: true, maxAttempts: 3, timeout: 10 * time.Second},
	{name: "once", path: "/once/", routeKind: "stream", service: "model", maxAttempts: 1, timeout: 10 * time.Second},
}

// route returns the entry of a route for this kind in the platform's
// configuration.
func (k requestKind) route(path string) map[string]any {
	return map[string]any{
		"name": strings.Trim(path, "/"), "host": host, "path_prefix": path, "kind": k.routeKind, "resumable": k.resumable,
		"timeout_ms": k.timeout.Milliseconds(), "target_latency_ms": 300, "gap_target_ms": 300, "priority": 1, "max_attempts": k.maxAttempts,
		"sticky": k.service == "model", "backends": []map[string]any{{"service": k.service, "weight": 1}},
	}
}

// request is one request as the caller sent it.
type request struct {
	kind   requestKind
	node   *node
	target string
	body   string
	sentAt time.Time
}

// answer is what the caller received for one request.
type answer struct {
	status       int
	header       http.Header
	body         string
	err          error // set if the answer is incomplete or missing
	duration     time.Duration
	stopSignalAt time.Time // when the node was sent a stop signal, as known at the end of the answer
	starts       int       // starts of the node, as known at the end of the answer
	silenced     bool      // the request was sent over a connection that a fault has made silent for good
}

// client is one caller. It reuses connections and caches the answers of the
// directory.
type client struct {
	testbed     *testbed
	sticky      bool // keep sending to one node until a request there fails
	http        *http.Client
	mu          sync.Mutex
	rng         *rand.Rand
	nodes       []*node
	nodesExpire time.Time
	lastNode    *node
	avoidUntil  map[*node]time.Time
}

func (tb *testbed) newClient(i int) *client {
	c := &client{testbed: tb, sticky: i%2 == 0, rng: tb.newRand(), avoidUntil: map[*node]time.Time{}}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
	}}
	return c
}

// dial connects to the address of a node through the proxy in front of it.
func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	instanceHost, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: time.Second}
	for _, n := range c.testbed.nodes {
		if n.host == instanceHost {
			return d.DialContext(ctx, network, n.callers.Address())
		}
	}
	return nil, errors.Errorf("no instance has the address %s", address)
}

// pickNode returns the node to send to, or nil if the directory returned none.
func (c *client) pickNode(ctx context.Context) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sticky && c.lastNode != nil {
		return c.lastNode
	}
	if time.Now().After(c.nodesExpire) {
		c.resolve(ctx)
	}
	var usable []*node
	for _, n := range c.nodes {
		if time.Now().After(c.avoidUntil[n]) {
			usable = append(usable, n)
		}
	}
	if len(usable) == 0 {
		usable = c.nodes
	}
	if len(usable) == 0 {
		return nil
	}
	c.lastNode = usable[c.rng.IntN(len(usable))]
	return c.lastNode
}

// resolve requests the nodes to connect to from the directories of random
// instances, with directoryAttempts requests at most. The caller holds c.mu.
func (c *client) resolve(ctx context.Context) {
	for range directoryAttempts {
		n := c.testbed.nodes[c.rng.IntN(len(c.testbed.nodes))]
		if nodes, err := c.resolveFrom(ctx, n); err == nil && len(nodes) > 0 {
			c.nodes, c.nodesExpire = nodes, time.Now().Add(addressLifetime)
			return
		}
	}
}

// resolveFrom requests the nodes to connect to from the directory of a node.
func (c *client) resolveFrom(ctx context.Context, n *node) ([]*node, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(directoryPort)+"/v1/resolve?name="+host+"&region=r0&zone=z0", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var got struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, err
	}
	var nodes []*node
	for _, a := range got.Addresses {
		for _, n := range c.testbed.nodes {
			if a == n.address(callerPort) {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes, nil
}

// markFailed records that a node sent no complete answer; it is avoided for the
// lifetime of an address.
func (c *client) markFailed(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[n] = time.Now().Add(addressLifetime)
	if c.lastNode == n {
		c.lastNode = nil
	}
}

// send sends one request to its node and reads the whole answer.
func (c *client) send(ctx context.Context, r request, id string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.node.address(callerPort)+r.target, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength = int64(len(r.body))
	req.Host = host
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("X-Knapweedwell-Request-Id", id)
	req.Header.Set("X-Knapweedwell-Tenant", "forged")
	deadline := r.kind.timeout + time.Second
	req.Header.Set("X-Knapweedwell-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	var a answer
	var local atomic.Value // address of the connection, as a string
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local.Store(i.Conn.LocalAddr().String()) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		a.err = err
	} else {
		a.status, a.header = resp.StatusCode, resp.Header
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.err = string(body), err
	}
	a.duration = time.Since(r.sentAt)
	if address, ok := local.Load().(string); ok {
		a.silenced = r.node.callers.Silenced(address)
	}
	a.stopSignalAt, a.starts = r.node.stopState()
	return a
}

// sendLoad sends requests at the rate of the options until the context ends, and
// waits for all answers.
func (tb *testbed) sendLoad(ctx context.Context) {
	var wg sync.WaitGroup
	var clients []*client
	for i := range clientCount {
		clients = append(clients, tb.newClient(i))
	}
	rng := tb.newRand()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() / tb.Rate * float64(time.Second)))
		c, k, events := clients[rng.IntN(len(clients))], requestKinds[rng.IntN(len(requestKinds))], 1+rng.IntN(maxStreamEvents)
		cancelEarly := rng.IntN(20) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.sendOne(c, k, events, cancelEarly)
		}()
	}
	wg.Wait()
	for _, c := range clients {
		c.http.CloseIdleConnections()
	}
}

// sendOne sends one request and checks its answer. With cancelEarly the caller
// cancels the request after 50 ms.
func (tb *testbed) sendOne(c *client, k requestKind, events int, cancelEarly bool) {
	timeout := k.timeout + time.Second
	if cancelEarly {
		timeout = 50 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n := c.pickNode(ctx)
	if n == nil {
		tb.countOutcome(k, "no address")
		return
	}
	id := uuid.NewString()
	target := k.path + "x%2Fy?q=1"
	if k.service == "model" {
		target += fmt.Sprintf("&events=%d", events)
	}
	_, starts := n.stopState()
	r := request{kind: k, node: n, target: target, body: "body of " + id, sentAt: time.Now()}
	tb.mu.Lock()
	tb.sent[id] = r
	tb.mu.Unlock()
	a := c.send(ctx, r, id)
	if a.err != nil {
		c.markFailed(n)
	}
	tb.checkAnswer(r, id, events, a, cancelEarly, starts)
}

// countOutcome counts the outcome of a request.
func (tb *testbed) countOutcome(k requestKind, outcome string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.outcomes[k.name+" "+outcome]++
}
