package main

import (
	"sync"
	"time"
)

const (
	configDeadline = 2500 * time.Millisecond // config_deadline_ms of the sheet
	contactTime    = 4 * time.Second         // contact_ms of the sheet
	cutTime        = 5500 * time.Millisecond // for_s of core_cut in the site file
	oldKey         = "n2ctnfzs989anu6wsjnb"
	newKey         = "anfqasnmgkcuyj8pjbvk"
	callTimeout    = 2 * time.Second
)

// cutOff are the instances that the store is silent to: those that follow it, and the two that
// take over from them.
var cutOff = []string{"front-nbo-a-2", "front-ksm-a-1", "front-nbo-a-1", "front-nbo-a-3"}

// sent is a request with the instance that it was sent to.
type sent struct {
	answer
	to string
}

// runStale moves a route to another service and takes a key away while the store is silent to
// some instances, and looks at what the others do with requests that are sent later than the
// deadline.
func runStale(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{"name": "old", "health_path": "/health", "max_connections": 100}, {"name": "new", "health_path": "/health", "max_connections": 100}}
	for _, service := range []string{"old", "new"} {
		for _, id := range []string{"-1", "-2", "-3"} {
			if err := w.addRunner(service, service+id); err != nil {
				return false, err
			}
		}
	}
	route := func(service string) []map[string]any {
		return []map[string]any{routeOf("/puxa403/", "unsafe", service, callTimeout)}
	}
	w.configure(route("old"), services, []string{oldKey, newKey})
	if err := w.startFleet(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	if trouble {
		for _, name := range cutOff {
			w.instance(name).cutFromStore(true)
			w.logf("store: silent to %s", name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	w.configure(route("new"), services, []string{newKey})
	acknowledged := time.Now()
	requests := sendDuring(w, cutTime-100*time.Millisecond)
	for _, name := range cutOff {
		w.instance(name).cutFromStore(false)
	}
	return judgeStale(w, acknowledged, requests), nil
}

// sendDuring sends booking requests with both keys to the instances that reach the store, for
// the given time.
func sendDuring(w *world, length time.Duration) []sent {
	var mu sync.Mutex
	var requests []sent
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for _, i := range w.instances {
		if isCutOff(i.name) {
			continue
		}
		for _, key := range []string{oldKey, newKey} {
			wg.Go(func() {
				for time.Now().Before(end) {
					a := send(i, "POST", "/puxa403/2f", key, callTimeout, []byte("book"))
					mu.Lock()
					requests = append(requests, sent{answer: a, to: i.name})
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return requests
}

func isCutOff(name string) bool {
	for _, n := range cutOff {
		if n == name {
			return true
		}
	}
	return false
}

// judgeStale reports whether requests that were sent later than the deadline ran at the service
// that the route no longer leads to.
func judgeStale(w *world, acknowledged time.Time, requests []sent) bool {
	runs := map[string]string{} // IDs of upstreams by request
	for id, r := range w.runners {
		for request := range r.Runs() {
			runs[request] = id
		}
	}
	late := 0
	for _, r := range requests {
		after := r.sentAt.Sub(acknowledged)
		at := runs[r.id]
		w.logf("caller: %s sent to %s %d ms after the acknowledgement, answered %d, run by %q", r.id, r.to, after.Milliseconds(), r.status, at)
		if after > configDeadline && len(at) > 3 && at[:3] == "old" {
			late++
		}
	}
	w.logf("%d of %d requests were sent more than %v after the acknowledgement and run by the old service", late, len(requests), configDeadline)
	return late > 0
}
