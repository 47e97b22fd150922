package world

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"knapweedwell/member"
	"knapweedwell/owner"
	"knapweedwell/pool"
)

// engineRuns returns the number of generations that all engines began.
func (w *world) engineRuns() int64 {
	var n int64
	for _, e := range w.engines {
		n += e.Stats().Runs
	}
	return n
}

// TestHostileRequests sends requests that are malformed, too large or too slow.
// Each is answered as such, none reaches an upstream, and others are served.
func TestHostileRequests(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		s := w.slots[0]
		long := strings.Repeat("x", 2<<20)
		for _, c := range []struct {
			path, body string
			header     map[string]string
			status     int
		}{
			{"/v1/chat/completions", `{"model":`, nil, 400},
			{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"` + long + `"}]}`, nil, 413},
			{"/v1/chat/completions", `{"model":"m","messages":[]}`, nil, 400},
			{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}]}`, map[string]string{"Knapweedwell-Timeout": "never"}, 400},
			{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}]}`, map[string]string{"Knapweedwell-Class": "None"}, 400},
			{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user"}]}`, map[string]string{"Authorization": "Bearer x"}, 401},
			{"/v1/services/s/book", `{}`, map[string]string{"Idempotency-Key": long[:300]}, 400},
			{"/v1/services/nothing/book", `{}`, nil, 400},
			{"/v1/nothing", `{}`, nil, 404},
		} {
			h := headers("A", "Rider", "")
			for k, v := range c.header {
				h[k] = v
			}
			a, err := w.send(w.ctx, s.caller(), "POST", c.path, c.body, h)
			if err != nil || a.status != c.status {
				t.Errorf("%s %.60q: %v, status %d, expected %d", c.path, c.body, err, a.status, c.status)
			}
		}
		w.raw(s, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-A\r\nContent-Length: 100\r\n\r\n{", "400 Bad Request")
		w.raw(s, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: "+long[:60000]+"\r\n\r\n", "431 Request Header Fields Too Large")
		w.raw(s, "POST /v1/chat", "")
		if runs := w.engineRuns(); runs != 0 || len(w.runs()) != 0 {
			t.Errorf("%d generations and %d calls were run", runs, len(w.runs()))
		}
		if end := w.chat(s, "A", "Rider", 1, 3, true); end != "ok" {
			t.Errorf("afterwards a request ended as %s", end)
		}
	})
}

// raw writes bytes and expects the beginning of an answer, or an end without
// one, within the server's limits.
func (w *world) raw(s *slot, text, want string) {
	c, err := w.net.dialer("10.8.0.2")(context.Background(), "tcp", s.caller())
	if err != nil {
		w.fail("dial: %v", err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	if !strings.Contains(string(got), want) {
		w.fail("%.40q was answered %.80q, expected %q", text, got, want)
	}
}

// TestForgedPeerMessages sends grants, reports and claims that nobody gave.
func TestForgedPeerMessages(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		own, other := w.slots[0].instance(), w.slots[1].instance()
		ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
		defer cancel()
		for _, m := range []struct {
			method string
			params any
		}{
			{"Grant.Ask", map[string]any{"Shard": "none/North/0", "ID": "forged", "Insist": true}},
			{"Grant.Ask", "text"},
			{"Grant.Finish", map[string]any{"Shard": "m/North/0", "Report": pool.Report{Grant: "forged", Finished: true}}},
			{"Grant.Withdraw", map[string]any{"Shard": "m/North/0", "ID": "forged"}},
			{"Grant.Refresh", map[string]any{"Shard": "m/North/0", "Helds": []pool.Held{{Upstream: "none"}}}},
			{"Grant.Refresh", map[string]any{"Shard": "none", "Helds": []pool.Held{{Upstream: "engine-1"}}}},
			{"Grant.Preempt", map[string]any{"ID": "forged"}},
			{"Claim.Take", map[string]any{"Key": "not a ticket"}},
			{"Claim.Finish", 7},
			{"Heartbeat.Exchange", []int{1}},
			{"Configuration.Fetch", "x"},
		} {
			_ = other.Peers.Call(ctx, own.Peers.Address, m.method, m.params, nil)
		}
		for n := range 6 {
			if end := w.chat(w.slots[n%3], "A", "Rider", n, 3, true); end != "ok" {
				t.Errorf("afterwards request %d ended as %s", n, end)
			}
		}
		for _, v := range own.Owners.Views() {
			if strings.HasPrefix(v.Shard, "none") {
				t.Errorf("a forged message made shard %s", v.Shard)
			}
		}
	})
}

// TestTwoOwners cuts one instance from the owner alone, so that it takes
// another for the owner, and measures how far the two overcommit an engine.
func TestTwoOwners(t *testing.T) {
	inWorld(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, batch: 4}, func(w *world) {
		w.begin()
		var o member.Member
		o, _ = w.slots[0].instance().Owners.Owner("m/North/0")
		var cut *slot
		for _, s := range w.slots {
			if s.name != o.Name {
				cut = s
			}
		}
		h := host(o.Peer)
		w.net.set(cut.host, h, true)
		w.net.set(h, cut.host, true)
		done := make(chan bool)
		go func() {
			defer close(done)
			w.demand(8, 40*time.Second)
		}()
		most := 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, s := range w.slots {
				n += granted(s.instance().Owners)
			}
			most = max(most, n)
		}
		<-done
		w.net.heal()
		t.Logf("at most %d grants on an engine with a ceiling of 4", most)
		if most > 2*4+2 {
			t.Errorf("two owners granted %d on an engine with a ceiling of 4", most)
		}
	})
}

func granted(o *owner.Service) int {
	n := 0
	for _, v := range o.Views() {
		for _, u := range v.Upstreams {
			if u.Name == "engine-1" {
				n += u.Granted
			}
		}
	}
	return n
}
