package main

import (
	"fmt"
	"time"
)

func init() {
	cases["cut-watches"] = playCutWatches
}

const (
	callPeriod = 25 * time.Millisecond // time between two calls of all clients
	callLimit  = 2 * time.Second       // deadline of a call
)

// playCutWatches removes the entry of a runner, which serves on for a while, between two
// moments at which the store cuts off the waiting watches. Requests that are sent later than
// drainTimeout after the removal must not reach the runner.
func playCutWatches(w *world) ([]string, error) {
	w.writeConfiguration()
	var runners []*runner
	for _, id := range []string{"i-aa01", "i-bb02", "i-cc03"} {
		r, err := w.startRunner(id, "bookings", 6)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	if err := w.startInstances(3); err != nil {
		return nil, err
	}
	c := w.newClients()
	stop := make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- c.sendSteadily(stop, callPeriod) }()
	time.Sleep(contactTime + 1400*time.Millisecond)
	cut := func() {
		if w.trouble {
			w.note("the store cuts off the waiting watches")
			w.store.cutWatches()
		}
	}
	cut()
	time.Sleep(300 * time.Millisecond)
	leaving := runners[0]
	w.store.Delete("servers", leaving.id)
	removed := time.Now()
	w.note("the entry of %s is removed; it serves on", leaving.id)
	time.Sleep(1500 * time.Millisecond)
	cut()
	time.Sleep(time.Until(removed.Add(2 * contactTime)))
	close(stop)
	all := <-calls
	c.wait()
	return lateAt(leaving, all, removed.Add(drainTimeout)), nil
}

// sendSteadily sends calls of two kinds, one in each period, until stop is closed, and
// returns them.
func (c *clients) sendSteadily(stop <-chan struct{}, period time.Duration) []*call {
	var all []*call
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return all
		case <-ticker.C:
		}
		a := &call{method: "GET", path: "/status/1", deadline: callLimit}
		if len(all)%2 == 0 {
			a = &call{method: "POST", path: "/book/1", body: []byte(`{"slot":1}`), deadline: callLimit}
		}
		all = append(all, c.start("", a))
	}
}

// lateAt returns the requests that clients sent after the time and that reached the runner.
func lateAt(r *runner, all []*call, after time.Time) []string {
	sent := map[string]*call{}
	for _, a := range all {
		sent[a.id] = a
	}
	var late []string
	for _, x := range r.seen() {
		if a := sent[x.id]; a != nil && a.sentAt.After(after) {
			late = append(late, fmt.Sprintf("DRAIN: %s %s, sent %s after the bound, reached %s by way of %s", a.id, a.path, a.sentAt.Sub(after).Round(time.Millisecond), r.id, a.to))
		}
	}
	return late
}
