package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	failureBytes = 3 << 20 // size of the body with which a runner in trouble fails a request
	failShare    = 9       // runs of failPeriod that fail: x .45
	failPeriod   = 20
)

// failingRunner runs each booking and, while it is in trouble, answers some of them that it is
// unavailable, with a long body and without stating that it did not run the request.
type failingRunner struct {
	id      string
	trouble bool

	mu   sync.Mutex
	runs []string // request IDs
}

// ServeHTTP serves one request.
func (f *failingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Knapweedwell-Expected-Instance") != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Knapweedwell-Request-Id")
	f.mu.Lock()
	f.runs = append(f.runs, id)
	n := len(f.runs)
	fail := f.trouble && n*failShare/failPeriod > (n-1)*failShare/failPeriod
	f.mu.Unlock()
	h := w.Header()
	h.Set("X-Knapweedwell-Request-Id", id)
	h.Set("X-Knapweedwell-Response-Signature", "3e1b.07."+id)
	if !fail {
		fmt.Fprintf(w, "booked %s", id)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	line := strings.Repeat("x", 1<<10)
	for range failureBytes >> 10 {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
	}
}

// ran returns the IDs of the requests that ran.
func (f *failingRunner) ran() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for _, id := range f.runs {
		ids[id] = true
	}
	return ids
}

// runRefused sends bookings, which may run once, to the instances. Each caller repeats its
// booking, with a new request ID, after an answer that promises that it has not run.
func runRefused(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{"name": "bookings", "health_path": "/health", "max_connections": 100}}
	var runners []*failingRunner
	for n := range 3 {
		f := &failingRunner{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), trouble: trouble}
		if err := w.addUpstream("bookings", f.id, f); err != nil {
			return false, err
		}
		runners = append(runners, f)
	}
	w.configure([]map[string]any{routeOf("/puxa403/", "unsafe", "bookings", callTimeout)}, services, []string{oldKey})
	if err := w.startFleet(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	var attempts []sent
	for n := range 4 * len(w.instances) {
		i := w.instances[n%len(w.instances)]
		for range 2 {
			a := send(i, http.MethodPost, "/puxa403/2f", oldKey, callTimeout, []byte(fmt.Sprintf("booking %d", n)))
			attempts = append(attempts, sent{answer: a, to: i.name})
			if a.status != http.StatusServiceUnavailable {
				break
			}
		}
	}
	return judgeRefused(w, runners, attempts), nil
}

// judgeRefused reports whether a request that has run was answered that it has not.
func judgeRefused(w *world, runners []*failingRunner, attempts []sent) bool {
	broken := 0
	for _, a := range attempts {
		ran := false
		for _, f := range runners {
			ran = ran || f.ran()[a.id]
		}
		w.logf("caller: %s sent to %s, answered %d with %d bytes, signed %t, error %v; run by a runner: %t", a.id, a.to, a.status, len(a.body), a.signed, a.err, ran)
		if ran && a.status == http.StatusServiceUnavailable {
			broken++
		}
	}
	w.logf("%d of %d requests have run and were answered 503", broken, len(attempts))
	return broken > 0
}
