package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Promises that are checked.
const (
	ownAnswer     = "own whole answer"
	trueNotRun    = "not run is true"
	onceOnly      = "at most once"
	unchanged     = "unchanged and asked for"
	stopCutsOff   = "a planned stop cuts off nothing"
	inTime        = "answered in time"
	inForce       = "configuration in force in time"
	neverBack     = "configuration never reverts"
	leavesAlone   = "no work for a leaving upstream"
	notDenied     = "proper requests are not denied"
	comesBack     = "serves again after all faults"
	stopsInTime   = "stops within the grace period"
	invariants    = "no invariant is violated"
	advisesReturn = "a refusal says when to come back"
)

// Bounds that the platform's pages state.
const (
	contactTime   = 4 * time.Second // contactTime is how long an instance must have been calm for a bound in time to hold.
	configBound   = 2500 * time.Millisecond
	drainBound    = 2500 * time.Millisecond
	answerSlack   = 500 * time.Millisecond // answerSlack is how much later than its time an answer may come.
	recoverBound  = 12 * time.Second
	leastOverdue  = 4 // leastOverdue is how many overdue answers are enough to compare.
	statusTimeout = time.Second
	statusPeriod  = 250 * time.Millisecond
)

// judge checks the answer to one request.
func (w *world) judge(r request, id string, events int, a answer, left bool, starts int) {
	w.end(r.kind, a.how(left))
	w.checked(ownAnswer)
	switch {
	case a.err == nil && a.status == http.StatusOK:
		w.judgeSuccess(r, id, events, a)
	case a.err == nil && promised(a.status):
		w.judgeRefusal(r, id, a)
	case a.err == nil && denied(a.status):
		w.broken(notDenied, "request %s (%s) to %s got %d %q", id, r.kind.name, r.node.name, a.status, a.body)
	case a.err != nil && !left:
		w.judgeCut(r, id, a, starts)
	}
	w.judgeTime(r, id, a, left)
}

// how names how a request ended.
func (a answer) how(left bool) string {
	switch {
	case a.err != nil && left:
		return "left"
	case a.err != nil && a.status == 0:
		return "no answer"
	case a.err != nil:
		return "cut"
	}
	return fmt.Sprint(a.status)
}

// denied reports whether a status says that a request is not proper.
func denied(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusNotFound || status < http.StatusBadRequest
}

func (w *world) judgeSuccess(r request, id string, events int, a answer) {
	want := "answer to " + id
	if r.kind.service == "model" {
		want = ""
		for k := 1; k <= events; k++ {
			want += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", k, k, id)
		}
	}
	signature := a.header.Get("X-Knapweedwell-Response-Signature")
	if a.body != want || !strings.HasSuffix(signature, "."+id) {
		w.broken(ownAnswer, "request %s (%s) to %s got %q signed %q, expected %q", id, r.kind.name, r.node.name, a.body, signature, want)
	}
}

// promised reports whether a status says that the request was not run.
func promised(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (w *world) judgeRefusal(r request, id string, a answer) {
	w.checked(trueNotRun)
	w.checked(advisesReturn)
	if a.header.Get("Retry-After") == "" {
		w.broken(advisesReturn, "request %s (%s) to %s got %d %q without an advice", id, r.kind.name, r.node.name, a.status, a.body)
	}
	w.mu.Lock()
	w.refused[id] = fmt.Sprintf("%d %s by %s", a.status, a.body, r.node.name)
	w.mu.Unlock()
}

// judgeCut checks that an answer which ended early is no fault of a planned stop:
// the request was handed to an upstream, and nothing but the stop disturbed it.
func (w *world) judgeCut(r request, id string, a answer, starts int) {
	if a.terminated.IsZero() && a.starts == starts {
		return
	}
	w.checked(stopCutsOff)
	since := r.begun.Add(-contactTime)
	handed, calm := false, r.node.unharmed(since)
	for _, u := range w.upstreams {
		for _, ran := range u.all() {
			if ran.RunsOf(id) > 0 {
				handed, calm = true, calm && u.unharmed(since)
			}
		}
	}
	if handed && calm && a.took < r.kind.timeout {
		w.broken(stopCutsOff, "request %s (%s) to %s, begun %s ago: %v", id, r.kind.name, r.node.name, a.took, a.err)
	}
}

// judgeTime notes whether a request that was not answered by its time got its
// answer shortly after.
func (w *world) judgeTime(r request, id string, a answer, left bool) {
	if left || a.took < r.kind.timeout || !r.node.unharmed(r.begun.Add(-contactTime)) {
		return
	}
	w.checked(inTime)
	if a.took > r.kind.timeout+answerSlack {
		w.mu.Lock()
		w.overdue++
		w.mu.Unlock()
		w.say("overdue: request %s (%s) to %s took %s", id, r.kind.name, r.node.name, a.took)
	}
}

// runs returns how often a request ran.
func (w *world) runs(id string) int {
	n := 0
	for _, u := range w.upstreams {
		for _, r := range u.all() {
			n += r.RunsOf(id)
		}
	}
	return n
}

// checkRuns checks what the upstreams have seen against what was sent, and
// forgets it.
func (w *world) checkRuns() {
	for _, u := range w.upstreams {
		if !u.occupy() {
			// It is watched for new work.
			continue
		}
		for _, r := range u.all() {
			for _, s := range r.TakeSeen() {
				w.checkSeen(r.ID, s.Header, s.Target, s.Body)
			}
		}
		u.release()
	}
	w.mu.Lock()
	refused := map[string]string{}
	for id, text := range w.refused {
		refused[id] = text
	}
	sent := make(map[string]request, len(w.sent))
	for id, r := range w.sent {
		sent[id] = r
	}
	w.mu.Unlock()
	for id, text := range refused {
		if n := w.runs(id); n > 0 {
			w.broken(trueNotRun, "request %s ran %d times and was answered %s", id, n, text)
		}
	}
	for id, r := range sent {
		w.checked(onceOnly)
		if n := w.runs(id); n > r.kind.attempts {
			w.broken(onceOnly, "request %s (%s) to %s ran %d times, %d allowed", id, r.kind.name, r.node.name, n, r.kind.attempts)
		}
	}
}

func (w *world) checkSeen(upstream string, h http.Header, target, body string) {
	id := h.Get("X-Knapweedwell-Request-Id")
	w.checked(unchanged)
	w.mu.Lock()
	r, known := w.sent[id]
	w.mu.Unlock()
	switch {
	case h.Get("X-Probe") != "":
	case !known:
		w.broken(unchanged, "%s got request %q, which no caller sent", upstream, id)
	case r.target != target || r.body != body:
		w.broken(unchanged, "%s got request %s as %q %q, sent as %q %q", upstream, id, target, body, r.target, r.body)
	case h.Get("X-Knapweedwell-Tenant") != organisation || h.Get("Authorization") != "":
		w.broken(unchanged, "%s got request %s with organisation %q and key %q", upstream, id, h.Get("X-Knapweedwell-Tenant"), h.Get("Authorization"))
	}
}

// status is what a node says of itself.
type status struct {
	Version int64
}

// watchVersions checks that no process goes back to a lower version.
func (w *world) watchVersions(ctx context.Context) {
	type incarnation struct {
		node   *node
		starts int
	}
	seen := map[incarnation]int64{}
	for ctx.Err() == nil {
		time.Sleep(statusPeriod)
		for _, n := range w.nodes {
			_, before := n.stopping()
			s, err := n.status(ctx)
			_, after := n.stopping()
			if err != nil || before != after {
				continue
			}
			w.checked(neverBack)
			at := incarnation{n, after}
			if s.Version < seen[at] {
				w.broken(neverBack, "%s went from version %d to %d", n.name, seen[at], s.Version)
			}
			seen[at] = s.Version
		}
	}
}

// status asks the node for its state.
func (n *node) status(ctx context.Context) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(operatorPort)+"/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// change changes the configuration and checks that calm instances serve the new
// route, and no longer the old one, once the bound has passed.
func (w *world) change(ctx context.Context) {
	w.mu.Lock()
	old := w.extra
	w.mu.Unlock()
	w.configure(old + 1)
	acknowledged := time.Now()
	sleep(ctx, configBound)
	since := acknowledged.Add(-contactTime)
	for _, n := range w.nodes {
		if ctx.Err() != nil || !n.serving(since) || !w.storeCalmSince(since) {
			continue
		}
		added, removed := w.probe(n, extraPath(old+1)), w.probe(n, extraPath(old))
		if !n.serving(since) || !w.storeCalmSince(since) {
			continue
		}
		w.checked(inForce)
		if added == http.StatusNotFound || (removed != http.StatusNotFound && removed != 0) {
			w.broken(inForce, "%s answers %d on the new route %d and %d on the old one, %s after the acknowledgement",
				n.name, added, old+1, removed, time.Since(acknowledged))
		}
	}
}

// probe sends a request without a caller behind it and returns the status, zero
// if there is no answer.
func (w *world) probe(n *node, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), kinds[0].timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(callerPort)+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Probe", "1")
	req.Header.Set("X-Knapweedwell-Request-Id", fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkLogs looks for invariants that instances found violated.
func (w *world) checkLogs() {
	logs, err := filepath.Glob(filepath.Join(w.Dir, "*.log"))
	if err != nil {
		w.broken(invariants, "logs cannot be listed: %v", err)
	}
	for _, path := range logs {
		w.checked(invariants)
		text, err := os.ReadFile(path)
		if err != nil {
			w.broken(invariants, "log cannot be read: %v", err)
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			if bytes.Contains(line, []byte("invariant violated")) || bytes.HasPrefix(line, []byte("panic:")) {
				w.broken(invariants, "%s: %s", filepath.Base(path), line)
			}
		}
	}
}

// recovered ends with all faults gone: every instance serves every kind of
// request within the bound.
func (w *world) recovered() {
	end := time.Now().Add(recoverBound)
	for _, n := range w.nodes {
		for _, k := range kinds {
			w.checked(comesBack)
			path := k.path
			if k.service == "model" {
				path += "?events=2"
			}
			got := 0
			for time.Now().Before(end) && got != http.StatusOK {
				if got = w.probe(n, path); got != http.StatusOK {
					time.Sleep(statusPeriod)
				}
			}
			if got != http.StatusOK {
				w.broken(comesBack, "%s answers %d to %s %s after the last fault", n.name, got, k.name, recoverBound)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
