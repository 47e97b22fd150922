package world

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestTopBurst sends a burst of the top tier while everything runs the lowest:
// all of the burst is on time, and the lowest tier is served afterwards.
func TestTopBurst(t *testing.T) {
	inWorld(t, options{instances: 3, engines: 3, services: 1, queueLimit: 100, batch: 4}, func(w *world) {
		w.begin()
		var wait sync.WaitGroup
		for n := range 12 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if end := w.chat(w.slots[n%3], "A", "Bulk", n, 400, false); end != "ok" {
					t.Errorf("bulk request %d ended as %s", n, end)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		for n := range 8 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				begin := time.Now()
				if end := w.chat(w.slots[n%3], "B", "Rider", 100+n, 5, true); end != "ok" {
					t.Errorf("urgent request %d ended as %s", n, end)
				}
				const target = 1400*time.Millisecond + 5*62*time.Millisecond
				if took := time.Since(begin); took > target {
					t.Errorf("urgent request %d took %s; its targets allow %s", n, took, target)
				}
			}()
		}
		wait.Wait()
	})
}

// TestOwnerIsolated cuts off the owner of a shard while it holds a queue. Its
// askers move to the next owner; when it comes back nothing is doubled.
func TestOwnerIsolated(t *testing.T) {
	inWorld(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, batch: 2}, func(w *world) {
		w.begin()
		owner, _ := w.slots[0].instance().Owners.Owner("m/North/0")
		var o *slot
		var others []*slot
		for _, s := range w.slots {
			if s.name == owner.Name {
				o = s
				continue
			}
			others = append(others, s)
		}
		var wait sync.WaitGroup
		for n := range 20 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if end := w.chat(others[n%2], "A", "Desk", n, 30, n%2 == 0); end != "ok" {
					t.Errorf("request %d ended as %s", n, end)
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		for _, s := range others {
			w.net.set(o.host, s.host, true)
			w.net.set(s.host, o.host, true)
		}
		begin := time.Now()
		wait.Wait()
		if took := time.Since(begin); took > 25*time.Second {
			t.Errorf("without their owner the requests took %s", took)
		}
		w.net.heal()
		time.Sleep(10 * time.Second)
		if runs := w.engines["engine-1"].Stats().Runs; runs > 20+4 {
			t.Errorf("the engine ran %d streams for 20 requests", runs)
		}
	})
}

// TestSpill fills the upstreams of one region: further requests are served at
// once by those of another instead of waiting.
func TestSpill(t *testing.T) {
	inWorld(t, options{instances: 6, engines: 3, services: 1, queueLimit: 100, batch: 2}, func(w *world) {
		w.begin()
		var wait sync.WaitGroup
		begin := time.Now()
		for n := range 6 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if end := w.chat(w.slots[n%3], "A", "Desk", n, 200, true); end != "ok" {
					t.Errorf("request %d ended as %s", n, end)
				}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		wait.Wait()
		took := time.Since(begin)
		t.Logf("six requests for six places took %s", took)
		const alone = 200 * 24 * time.Millisecond
		if took > alone+time.Second {
			t.Errorf("six requests for six places took %s; one alone takes %s", took, alone)
		}
	})
}

// TestExplain checks that what happened to a request can be asked at any
// instance.
func TestExplain(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		a, err := w.send(w.ctx, w.slots[1].caller(), "POST", "/v1/chat/completions",
			`{"model":"m","messages":[{"role":"user","content":"tokens=3"}]}`, headers("A", "Rider", ""))
		if err != nil {
			t.Fatal(err)
		}
		found, err := w.operate(w.slots[2]).Explain(w.ctx, a.header.Get("Knapweedwell-Request-Id"))
		if err != nil || len(found) != 1 || found[0].Instance != "entry-2" {
			t.Errorf("explain: %v %v", found, err)
		}
		text, _ := json.Marshal(found)
		for _, part := range []string{"arrived", "granted", "ended: ok"} {
			if !strings.Contains(string(text), part) {
				t.Errorf("the explanation lacks %q: %s", part, text)
			}
		}
	})
}
