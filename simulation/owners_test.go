package simulation

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestTopBurst guards against a top tier that waits for the lowest one: a burst
// of the top tier arrives while all engines run requests of the lowest. All of
// the burst meets its targets, and the lowest tier completes afterwards.
func TestTopBurst(t *testing.T) {
	simulate(t, options{instances: 3, engines: 3, services: 1, queueLimit: 100, maxBatch: 4}, func(sim *simulation) {
		sim.startConfigured()
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if outcome := sim.chat(sim.nodes[n%3], "A", "Bulk", n, 400, false); outcome != "ok" {
					t.Errorf("bulk request %d: outcome %s, expected ok", n, outcome)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		for n := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				start := time.Now()
				if outcome := sim.chat(sim.nodes[n%3], "B", "Rider", 100+n, 5, true); outcome != "ok" {
					t.Errorf("urgent request %d: outcome %s, expected ok", n, outcome)
				}
				const target = 1400*time.Millisecond + 5*62*time.Millisecond
				if took := time.Since(start); took > target {
					t.Errorf("urgent request %d took %s, expected at most %s", n, took, target)
				}
			}()
		}
		wg.Wait()
	})
}

// TestOwnerIsolated guards against requests that are lost or run twice when the
// owner of a shard is cut off while it holds a queue. The asking instances move
// to the next owner, and the engine starts at most 4 streams more than there are
// requests, also after the network is restored.
func TestOwnerIsolated(t *testing.T) {
	simulate(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, maxBatch: 2}, func(sim *simulation) {
		sim.startConfigured()
		ownerMember, _ := sim.nodes[0].instance().Owners.Owner("m/North/0")
		var ownerNode *node
		var others []*node
		for _, node := range sim.nodes {
			if node.name == ownerMember.Name {
				ownerNode = node
				continue
			}
			others = append(others, node)
		}
		var wg sync.WaitGroup
		for n := range 20 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if outcome := sim.chat(others[n%2], "A", "Desk", n, 30, n%2 == 0); outcome != "ok" {
					t.Errorf("request %d: outcome %s, expected ok", n, outcome)
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		for _, node := range others {
			sim.network.setCut(ownerNode.host, node.host, true)
			sim.network.setCut(node.host, ownerNode.host, true)
		}
		start := time.Now()
		wg.Wait()
		if took := time.Since(start); took > 25*time.Second {
			t.Errorf("the requests took %s without their owner, expected at most 25s", took)
		}
		sim.network.restoreAll()
		time.Sleep(10 * time.Second)
		if runs := sim.engines["engine-1"].Stats().Runs; runs > 20+4 {
			t.Errorf("the engine ran %d streams for 20 requests, expected at most 24", runs)
		}
	})
}

// TestSpill guards against requests that wait in a full region: they are served
// at once by the upstreams of another region.
func TestSpill(t *testing.T) {
	simulate(t, options{instances: 6, engines: 3, services: 1, queueLimit: 100, maxBatch: 2}, func(sim *simulation) {
		sim.startConfigured()
		var wg sync.WaitGroup
		start := time.Now()
		for n := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if outcome := sim.chat(sim.nodes[n%3], "A", "Desk", n, 200, true); outcome != "ok" {
					t.Errorf("request %d: outcome %s, expected ok", n, outcome)
				}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		took := time.Since(start)
		t.Logf("six requests on six slots took %s", took)
		const alone = 200 * 24 * time.Millisecond
		if took > alone+time.Second {
			t.Errorf("six requests on six slots took %s, expected at most 1s more than %s for one alone", took, alone)
		}
	})
}

// TestExplain checks that any instance explains a request that another one
// served.
func TestExplain(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		resp, err := sim.send(sim.ctx, sim.nodes[1].callerAddress(), "POST", "/v1/chat/completions",
			`{"model":"m","messages":[{"role":"user","content":"tokens=3"}]}`, requestHeaders("A", "Rider", ""))
		if err != nil {
			t.Fatal(err)
		}
		found, err := sim.operatorClient(sim.nodes[2]).Explain(sim.ctx, resp.header.Get("Knapweedwell-Request-Id"))
		if err != nil || len(found) != 1 || found[0].Instance != "entry-2" {
			t.Errorf("explain: got %v, error %v, expected one explanation of entry-2", found, err)
		}
		text, _ := json.Marshal(found)
		for _, part := range []string{"arrived", "granted", "ended: ok"} {
			if !strings.Contains(string(text), part) {
				t.Errorf("the explanation lacks %q: %s", part, text)
			}
		}
	})
}
