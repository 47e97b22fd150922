package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	garbledInstances = 3
	garbledRunners   = 6
	garbledWork      = 10 * time.Millisecond
	garbledRate      = 100 // calls a second
	garbledLength    = 30 * time.Second
	garbledEach      = 50 // one answer of so many of the faulty runner is garbled
)

// playGarbled lets one of the runners answer some calls by HTTP/1.0 in chunks, which that version
// does not have. It is broken if a client gets a success whose body is not the runner's.
func playGarbled(w *world, trouble bool) (bool, error) {
	var answers, garbled atomic.Int64
	for n := range garbledRunners {
		u, err := w.startCaller(n)
		if err != nil {
			return false, err
		}
		if n > 0 || !trouble {
			continue
		}
		u.mu.Lock()
		u.onAnswer = func(rw http.ResponseWriter, id string) bool {
			if answers.Add(1)%garbledEach != 0 {
				return true
			}
			garbled.Add(1)
			w.record.add("runner %s answers call %s by HTTP/1.0 in chunks", u.id, id)
			writeOldChunks(rw, u.id, id)
			return false
		}
		u.mu.Unlock()
	}
	w.configure()
	if err := w.startInstances(garbledInstances); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), garbledLength)
	defer cancel()
	wrong, ends := 0, map[int]int{}
	for _, c := range w.sendCalls(ctx, garbledRate) {
		ends[c.status]++
		w.record.add("call %s sent to %s: %d", c.id, c.instance.name, c.status)
		if c.status == http.StatusOK && c.body != answerText(c.id) {
			wrong++
			w.record.add("the client of call %s got 200, signed: %t, with the body %q in place of %q", c.id, c.signed, c.body, answerText(c.id))
		}
	}
	w.record.add("calls by status, 0 for none: %v; %d answers garbled, %d clients got a success with another body", ends, garbled.Load(), wrong)
	return wrong == 0, nil
}

// answerText is the body of a runner's answer to a call.
func answerText(id string) string {
	return "ok " + id
}

// writeOldChunks writes an answer by HTTP/1.0 whose body is in chunks, and closes the connection.
func writeOldChunks(rw http.ResponseWriter, upstream, id string) {
	hijacker, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	body := answerText(id)
	_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+idHeader+": "+id+"\r\n"+signatureHeader+": sig."+upstream+"\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
}
