package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

const (
	startTimeout  = 15 * time.Second
	program       = "target/knapweedwelld"
	configVersion = 2
)

// fleet is the small deployment: seven instances in three availability zones.
var fleet = []string{
	"front-nbo-a-1", "front-nbo-a-2", "front-nbo-a-3", "front-mba-a-1", "front-mba-a-2", "front-ksm-a-1", "front-ksm-a-2",
}

// world holds the processes and the stand-ins of one run.
type world struct {
	dir       string
	store     *platform.Server
	instances []*instance
	runners   map[string]*runner.Runner // by ID
	entries   map[string]map[string]any // of the upstreams in the store, by ID
	servers   []*http.Server
	version   int64

	mu      sync.Mutex
	record  *os.File
	started time.Time
	sent    []sent
}

// newWorld opens the record and starts the store.
func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, record: record, started: time.Now(), store: platform.New(), runners: map[string]*runner.Runner{},
		entries: map[string]map[string]any{}, version: configVersion,
	}, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a stand-in on a free port and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addRunner starts one of the project's own stand-ins for an upstream.
func (w *world) addRunner(service, id string) error {
	r := runner.New(id)
	w.runners[id] = r
	return w.addUpstream(service, id, r.Handler())
}

// addUpstream serves an upstream and writes its entry.
func (w *world) addUpstream(service, id string, h http.Handler) error {
	address, err := w.serve(h)
	if err != nil {
		return err
	}
	w.entries[id] = map[string]any{
		"service": service, "address": address, "zone": "nbo-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 9000, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	w.store.Put("servers", id, w.entries[id])
	return nil
}

// routeOf returns a route of the configuration.
func routeOf(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": "desk.example", "path_prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "max_attempts": 2, "anonymous": false,
	}
}

// configure writes a version of the configuration. Its return is the acknowledgement.
func (w *world) configure(routes []map[string]any, services []map[string]any, keys []string) {
	w.version += 2
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}},
	})
	w.logf("store: version %d of the configuration is acknowledged", w.version)
}

// startFleet starts all instances and waits until they are ready.
func (w *world) startFleet() error {
	address, err := w.serve(w.store.Handler())
	if err != nil {
		return err
	}
	var seeds []string
	for _, name := range fleet {
		i, err := newInstance(w.dir, name, address)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if len(seeds) < 3 {
			seeds = append(seeds, i.addresses[peerPort])
		}
	}
	for _, i := range w.instances {
		if err := i.writeSettings(seeds); err != nil {
			return err
		}
		if err := i.start(program); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, i := range w.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return errors.New(i.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.logf("all instances are ready")
	return nil
}

// instance returns the instance with the name.
func (w *world) instance(name string) *instance {
	for _, i := range w.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
		i.store.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}
