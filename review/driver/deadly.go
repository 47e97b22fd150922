package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["deadly"] = playDeadly
}

const (
	deadlyPart     = "dead0001"
	deadlyTime     = 22 * time.Second      // for which requests with the deadly part come
	deadlyEvery    = 20                    // each such request has it
	promptPeriod   = 50 * time.Millisecond // between two requests of all clients
	promptRunners  = 4
	promptEvents   = 3
	entryLifetime  = 3600 * time.Millisecond // three heartbeats, after which the entry of a silent runner is removed
	downTime       = 4500 * time.Millisecond // from a crash until the runner is back
	countedCrash   = 5                       // the rules count from this crash
	minCounted     = 20                      // sound requests that the rule needs
	shareOfBegun   = 0.5
	maxDeadlyAfter = 3
)

// fleet is a service whose runners crash on the deadly part, and go dark as they do.
type fleet struct {
	w       *world
	number  atomic.Int64
	mu      sync.Mutex
	runners []*runner // all incarnations
	crashes []time.Time
}

// add starts a runner with a new ID.
func (f *fleet) add() error {
	l, err := listenShortly()
	if err != nil {
		return err
	}
	r := f.w.serveRunner(l, fmt.Sprintf("i-aa%02d", f.number.Add(1)), "plan-model", 64)
	r.setCrash(l, f.crash)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, r)
	return nil
}

// crash lets a runner go dark with its host. It is back some seconds later, under a new ID and
// at another address.
func (f *fleet) crash(r *runner, id string) {
	if !r.listener.darken() {
		return
	}
	f.w.note("%s crashes on %s and is silent", r.id, id)
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	time.AfterFunc(entryLifetime, func() { f.w.store.Delete("servers", r.id) })
	// The connections to the old incarnation stay silent.
	time.AfterFunc(downTime, func() {
		if err := f.add(); err != nil {
			f.w.note("a runner is not back: %v", err)
		}
	})
}

// all returns all incarnations of the runners, and the times of their crashes.
func (f *fleet) all() ([]*runner, []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*runner(nil), f.runners...), append([]time.Time(nil), f.crashes...)
}

// playDeadly sends streams, of which some have a part that crashes each runner that begins to
// write an answer on it. Once that has been seen often enough, the others must be served at
// least half as often as before.
func playDeadly(w *world) ([]string, error) {
	w.writeConfiguration()
	f := &fleet{w: w}
	for range promptRunners {
		if err := f.add(); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(3); err != nil {
		return nil, err
	}
	c := w.newClients()
	calm := c.sendPrompts(time.Now().Add(2*contactTime), false)
	began := time.Now()
	rest := c.sendPrompts(began.Add(deadlyTime), w.trouble)
	c.wait()
	runners, crashes := f.all()
	w.note("%d crashes", len(crashes))
	fmt.Printf("%d crashes\n", len(crashes))
	if len(crashes) == 0 {
		return nil, nil
	}
	counted := crashes[min(len(crashes), countedCrash)-1]
	return judgeDeadly(w, runners, calm, sentAfter(rest, counted.Add(2*contactTime)), sentAfter(rest, counted.Add(contactTime))), nil
}

// sendPrompts sends streams until the end, some with the deadly part if deadly is set.
func (c *clients) sendPrompts(end time.Time, deadly bool) []*call {
	var all []*call
	for time.Now().Before(end) {
		part := "91bd3f06"
		if deadly && len(all)%deadlyEvery == deadlyEvery-1 {
			part = deadlyPart
		}
		a := &call{
			method: http.MethodPost, path: fmt.Sprintf("/plan/1?events=%d", promptEvents), body: []byte("{}"), deadline: streamDeadline,
			prompt: fmt.Sprintf("5c1e07a2:800,%s:410,%08x:250", part, 0x10000000+len(all)),
		}
		all = append(all, c.start("", a))
		time.Sleep(promptPeriod)
	}
	return all
}

// isDeadly reports whether a call has the deadly part.
func (a *call) isDeadly() bool {
	return strings.Contains(a.prompt, deadlyPart)
}

// sentAfter returns the calls that were sent after a time.
func sentAfter(all []*call, t time.Time) []*call {
	var later []*call
	for _, a := range all {
		if a.sentAt.After(t) {
			later = append(later, a)
		}
	}
	return later
}

// judgeDeadly compares how often sound streams began, and counts the deadly ones that reached
// runners.
func judgeDeadly(w *world, runners []*runner, calm, late, lateDeadly []*call) []string {
	began, deadly := map[string]bool{}, 0
	for _, r := range runners {
		for _, x := range r.seen() {
			began[x.id] = began[x.id] || x.ran
		}
	}
	before, _ := shareBegun(calm, began)
	after, n := shareBegun(late, began)
	for _, a := range lateDeadly {
		if a.isDeadly() && began[a.id] {
			deadly++
		}
	}
	text := fmt.Sprintf("of %d sound streams %.2f began, %.2f before; %d deadly ones reached runners, %d are allowed", n, after, before, deadly, maxDeadlyAfter)
	w.note("%s", text)
	fmt.Println(text)
	fmt.Printf("%d of %d sound streams were not answered whole\n", lost(late), n)
	var broken []string
	if n >= minCounted && after < shareOfBegun*before {
		broken = append(broken, "LOST: "+text)
	}
	if deadly > maxDeadlyAfter {
		broken = append(broken, "BUDGET: "+text)
	}
	return broken
}

// lost returns the number of sound calls that were not answered whole.
func lost(all []*call) int {
	n := 0
	for _, a := range all {
		if !a.isDeadly() && (a.status != http.StatusOK || !a.complete) {
			n++
		}
	}
	return n
}

// shareBegun returns the share of the sound calls that a runner began to run, and their
// number.
func shareBegun(all []*call, began map[string]bool) (float64, int) {
	n, ran := 0, 0
	for _, a := range all {
		if a.isDeadly() {
			continue
		}
		n++
		if began[a.id] {
			ran++
		}
	}
	return float64(ran) / float64(max(n, 1)), n
}
