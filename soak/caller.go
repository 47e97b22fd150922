package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	host            = "h.example"
	organisation    = "a"
	key             = "key-of-a"
	addressLifetime = time.Second
	directoryWait   = time.Second // directoryWait is how long a caller waits for an address answer.
	directoryTries  = 3
	clients         = 8
	longestStream   = 40 // longestStream is the most events of a stream.
)

// kind is a kind of request.
type kind struct {
	name      string
	path      string
	repeat    string // repeat is the kind that the route has for the platform.
	service   string
	resumable bool
	attempts  int
	timeout   time.Duration
}

// kinds are the kinds that callers send. The first may be repeated.
var kinds = []kind{
	{name: "read", path: "/read/", repeat: "safe", service: "calls", attempts: 2, timeout: 3 * time.Second},
	{name: "book", path: "/book/", repeat: "unsafe", service: "calls", attempts: 1, timeout: 3 * time.Second},
	{name: "talk", path: "/talk/", repeat: "stream", service: "model", resumable: true, attempts: 3, timeout: 10 * time.Second},
	{name: "once", path: "/once/", repeat: "stream", service: "model", attempts: 1, timeout: 10 * time.Second},
}

func (k kind) route(path string) map[string]any {
	return map[string]any{
		"name": strings.Trim(path, "/"), "host": host, "path_prefix": path, "kind": k.repeat, "resumable": k.resumable,
		"timeout_ms": k.timeout.Milliseconds(), "target_latency_ms": 300, "gap_target_ms": 300, "priority": 1, "max_attempts": k.attempts,
		"sticky": k.service == "model", "backends": []map[string]any{{"service": k.service, "weight": 1}},
	}
}

// request is one request as it was sent.
type request struct {
	kind   kind
	node   *node
	target string
	body   string
	begun  time.Time
}

// answer is what came back.
type answer struct {
	status     int
	header     http.Header
	body       string
	err        error // err tells that the answer ended early or never came.
	took       time.Duration
	terminated time.Time // terminated is when the node was told to stop, as of the end of the answer.
	starts     int
}

// client is one caller. It keeps connections and address answers.
type client struct {
	world  *world
	faith  bool // faith tells that the client stays with a node until a request there fails.
	http   *http.Client
	mu     sync.Mutex
	rnd    *rand.Rand
	list   []*node
	until  time.Time
	last   *node
	failed map[*node]time.Time
}

func (w *world) client(i int) *client {
	c := &client{world: w, faith: i%2 == 0, rnd: w.source(), failed: map[*node]time.Time{}}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
	}}
	return c
}

// dial connects through the link before the node.
func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	at, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: time.Second}
	for _, n := range c.world.nodes {
		if n.host == at {
			return d.DialContext(ctx, network, n.callers.Address())
		}
	}
	return nil, errors.Errorf("no instance has the address %s", address)
}

// node returns the node to send to.
func (c *client) node(ctx context.Context) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faith && c.last != nil {
		return c.last
	}
	if time.Now().After(c.until) {
		c.resolve(ctx)
	}
	var usable []*node
	for _, n := range c.list {
		if time.Now().After(c.failed[n]) {
			usable = append(usable, n)
		}
	}
	if len(usable) == 0 {
		usable = c.list
	}
	if len(usable) == 0 {
		return nil
	}
	c.last = usable[c.rnd.IntN(len(usable))]
	return c.last
}

// resolve asks up to three instances where to connect. The lock is held.
func (c *client) resolve(ctx context.Context) {
	for range directoryTries {
		n := c.world.nodes[c.rnd.IntN(len(c.world.nodes))]
		if list, err := c.ask(ctx, n); err == nil && len(list) > 0 {
			c.list, c.until = list, time.Now().Add(addressLifetime)
			return
		}
	}
}

func (c *client) ask(ctx context.Context, n *node) ([]*node, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryWait)
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
	var list []*node
	for _, a := range got.Addresses {
		for _, n := range c.world.nodes {
			if a == n.address(callerPort) {
				list = append(list, n)
			}
		}
	}
	return list, nil
}

// fail notes that a node gave no answer.
func (c *client) fail(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[n] = time.Now().Add(addressLifetime)
	if c.last == n {
		c.last = nil
	}
}

// send sends one request to a node and reads the whole answer.
func (c *client) send(ctx context.Context, r request, id string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.node.address(callerPort)+r.target, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength = int64(len(r.body))
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Knapweedwell-Request-Id", id)
	req.Header.Set("X-Knapweedwell-Tenant", "forged")
	deadline := r.kind.timeout + time.Second
	req.Header.Set("X-Knapweedwell-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	var a answer
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
	} else {
		a.status, a.header = resp.StatusCode, resp.Header
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.err = string(body), err
	}
	a.took = time.Since(r.begun)
	a.terminated, a.starts = r.node.stopping()
	return a
}

// demand sends requests at the rate until the context ends, and waits for all
// answers.
func (w *world) demand(ctx context.Context) {
	var wait sync.WaitGroup
	var all []*client
	for i := range clients {
		all = append(all, w.client(i))
	}
	rnd := w.source()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.ExpFloat64() / w.Rate * float64(time.Second)))
		c, k, events := all[rnd.IntN(len(all))], kinds[rnd.IntN(len(kinds))], 1+rnd.IntN(longestStream)
		leaves := rnd.IntN(20) == 0
		wait.Add(1)
		go func() {
			defer wait.Done()
			w.one(c, k, events, leaves)
		}()
	}
	wait.Wait()
	for _, c := range all {
		c.http.CloseIdleConnections()
	}
}

// one sends one request and checks its answer. A caller that leaves does so
// early.
func (w *world) one(c *client, k kind, events int, leaves bool) {
	wait := k.timeout + time.Second
	if leaves {
		wait = 50 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	n := c.node(ctx)
	if n == nil {
		w.end(k, "no address")
		return
	}
	id := uuid.NewString()
	target := k.path + "x%2Fy?q=1"
	if k.service == "model" {
		target += fmt.Sprintf("&events=%d", events)
	}
	_, starts := n.stopping()
	r := request{kind: k, node: n, target: target, body: "body of " + id, begun: time.Now()}
	w.mu.Lock()
	w.sent[id] = r
	w.mu.Unlock()
	a := c.send(ctx, r, id)
	if a.err != nil {
		c.fail(n)
	}
	w.judge(r, id, events, a, leaves, starts)
}

// end counts how a request ended.
func (w *world) end(k kind, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[k.name+" "+how]++
}
