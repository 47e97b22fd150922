package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 10 // events of a whole stream
	eventsBefore  = 3  // events before a runner in trouble breaks off
	streamTimeout = 8 * time.Second
	streamCount   = 4000
	streamCallers = 10
	thinkTime     = 20 * time.Millisecond // of a caller between two streams

	runnerCount    = 5
	troubledCount  = 3  // share .6 of the runners
	answersPerFail = 20 // x .05 of their answers
)

// truncatingRunner serves streams that may be resumed. While it is in trouble it truncates its
// answers: a stream from its start within an event, with a reset, and a resumed one, which has
// neither a length nor chunks, after its head, by closing the connection.
type truncatingRunner struct {
	id      string
	trouble bool

	mu        sync.Mutex
	runs      []string // request IDs with the event after which the run began
	truncated int
}

// begin records a run and reports whether its answer is to be truncated.
func (t *truncatingRunner) begin(id string, last int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, fmt.Sprintf("%s after event %d", id, last))
	period := answersPerFail
	if last == 0 {
		period *= 2 // so that some of the resumed ones, which are few, can be truncated too
	}
	if !t.trouble || (t.truncated+1)*period > len(t.runs) {
		return false
	}
	t.truncated++
	return true
}

// ServeHTTP serves one request.
func (t *truncatingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a close would be a reset otherwise
	if r.Header.Get("X-Knapweedwell-Expected-Instance") != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Knapweedwell-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	truncate := t.begin(id, last)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Knapweedwell-Request-Id: " + id +
		"\r\nX-Knapweedwell-Response-Signature: 3e1b.07." + id + "\r\nConnection: close\r\n"
	switch {
	case truncate && last > 0:
		fmt.Fprintf(conn, "%s\r\n", head)
	case truncate:
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for n := 1; n <= eventsBefore; n++ {
			text += chunk(event(n))
		}
		_, _ = conn.Write([]byte(text + chunk(event(eventsBefore + 1)[:9])))
		time.Sleep(100 * time.Millisecond)
		reset(conn)
	default:
		text := head + "\r\n"
		for n := last + 1; n <= streamEvents; n++ {
			text += event(n)
		}
		_, _ = conn.Write([]byte(text))
	}
}

// reset makes the close of a connection a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// runTruncated sends requests for streams and looks at where those end that look complete.
func runTruncated(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{
		"name": "plan-model", "health_path": "/health", "max_connections": 360,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 681116, "stride": 3},
	}}
	var runners []*truncatingRunner
	for n := range runnerCount {
		t := &truncatingRunner{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), trouble: trouble && n < troubledCount}
		if err := w.addUpstream("plan-model", t.id, t); err != nil {
			return false, err
		}
		runners = append(runners, t)
	}
	route := routeOf("/lohu930/", "stream", "plan-model", streamTimeout)
	route["resumable"], route["gap_target_ms"], route["sticky"] = true, 800, true
	w.configure([]map[string]any{route}, services, []string{oldKey})
	if err := w.startFleet(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	sendStreams(w)
	return judgeTruncated(w, runners), nil
}

// sendStreams sends requests for streams to all instances.
func sendStreams(w *world) {
	var wg sync.WaitGroup
	for c := range streamCallers {
		wg.Go(func() {
			for n := c; n < streamCount; n += streamCallers {
				i := w.instances[n%len(w.instances)]
				a := send(i, http.MethodPost, "/lohu930/2f", oldKey, streamTimeout, []byte(fmt.Sprintf("plan %d", n)))
				w.mu.Lock()
				w.sent = append(w.sent, sent{answer: a, to: i.name})
				w.mu.Unlock()
				time.Sleep(thinkTime)
			}
		})
	}
	wg.Wait()
}

// judgeTruncated reports whether a stream looked complete to its caller and was not.
func judgeTruncated(w *world, runners []*truncatingRunner) bool {
	broken := 0
	for _, s := range w.sent {
		events := strings.Count(s.body, "\n\n")
		w.logf("caller: %s sent to %s, answered %d with %d of %d events, complete: %t (%v)", s.id, s.to, s.status, events, streamEvents, s.err == nil, s.err)
		if s.err == nil && s.status == http.StatusOK && events < streamEvents {
			broken++
		}
	}
	for _, t := range runners {
		w.logf("runner %s: %d runs, %d of them truncated", t.id, len(t.runs), t.truncated)
		for _, run := range t.runs {
			w.logf("runner %s: ran %s", t.id, run)
		}
	}
	w.logf("%d of %d streams ended as complete before their last event", broken, len(w.sent))
	return broken > 0
}
