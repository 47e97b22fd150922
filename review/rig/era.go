package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"knapweedwell/standin/platform"
)

const (
	eraHeader = "Store-Era"

	eraInstances = 6
	eraRunners   = 9
	eraCallRate  = 120 // calls a second
	eraWork      = 20 * time.Millisecond

	newRunnerAt  = 10 * time.Second
	drillAt      = 12 * time.Second
	drillAway    = 500 * time.Millisecond
	drillAge     = 9 * time.Second        // of the copy
	writtenAgain = 300 * time.Millisecond // until the owners write again
	stableTime   = 5 * time.Second        // from the store's return to the next change, over contact_ms
	drainTimeout = 2500 * time.Millisecond
	entryRemoved = 4 * time.Second  // after the runner has said that it leaves
	runnerEnds   = 14 * time.Second // after the runner has said that it leaves
	replacePause = 700 * time.Millisecond
	lastStretch  = 6 * time.Second // in which the answers of each instance are counted
)

// eraFromZero makes a store name its eras from zero on.
func eraFromZero(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w}, r)
	})
}

// eraWriter lowers the era in an answer of the project's stand-in, which begins with one.
type eraWriter struct {
	http.ResponseWriter
	once sync.Once
}

func (w *eraWriter) lower() {
	w.once.Do(func() {
		if n, err := strconv.Atoi(w.Header().Get(eraHeader)); err == nil {
			w.Header().Set(eraHeader, strconv.Itoa(n-1))
		}
	})
}

// WriteHeader writes the status.
func (w *eraWriter) WriteHeader(status int) {
	w.lower()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *eraWriter) Write(p []byte) (int, error) {
	w.lower()
	return w.ResponseWriter.Write(p)
}

// playEra lets the store come back from a copy in a drill. Later a runner leaves, and then all
// others are replaced. It is broken if a call reaches the first one later than the drain timeout
// after the store has acknowledged that it is draining.
func playEra(w *world, trouble bool) (bool, error) {
	var err error
	if w.storeAddress, err = w.serve(eraFromZero(w.store.Handler())); err != nil {
		return false, err
	}
	var old []*upstream
	for n := range eraRunners {
		u, err := w.startCaller(n)
		if err != nil {
			return false, err
		}
		old = append(old, u)
	}
	w.configure()
	if err := w.startInstances(eraInstances); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := make(chan []call, 1)
	go func() { calls <- w.sendCalls(ctx, eraCallRate) }()
	time.Sleep(newRunnerAt)
	extra, err := w.startCaller(eraRunners)
	if err != nil {
		return false, err
	}
	w.record.add("runner %s has started", extra.id)
	time.Sleep(drillAt - newRunnerAt)
	if trouble {
		w.drill()
	}
	time.Sleep(stableTime)
	leaver := old[2]
	acked := w.drain(leaver)
	time.Sleep(runnerEnds)
	leaver.crash()
	w.record.add("runner %s has ended", leaver.id)
	if err := w.replace(append(old, extra), leaver); err != nil {
		return false, err
	}
	time.Sleep(drainTimeout + entryRemoved)
	from := time.Now()
	time.Sleep(lastStretch)
	cancel()
	sent := <-calls
	w.recordCalls(sent, from)
	return w.checkDrain(leaver, acked, sent), nil
}

// startCaller starts a runner of the plain service and registers it.
func (w *world) startCaller(n int) (*upstream, error) {
	u := &upstream{id: fmt.Sprintf("i-%08x", 0xe0+n), service: callService, slots: 6, work: eraWork}
	if err := u.listen(); err != nil {
		return nil, err
	}
	w.register(u)
	return u, nil
}

// drill lets the store be away for a moment and come back from a copy.
func (w *world) drill() {
	w.record.add("the store is away")
	w.store.SetFaults(platform.Faults{Outage: true})
	time.Sleep(drillAway)
	w.store.Restore(drillAge, writtenAgain)
	w.store.SetFaults(platform.Faults{})
	w.record.add("the store is back from a copy that is %s old, its era has risen from 0 to 1", drillAge)
}

// drain makes a runner say in the store that it leaves, and removes its entry later. It returns
// when the store has accepted the first.
func (w *world) drain(u *upstream) time.Time {
	u.setLeaving()
	w.store.Put(serversKind, u.id, u.entry())
	acked := time.Now()
	w.record.add("runner %s is draining, as the store has acknowledged", u.id)
	time.AfterFunc(entryRemoved, func() {
		w.unregister(u)
		w.record.add("the entry of runner %s is removed", u.id)
	})
	return acked
}

// replace replaces all runners but one: the new one starts first, the old one drains and ends.
func (w *world) replace(runners []*upstream, but *upstream) error {
	for n, u := range runners {
		if u == but {
			continue
		}
		if _, err := w.startCaller(0x100 + n); err != nil {
			return err
		}
		w.drain(u)
		time.AfterFunc(entryRemoved+time.Second, u.crash)
		time.Sleep(replacePause)
	}
	return nil
}

// recordCalls records the answers that each instance gave since a time.
func (w *world) recordCalls(sent []call, from time.Time) {
	last := map[string]map[int]int{}
	for _, c := range sent {
		w.record.add("call %s sent at %.3f to %s: %d", c.id, c.at.Sub(w.record.began).Seconds(), c.instance.name, c.status)
		if c.at.Before(from) {
			continue
		}
		if last[c.instance.name] == nil {
			last[c.instance.name] = map[int]int{}
		}
		last[c.instance.name][c.status]++
	}
	for _, i := range w.instances {
		w.record.add("answers of %s in the last %s, all runners were replaced before, by status: %v", i.name, lastStretch, last[i.name])
	}
}

// checkDrain reports whether no call reached a runner later than the drain timeout.
func (w *world) checkDrain(u *upstream, acked time.Time, sent []call) bool {
	instances := map[string]string{}
	for _, c := range sent {
		instances[c.id] = c.instance.name
	}
	late, by := 0, map[string]int{}
	for _, a := range u.taken() {
		if after := a.at.Sub(acked); after > drainTimeout {
			late++
			by[instances[a.id]]++
			w.record.add("call %s reached %s from %s and ran %.1f s after it was draining", a.id, u.id, instances[a.id], after.Seconds())
		}
	}
	w.record.add("%d calls reached %s over %s after it was draining, by instance: %v", late, u.id, drainTimeout, by)
	return late == 0
}
