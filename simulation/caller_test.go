package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"knapweedwell/instance"
	"knapweedwell/standin/engine"
)

const requestTimeout = 2 * time.Minute

// chat sends one chat request to a node, checks the answer against the expected
// text of the request and returns its outcome.
func (sim *simulation) chat(node *node, org, class string, n, tokens int, stream bool) string {
	kills, start, running := node.killCount(), time.Now(), node.instance()
	ctx, cancel := context.WithTimeout(sim.ctx, requestTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"request %d tokens=%d"}]}`, stream, n, tokens)
	resp, err := sim.send(ctx, node.callerAddress(), "POST", "/v1/chat/completions", body, requestHeaders(org, class, ""))
	outcome := "unreachable"
	switch {
	case err != nil && resp.connected:
		outcome = "cut"
	case err != nil:
	case resp.status != 200:
		outcome = failureType(resp.body)
	case stream:
		outcome = sim.checkStream(body, resp)
	default:
		outcome = sim.checkWhole(body, resp)
	}
	if outcome == "cut" || outcome == "unreachable" {
		sim.checkConnectionLoss(node, running, kills, start, body, outcome)
	}
	if outcome != "ok" {
		sim.tracef("request %d to %s: outcome %s: %s", n, node.name, outcome, resp.body)
	}
	sim.countOutcome(class + " " + outcome)
	return outcome
}

// checkConnectionLoss fails the test for a request without a complete answer,
// unless the instance was killed or the request may never have reached it: no
// instance ran there when it was sent, or the host was cut off for longer than
// headerTimeoutBound.
func (sim *simulation) checkConnectionLoss(node *node, running *instance.Instance, kills int, start time.Time, body, outcome string) {
	absent := outcome == "unreachable" && running == nil
	if absent || node.killCount() != kills || sim.longIsolated(node.host, start) || time.Since(start) >= requestTimeout {
		return
	}
	sim.errorf("request %s to %s, which was not killed: outcome %s", body, node.name, outcome)
}

// headerTimeoutBound is a bound below the 10 s that the server waits for the header
// of a request (package webserver). The server may close a connection that is cut
// off for longer before the header arrives.
const headerTimeoutBound = 9 * time.Second

// longIsolated reports whether a host was isolated for longer than
// headerTimeoutBound in a period that ended after since.
func (sim *simulation) longIsolated(h string, since time.Time) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, i := range sim.isolations {
		if i.host == h && i.to.After(since) && i.to.Sub(i.from) > headerTimeoutBound {
			return true
		}
	}
	return false
}

// failureType returns the type of an error answer, or "unreachable" if the body
// is no error answer.
func failureType(body string) string {
	var f struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(body), &f) != nil || f.Error.Type == "" {
		return "unreachable"
	}
	return f.Error.Type
}

// checkWhole checks an answer that is not streamed and returns its outcome.
func (sim *simulation) checkWhole(body string, resp response) string {
	if !resp.complete {
		return "cut"
	}
	var got struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(resp.body), &got); err != nil || len(got.Choices) != 1 {
		sim.errorf("malformed answer %q, expected JSON with one choice", resp.body)
		return "wrong"
	}
	if want := engine.AnswerText([]byte(body)); got.Choices[0].Message.Content != want {
		sim.errorf("request %s: got %q, expected %q", body, got.Choices[0].Message.Content, want)
	}
	return "ok"
}

// checkStream checks that the events have no gap and no duplicate, and that the
// end mark follows only the whole text. It returns the outcome.
func (sim *simulation) checkStream(body string, resp response) string {
	want := engine.AnswerText([]byte(body))
	text, next, done := "", 0, false
	for _, block := range strings.Split(resp.body, "\n\n") {
		var id int
		var data string
		for _, line := range strings.Split(block, "\n") {
			if v, ok := strings.CutPrefix(line, "data: "); ok {
				data = v
			}
			_, _ = fmt.Sscanf(line, "id: %d", &id)
		}
		switch {
		case strings.Contains(block, "event: error"):
			return failureType(data)
		case data == "" || done:
		case data == "[DONE]":
			done = true
		case id != next:
			sim.errorf("request %s: got event %d, expected %d", body, id, next)
			next++
		default:
			next++
			text += deltaContent(data)
		}
	}
	if !strings.HasPrefix(want, text) {
		sim.errorf("request %s: got %q, expected %q", body, text, want)
	}
	if done && text != want {
		sim.errorf("request %s: end mark after %q, expected after %q", body, text, want)
	}
	if !done {
		return "cut"
	}
	return "ok"
}

// deltaContent returns the text of a stream event.
func deltaContent(data string) string {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// bookWithRetries sends a booking, at most four times with the same key, until
// it is answered. It checks every answer against the runs of the services and
// returns the last outcome.
func (sim *simulation) bookWithRetries(org string, n int, ticket bool, pick func() *node) string {
	body := fmt.Sprintf(`{"Booking":%d}`, n)
	key := fmt.Sprintf("booking-%d", n)
	if ticket {
		key = sim.requestTicket(pick())
	}
	outcome := "unreachable"
	for range 4 {
		call := time.Now()
		outcome = sim.bookOnce(pick(), org, key, body)
		sim.recordBooking(key, call, outcome)
		if outcome == "ok" {
			break
		}
		time.Sleep(time.Second)
	}
	if outcome == "ok" && n%3 == 0 {
		// Repeats the request as a caller that lost the answer does.
		time.Sleep(time.Second)
		call := time.Now()
		sim.recordBooking(key, call, sim.bookOnce(pick(), org, key, body))
	}
	sim.countOutcome("booking " + outcome)
	return outcome
}

// requestTicket returns a ticket of a node's instance, or "" without an answer.
func (sim *simulation) requestTicket(node *node) string {
	ctx, cancel := context.WithTimeout(sim.ctx, 5*time.Second)
	defer cancel()
	resp, err := sim.send(ctx, node.callerAddress(), "GET", "/v1/addresses?service=s", "", nil)
	var got struct{ Ticket string }
	if err != nil || json.Unmarshal([]byte(resp.body), &got) != nil {
		return ""
	}
	return got.Ticket
}

// bookOnce sends a booking once and returns its outcome. Without a key, which
// means that no ticket was issued, it sends nothing.
func (sim *simulation) bookOnce(node *node, org, key, body string) string {
	ctx, cancel := context.WithTimeout(sim.ctx, requestTimeout)
	defer cancel()
	h := requestHeaders(org, "Alert", key)
	h["Knapweedwell-Timeout"] = "20s"
	if key == "" {
		return "unreachable"
	}
	resp, err := sim.send(ctx, node.callerAddress(), "POST", "/v1/services/s/book", body, h)
	if err != nil || !resp.complete {
		return "unreachable"
	}
	if resp.status != 200 {
		outcome := failureType(resp.body)
		if n := sim.runCounts()[body]; outcome == "not_run" && n > 0 {
			sim.errorf("booking %s: refused as not run after %d runs: %s", body, n, resp.body)
		}
		return outcome
	}
	var got struct {
		Runs int
		Body string
	}
	if json.Unmarshal([]byte(resp.body), &got) != nil || got.Body != body || got.Runs != 1 {
		sim.errorf("booking %s: got answer %s, expected its own body after 1 run", body, resp.body)
	}
	return "ok"
}

// checkRuns checks that no booking ran more than once.
func (sim *simulation) checkRuns() {
	for body, n := range sim.runCounts() {
		if n > 1 {
			sim.errorf("booking %s ran %d times, expected at most 1", body, n)
		}
	}
}

// pickLive returns a random node whose instance is live, so that address answers
// list it, or any node if there is none.
func (sim *simulation) pickLive() *node {
	sim.mu.Lock()
	first := sim.rng.IntN(len(sim.nodes))
	sim.mu.Unlock()
	for i := range sim.nodes {
		node := sim.nodes[(first+i)%len(sim.nodes)]
		if i := node.instance(); i != nil && i.Live() {
			return node
		}
	}
	return sim.nodes[first]
}

// sendLoad sends requests with exponentially distributed gaps at a mean rate per
// second for the given virtual time, and waits for all answers.
func (sim *simulation) sendLoad(rate float64, length time.Duration) {
	var wg sync.WaitGroup
	deadline := time.Now().Add(length)
	for time.Now().Before(deadline) {
		sim.mu.Lock()
		gap := time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		kind, org := sim.rng.IntN(10), string(rune('A'+sim.rng.IntN(3)))
		tokens, stream, ticket := 1+sim.rng.IntN(60), sim.rng.IntN(2) == 0, sim.rng.IntN(2) == 0
		sim.sent++
		n := sim.sent
		sim.mu.Unlock()
		time.Sleep(gap)
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch {
			case kind < 3:
				sim.bookWithRetries(org, n, ticket, sim.pickLive)
			default:
				class := []string{"Rider", "Desk", "Bulk"}[kind%3]
				sim.chat(sim.pickLive(), org, class, n, tokens, stream)
			}
		}()
	}
	wg.Wait()
}
