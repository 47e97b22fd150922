package world

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedwell/revision"
	"knapweedwell/standin/platform"
)

// TestTicketsHandedOver checks that a planned stop passes the ticket table on:
// a used ticket gives the recorded answer and an unused one still runs.
func TestTicketsHandedOver(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		w.platform.Set(platform.Faults{Outage: true})
		used, unused := w.ticket(w.slots[0]), w.ticket(w.slots[0])
		if end := w.bookOnce(w.slots[0], "A", used, `{"Booking":1}`); end != "ok" {
			t.Fatalf("the first booking ended as %s", end)
		}
		w.stop(w.slots[0])
		for _, s := range w.slots[1:] {
			if end := w.bookOnce(s, "A", used, `{"Booking":1}`); end != "ok" {
				t.Errorf("the used ticket ended as %s at %s", end, s.name)
			}
			if end := w.bookOnce(s, "A", unused, `{"Booking":2}`); end != "ok" {
				t.Errorf("the unused ticket ended as %s at %s", end, s.name)
			}
		}
		w.checkRuns()
	})
}

// TestTicketsOutliveRollingRestart restarts every instance, so that tickets are
// handed over several times, also to instances that started later.
func TestTicketsOutliveRollingRestart(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		used, unused := w.ticket(w.slots[0]), w.ticket(w.slots[0])
		if end := w.bookOnce(w.slots[0], "A", used, `{"Booking":1}`); end != "ok" {
			t.Fatalf("the first booking ended as %s", end)
		}
		for _, s := range w.slots {
			w.stop(s)
			w.start(s)
			time.Sleep(10 * time.Second)
		}
		for _, s := range w.slots {
			if end := w.bookOnce(s, "A", used, `{"Booking":1}`); end != "ok" {
				t.Errorf("the used ticket ended as %s at %s", end, s.name)
			}
			if end := w.bookOnce(s, "A", unused, `{"Booking":2}`); end != "ok" {
				t.Errorf("the unused ticket ended as %s at %s", end, s.name)
			}
		}
		w.checkRuns()
	})
}

// TestRollingRestart restarts all instances under load: no request is cut and
// no configuration reverted.
func TestRollingRestart(t *testing.T) {
	inWorld(t, options{instances: 4, engines: 6, services: 2, queueLimit: 100, batch: 8}, func(w *world) {
		w.begin()
		var wait sync.WaitGroup
		wait.Add(1)
		go func() {
			defer wait.Done()
			for _, s := range w.slots {
				r, err := w.apply(w.pickLive(), -1, w.text+"# "+s.name+"\n[Class Extra]\nTier = Low\nFirstToken = 9s\nQueueTimeout = "+fmt.Sprint(len(s.name)+int(s.host[len(s.host)-1]))+"s\n", s.name)
				if err != nil || r.Outcome != revision.Applied {
					t.Errorf("apply: %v %v", r, err)
					return
				}
				w.eventually(6*time.Second, "the change is in force everywhere", func() bool { return w.inForce(r.Revision) })
				w.stop(s)
				w.start(s)
				w.eventually(6*time.Second, "the restarted instance has the configuration", func() bool { return w.inForce(r.Revision) })
			}
		}()
		w.demand(10, 100*time.Second)
		wait.Wait()
		w.checkRuns()
		for end, n := range w.ends {
			if !strings.HasSuffix(end, "ok") {
				t.Errorf("%d requests ended as %s\n%s", n, end, strings.Join(w.trace, "\n"))
			}
		}
	})
}

// TestStopWaitsForAnswers stops an instance that has answers under way which
// take longer than the lifetime of an address answer.
func TestStopWaitsForAnswers(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		var wait sync.WaitGroup
		for n := range 6 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if end := w.chat(w.slots[0], "A", "Rider", n, 1500, n%2 == 0); end != "ok" {
					t.Errorf("request %d ended as %s", n, end)
				}
			}()
		}
		time.Sleep(time.Second)
		w.stop(w.slots[0])
		wait.Wait()
	})
}
