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

	manyParts       = 66
	firstBefore     = 0x7000000 // ID of the first part between
	deadlyInstances = 3
	deadlyLength    = 60 * time.Second
	soundAlone      = 5 * time.Second       // before the first request with the deadly part
	deadlyPeriod    = time.Second           // between two requests with the deadly part
	soundPeriod     = 50 * time.Millisecond // between two sound requests
	deadlyWork      = 20 * time.Millisecond
	runnerDown      = 3 * time.Second // of a runner that has crashed
	contactTime     = 4 * time.Second // contact_ms of the sites
	judgedCrash     = 5               // crash from which the rule counts
	mostLate        = 3               // requests with the deadly part that may reach runners later
	recoveryTime    = 2 * contactTime // from the judged crash on, sound requests are to be served again
	leastSound      = 20              // sound requests that are judged at least
	leastShare      = 0.5             // of the share that begins outside the trouble
	requestTime     = 8 * time.Second
)

// deadly is a case in which one part of a prompt crashes each runner that begins to answer it.
type deadly struct {
	runners int
	part    string // the deadly one
	shared  string // that deadly and sound requests share
	before  int    // parts between the two in a deadly request, which no other one has

	mu      sync.Mutex
	crashes []time.Time
	late    int
	begun   map[string]bool // sound requests that a runner has begun
}

// prompt is one request that was sent.
type prompt struct {
	id string
	at time.Time
}

// playLong uses parts with IDs of 128 bits.
func playLong(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 3, part: longPart, shared: soundLong}, trouble)
}

// playShort is playLong with IDs of 32 bits, to compare.
func playShort(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 3, part: shortPart, shared: soundShort}, trouble)
}

// playMany is playShort with more than 64 parts before the deadly one.
func playMany(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 3, part: shortPart, shared: soundShort, before: manyParts}, trouble)
}

// playLone is playShort with one runner.
func playLone(w *world, trouble bool) (bool, error) {
	return w.playDeadly(&deadly{runners: 1, part: shortPart, shared: soundShort}, trouble)
}

// playDeadly is broken if sound requests begin less than half as often as before once the trouble
// has lasted for a while, or if more than mostLate requests with the deadly part reach runners later
// than contactTime after the fifth crash.
func (w *world) playDeadly(d *deadly, trouble bool) (bool, error) {
	d.begun = map[string]bool{}
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
	sound := make(chan []prompt, 1)
	go func() { sound <- w.sendPrompts(ctx, 1, soundPeriod, d.soundParts) }()
	time.Sleep(soundAlone)
	began := time.Now()
	if trouble {
		w.sendPrompts(ctx, 2, deadlyPeriod, d.deadlyParts)
	}
	return d.check(w, began, <-sound), nil
}

// soundParts returns the parts of a sound request but the last.
func (d *deadly) soundParts(int) string {
	return d.shared + ":800"
}

// deadlyParts returns the parts of the n-th deadly request but the last.
func (d *deadly) deadlyParts(n int) string {
	parts := []string{d.soundParts(n)}
	for k := range d.before {
		parts = append(parts, fmt.Sprintf("%x:3", firstBefore+n*d.before+k))
	}
	return strings.Join(append(parts, d.part+":400"), ",")
}

// check reports whether the rules on requests with the deadly part and on sound ones held.
func (d *deadly) check(w *world, began time.Time, sound []prompt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.record.add("%d crashes; %d requests with the deadly part reached runners over %s after crash %d", len(d.crashes), d.late, contactTime, judgedCrash)
	if len(d.crashes) == 0 {
		return true
	}
	// The last crash counts if there are fewer.
	from := d.crashes[min(judgedCrash, len(d.crashes))-1].Add(recoveryTime)
	before, after := share{}, share{}
	for _, p := range sound {
		switch {
		case p.at.Before(began.Add(-time.Second)):
			before.add(d.begun[p.id])
		case p.at.After(from):
			after.add(d.begun[p.id])
		}
	}
	w.record.add("sound requests that began: %d of %d before the trouble, %d of %d from %s after that crash on", before.begun, before.all, after.begun, after.all, recoveryTime)
	starved := before.all >= leastSound && after.all >= leastSound && after.value() < leastShare*before.value()
	return d.late <= mostLate && !starved
}

// share counts requests and those of them that began.
type share struct {
	begun, all int
}

func (s *share) add(begun bool) {
	s.all++
	if begun {
		s.begun++
	}
}

func (s *share) value() float64 {
	return float64(s.begun) / float64(s.all)
}

// survives reports whether the runner survives a request. If not, it is back after a while.
func (d *deadly) survives(w *world, u *upstream, r *http.Request) bool {
	id := r.Header.Get(idHeader)
	if !strings.Contains(r.Header.Get(partsHeader), d.part) {
		w.record.add("request %s runs at %s", id, u.id)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.begun[id] = true
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

// sendPrompts sends prompts to each instance in turn until the context ends, and returns them once
// all have ended. Their last parts differ.
func (w *world) sendPrompts(ctx context.Context, worker int, period time.Duration, parts func(n int) string) []prompt {
	c := newClient()
	ends := map[int]int{}
	var sent []prompt
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := newID(worker, n)
		sent = append(sent, prompt{id: id, at: time.Now()})
		wg.Add(1)
		go func() {
			defer wg.Done()
			headers := map[string]string{
				modelHeader: "m", tokensHeader: "1500,20", deadlineHeader: "8000", partsHeader: fmt.Sprintf("%s,%x:250", parts(n), 0x100000*worker+n),
			}
			request, cancel := context.WithTimeout(context.Background(), requestTime)
			defer cancel()
			i := w.instances[n%len(w.instances)]
			o := c.send(request, i.address(frontPort), modelPath+"ask", id, headers, []byte("prompt "+id))
			w.record.add("request %s sent to %s: %d", id, i.name, o.status)
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
	w.record.add("requests with %.80s by status, 0 for none: %v", parts(0), ends)
	return sent
}
