package world

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"knapweedwell/revision"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/service"
)

// usual is a small fleet.
var usual = options{instances: 3, engines: 3, services: 2, queueLimit: 20, batch: 4}

// inWorld runs a case on a virtual clock.
func inWorld(t *testing.T, o options, f func(w *world)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, o)
		defer w.close()
		f(w)
	})
}

// TestSeedStartsLater checks that an instance joins a seed that starts after
// it.
func TestSeedStartsLater(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.start(w.slots[2])
		time.Sleep(5 * time.Second)
		w.start(w.slots[0])
		w.eventually(10*time.Second, "the seed knows the earlier instance", func() bool {
			return len(w.slots[0].instance().Beats.Members()) == 2
		})
	})
}

// TestListedAsLeaving checks that an upstream that the lagging instance list
// shows as leaving gets no new work after a few seconds, and work again after
// it came back.
func TestListedAsLeaving(t *testing.T) {
	const lag, grace = 2 * time.Second, 5 * time.Second
	inWorld(t, usual, func(w *world) {
		w.begin()
		load := func() {
			var wait sync.WaitGroup
			for n := range 20 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					w.chat(w.slots[n%3], "A", "Rider", n, 20, true)
				}()
			}
			wait.Wait()
		}
		e := w.engines["engine-1"]
		w.platform.Set(platform.Faults{ListLag: lag})
		w.platform.Put("servers", "engine-1", w.announced("draining"))
		time.Sleep(lag + grace)
		before := e.Stats().Runs
		load()
		if after := e.Stats().Runs; after != before {
			t.Errorf("the leaving engine got %d requests", after-before)
		}
		w.platform.Put("servers", "engine-1", w.announced("ready"))
		time.Sleep(90 * time.Second)
		load()
		if after := e.Stats().Runs; after == before {
			t.Errorf("the engine got no request after it came back")
		}
	})
}

// TestIsolatedOwnerAndLeavingUpstream isolates an owner with a full queue, lets
// the upstream leave meanwhile and mends the network: the owner must not give
// the upstream work on what it knew before.
func TestIsolatedOwnerAndLeavingUpstream(t *testing.T) {
	inWorld(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, batch: 2}, func(w *world) {
		w.begin()
		m, _ := w.slots[0].instance().Owners.Owner("m/North/0")
		var o *slot
		for _, s := range w.slots {
			if s.name == m.Name {
				o = s
			}
		}
		var wait sync.WaitGroup
		for n := range 12 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				w.chat(o, "A", "Desk", n, 40, n%2 == 0)
			}()
		}
		time.Sleep(500 * time.Millisecond)
		w.net.set(o.host, "*", true)
		w.net.set("*", o.host, true)
		time.Sleep(time.Second)
		e := w.engines["engine-1"]
		e.Set(engine.Faults{Draining: true})
		time.Sleep(7 * time.Second)
		before := e.Stats().AfterLeft
		w.net.heal()
		time.Sleep(10 * time.Second)
		if after := e.Stats().AfterLeft; after != before {
			t.Errorf("the upstream got %d requests 7 s and more after it began to leave", after-before)
		}
		e.Set(engine.Faults{})
		wait.Wait()
	})
}

// TestBookingHolderKilled kills the instance between dispatch and answer of a
// booking; the caller tries again elsewhere with the same key.
func TestBookingHolderKilled(t *testing.T) {
	for _, c := range []struct {
		name   string
		ticket bool
		faults platform.Faults
	}{
		{"platform up", false, platform.Faults{}},
		{"platform out", false, platform.Faults{Outage: true}},
		{"ticket, platform up", true, platform.Faults{}},
		{"ticket, platform out", true, platform.Faults{Outage: true}},
		{"answer of the claim lost", false, platform.Faults{LoseAnswers: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, usual, func(w *world) {
				w.begin()
				for _, s := range w.services {
					s.Set(service.Faults{Delay: 3 * time.Second})
				}
				first, second := w.slots[1], w.slots[2]
				key, body := "pickup-1", `{"Booking":1}`
				if c.ticket {
					key = w.ticket(first)
				}
				if c.faults.LoseAnswers > 0 || c.ticket {
					w.platform.Set(c.faults)
				}
				var wait sync.WaitGroup
				wait.Add(1)
				go func() {
					defer wait.Done()
					w.bookOnce(first, "A", key, body)
				}()
				w.eventually(10*time.Second, "the booking runs", func() bool { return w.runs()[body] == 1 })
				w.platform.Set(c.faults)
				w.kill(first)
				wait.Wait()
				for range 4 {
					if end := w.bookOnce(second, "A", key, body); end != "outcome_unknown" {
						t.Errorf("the second attempt ended as %s", end)
					}
				}
				time.Sleep(time.Minute)
				w.checkRuns()
			})
		})
	}
}

// TestKeyAtTwoInstances sends the same key to two instances at the same moment.
func TestKeyAtTwoInstances(t *testing.T) {
	for _, ticket := range []bool{false, true} {
		t.Run(fmt.Sprintf("ticket=%t", ticket), func(t *testing.T) {
			inWorld(t, usual, func(w *world) {
				w.begin()
				for n := range 20 {
					key, body := fmt.Sprintf("pickup-%d", n), fmt.Sprintf(`{"Booking":%d}`, n)
					if ticket {
						key = w.ticket(w.slots[n%3])
					}
					var wait sync.WaitGroup
					for _, s := range w.slots {
						wait.Add(1)
						go func() {
							defer wait.Done()
							if end := w.bookOnce(s, "A", key, body); end != "ok" {
								t.Errorf("booking %d at %s ended as %s", n, s.name, end)
							}
						}()
					}
					wait.Wait()
					if runs := w.runs()[body]; runs != 1 {
						t.Errorf("booking %d ran %d times", n, runs)
					}
				}
			})
		})
	}
}

// TestCutFromPlatform applies a change while one instance is cut from the
// platform alone: it comes to it through its peers.
func TestCutFromPlatform(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		w.net.set(w.slots[2].host, host(platformAddress), true)
		w.net.set(host(platformAddress), w.slots[2].host, true)
		r, err := w.apply(w.slots[0], -1, w.text+"# changed\n[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || r.Outcome != revision.Applied {
			t.Fatalf("apply: %v %v", r, err)
		}
		w.eventually(6*time.Second, "the change is in force everywhere", func() bool { return w.inForce(r.Revision) })
	})
}

// TestCutOffInstance checks that an instance that reaches neither the platform
// nor a peer refuses new work truly, and serves again afterwards.
func TestCutOffInstance(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		s := w.slots[2]
		for _, other := range []string{w.slots[0].host, w.slots[1].host, host(platformAddress)} {
			w.net.set(s.host, other, true)
			w.net.set(other, s.host, true)
		}
		time.Sleep(10 * time.Second)
		if end := w.chat(s, "A", "Rider", 1, 3, true); end != "not_run" {
			t.Errorf("the instance that is cut off ended a request as %s", end)
		}
		w.net.heal()
		time.Sleep(10 * time.Second)
		if end := w.chat(s, "A", "Rider", 2, 3, true); end != "ok" {
			t.Errorf("afterwards a request ended as %s", end)
		}
	})
}

// TestRestartInOutage restarts instances during a platform outage: one by one
// they take the configuration from their peers; all at once they refuse work
// until the platform is back.
func TestRestartInOutage(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		w.platform.Set(platform.Faults{Outage: true})
		for _, s := range w.slots {
			w.kill(s)
			w.start(s)
			w.eventually(6*time.Second, "the restarted instance has the configuration", func() bool { return w.inForce(w.first) })
		}
		for _, s := range w.slots {
			w.kill(s)
		}
		w.startAll()
		time.Sleep(10 * time.Second)
		for _, s := range w.slots {
			if end := w.chat(s, "A", "Rider", 1, 3, true); end != "not_run" {
				t.Errorf("without a configuration %s ended a request as %s", s.name, end)
			}
		}
		w.platform.Set(platform.Faults{})
		w.eventually(10*time.Second, "the configuration is in force again", func() bool { return w.inForce(w.first) })
		time.Sleep(3 * time.Second)
		if end := w.chat(w.slots[0], "A", "Rider", 2, 3, true); end != "ok" {
			t.Errorf("afterwards a request ended as %s", end)
		}
	})
}

// TestAddressesNeedConfiguration checks that callers are not sent to instances
// that have no configuration yet.
func TestAddressesNeedConfiguration(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.platform.Set(platform.Faults{Outage: true})
		w.startAll()
		time.Sleep(10 * time.Second)
		list := func() string {
			a, err := w.send(w.ctx, w.slots[0].caller(), "GET", "/v1/addresses?model=m", "", nil)
			if err != nil {
				return err.Error()
			}
			return a.body
		}
		if got := list(); !strings.Contains(got, `"Addresses":[]`) {
			t.Errorf("without a configuration the addresses are %s", got)
		}
		w.platform.Set(platform.Faults{})
		if _, err := w.apply(w.slots[0], -1, w.text, "first"); err != nil {
			t.Fatal(err)
		}
		w.eventually(10*time.Second, "all addresses are listed", func() bool { return strings.Count(list(), ":1\"") == 3 })
	})
}

// TestAnswerOfApplyLost checks that a change whose answer is lost after the
// write is reported as applied.
func TestAnswerOfApplyLost(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		w.platform.Set(platform.Faults{LoseAnswers: 1})
		r, err := w.apply(w.slots[0], w.first, w.text+"[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || r.Outcome != revision.Applied {
			t.Fatalf("apply: %v %v", r, err)
		}
		again, err := w.apply(w.slots[1], w.first, w.text+"[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || again.Outcome != revision.Applied || again.Revision != r.Revision {
			t.Errorf("the repeated apply: %v %v, expected revision %d", again, err, r.Revision)
		}
	})
}

// TestEngineDies breaks streams at each place: within the tokens and between
// the last token and the end mark. The stream is resumed at its offset, or run
// again elsewhere.
func TestEngineDies(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults engine.Faults
	}{
		{"in the middle, resumed", engine.Faults{DropAfter: 4}},
		{"before the end mark", engine.Faults{DropEnd: true}},
		{"answers for another request", engine.Faults{WrongID: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, usual, func(w *world) {
				w.begin()
				w.engines["engine-1"].Set(c.faults)
				for n := range 12 {
					if end := w.chat(w.slots[n%3], "A", "Rider", n, 10, n%2 == 0); end != "ok" {
						t.Errorf("request %d ended as %s", n, end)
					}
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// TestEngineGone cuts an engine off for good in the middle of its streams.
func TestEngineGone(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		var wait sync.WaitGroup
		for n := range 9 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if end := w.chat(w.slots[n%3], "A", "Rider", n, 100, n%2 == 0); end != "ok" {
					t.Errorf("request %d ended as %s", n, end)
				}
			}()
		}
		time.Sleep(time.Second)
		w.net.kill("10.2.0.1")
		wait.Wait()
	})
}

// TestCallerStopsReading checks that a caller that reads nothing is cut after
// a while, and hurts nobody else.
func TestCallerStopsReading(t *testing.T) {
	inWorld(t, options{instances: 2, engines: 1, services: 1, queueLimit: 20, batch: 4}, func(w *world) {
		w.begin()
		s := w.slots[0]
		// The stream is larger than what the connection buffers.
		body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"tokens=20000"}]}`
		for range 3 {
			c, err := w.net.dialer("10.8.0.1")(context.Background(), "tcp", s.caller())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-A\r\nKnapweedwell-Class: Bulk\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		for n := range 30 {
			if end := w.chat(s, "A", "Rider", n, 20, true); end != "ok" {
				t.Errorf("request %d ended as %s", n, end)
			}
		}
		w.eventually(10*time.Minute, "the callers that do not read are cut", func() bool { return s.instance().Dispatch.Running() == 0 })
	})
}
