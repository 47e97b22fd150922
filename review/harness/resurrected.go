package main

import (
	"net/http"
	"sync"
	"time"

	"knapweedwell/standin/runner"
)

const (
	drainTimeout   = 2500 * time.Millisecond // drain_timeout_ms of the sheet
	shortCut       = 3500 * time.Millisecond // within for_s of core_cut in the site file
	follower       = "front-ksm-a-1"         // the instance that is cut off from the store
	leavingRunner  = "calls-2"
	statusRequests = "/cufi504/2f"
	callPeriod     = time.Second           // between two bursts of requests to an instance
	callBurst      = 4                     // requests at a time, so that they are spread over the runners
	callWork       = 60 * time.Millisecond // work of the sheet's calls
)

// runResurrected cuts one instance off from the store. Meanwhile a runner changes its entry, and
// then leaves without reporting that it drains. Callers go on.
func runResurrected(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{"name": "calls", "health_path": "/health", "max_connections": 100}}
	for _, id := range []string{"calls-1", leavingRunner, "calls-3"} {
		if err := w.addRunner("calls", id); err != nil {
			return false, err
		}
		w.runners[id].SetFaults(runner.Faults{Delay: callWork})
	}
	w.configure([]map[string]any{routeOf("/cufi504/", "safe", "calls", callTimeout)}, services, []string{oldKey})
	if err := w.startFleet(); err != nil {
		return false, err
	}
	stop, stopped := w.sendAll(statusRequests)
	time.Sleep(contactTime + time.Second)
	if trouble {
		w.instance(follower).cutFromStore(true)
		w.logf("store: silent to %s", follower)
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	w.entries[leavingRunner]["cold_remaining_ms"] = 0
	w.store.Put("servers", leavingRunner, w.entries[leavingRunner])
	w.logf("store: %s has changed its entry", leavingRunner)
	time.Sleep(400 * time.Millisecond)
	w.runners[leavingRunner].SetFaults(runner.Faults{Delay: callWork, Leaving: true}) // it says so in its answers
	w.store.Delete("servers", leavingRunner)
	removed := time.Now()
	w.logf("store: the entry of %s is removed", leavingRunner)
	time.Sleep(shortCut - time.Since(cutAt))
	w.instance(follower).cutFromStore(false)
	w.logf("store: answers %s again", follower)
	time.Sleep(4 * time.Second)
	close(stop)
	<-stopped
	return w.judgeResurrected(removed), nil
}

// sendAll sends requests to all instances but the one that is cut off until the first channel is
// closed. The second one is closed once the callers have ended.
func (w *world) sendAll(path string) (stop, stopped chan struct{}) {
	stop, stopped = make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	for _, i := range w.instances {
		if i.name == follower {
			continue
		}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(callPeriod):
				}
				for range callBurst {
					wg.Go(func() {
						a := send(i, http.MethodGet, path, oldKey, callTimeout, nil)
						w.mu.Lock()
						w.sent = append(w.sent, sent{answer: a, to: i.name})
						w.mu.Unlock()
					})
				}
			}
		})
	}
	go func() {
		wg.Wait()
		close(stopped)
	}()
	return stop, stopped
}

// judgeResurrected reports whether a request reached the runner later than the bound after its
// entry was removed, from an instance that was not cut off.
func (w *world) judgeResurrected(removed time.Time) bool {
	to := map[string]sent{}
	for _, s := range w.sent {
		to[s.id] = s
	}
	late := map[string]bool{}
	for _, id := range w.runners[leavingRunner].ReceivedAfter(removed.Add(drainTimeout)) {
		late[id] = true
	}
	broken := 0
	for _, s := range w.sent {
		if after := s.sentAt.Sub(removed); after > -time.Second {
			w.logf("caller: %s sent to %s %d ms after the removal, answered %d; reached %s too late: %t", s.id, s.to, after.Milliseconds(), s.status, leavingRunner, late[s.id])
		}
		if late[s.id] {
			broken++
		}
	}
	w.logf("%d requests reached %s more than %v after its entry was removed, from instances that were not cut off", broken, leavingRunner, drainTimeout)
	return broken > 0
}
