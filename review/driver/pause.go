package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["pause"] = playPause
}

const (
	streamEvents   = 24               // events of each stream
	streamDeadline = 12 * time.Second // that of the route
	pauseLength    = 3600 * time.Millisecond
	fullTime       = 5 * time.Second // for which the other runner is full, from the beginning of the pause
	streams        = 4
)

// playPause opens streams at one instance, which is then asked to stop. One runner of the
// service has room and serves them; it makes no event for a while, as when it reads a long
// prompt. The other runner is full. All streams must be answered completely: no runner
// breaks one off, and each has time left.
func playPause(w *world) ([]string, error) {
	w.writeConfiguration()
	free, err := w.startRunner("i-aa01", "plan-model", 64)
	if err != nil {
		return nil, err
	}
	full, err := w.startRunner("i-bb02", "plan-model", 64)
	if err != nil {
		return nil, err
	}
	if err := w.startInstances(3); err != nil {
		return nil, err
	}
	full.setFull(true)
	time.Sleep(contactTime + time.Second)
	c := w.newClients()
	stopping := w.instances[0]
	var all []*call
	for range streams {
		time.Sleep(eventPeriod / 3)
		a := &call{method: http.MethodPost, path: fmt.Sprintf("/plan/1?events=%d", streamEvents), body: []byte("{}"), deadline: streamDeadline}
		all = append(all, c.start(stopping.address(frontPort), a))
	}
	time.Sleep(time.Second)
	w.signal(stopping, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		free.hold(pauseLength)
	}
	time.AfterFunc(fullTime, func() {
		w.note("%s has room again", full.id)
		full.setFull(false)
	})
	c.wait()
	var lost []string
	for _, a := range all {
		if a.status != http.StatusOK {
			return nil, fmt.Errorf("%s was not served: status %d, %v", a.id, a.status, a.err)
		}
		if !a.complete && !a.left {
			lost = append(lost, fmt.Sprintf("LOST: stream %s was cut %s after it was sent, with %s left: %v", a.id, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), (a.deadline-a.endedAt.Sub(a.sentAt)).Round(time.Millisecond), a.err))
		}
	}
	return lost, nil
}
