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
)

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
