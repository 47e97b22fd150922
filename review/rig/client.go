package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names of the configuration.
const (
	host         = "desk.example"
	modelService = "model-a"
	callService  = "calls-a"
	modelPath    = "/model/"
	callPath     = "/calls/"
	memoryTokens = 843594 // of a model runner
	callTime     = 3 * time.Second
	apiKey       = "key-of-tenant-a"
)

// configure writes the first configuration: a stream route to model runners and an unsafe route
// to a plain service.
func (w *world) configure() {
	w.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "model", "host": host, "path_prefix": modelPath, "service": modelService, "kind": "stream", "resumable": true, "sticky": true,
				"timeout_ms": 8000, "target_latency_ms": 1000, "gap_target_ms": 600, "priority": 1, "max_attempts": 2,
			},
			map[string]any{
				"name": "calls", "host": host, "path_prefix": callPath, "service": callService, "kind": "unsafe",
				"timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "max_attempts": 1,
			},
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/health", "max_connections": 480,
				"engine": map[string]any{"slots": 12, "kv_capacity_tokens": memoryTokens, "stride": 5},
			},
			map[string]any{"name": callService, "health_path": "/health", "max_connections": 96},
		},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{apiKey}, "priority": 0}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
}

// client sends requests over kept connections.
type client struct {
	http *http.Client
}

func newClient() *client {
	t := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	return &client{http: &http.Client{Transport: t}}
}

// outcome is what a client got.
type outcome struct {
	status int // zero if there was no complete answer
	signed bool
	body   string
	err    error
}

// send sends one request and reads its answer, until the context ends.
func (c *client) send(ctx context.Context, address, path, id string, headers map[string]string, body []byte) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	req.Host = host
	req.Header.Set(idHeader, id)
	req.Header.Set("Authorization", "Token "+apiKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{status: resp.StatusCode, signed: resp.Header.Get(signatureHeader) != "", body: string(text)}
}

// newID returns the ID of a client attempt.
func newID(worker, n int) string {
	return fmt.Sprintf("%08x%08x", worker+1, n+1)
}

// call is one call that may run once only.
type call struct {
	id       string
	at       time.Time // when it was sent
	instance *instance
	status   int // zero if there was no complete answer
	signed   bool
	body     string
}

// sendCalls sends calls to each instance in turn until the context ends, and returns them once
// all have ended.
func (w *world) sendCalls(ctx context.Context, rate int) []call {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sent []call
	c := newClient()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			request, cancel := context.WithTimeout(context.Background(), callTime)
			defer cancel()
			made := call{id: newID(0, n), at: time.Now(), instance: w.instances[n%len(w.instances)]}
			headers := map[string]string{deadlineHeader: "3000"}
			o := c.send(request, made.instance.address(frontPort), callPath+"book", made.id, headers, []byte("booking "+made.id))
			made.status, made.signed, made.body = o.status, o.signed, o.body
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, made)
		}()
	}
	wg.Wait()
	return sent
}
