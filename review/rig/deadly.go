package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	shortPart  = "0000dead"
	longPart   = "9f86d081884c7d659a2feaa0c55ad015" // an ID of 128 bits
	soundShort = "00005a5a"
	soundLong  = "2c26b46b68ffc68ff99b453c1d304134"

	deadlyInstances = 3
	deadlyLength    = 60 * time.Second
	deadlyPeriod    = time.Second           // between two requests with the deadly part
	soundPeriod     = 50 * time.Millisecond // between two sound requests
	deadlyWork      = 20 * time.Millisecond
	runnerDown      = 3 * time.Second // of a runner that has crashed
	contactTime     = 4 * time.Second // contact_ms of the sites
	judgedCrash     = 5               // crash from which the rule counts
	mostLate        = 3               // requests with the deadly part that may reach runners later
	requestTime     = 8 * time.Second
)

// deadly is a case in which one part of a prompt crashes each runner that begins to answer it.
type deadly struct {
	runners int
	part    string // the deadly one
	shared  string // that deadly and sound requests share

	mu      sync.Mutex
	crashes []time.Time
	late    int
}

// playLong uses parts with IDs of 128 bits.
func playLong(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 3, part: longPart, shared: soundLong}, trouble)
}

// playShort is playLong with IDs of 32 bits, to compare.
func playShort(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 3, part: shortPart, shared: soundShort}, trouble)
}

// playLone is playShort with one runner.
func playLone(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 1, part: shortPart, shared: soundShort}, trouble)
}

// playDeadly is broken if more than mostLate requests with the deadly part reach runners later
// than contactTime after the fifth crash.
func (w *world) playDeadly(d *deadly, trouble bool) (bool, error) {
	for n := range d.runners {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0xc0+n), service: modelService, slots: 12, stream: true, work: deadlyWork}
		u.onRun = func(r *http.Request) bool { return d.survives(w, u, r) }
		if err := u.listen(); err != nil {
			return false, err
		}
		w.register(u)
	}
	w.configure()
	if err := w.startInstances(deadlyInstances); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadlyLength)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		w.sendPrompts(ctx, 1, soundPeriod, d.shared+":800")
	}()
	if trouble {
		w.sendPrompts(ctx, 2, deadlyPeriod, d.shared+":800,"+d.part+":400")
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	w.record.add("%d crashes; %d requests with the deadly part reached runners over %s after crash %d", len(d.crashes), d.late, contactTime, judgedCrash)
	return d.late <= mostLate, nil
}

// survives reports whether the runner survives a request. If not, it is back after a while.
func (d *deadly) survives(w *world, u *upstream, r *http.Request) bool {
	id := r.Header.Get(idHeader)
	if !strings.Contains(r.Header.Get(partsHeader), d.part) {
		w.record.add("request %s runs at %s", id, u.id)
		return true
	}
	d.mu.Lock()
	now := time.Now()
	if len(d.crashes) >= judgedCrash && now.Sub(d.crashes[judgedCrash-1]) > contactTime {
		d.late++
	}
	d.crashes = append(d.crashes, now)
	n := len(d.crashes)
	d.mu.Unlock()
	w.record.add("request %s with the deadly part runs at %s, which crashes (crash %d)", id, u.id, n)
	u.crash()
	time.AfterFunc(runnerDown, func() {
		if err := u.listen(); err != nil {
			w.record.add("runner %s cannot start again: %v", u.id, err)
			return
		}
		w.register(u)
	})
	return false
}

// sendPrompts sends prompts to each instance in turn until the context ends. Their last parts
// differ.
func (w *world) sendPrompts(ctx context.Context, worker int, period time.Duration, parts string) {
	c := newClient()
	ends := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID(worker, n)
			headers := map[string]string{
				modelHeader: "m", tokensHeader: "1500,20", deadlineHeader: "8000", partsHeader: fmt.Sprintf("%s,%x:250", parts, 0x100000*worker+n),
			}
			request, cancel := context.WithTimeout(context.Background(), requestTime)
			defer cancel()
			i := w.instances[n%len(w.instances)]
			o := c.send(request, i.address(frontPort), modelPath+"ask", id, headers, []byte("prompt "+id))
			w.record.add("request %s (%s) sent to %s: %d", id, parts, i.name, o.status)
			mu.Lock()
			defer mu.Unlock()
			ends[o.status]++
		}()
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	wg.Wait()
	w.record.add("requests with %s by status, 0 for none: %v", parts, ends)
}
