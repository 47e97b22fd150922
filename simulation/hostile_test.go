package simulation

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

// engineRuns returns the number of generations that all engines started.
func (sim *simulation) engineRuns() int64 {
	var n int64
	for _, e := range sim.engines {
		n += e.Stats().Runs
	}
	return n
}

// TestHostileRequests sends requests that are malformed, too large or too slow.
// Each is refused with the right status, none reaches an upstream, and a valid
// request is served afterwards.
func TestHostileRequests(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		node := sim.nodes[0]
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
			h := requestHeaders("A", "Rider", "")
			for k, v := range c.header {
				h[k] = v
			}
			resp, err := sim.send(sim.ctx, node.callerAddress(), "POST", c.path, c.body, h)
			if err != nil || resp.status != c.status {
				t.Errorf("%s %.60q: %v, status %d, expected %d", c.path, c.body, err, resp.status, c.status)
			}
		}
		sim.sendRaw(node, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-A\r\nContent-Length: 100\r\n\r\n{", "400 Bad Request")
		sim.sendRaw(node, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: "+long[:60000]+"\r\n\r\n", "431 Request Header Fields Too Large")
		sim.sendRaw(node, "POST /v1/chat", "")
		if runs := sim.engineRuns(); runs != 0 || len(sim.runCounts()) != 0 {
			t.Errorf("%d generations and %d calls were run, expected none", runs, len(sim.runCounts()))
		}
		if outcome := sim.chat(node, "A", "Rider", 1, 3, true); outcome != "ok" {
			t.Errorf("valid request afterwards: outcome %s, expected ok", outcome)
		}
	})
}

// sendRaw writes bytes on a new connection, reads until it is closed, for at
// most a minute, and checks that the answer contains want. An empty want also
// accepts a connection that is closed without an answer.
func (sim *simulation) sendRaw(node *node, text, want string) {
	c, err := sim.network.dialer("10.8.0.2")(context.Background(), "tcp", node.callerAddress())
	if err != nil {
		sim.errorf("dialling %s: %v", node.name, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	if !strings.Contains(string(got), want) {
		sim.errorf("request %.40q: got answer %.80q, expected %q", text, got, want)
	}
}

// TestForgedPeerMessages guards against peer messages that damage an instance's
// state: it sends grant requests, reports and claims for grants, shards and
// tickets that do not exist, and parameters of wrong types.
func TestForgedPeerMessages(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		own, other := sim.nodes[0].instance(), sim.nodes[1].instance()
		ctx, cancel := context.WithTimeout(sim.ctx, 10*time.Second)
		defer cancel()
		for _, m := range []struct {
			method string
			params any
		}{
			{"Grant.Ask", map[string]any{"Shard": "none/North/0", "ID": "forged", "Insist": true}},
			{"Grant.Ask", "text"},
			{"Grant.Finish", map[string]any{"Shard": "m/North/0", "Report": pool.Report{Grant: "forged", Finished: true}}},
			{"Grant.Withdraw", map[string]any{"Shard": "m/North/0", "ID": "forged"}},
			{"Grant.Refresh", map[string]any{"Shard": "m/North/0", "Helds": []pool.HeldGrant{{Upstream: "none"}}}},
			{"Grant.Refresh", map[string]any{"Shard": "none", "Helds": []pool.HeldGrant{{Upstream: "engine-1"}}}},
			{"Grant.Preempt", map[string]any{"ID": "forged"}},
			{"Claim.Take", map[string]any{"Key": "not a ticket"}},
			{"Claim.Finish", 7},
			{"Heartbeat.Exchange", []int{1}},
			{"Configuration.Fetch", "x"},
		} {
			_ = other.Peers.Call(ctx, own.Peers.Address, m.method, m.params, nil)
		}
		for n := range 6 {
			if outcome := sim.chat(sim.nodes[n%3], "A", "Rider", n, 3, true); outcome != "ok" {
				t.Errorf("request %d afterwards: outcome %s, expected ok", n, outcome)
			}
		}
		for _, v := range own.Owners.Views() {
			if strings.HasPrefix(v.Shard, "none") {
				t.Errorf("a forged message created shard %s", v.Shard)
			}
		}
	})
}

// TestTwoOwners limits the overcommitment of an engine with two owners: one
// instance is cut off from the owner only and therefore asks another owner. With
// a ceiling of 4 both together grant at most 2*4+2.
func TestTwoOwners(t *testing.T) {
	simulate(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, maxBatch: 4}, func(sim *simulation) {
		sim.startConfigured()
		var ownerMember member.Member
		ownerMember, _ = sim.nodes[0].instance().Owners.Owner("m/North/0")
		var cutNode *node
		for _, node := range sim.nodes {
			if node.name != ownerMember.Name {
				cutNode = node
			}
		}
		h := host(ownerMember.Peer)
		sim.network.setCut(cutNode.host, h, true)
		sim.network.setCut(h, cutNode.host, true)
		done := make(chan bool)
		go func() {
			defer close(done)
			sim.sendLoad(8, 40*time.Second)
		}()
		most := 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, node := range sim.nodes {
				n += engineGrants(node.instance().Owners)
			}
			most = max(most, n)
		}
		<-done
		sim.network.restoreAll()
		t.Logf("at most %d grants at a time on an engine with a ceiling of 4", most)
		if most > 2*4+2 {
			t.Errorf("two owners granted %d at a time on an engine with a ceiling of 4, expected at most 10", most)
		}
	})
}

// engineGrants returns the number of current grants of an owner on engine-1.
func engineGrants(o *owner.Service) int {
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
