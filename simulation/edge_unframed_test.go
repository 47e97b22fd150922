package simulation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// textUpstream is an upstream that sends a text for each request, the last one again
// and again, and closes the connection after it.
type textUpstream struct {
	texts []string // %s stands for the request ID
	reset bool     // whether the connection is reset
	runs  atomic.Int64
}

func (u *textUpstream) serve(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		_ = c.Close()
		return
	}
	n := min(int(u.runs.Add(1)), len(u.texts))
	text := strings.ReplaceAll(u.texts[n-1], "%s", req.Header.Get("X-Knapweedwell-Request-Id"))
	_, _ = io.WriteString(c, text)
	time.Sleep(100 * time.Millisecond)
	if u.reset {
		c.(*conn).reset()
	}
	_ = c.Close()
}

// TestUnframedAnswers guards against answers that look complete though their connection
// broke off. The answers have neither a length nor chunks, unless their names say so.
func TestUnframedAnswers(t *testing.T) {
	const (
		fields  = "X-Knapweedwell-Request-Id: %s\r\nX-Knapweedwell-Response-Signature: s\r\n"
		ok      = "HTTP/1.1 200 OK\r\n" + fields
		head    = ok + "\r\n"
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		crlf    = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
		cr      = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r"
		partial = "id: 3\ndata: c"
	)
	large := strings.Repeat("0123456789abcdef", 3<<16)
	for _, c := range []struct {
		name     string
		path     string
		texts    []string
		reset    bool
		status   int
		complete bool
		body     string // of the answer with status 200
	}{
		{"stream", "/once/1", []string{head + events}, false, 200, true, events},
		{"stream, HTTP/1.0", "/once/1", []string{strings.Replace(head, "1.1", "1.0", 1) + events}, false, 200, true, events},
		{"stream, ends inside an event", "/once/1", []string{head + events + partial}, false, 200, false, events},
		{"stream, ends before a blank line", "/once/1", []string{head + events + partial + "\n"}, false, 200, false, events},
		{"stream, ends inside its first event", "/once/1", []string{head + partial}, false, 502, true, ""},
		{"stream, ends before its first event", "/once/1", []string{head}, false, 502, true, ""},
		{"stream, reset between events", "/once/1", []string{head + events}, true, 200, false, events},
		{"stream, reset before its first event", "/once/1", []string{head}, true, 502, true, ""},
		{"stream, CRLF", "/once/1", []string{head + crlf}, false, 200, true, crlf},
		{"stream, CRLF, ends inside the last line end", "/once/1", []string{head + strings.TrimSuffix(crlf, "\n")}, false, 200, false, crlf[:len(crlf)/2]},
		{"stream, CR", "/once/1", []string{head + cr}, false, 200, true, cr},
		{"stream, CR, ends before a blank line", "/once/1", []string{head + cr + "id: 3\rdata: c\r"}, false, 200, false, cr},
		{"stream, comment at the end", "/once/1", []string{head + events + ": ping\n"}, false, 200, true, events + ": ping\n"},
		{"stream, blank lines at the end", "/once/1", []string{head + events + "\n\r\n"}, false, 200, true, events + "\n\r\n"},
		{"stream, ends inside a comment", "/once/1", []string{head + events + ": pi"}, false, 200, false, events},
		{"stream with a length, ends inside an event", "/once/1", []string{ok + "Content-Length: 11\r\n\r\ndata: a\n\nid"}, false, 200, false, "data: a\n\n"},
		{"stream in chunks, ends inside an event", "/once/1", []string{ok + "Transfer-Encoding: chunked\r\n\r\nb\r\ndata: a\n\nid\r\n0\r\n\r\n"}, false, 200, false, "data: a\n\n"},
		{"stream in chunks, without events", "/once/1", []string{ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}, false, 200, true, ""},
		{"stream that may resume, ends inside an event", "/talk/1", []string{head + events + partial, head + partial + "\n\n"}, false, 200, true, events + partial + "\n\n"},
		{"stream that may resume, CR, ends inside an event", "/talk/1", []string{head + cr + "id: 3", head + cr + "id: 3\rdata: c\r\r"}, false, 200, true, cr + "id: 3\rdata: c\r\r"},
		{"stream that may resume, twice inside an event", "/talk/1", []string{head + events + partial}, false, 200, false, events},
		{"stream that may resume, ends before its first event", "/talk/1", []string{head, head + events}, false, 200, true, events},
		{"stream that may resume, cut after the head", "/talk/1", []string{head + events + "id", head}, false, 200, false, events},
		{"stream that may resume, cut after the head, then whole", "/talk/1", []string{head + events + "id", head + partial + "\n\n"}, false, 200, true, events + partial + "\n\n"},
		{"stream that may resume, comments, then cut after the head", "/talk/1", []string{head + events + partial, head + ": ping\n\n"}, false, 200, false, events + ": ping\n\n"},
		{"stream that may resume, ends in chunks without the event", "/talk/1", []string{head + events + partial, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}, false, 200, false, events},
		{"stream that may resume, breaks off inside a comment", "/talk/1", []string{head + events + ": pi", head}, false, 200, true, events},
		{"stream that may resume, event repeated, cut after it", "/talk/1", []string{head + events + partial, head + "id: 2\ndata: b\n\n"}, false, 200, false, events},
		{"text", "/book/1", []string{head + "answer"}, false, 200, true, "answer"},
		{"text, HTTP/1.0", "/book/1", []string{strings.Replace(head, "1.1", "1.0", 1) + "answer"}, false, 200, true, "answer"},
		{"text, HTTP/1.0 with a length, cut", "/book/1", []string{"HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\nanswer"}, false, 502, true, ""},
		{"text, reset", "/book/1", []string{head + "answer"}, true, 502, true, ""},
		{"text, empty", "/book/1", []string{head}, false, 200, true, ""},
		{"text, large", "/book/1", []string{head + large}, false, 200, true, large},
		{"text, large, reset", "/book/1", []string{head + large}, true, 200, false, large},
		{"failure, reset", "/book/1", []string{"HTTP/1.1 500 Failed\r\n" + fields + "\r\nansw"}, true, 502, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 1, func(sim *routeSimulation) {
				service := "calls"
				if !strings.HasPrefix(c.path, "/book") {
					service = "model"
				}
				u := &textUpstream{texts: c.texts, reset: c.reset}
				sim.startRawUpstream(service+"-raw", service, u.serve)
				if strings.HasPrefix(c.path, "/talk") {
					sim.startRawUpstream(service+"-spare", service, u.serve)
				}
				got := sim.send(request{path: c.path, id: "u1"})
				if got.status != c.status || got.complete != c.complete || (c.status == 200 && got.body != c.body) {
					t.Errorf("got %d, complete %t, %.200q, expected %d, %t, %.200q", got.status, got.complete, got.body, c.status, c.complete, c.body)
				}
			})
		})
	}
}

// TestCutHeads guards against an answer whose head was cut anywhere and that looks whole.
func TestCutHeads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Knapweedwell-Response-Signature: s\r\nX-Knapweedwell-Request-Id: %s\r\nContent-Length: 10\r\n\r\n"
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		u := &textUpstream{}
		sim.startRawUpstream("calls-raw", "calls", u.serve)
		sim.startRawUpstream("model-raw", "model", u.serve)
		for cut := range len(head) {
			for _, u.reset = range []bool{false, true} {
				u.texts = []string{head[:cut]}
				for _, path := range []string{"/book/1", "/once/1"} {
					got := sim.send(request{path: path, id: "u1"})
					if got.status != 502 || !got.complete {
						t.Errorf("%s, head cut after %q, reset %t: got %d, complete %t, %q, expected 502", path, head[:cut], u.reset, got.status, got.complete, got.body)
					}
				}
			}
		}
	})
}
