package world

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

// chat sends one chat request to an address and checks the answer against the
// text that belongs to it. It returns how it ended.
func (w *world) chat(s *slot, org, class string, n, tokens int, stream bool) string {
	kills, begin, present := s.killed(), time.Now(), s.instance()
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"request %d tokens=%d"}]}`, stream, n, tokens)
	a, err := w.send(ctx, s.caller(), "POST", "/v1/chat/completions", body, headers(org, class, ""))
	end := "unreachable"
	switch {
	case err != nil && a.connected:
		end = "cut"
	case err != nil:
	case a.status != 200:
		end = failure(a.body)
	case stream:
		end = w.checkStream(body, a)
	default:
		end = w.checkWhole(body, a)
	}
	if end == "cut" || end == "unreachable" {
		w.checkCut(s, present, kills, begin, body, end)
	}
	if end != "ok" {
		w.note("request %d to %s ended as %s: %s", n, s.name, end, a.body)
	}
	w.end(class + " " + end)
	return end
}

// checkCut fails unless the instance was killed, or the request cannot have
// reached it: no instance ran there when it was sent, or the host was cut off
// for longer than the server waits for a header.
func (w *world) checkCut(s *slot, present *instance.Instance, kills int, begin time.Time, body, end string) {
	absent := end == "unreachable" && present == nil
	if absent || s.killed() != kills || w.longIsolated(s.host, begin) || time.Since(begin) >= requestTimeout {
		return
	}
	w.fail("request %s to %s, which was not killed, ended as %s", body, s.name, end)
}

// headerLimit is the time that the HTTP server waits for a request's header. A
// connection that is cut off for longer before the header came is closed.
const headerLimit = 9 * time.Second

// longIsolated reports whether a host was isolated for longer than headerLimit
// since the time.
func (w *world) longIsolated(h string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.isolations {
		if i.host == h && i.to.After(since) && i.to.Sub(i.from) > headerLimit {
			return true
		}
	}
	return false
}

func failure(body string) string {
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

func (w *world) checkWhole(body string, a answer) string {
	if !a.whole {
		return "cut"
	}
	var got struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.body), &got); err != nil || len(got.Choices) != 1 {
		w.fail("malformed whole answer %q", a.body)
		return "wrong"
	}
	if want := engine.Text([]byte(body)); got.Choices[0].Message.Content != want {
		w.fail("request %s got %q, expected %q", body, got.Choices[0].Message.Content, want)
	}
	return "ok"
}

// checkStream checks that the events are without gap or duplicate, and that
// the end mark comes only after the whole text.
func (w *world) checkStream(body string, a answer) string {
	want := engine.Text([]byte(body))
	text, next, done := "", 0, false
	for _, block := range strings.Split(a.body, "\n\n") {
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
			return failure(data)
		case data == "" || done:
		case data == "[DONE]":
			done = true
		case id != next:
			w.fail("request %s got event %d in place of %d", body, id, next)
			next++
		default:
			next++
			text += delta(data)
		}
	}
	if !strings.HasPrefix(want, text) {
		w.fail("request %s got %q, expected %q", body, text, want)
	}
	if done && text != want {
		w.fail("request %s was marked as whole with %q, expected %q", body, text, want)
	}
	if !done {
		return "cut"
	}
	return "ok"
}

func delta(data string) string {
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

// book sends a booking, and again with its key to other instances until it is
// answered. It checks every answer against what the services have run.
func (w *world) book(org string, n int, ticket bool, pick func() *slot) string {
	body := fmt.Sprintf(`{"Booking":%d}`, n)
	key := fmt.Sprintf("booking-%d", n)
	if ticket {
		key = w.ticket(pick())
	}
	end := "unreachable"
	for range 4 {
		call := time.Now()
		end = w.bookOnce(pick(), org, key, body)
		w.recordBooking(key, call, end)
		if end == "ok" {
			break
		}
		time.Sleep(time.Second)
	}
	if end == "ok" && n%3 == 0 {
		// A caller that lost the answer asks once more.
		time.Sleep(time.Second)
		call := time.Now()
		w.recordBooking(key, call, w.bookOnce(pick(), org, key, body))
	}
	w.end("booking " + end)
	return end
}

func (w *world) ticket(s *slot) string {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	a, err := w.send(ctx, s.caller(), "GET", "/v1/addresses?service=s", "", nil)
	var got struct{ Ticket string }
	if err != nil || json.Unmarshal([]byte(a.body), &got) != nil {
		return ""
	}
	return got.Ticket
}

// bookOnce sends a booking once. Without a key it is only sent once.
func (w *world) bookOnce(s *slot, org, key, body string) string {
	ctx, cancel := context.WithTimeout(w.ctx, requestTimeout)
	defer cancel()
	h := headers(org, "Alert", key)
	h["Knapweedwell-Timeout"] = "20s"
	if key == "" {
		return "unreachable"
	}
	a, err := w.send(ctx, s.caller(), "POST", "/v1/services/s/book", body, h)
	if err != nil || !a.whole {
		return "unreachable"
	}
	if a.status != 200 {
		end := failure(a.body)
		if n := w.runs()[body]; end == "not_run" && n > 0 {
			w.fail("booking %s was refused as not run after %d runs: %s", body, n, a.body)
		}
		return end
	}
	var got struct {
		Runs int
		Body string
	}
	if json.Unmarshal([]byte(a.body), &got) != nil || got.Body != body || got.Runs != 1 {
		w.fail("booking %s got the answer %s", body, a.body)
	}
	return "ok"
}

// checkRuns checks that no booking ran twice.
func (w *world) checkRuns() {
	for body, n := range w.runs() {
		if n > 1 {
			w.fail("booking %s ran %d times", body, n)
		}
	}
}

// pickLive returns a running instance that address answers list, or any slot
// if there is none.
func (w *world) pickLive() *slot {
	w.mu.Lock()
	at := w.rnd.IntN(len(w.slots))
	w.mu.Unlock()
	for i := range w.slots {
		s := w.slots[(at+i)%len(w.slots)]
		if i := s.instance(); i != nil && i.Live() {
			return s
		}
	}
	return w.slots[at]
}

// demand sends requests at the given mean rate until the time is over, and
// waits for all answers.
func (w *world) demand(rate float64, length time.Duration) {
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		w.mu.Lock()
		gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
		kind, org := w.rnd.IntN(10), string(rune('A'+w.rnd.IntN(3)))
		tokens, stream, ticket := 1+w.rnd.IntN(60), w.rnd.IntN(2) == 0, w.rnd.IntN(2) == 0
		w.sent++
		n := w.sent
		w.mu.Unlock()
		time.Sleep(gap)
		wait.Add(1)
		go func() {
			defer wait.Done()
			switch {
			case kind < 3:
				w.book(org, n, ticket, w.pickLive)
			default:
				class := []string{"Rider", "Desk", "Bulk"}[kind%3]
				w.chat(w.pickLive(), org, class, n, tokens, stream)
			}
		}()
	}
	wait.Wait()
}
