package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	connectTimeout = time.Second
	clientKey      = "reviewkey0000000001"
	clientHost     = "review.example"
)

// clients are the stand-in clients. They keep connections open for later requests and
// never send a request again.
type clients struct {
	w *world

	mu        sync.Mutex
	addresses []string
	freshTo   time.Time
	idle      map[string][]*clientConn
	sent      int
	group     sync.WaitGroup
}

// clientConn is a connection to an instance.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// call is one request of a client, and what became of it.
type call struct {
	method   string
	path     string
	body     []byte
	deadline time.Duration
	prompt   string // parts of the prompt, empty if it has none

	id       string
	to       string
	kept     bool // sent on a connection that had served another request
	sentAt   time.Time
	endedAt  time.Time
	left     bool // the client closed the connection before the answer was complete
	status   int  // zero without an answer
	complete bool
	answer   []byte
	err      error
}

// address returns the address of an instance, from a fresh address answer.
func (c *clients) address() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.freshTo) {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	client := http.Client{Timeout: time.Second}
	for _, i := range c.w.instances {
		resp, err := client.Get("http://" + i.address(directoryPort) + "/v1/resolve?name=" + clientHost + "&region=region-1&zone=")
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
			Lifetime  float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && len(a.Addresses) > 0 {
			c.addresses, c.freshTo = a.Addresses, time.Now().Add(time.Duration(a.Lifetime*float64(time.Second)))
			return c.addresses[rand.IntN(len(c.addresses))], nil
		}
	}
	if len(c.addresses) > 0 {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	return "", fmt.Errorf("no instance tells addresses")
}

// start sends a call in the background to the address, or to that of any instance if it is
// empty. The returned call is read after wait.
func (c *clients) start(to string, a *call) *call {
	c.mu.Lock()
	c.sent++
	a.id = fmt.Sprintf("%016x", uint64(c.sent))
	c.mu.Unlock()
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.do(to, a)
	}()
	return a
}

// wait waits for the ends of all calls.
func (c *clients) wait() {
	c.group.Wait()
}

// do sends a call and reads its answer.
func (c *clients) do(to string, a *call) {
	a.to = to
	if to == "" {
		a.to, a.err = c.address()
		if a.err != nil {
			return
		}
	}
	conn, err := c.take(a)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		c.w.note("client cannot connect to %s for %s: %v", a.to, a.id, err)
		return
	}
	a.sentAt = time.Now()
	_ = conn.SetDeadline(a.sentAt.Add(a.deadline))
	c.w.note("client sends %s %s %s to %s, kept connection %t", a.id, a.method, a.path, a.to, a.kept)
	keep := a.exchange(conn)
	a.endedAt = time.Now()
	a.left = a.err != nil && a.endedAt.Sub(a.sentAt) >= a.deadline
	c.w.note("client has of %s: status %d, complete %t, %d bytes, left %t, %v", a.id, a.status, a.complete, len(a.answer), a.left, a.err)
	if !keep {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[a.to] = append(c.idle[a.to], conn)
}

// take returns a kept connection to the address of a call, or a new one.
func (c *clients) take(a *call) (*clientConn, error) {
	c.mu.Lock()
	if list := c.idle[a.to]; len(list) > 0 {
		conn := list[len(list)-1]
		c.idle[a.to] = list[:len(list)-1]
		c.mu.Unlock()
		a.kept = true
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", a.to, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// exchange writes the request and reads the answer. It reports whether the connection can
// be used again.
func (a *call) exchange(conn *clientConn) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n", a.method, a.path, clientHost, idHeader, a.id, deadlineHeader, a.deadline.Milliseconds(), clientKey)
	if a.prompt != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: 1460,80\r\n%s: m\r\n", promptHeader, a.prompt, usageHeader, modelHeader)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	if _, a.err = conn.Write(b.Bytes()); a.err != nil {
		return false
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return false
	}
	a.status = resp.StatusCode
	a.answer, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a.complete && !resp.Close && conn.reader.Buffered() == 0
}

// newClients returns the clients of a case.
func (w *world) newClients() *clients {
	return &clients{w: w, idle: map[string][]*clientConn{}}
}

// writeConfiguration writes the first configuration: streams that may be resumed, calls that
// may run once only and calls that may be repeated.
func (w *world) writeConfiguration() {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": clientHost, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": false, "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	w.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("plan", "/plan/", "stream", "plan-model", 12000, 2000, 2, map[string]any{"sticky": true, "resumable": true, "gap_target_ms": 800}),
			route("reply", "/reply/", "stream", "plan-model", 15000, 400, 2, map[string]any{"sticky": true, "resumable": true, "gap_target_ms": 200}),
			route("book", "/book/", "unsafe", "bookings", 2000, 300, 1, nil),
			route("status", "/status/", "safe", "bookings", 2000, 300, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "plan-model", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 681116}},
			map[string]any{"name": "bookings", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant1", "api_keys": []string{clientKey}, "priority": 1}},
	})
	w.note("the configuration is written")
}
