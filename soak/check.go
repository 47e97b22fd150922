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
	ownAnswer         = "own complete answer"
	refusedNotRun     = "refused requests are not run"
	atMostOnce        = "at most once"
	unchanged         = "requests are forwarded unchanged"
	stopCutsNothing   = "planned stop cuts off no requests"
	inTime            = "answered in time"
	inForce           = "configuration in force in time"
	neverReverts      = "configuration never reverts"
	noWorkWhenLeaving = "no work for a leaving upstream"
	validNotDenied    = "valid requests are not denied"
	recovers          = "serves again after all faults"
	stopsInTime       = "stops within the grace period"
	invariants        = "no invariant is violated"
	hasRetryAfter     = "refusals carry Retry-After"
)

// Bounds that the platform's documentation states, and the limits of the checks.
const (
	// settleTime is the time without faults after which the other bounds apply to an
	// instance.
	settleTime   = 4 * time.Second
	configBound  = 2500 * time.Millisecond
	drainBound   = 2500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond // by which an answer may exceed its timeout
	recoverBound = 12 * time.Second
	// minOverdue is the number of requests beyond their timeout from which on the share
	// of overdue answers among them is checked.
	minOverdue    = 4
	statusTimeout = time.Second
	statusPeriod  = 250 * time.Millisecond
)

// checkAnswer checks the answer to one request. The parameter starts is how often
// the node had been started when the request was sent.
func (tb *testbed) checkAnswer(r request, id string, events int, a answer, cancelled bool, starts int) {
	tb.countOutcome(r.kind, a.outcome(cancelled))
	tb.countCheck(ownAnswer)
	switch {
	case a.err == nil && a.status == http.StatusOK:
		tb.checkSuccess(r, id, events, a)
	case a.err == nil && notRunStatus(a.status):
		tb.recordRefusal(r, id, a)
	case a.err == nil && deniedStatus(a.status):
		tb.reportViolation(validNotDenied, "request %s (%s) to %s got %d %q", id, r.kind.name, r.node.name, a.status, a.body)
	case a.err != nil && !cancelled:
		tb.checkBrokenAnswer(r, id, a, starts)
	}
	tb.checkDuration(r, id, a, cancelled)
}

// outcome returns the name under which the outcome of a request is counted.
func (a answer) outcome(cancelled bool) string {
	switch {
	case a.err != nil && cancelled:
		return "left"
	case a.err != nil && a.status == 0:
		return "no answer"
	case a.err != nil:
		return "cut"
	}
	return fmt.Sprint(a.status)
}

// deniedStatus reports whether a status is 401, 404 or less than 400. Apart from
// 200, a valid request must not be answered with any of these.
func deniedStatus(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusNotFound || status < http.StatusBadRequest
}

// checkSuccess checks that an answer with status 200 is complete and belongs to
// the request.
func (tb *testbed) checkSuccess(r request, id string, events int, a answer) {
	want := "answer to " + id
	if r.kind.service == "model" {
		want = ""
		for k := 1; k <= events; k++ {
			want += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", k, k, id)
		}
	}
	signature := a.header.Get("X-Knapweedwell-Response-Signature")
	if a.body != want || !strings.HasSuffix(signature, "."+id) {
		tb.reportViolation(ownAnswer, "request %s (%s) to %s got %q signed %q, expected %q", id, r.kind.name, r.node.name, a.body, signature, want)
	}
}

// notRunStatus reports whether a status means that the request was not run.
func notRunStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordRefusal checks that a refusal carries Retry-After, and records it so that
// checkRuns can check that the request is not run.
func (tb *testbed) recordRefusal(r request, id string, a answer) {
	tb.countCheck(refusedNotRun)
	tb.countCheck(hasRetryAfter)
	if a.header.Get("Retry-After") == "" {
		tb.reportViolation(hasRetryAfter, "request %s (%s) to %s got %d %q without Retry-After", id, r.kind.name, r.node.name, a.status, a.body)
	}
	tb.mu.Lock()
	tb.refused[id] = fmt.Sprintf("%d %s by %s", a.status, a.body, r.node.name)
	tb.mu.Unlock()
}

// checkBrokenAnswer checks that an incomplete answer was not caused by a planned
// stop. It reports a violation if the request was forwarded to an upstream, and
// neither its node nor its upstreams had a fault besides the stop.
func (tb *testbed) checkBrokenAnswer(r request, id string, a answer, starts int) {
	if a.stopSignalAt.IsZero() && a.starts == starts {
		return
	}
	tb.countCheck(stopCutsNothing)
	since := r.sentAt.Add(-settleTime)
	forwarded, faultFree := false, r.node.faultFreeSince(since)
	for _, u := range tb.upstreams {
		for _, ran := range u.incarnations() {
			if ran.RunsOf(id) > 0 {
				forwarded, faultFree = true, faultFree && u.faultFreeSince(since)
			}
		}
	}
	if forwarded && faultFree && a.duration < r.kind.timeout {
		tb.reportViolation(stopCutsNothing, "request %s (%s) to %s failed %s after it was sent: %v", id, r.kind.name, r.node.name, a.duration, a.err)
	}
}

// checkDuration counts a request that exceeded its timeout, and whether it exceeded
// it by more than answerSlack. Cancelled requests, requests to a node with faults and those
// over a connection that a fault has made silent are not counted.
func (tb *testbed) checkDuration(r request, id string, a answer, cancelled bool) {
	if cancelled || a.silenced || a.duration < r.kind.timeout || !r.node.faultFreeSince(r.sentAt.Add(-settleTime)) {
		return
	}
	tb.countCheck(inTime)
	if a.duration > r.kind.timeout+answerSlack {
		tb.mu.Lock()
		tb.overdue++
		tb.mu.Unlock()
		tb.tracef("overdue: request %s (%s) to %s took %s", id, r.kind.name, r.node.name, a.duration)
	}
}

// runCount returns how often the upstreams ran a request.
func (tb *testbed) runCount(id string) int {
	n := 0
	for _, u := range tb.upstreams {
		for _, r := range u.incarnations() {
			n += r.RunsOf(id)
		}
	}
	return n
}

// checkRuns checks the requests that the upstreams received since the last check
// against those that were sent, and the number of times that each request ran.
func (tb *testbed) checkRuns() {
	for _, u := range tb.upstreams {
		if !u.reserve() {
			// upstreamLeave may still need the requests that TakeReceived removes.
			continue
		}
		for _, r := range u.incarnations() {
			for _, s := range r.TakeReceived() {
				tb.checkReceived(r.ID, s.Header, s.Target, s.Body)
			}
		}
		u.release()
	}
	tb.mu.Lock()
	refused := map[string]string{}
	for id, text := range tb.refused {
		refused[id] = text
	}
	sent := make(map[string]request, len(tb.sent))
	for id, r := range tb.sent {
		sent[id] = r
	}
	tb.mu.Unlock()
	for id, text := range refused {
		if n := tb.runCount(id); n > 0 {
			tb.reportViolation(refusedNotRun, "request %s ran %d times but was refused with %s", id, n, text)
		}
	}
	for id, r := range sent {
		tb.countCheck(atMostOnce)
		if n := tb.runCount(id); n > r.kind.maxAttempts {
			tb.reportViolation(atMostOnce, "request %s (%s) to %s ran %d times, %d allowed", id, r.kind.name, r.node.name, n, r.kind.maxAttempts)
		}
	}
}

// checkReceived checks that a request that an upstream received was sent by a
// caller, is unchanged and carries the caller's organisation but not its key.
func (tb *testbed) checkReceived(upstream string, h http.Header, target, body string) {
	id := h.Get("X-Knapweedwell-Request-Id")
	tb.countCheck(unchanged)
	tb.mu.Lock()
	r, known := tb.sent[id]
	tb.mu.Unlock()
	switch {
	case h.Get("X-Probe") != "":
	case !known:
		tb.reportViolation(unchanged, "%s received request %q, which no caller sent", upstream, id)
	case r.target != target || r.body != body:
		tb.reportViolation(unchanged, "%s received request %s as %q %q, sent as %q %q", upstream, id, target, body, r.target, r.body)
	case h.Get("X-Knapweedwell-Tenant") != organisation || h.Get("Authorization") != "":
		tb.reportViolation(unchanged, "%s received request %s with organisation %q and key %q", upstream, id, h.Get("X-Knapweedwell-Tenant"), h.Get("Authorization"))
	}
}

// status is the part of a node's status report that the soak reads.
type status struct {
	Version int64
}

// watchVersions checks until the context ends that no process goes back to a lower
// version of the configuration.
func (tb *testbed) watchVersions(ctx context.Context) {
	type incarnation struct {
		node   *node
		starts int
	}
	seen := map[incarnation]int64{}
	for ctx.Err() == nil {
		time.Sleep(statusPeriod)
		for _, n := range tb.nodes {
			_, before := n.stopState()
			s, err := n.status(ctx)
			_, after := n.stopState()
			if err != nil || before != after {
				continue
			}
			tb.countCheck(neverReverts)
			key := incarnation{n, after}
			if last, known := seen[key]; known && s.Version < last {
				tb.reportViolation(neverReverts, "%s went from version %d to %d", n.name, last, s.Version)
			}
			seen[key] = s.Version
		}
	}
}

// status reads the status report from the node's operator interface.
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

// changeConfiguration changes the configuration and checks that, once configBound
// has passed, instances without faults serve the new extra route and no longer the
// old one.
func (tb *testbed) changeConfiguration(ctx context.Context) {
	tb.mu.Lock()
	old := tb.extraRoute
	tb.mu.Unlock()
	tb.writeConfiguration(old + 1)
	acknowledged := time.Now()
	sleep(ctx, configBound)
	since := acknowledged.Add(-settleTime)
	for _, n := range tb.nodes {
		if ctx.Err() != nil || !n.servingSince(since) || !tb.storeHealthySince(since) {
			continue
		}
		added, removed := tb.probe(n, extraRoutePath(old+1)), tb.probe(n, extraRoutePath(old))
		if !n.servingSince(since) || !tb.storeHealthySince(since) {
			continue
		}
		tb.countCheck(inForce)
		if added == http.StatusNotFound || (removed != http.StatusNotFound && removed != 0) {
			tb.reportViolation(inForce, "%s answers %d on new route %d and %d on the old one, %s after the store acknowledged the change",
				n.name, added, old+1, removed, time.Since(acknowledged))
		}
	}
}

// probe sends a node a request that is marked as a probe, so that it is not counted
// as a caller's. It returns the status, or zero if there is no answer.
func (tb *testbed) probe(n *node, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestKinds[0].timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(callerPort)+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("X-Probe", "1")
	req.Header.Set("X-Knapweedwell-Request-Id", fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkLogs searches the logs of the instances for violated invariants and panics.
func (tb *testbed) checkLogs() {
	logs, err := filepath.Glob(filepath.Join(tb.Dir, "*.log"))
	if err != nil {
		tb.reportViolation(invariants, "logs cannot be listed: %v", err)
	}
	for _, path := range logs {
		tb.countCheck(invariants)
		text, err := os.ReadFile(path)
		if err != nil {
			tb.reportViolation(invariants, "log cannot be read: %v", err)
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			if bytes.Contains(line, []byte("invariant violated")) || bytes.HasPrefix(line, []byte("panic:")) {
				tb.reportViolation(invariants, "%s: %s", filepath.Base(path), line)
			}
		}
	}
}

// checkRecovery checks, after all faults are cleared, that each instance serves each
// kind of request within recoverBound.
func (tb *testbed) checkRecovery() {
	end := time.Now().Add(recoverBound)
	for _, n := range tb.nodes {
		for _, k := range requestKinds {
			tb.countCheck(recovers)
			path := k.path
			if k.service == "model" {
				path += "?events=2"
			}
			got := 0
			for time.Now().Before(end) && got != http.StatusOK {
				if got = tb.probe(n, path); got != http.StatusOK {
					time.Sleep(statusPeriod)
				}
			}
			if got != http.StatusOK {
				tb.reportViolation(recovers, "%s answers %d to %s %s after the last fault", n.name, got, k.name, recoverBound)
			}
		}
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
