package world

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

// TestRoutes serves each kind of route and checks what the upstreams got.
func TestRoutes(t *testing.T) {
	inRouted(t, 2, func(w *routed) {
		w.expect(w.ask(ask{method: "GET", path: "/read/a%2Fb//c?x=1%20", id: "1"}), 200, "answer to 1")
		w.expect(w.ask(ask{path: "/book/1", id: "2", body: "two sacks", header: map[string]string{
			"X-Knapweedwell-Tenant": "somebody", "X-Knapweedwell-Hold": "h", "Kv-Fetch": "10.0.0.1:1", "X-Other": "kept",
		}}), 200, "answer to 2")
		w.expect(w.ask(ask{instance: 1, path: "/talk/1?events=5", id: "3"}), 200, events("3", 5))
		w.expect(w.ask(ask{path: "/none/1", id: "4"}), 404, "")
		w.expect(w.ask(ask{path: "/read/1", id: "5", key: "unknown"}), 401, "")
		for _, r := range w.runners {
			for _, s := range r.Seen() {
				w.checkSeen(r.ID, s)
			}
		}
	})
}

// checkSeen checks one request as an upstream got it.
func (w *routed) checkSeen(id string, s runner.Seen) {
	w.t.Helper()
	h := s.Header
	expected := map[string]string{
		"Authorization": "", "X-Knapweedwell-Hold": "", "Kv-Fetch": "", "X-Knapweedwell-Tenant": "a", "X-Knapweedwell-Expected-Instance": id,
	}
	want := runner.Seen{Method: "POST"}
	switch h.Get("X-Knapweedwell-Request-Id") {
	case "1":
		want = runner.Seen{Method: "GET", Target: "/read/a%2Fb//c?x=1%20"}
	case "2":
		want.Target, want.Body = "/book/1", "two sacks"
		expected["X-Other"], expected["X-Knapweedwell-Request-Priority"] = "kept", ""
	case "3":
		want.Target = "/talk/1?events=5"
		expected["X-Knapweedwell-Request-Priority"] = "0"
	}
	for name, value := range expected {
		if h.Get(name) != value {
			w.t.Errorf("the upstream got %s: %q, expected %q", name, h.Get(name), value)
		}
	}
	if s.Method != want.Method || s.Target != want.Target || s.Body != want.Body {
		w.t.Errorf("the upstream got %s %s %q, expected %+v", s.Method, s.Target, s.Body, want)
	}
}

// TestUpstreamFaults brings about the faults of upstreams on each kind of route
// and checks the answer and the number of runs.
func TestUpstreamFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		faults runner.Faults // faults are those of all upstreams of the pool.
		one    bool          // one puts them in force on the upstream that is tried first only.
		status int
		runs   int
	}{
		{"safe, one full", "/read/1", runner.Faults{Full: true}, true, 200, 1},
		{"safe, one failing", "/read/1", runner.Faults{Failing: true}, true, 200, 2},
		{"safe, all failing", "/read/1", runner.Faults{Failing: true}, false, 500, 2},
		{"safe, one drops the answer", "/read/1", runner.Faults{DropAnswer: true}, true, 200, 2},
		{"safe, one unsigned", "/read/1", runner.Faults{Unsigned: true}, true, 200, 2},
		{"unsafe, one full", "/book/1", runner.Faults{Full: true}, true, 200, 1},
		{"unsafe, all full", "/book/1", runner.Faults{Full: true}, false, 503, 0},
		{"unsafe, drops the answer", "/book/1", runner.Faults{DropAnswer: true}, false, 502, 1},
		{"unsafe, unsigned", "/book/1", runner.Faults{Unsigned: true}, false, 502, 1},
		{"unsafe, failing", "/book/1", runner.Faults{Failing: true}, false, 500, 1},
		{"unsafe, silent", "/book/1", runner.Faults{Silent: true}, false, 504, 1},
		{"stream, one full", "/once/1?events=3", runner.Faults{Full: true}, true, 200, 1},
		{"stream that may run once, drops", "/once/1?events=3", runner.Faults{DropAnswer: true}, false, 502, 1},
		{"stream, one drops", "/talk/1?events=3", runner.Faults{DropAnswer: true}, true, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRouted(t, 1, func(w *routed) {
				if c.one {
					// All but one upstream answer slowly, so that the faulty one is tried first.
					w.each("", runner.Faults{Delay: 400 * time.Millisecond})
					for n := range 12 {
						w.ask(ask{path: strings.Replace(c.path, "1", "warm", 1), id: "warm-" + number(n)})
					}
					w.each("", runner.Faults{})
					w.runners["calls-0"].Set(c.faults)
					w.runners["model-0"].Set(c.faults)
				} else {
					w.each("", c.faults)
				}
				for n := range 9 {
					id := "r" + number(n)
					a := w.ask(ask{path: c.path, id: id})
					if c.one && a.status == 200 && w.runs(id) >= 1 && w.runs(id) <= c.runs {
						continue
					}
					if a.status != c.status || w.runs(id) != c.runs {
						t.Errorf("request %s: %d after %d runs (%s), expected %d after %d", id, a.status, w.runs(id), a.body, c.status, c.runs)
					}
					if a.status == 503 && a.header.Get("Retry-After") == "" {
						t.Errorf("request %s was refused without advice when to come back", id)
					}
				}
			})
		})
	}
}

// TestStreamGoesOn breaks streams inside an event: one that may be resumed goes
// on at another upstream, the other ends without looking whole.
func TestStreamGoesOn(t *testing.T) {
	inRouted(t, 1, func(w *routed) {
		w.each("model", runner.Faults{BreakAfter: 4, Pause: 10 * time.Millisecond})
		w.expect(w.ask(ask{path: "/talk/1?events=8", id: "a"}), 200, events("a", 8))
		if a := w.ask(ask{path: "/talk/1?events=20", id: "b"}); a.whole || a.body != events("b", 8) {
			t.Errorf("a stream that broke more often than it may be resumed: whole %t, %q", a.whole, a.body)
		}
		if a := w.ask(ask{path: "/once/1?events=8", id: "c"}); a.whole || a.body != events("c", 4) {
			t.Errorf("a stream that may run once: whole %t, %q", a.whole, a.body)
		}
		if w.runs("a") != 2 || w.runs("b") != 2 || w.runs("c") != 1 {
			t.Errorf("runs: %d, %d, %d", w.runs("a"), w.runs("b"), w.runs("c"))
		}
	})
}

// TestAnswerTwice lets an upstream answer each request two times on connections
// that are kept: nobody gets the answer to another request.
func TestAnswerTwice(t *testing.T) {
	inRouted(t, 1, func(w *routed) {
		w.each("calls", runner.Faults{Twice: true})
		for n := range 30 {
			id := "t" + number(n)
			w.expect(w.ask(ask{path: "/book/1", id: id}), 200, "answer to "+id)
		}
	})
}

// TestCallerLeaves checks that an upstream's work ends soon after the caller
// left, but not that of a request that may run once.
func TestCallerLeaves(t *testing.T) {
	inRouted(t, 1, func(w *routed) {
		w.each("", runner.Faults{Delay: 3 * time.Second})
		w.ask(ask{path: "/read/1", id: "r", timeout: 200 * time.Millisecond})
		w.ask(ask{path: "/talk/1?events=3", id: "s", timeout: 200 * time.Millisecond})
		w.ask(ask{path: "/book/1", id: "b", timeout: 200 * time.Millisecond})
		time.Sleep(400 * time.Millisecond)
		cut := 0
		for _, r := range w.runners {
			cut += r.Cut()
		}
		if cut != 2 {
			t.Errorf("%d requests ended at their upstreams, expected 2", cut)
		}
	})
}

// TestDeafWatch lets all watches hear nothing while an upstream leaves and a key
// is taken away, and then drops the history: both are known within the bound.
func TestDeafWatch(t *testing.T) {
	const bound = 2500 * time.Millisecond
	inRouted(t, 5, func(w *routed) {
		w.store.Set(platform.Faults{DeafWatches: true})
		w.announce("calls-0", "calls", "draining")
		w.keys = []string{"key-of-b"}
		w.configure()
		time.Sleep(time.Second)
		w.store.Compact()
		w.store.Set(platform.Faults{})
		time.Sleep(bound - time.Second)
		before := len(w.runners["calls-0"].Seen())
		for n := range 40 {
			w.expect(w.ask(ask{instance: n % 5, path: "/read/1", id: "k" + number(n), key: "key-of-b"}), 200, "")
			w.expect(w.ask(ask{instance: n % 5, path: "/read/1", id: "o" + number(n)}), 401, "")
		}
		if after := len(w.runners["calls-0"].Seen()); after != before {
			t.Errorf("the leaving upstream got %d requests", after-before)
		}
	})
}

// TestTurnedAway turns some instances away from the store while an upstream
// leaves and a route's organisation changes: they follow their peers.
func TestTurnedAway(t *testing.T) {
	inRouted(t, 5, func(w *routed) {
		w.store.Set(platform.Faults{TurnedAway: map[string]bool{"10.1.0.1": true, "10.1.0.2": true}})
		time.Sleep(2 * time.Second)
		w.announce("calls-0", "calls", "draining")
		w.keys = []string{"key-of-b"}
		w.configure()
		time.Sleep(2 * time.Second)
		before := len(w.runners["calls-0"].Seen())
		for n := range 20 {
			w.expect(w.ask(ask{instance: n % 2, path: "/read/1", id: "k" + number(n), key: "key-of-b"}), 200, "")
			w.expect(w.ask(ask{instance: n % 2, path: "/read/1", id: "o" + number(n)}), 401, "")
		}
		if after := len(w.runners["calls-0"].Seen()); after != before {
			t.Errorf("the leaving upstream got %d requests", after-before)
		}
	})
}

// TestEntriesLapse lets all entries of upstreams lapse in an outage: requests
// are served on, and what is missing two seconds after the return is gone.
func TestEntriesLapse(t *testing.T) {
	inRouted(t, 3, func(w *routed) {
		w.store.Set(platform.Faults{Outage: true})
		time.Sleep(5 * time.Second)
		for id := range w.runners {
			w.store.Delete("servers", id)
		}
		w.store.Set(platform.Faults{})
		time.Sleep(time.Second)
		for n := range 9 {
			w.expect(w.ask(ask{instance: n % 3, path: "/read/1", id: "d" + number(n)}), 200, "")
		}
		for id, r := range w.runners {
			if id != "calls-2" {
				w.announce(id, strings.Split(r.ID, "-")[0], "ready")
			}
		}
		time.Sleep(2500 * time.Millisecond)
		before := len(w.runners["calls-2"].Seen())
		for n := range 20 {
			w.expect(w.ask(ask{instance: n % 3, path: "/read/1", id: "e" + number(n)}), 200, "")
		}
		if after := len(w.runners["calls-2"].Seen()); after != before {
			t.Errorf("the upstream that did not come back got %d requests", after-before)
		}
	})
}

// TestStartInOutage starts an instance while the store is out: it serves from
// what its peers know, and alone it refuses truly.
func TestStartInOutage(t *testing.T) {
	inRouted(t, 2, func(w *routed) {
		w.store.Set(platform.Faults{Outage: true})
		time.Sleep(time.Second)
		w.instance(2)
		w.eventually(3*time.Second, "the new instance is live", func() bool { return w.instances[2].Live() })
		w.expect(w.ask(ask{instance: 2, path: "/book/1", id: "a"}), 200, "answer to a")
		for i := range 3 {
			_ = w.instances[i].Close()
			w.instances[i] = nil
		}
		w.instance(0)
		time.Sleep(time.Second)
		a := w.ask(ask{instance: 0, path: "/book/1", id: "b"})
		w.expect(a, 503, "")
		if got := a.header.Get("Retry-After"); got != "2.500" {
			t.Errorf("the refusal advises to come back after %q s, though the store is out", got)
		}
		if w.instances[3].Live() {
			t.Errorf("an instance without routes is live")
		}
	})
}

// TestPlannedStop stops an instance under streams and calls: none is cut off,
// and the instance is out of the address answers at once.
func TestPlannedStop(t *testing.T) {
	inRouted(t, 3, func(w *routed) {
		w.each("model", runner.Faults{Pause: 300 * time.Millisecond})
		w.each("calls", runner.Faults{Delay: 100 * time.Millisecond})
		var wait sync.WaitGroup
		for n := range 60 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				a := w.ask(ask{path: "/talk/1?events=10", id: "s" + number(n)})
				b := w.ask(ask{path: "/book/1", id: "b" + number(n)})
				for _, got := range []answer{a, b} {
					if got.connected && !got.whole {
						t.Errorf("request %d was cut off: %d %q", n, got.status, got.body)
					}
					if got.connected && got.status != 200 && got.status != 503 {
						t.Errorf("request %d ended as %d %s", n, got.status, got.body)
					}
				}
			}()
		}
		time.Sleep(2 * time.Second)
		stopped := w.instances[0]
		w.instances[0] = nil
		begun := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = stopped.Stop(t.Context())
		}()
		time.Sleep(300 * time.Millisecond)
		for i := range 2 {
			if list := w.addresses(i + 1); strings.Contains(list, "10.1.0.1:1") {
				t.Errorf("the leaving instance is still listed: %s", list)
			}
		}
		<-done
		if took := time.Since(begun); took > 8*time.Second {
			t.Errorf("the stop took %s", took)
		}
		wait.Wait()
	})
}

// addresses returns the answer of an instance's directory.
func (w *routed) addresses(i int) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: w.net.dialer("10.9.0.1")}}
	resp, err := client.Get("http://10.1.0." + number(i+1) + ":5/v1/resolve?name=h.example&region=r&zone=z0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return b.String()
		}
	}
}

// TestSilentUpstream lets one upstream of each pool fall silent: requests that
// may run again are answered by others, and few pay for finding out.
func TestSilentUpstream(t *testing.T) {
	inRouted(t, 1, func(w *routed) {
		for n := range 20 {
			w.ask(ask{path: "/read/1", id: "warm" + number(n)})
		}
		w.runners["calls-1"].Set(runner.Faults{Silent: true})
		w.runners["model-1"].Set(runner.Faults{Silent: true})
		slow := 0
		for n := range 60 {
			begun := time.Now()
			w.expect(w.ask(ask{path: "/read/1", id: "r" + number(n)}), 200, "")
			w.expect(w.ask(ask{path: "/talk/1?events=3", id: "s" + number(n)}), 200, events("s"+number(n), 3))
			if time.Since(begun) > 500*time.Millisecond {
				slow++
			}
		}
		if slow > 4 {
			t.Errorf("%d of 60 pairs of requests waited for the silent upstreams", slow)
		}
	})
}
