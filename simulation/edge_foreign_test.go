package simulation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	answerFields = "X-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\n"
	streamHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + answerFields + "\r\n"
	twoEvents    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// TestErrorOfNextUpstreamIsKeptOutOfStream guards against the text of another answer in a
// stream that has begun, and against a stream that looks complete after it.
func TestErrorOfNextUpstreamIsKeptOutOfStream(t *testing.T) {
	const (
		errorText = "{\"error\": \"no model\"}\n\n"
		comment   = ": ping\n\n" // may be in any stream
	)
	for name, next := range map[string]string{
		"failure":                    "HTTP/1.1 500 Failed\r\n" + answerFields + "Content-Length: 23\r\n\r\n" + errorText,
		"failure without a length":   "HTTP/1.1 502 Failed\r\n" + answerFields + "\r\n" + errorText,
		"not found":                  "HTTP/1.1 404 Not Found\r\n" + answerFields + "\r\n" + errorText,
		"refusal":                    "HTTP/1.1 503 Full\r\nX-Knapweedwell-Not-Executed: 1\r\n" + answerFields + "Content-Length: 0\r\n\r\n",
		"unsigned":                   "HTTP/1.1 200 OK\r\nX-Knapweedwell-Request-Id: %s\r\n\r\n" + errorText,
		"success of another type":    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + answerFields + "\r\n" + errorText,
		"text in a stream":           streamHead + errorText,
		"text with an earlier event": streamHead + "id: 2\ndata: b\n\n" + errorText,
		"head in a stream":           streamHead + "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nid: 3\ndata: c\n\n",
		"text without a blank line":  streamHead + "overloaded\n",
		"comment with text":          streamHead + comment + errorText,
		"bytes":                      "nonsense\r\n\r\n",
		"encoded":                    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + answerFields + "\r\n" + errorText,
	} {
		t.Run(name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				u := &textUpstream{texts: []string{streamHead + twoEvents + "id: 3\nda", next}}
				sim.startRawUpstream("model-raw", "model", u.serve)
				sim.startRawUpstream("model-spare", "model", u.serve)
				got := sim.send(request{path: "/talk/1", id: "u1"})
				got.body = strings.TrimSuffix(got.body, comment)
				if got.status != 200 || got.complete || got.body != twoEvents {
					t.Errorf("got %d, complete %t, %q, expected 200, false, %q", got.status, got.complete, got.body, twoEvents)
				}
			})
		})
	}
}

// TestStreamWithoutIDsIsNotRepeated guards against events that the caller gets twice because
// nothing shows which ones it has.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	const events = "data: a\n\ndata: b\n\n"
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		u := &textUpstream{texts: []string{streamHead + events + "da", streamHead + events + "data: c\n\n"}}
		sim.startRawUpstream("model-raw", "model", u.serve)
		sim.startRawUpstream("model-spare", "model", u.serve)
		got := sim.send(request{path: "/talk/1", id: "u1"})
		if got.complete || got.body != events {
			t.Errorf("got complete %t, %q, expected false, %q", got.complete, got.body, events)
		}
	})
}

// repeatingUpstream refuses the first request on a connection. It writes that refusal once
// more before the answer to the second one.
type repeatingUpstream struct {
	refusal string
	runs    chan string // IDs of the requests that were run
}

func (u *repeatingUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	first := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Knapweedwell-Request-Id")
		if first == "" {
			first = strings.ReplaceAll(u.refusal, "%s", id)
			_, _ = io.WriteString(c, first)
			continue
		}
		u.runs <- id
		_, _ = io.WriteString(c, first)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+answerFields+"Content-Length: 2\r\n\r\nok", "%s", id))
	}
}

// TestRepeatedRefusalIsNotOurs guards against a refusal of an earlier request that is taken for
// that of one which the upstream runs.
func TestRepeatedRefusalIsNotOurs(t *testing.T) {
	const notRun = "X-Knapweedwell-Not-Executed: 1\r\nContent-Length: 0\r\n"
	for name, refusal := range map[string]string{
		"with an ID":              "HTTP/1.1 503 Full\r\nX-Knapweedwell-Request-Id: %s\r\n" + notRun + "\r\n",
		"without an ID":           "HTTP/1.1 503 Full\r\n" + notRun + "\r\n",
		"bad request":             "HTTP/1.1 400 Bad Request\r\n" + notRun + "\r\n",
		"misdirected":             "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"too many, with a length": "HTTP/1.1 429 Too Many\r\nX-Knapweedwell-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				u := &repeatingUpstream{refusal: refusal, runs: make(chan string, 100)}
				sim.startRawUpstream("calls-raw", "calls", u.serve)
				for i := range 20 {
					id := "u" + itoa(i)
					got := sim.send(request{path: "/book/1", id: id})
					ran := false
					for len(u.runs) > 0 {
						ran = <-u.runs == id || ran
					}
					if ran && got.status == 503 {
						t.Errorf("request %s ran and was answered 503", id)
					}
					if n := sim.runCount(id); ran && n > 0 {
						t.Errorf("request %s ran at a second upstream, too", id)
					}
					// An upstream that was thought to be another one is not used for a while.
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
}
