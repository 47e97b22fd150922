package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["twice"] = playTwice
}

const (
	replyDeadline   = 15 * time.Second // that of the route
	preemptedTime   = 1500 * time.Millisecond
	workMargin      = 400 * time.Millisecond
	replies         = 3
	replyPeriod     = 7 * time.Second
	timeOfPreempted = 1300 * time.Millisecond // from the beginning of a stream
)

// playTwice opens one stream after the other. The runner that serves it preempts it once for
// preemptedTime and then goes on. Both runners are among those that do not drop a run when its
// connection closes. No stream may go on at the other runner while the first one works on it.
func playTwice(w *world) ([]string, error) {
	w.writeConfiguration()
	var runners []*runner
	for _, id := range []string{"i-aa01", "i-bb02"} {
		r, err := w.startRunner(id, "plan-model", 64)
		if err != nil {
			return nil, err
		}
		r.keepsRuns = true
		runners = append(runners, r)
	}
	if err := w.startInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	c := w.newClients()
	var all []*call
	for range replies {
		began := time.Now()
		a := &call{method: http.MethodPost, path: fmt.Sprintf("/reply/1?events=%d", streamEvents), body: []byte("{}"), deadline: replyDeadline}
		all = append(all, c.start("", a))
		time.Sleep(timeOfPreempted)
		for _, r := range runners {
			if w.trouble && len(r.worksOn(a.id)) > 0 {
				r.hold(preemptedTime)
			}
		}
		time.Sleep(time.Until(began.Add(replyPeriod)))
	}
	c.wait()
	time.Sleep(contactTime)
	var twice []string
	for _, a := range all {
		twice = append(twice, overlaps(runners, a)...)
	}
	return twice, nil
}

// overlaps returns the runs of a call that began at a runner while another one worked on it
// and still did so workMargin later.
func overlaps(runners []*runner, a *call) []string {
	var found []string
	for _, first := range runners {
		for _, before := range first.worksOn(a.id) {
			for _, second := range runners {
				for _, after := range second.worksOn(a.id) {
					if second != first && after.began.After(before.began) && before.last.After(after.began.Add(workMargin)) {
						found = append(found, fmt.Sprintf("TWICE: %s went on at %s, and %s worked on it until %s later", a.id, second.id, first.id, before.last.Sub(after.began).Round(time.Millisecond)))
					}
				}
			}
		}
	}
	return found
}
