package main

import (
	"fmt"
	"time"
)

func init() {
	cases["restored"] = playRestored
}

const (
	callRunners   = 9 // of the service whose runners are replaced
	planRunners   = 3
	replaced      = 4 // of them, a share of 0.45
	replacePeriod = time.Second
	busyPeriod    = 10 * time.Millisecond  // between two calls of all clients
	exitMargin    = 100 * time.Millisecond // from the end of drainTimeout to the exit of a runner
	copyAge       = 8 * time.Second
	writeDelay    = 2 * time.Second // after which the runners write their entries again
)

// playRestored replaces the runners of a service, one after the other. All but the last report
// that they drain, and exit. The last one never does: its entry is removed, and it serves on
// for a while. Then the store comes back from a copy that still lists the old runners. Requests
// that are sent later than drainTimeout after the removal must not reach the last one.
func playRestored(w *world) ([]string, error) {
	w.writeConfiguration()
	var old []*runner
	for k := range callRunners {
		r, err := w.startRunner(fmt.Sprintf("i-aa%02d", k+1), "bookings", 6)
		if err != nil {
			return nil, err
		}
		old = append(old, r)
	}
	for k := range planRunners {
		if _, err := w.startRunner(fmt.Sprintf("i-bb%02d", k+1), "plan-model", 64); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(3); err != nil {
		return nil, err
	}
	c := w.newClients()
	stop := make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- c.sendSteadily(stop, busyPeriod) }()
	time.Sleep(contactTime + time.Second)
	last := old[replaced-1]
	for k, r := range old[:replaced] {
		if _, err := w.startRunner(fmt.Sprintf("i-cc%02d", k+1), "bookings", 6); err != nil {
			return nil, err
		}
		if r == last {
			break
		}
		w.drain(r)
		time.Sleep(replacePeriod)
	}
	w.store.Delete("servers", last.id)
	removed := time.Now()
	w.note("the entry of %s is removed; it serves on", last.id)
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.note("the store comes back from a copy of %s before", copyAge)
		w.store.Restore(copyAge, writeDelay)
	}
	time.Sleep(time.Until(removed.Add(2 * contactTime)))
	close(stop)
	all := <-calls
	c.wait()
	return lateAt(last, all, removed.Add(drainTimeout)), nil
}

// drain lets a runner report that it drains. It exits after drainTimeout and a little longer.
func (w *world) drain(r *runner) {
	w.note("%s drains", r.id)
	w.store.Put("servers", r.id, r.entry("draining"))
	time.AfterFunc(drainTimeout+exitMargin, func() {
		_ = r.server.Close()
		w.store.Delete("servers", r.id)
		w.note("%s has left", r.id)
	})
}
