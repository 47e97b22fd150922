package simulation

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

// smallFleet is the fleet of most cases: three instances, three engines and two
// services.
var smallFleet = options{instances: 3, engines: 3, services: 2, queueLimit: 20, maxBatch: 4}

// simulate runs a case with seed 1 on a virtual clock.
func simulate(t *testing.T, o options, f func(sim *simulation)) {
	t.Helper()
	simulateSeed(t, 1, o, f)
}

// simulateSeed runs a case on a virtual clock with random numbers from a seed.
func simulateSeed(t *testing.T, seed uint64, o options, f func(sim *simulation)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, o)
		defer sim.close()
		f(sim)
	})
}

// TestSeedStartsLater guards against an instance that stays alone because its
// seed was down when it started: the seed starts 5 s later, and both join.
func TestSeedStartsLater(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.start(sim.nodes[2])
		time.Sleep(5 * time.Second)
		sim.start(sim.nodes[0])
		sim.eventually(10*time.Second, "the seed has the earlier instance as a member", func() bool {
			return len(sim.nodes[0].instance().Heartbeats.Members()) == 2
		})
	})
}

// TestListedAsLeaving guards against work for an upstream that its entry in the
// store shows as draining. The list of entries lags by 2 s; 5 s after that the
// upstream must receive none, and 90 s after its entry is ready again some.
func TestListedAsLeaving(t *testing.T) {
	const lag, grace = 2 * time.Second, 5 * time.Second
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		load := func() {
			var wg sync.WaitGroup
			for n := range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					sim.chat(sim.nodes[n%3], "A", "Rider", n, 20, true)
				}()
			}
			wg.Wait()
		}
		e := sim.engines["engine-1"]
		sim.platform.SetFaults(platform.Faults{ListLag: lag})
		sim.platform.Put("servers", "engine-1", sim.upstreamEntry("draining"))
		time.Sleep(lag + grace)
		before := e.Stats().Runs
		load()
		if after := e.Stats().Runs; after != before {
			t.Errorf("the leaving engine received %d requests, expected 0", after-before)
		}
		sim.platform.Put("servers", "engine-1", sim.upstreamEntry("ready"))
		time.Sleep(90 * time.Second)
		load()
		if after := e.Stats().Runs; after == before {
			t.Errorf("the engine received no request after its entry was ready again")
		}
	})
}

// TestIsolatedOwnerAndLeavingUpstream guards against grants on stale load
// reports: an owner with a full queue is isolated, the upstream starts to drain
// and the network is restored. The owner must not grant work on the upstream's
// state from before.
func TestIsolatedOwnerAndLeavingUpstream(t *testing.T) {
	simulate(t, options{instances: 3, engines: 1, services: 1, queueLimit: 100, maxBatch: 2}, func(sim *simulation) {
		sim.startConfigured()
		ownerMember, _ := sim.nodes[0].instance().Owners.Owner("m/North/0")
		var ownerNode *node
		for _, node := range sim.nodes {
			if node.name == ownerMember.Name {
				ownerNode = node
			}
		}
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sim.chat(ownerNode, "A", "Desk", n, 40, n%2 == 0)
			}()
		}
		time.Sleep(500 * time.Millisecond)
		sim.network.setCut(ownerNode.host, "*", true)
		sim.network.setCut("*", ownerNode.host, true)
		time.Sleep(time.Second)
		e := sim.engines["engine-1"]
		e.SetFaults(engine.Faults{Draining: true})
		time.Sleep(7 * time.Second)
		before := e.Stats().AfterLeft
		sim.network.restoreAll()
		time.Sleep(10 * time.Second)
		if after := e.Stats().AfterLeft; after != before {
			t.Errorf("the upstream received %d requests 7 s or more after it started to drain, expected 0", after-before)
		}
		e.SetFaults(engine.Faults{})
		wg.Wait()
	})
}

// TestBookingHolderKilled guards against a booking that runs twice: the instance
// is killed between dispatch and answer, and the caller retries at another
// instance with the same key. The outcome stays unknown there.
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
			simulate(t, smallFleet, func(sim *simulation) {
				sim.startConfigured()
				for _, s := range sim.services {
					s.SetFaults(service.Faults{Delay: 3 * time.Second})
				}
				first, second := sim.nodes[1], sim.nodes[2]
				key, body := "pickup-1", `{"Booking":1}`
				if c.ticket {
					key = sim.requestTicket(first)
				}
				if c.faults.LoseAnswers > 0 || c.ticket {
					sim.platform.SetFaults(c.faults)
				}
				var wg sync.WaitGroup
				wg.Add(1)
				go func() {
					defer wg.Done()
					sim.bookOnce(first, "A", key, body)
				}()
				sim.eventually(10*time.Second, "the booking runs", func() bool { return sim.runCounts()[body] == 1 })
				sim.platform.SetFaults(c.faults)
				sim.kill(first)
				wg.Wait()
				for range 4 {
					if outcome := sim.bookOnce(second, "A", key, body); outcome != "outcome_unknown" {
						t.Errorf("second attempt: outcome %s, expected outcome_unknown", outcome)
					}
				}
				time.Sleep(time.Minute)
				sim.checkRuns()
			})
		})
	}
}

// TestKeyAtTwoInstances guards against a booking that runs twice because
// requests with the same key reach several instances at the same time.
func TestKeyAtTwoInstances(t *testing.T) {
	for _, ticket := range []bool{false, true} {
		t.Run(fmt.Sprintf("ticket=%t", ticket), func(t *testing.T) {
			simulate(t, smallFleet, func(sim *simulation) {
				sim.startConfigured()
				for n := range 20 {
					key, body := fmt.Sprintf("pickup-%d", n), fmt.Sprintf(`{"Booking":%d}`, n)
					if ticket {
						key = sim.requestTicket(sim.nodes[n%3])
					}
					var wg sync.WaitGroup
					for _, node := range sim.nodes {
						wg.Add(1)
						go func() {
							defer wg.Done()
							if outcome := sim.bookOnce(node, "A", key, body); outcome != "ok" {
								t.Errorf("booking %d at %s: outcome %s, expected ok", n, node.name, outcome)
							}
						}()
					}
					wg.Wait()
					if runs := sim.runCounts()[body]; runs != 1 {
						t.Errorf("booking %d ran %d times, expected 1", n, runs)
					}
				}
			})
		})
	}
}

// TestCutFromPlatform applies a change while one instance is cut off from the
// platform only: it must receive the change from its peers.
func TestCutFromPlatform(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		sim.network.setCut(sim.nodes[2].host, host(platformAddress), true)
		sim.network.setCut(host(platformAddress), sim.nodes[2].host, true)
		r, err := sim.apply(sim.nodes[0], -1, sim.configText+"# changed\n[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || r.Outcome != revision.Applied {
			t.Fatalf("apply: %v %v, expected outcome applied", r, err)
		}
		sim.eventually(6*time.Second, "the change is in force on all instances", func() bool { return sim.inForce(r.Revision) })
	})
}

// TestCutOffInstance checks that an instance that reaches neither the platform
// nor a peer refuses new work as not run, and serves again afterwards.
func TestCutOffInstance(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		node := sim.nodes[2]
		for _, other := range []string{sim.nodes[0].host, sim.nodes[1].host, host(platformAddress)} {
			sim.network.setCut(node.host, other, true)
			sim.network.setCut(other, node.host, true)
		}
		time.Sleep(10 * time.Second)
		if outcome := sim.chat(node, "A", "Rider", 1, 3, true); outcome != "not_run" {
			t.Errorf("request at the instance that is cut off: outcome %s, expected not_run", outcome)
		}
		sim.network.restoreAll()
		time.Sleep(10 * time.Second)
		if outcome := sim.chat(node, "A", "Rider", 2, 3, true); outcome != "ok" {
			t.Errorf("request afterwards: outcome %s, expected ok", outcome)
		}
	})
}

// TestRestartInOutage restarts instances during a platform outage. Restarted one
// by one they fetch the configuration from their peers; restarted all at once
// they refuse work as not run until the platform answers again.
func TestRestartInOutage(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		sim.platform.SetFaults(platform.Faults{Outage: true})
		for _, node := range sim.nodes {
			sim.kill(node)
			sim.start(node)
			sim.eventually(6*time.Second, "the restarted instance has the configuration", func() bool { return sim.inForce(sim.firstRevision) })
		}
		for _, node := range sim.nodes {
			sim.kill(node)
		}
		sim.startAll()
		time.Sleep(10 * time.Second)
		for _, node := range sim.nodes {
			if outcome := sim.chat(node, "A", "Rider", 1, 3, true); outcome != "not_run" {
				t.Errorf("request at %s without a configuration: outcome %s, expected not_run", node.name, outcome)
			}
		}
		sim.platform.SetFaults(platform.Faults{})
		sim.eventually(10*time.Second, "the configuration is in force again", func() bool { return sim.inForce(sim.firstRevision) })
		time.Sleep(3 * time.Second)
		if outcome := sim.chat(sim.nodes[0], "A", "Rider", 2, 3, true); outcome != "ok" {
			t.Errorf("request afterwards: outcome %s, expected ok", outcome)
		}
	})
}

// TestAddressesNeedConfiguration checks that address answers list no instance
// that has no configuration yet.
func TestAddressesNeedConfiguration(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.platform.SetFaults(platform.Faults{Outage: true})
		sim.startAll()
		time.Sleep(10 * time.Second)
		list := func() string {
			resp, err := sim.send(sim.ctx, sim.nodes[0].callerAddress(), "GET", "/v1/addresses?model=m", "", nil)
			if err != nil {
				return err.Error()
			}
			return resp.body
		}
		if got := list(); !strings.Contains(got, `"Addresses":[]`) {
			t.Errorf("addresses without a configuration: got %s, expected none", got)
		}
		sim.platform.SetFaults(platform.Faults{})
		if _, err := sim.apply(sim.nodes[0], -1, sim.configText, "first"); err != nil {
			t.Fatal(err)
		}
		sim.eventually(10*time.Second, "all addresses are listed", func() bool { return strings.Count(list(), ":1\"") == 3 })
	})
}

// TestAnswerOfApplyLost guards against a change that is written but reported as
// failed because the platform's answer is lost. A repeated apply with the same
// change ID returns the same revision.
func TestAnswerOfApplyLost(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		sim.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		r, err := sim.apply(sim.nodes[0], sim.firstRevision, sim.configText+"[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || r.Outcome != revision.Applied {
			t.Fatalf("apply: %v %v, expected outcome applied", r, err)
		}
		again, err := sim.apply(sim.nodes[1], sim.firstRevision, sim.configText+"[Class Extra]\nTier = Low\nFirstToken = 9s\n", "second")
		if err != nil || again.Outcome != revision.Applied || again.Revision != r.Revision {
			t.Errorf("repeated apply: %v %v, expected outcome applied at revision %d", again, err, r.Revision)
		}
	})
}

// TestEngineBreaksStreams breaks streams between tokens and between the last
// token and the end mark, and answers with the ID of another request. The stream
// is resumed at its offset or run again at another engine.
func TestEngineBreaksStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults engine.Faults
	}{
		{"in the middle, resumed", engine.Faults{DropAfter: 4}},
		{"before the end mark", engine.Faults{DropEnd: true}},
		{"answers for another request", engine.Faults{WrongID: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, smallFleet, func(sim *simulation) {
				sim.startConfigured()
				sim.engines["engine-1"].SetFaults(c.faults)
				for n := range 12 {
					if outcome := sim.chat(sim.nodes[n%3], "A", "Rider", n, 10, n%2 == 0); outcome != "ok" {
						t.Errorf("request %d: outcome %s, expected ok", n, outcome)
					}
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// TestEngineUnreachable resets all connections of an engine in the middle of its
// streams and never lets it listen again: other engines complete the answers.
func TestEngineUnreachable(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		var wg sync.WaitGroup
		for n := range 9 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if outcome := sim.chat(sim.nodes[n%3], "A", "Rider", n, 100, n%2 == 0); outcome != "ok" {
					t.Errorf("request %d: outcome %s, expected ok", n, outcome)
				}
			}()
		}
		time.Sleep(time.Second)
		sim.network.resetHost("10.2.0.1")
		wg.Wait()
	})
}

// TestCallerStopsReading guards against callers that read nothing and keep their
// grants: their connections are closed within 10 min, and other requests are
// served meanwhile.
func TestCallerStopsReading(t *testing.T) {
	simulate(t, options{instances: 2, engines: 1, services: 1, queueLimit: 20, maxBatch: 4}, func(sim *simulation) {
		sim.startConfigured()
		node := sim.nodes[0]
		// The stream is larger than the buffer of the connection.
		body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"tokens=20000"}]}`
		for range 3 {
			c, err := sim.network.dialer("10.8.0.1")(context.Background(), "tcp", node.callerAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-A\r\nKnapweedwell-Class: Bulk\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		for n := range 30 {
			if outcome := sim.chat(node, "A", "Rider", n, 20, true); outcome != "ok" {
				t.Errorf("request %d: outcome %s, expected ok", n, outcome)
			}
		}
		sim.eventually(10*time.Minute, "the connections of callers that do not read are closed", func() bool { return node.instance().Dispatch.Running() == 0 })
	})
}
