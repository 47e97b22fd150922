package simulation

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedwell/revision"
	"knapweedwell/standin/platform"
)

// TestTicketsHandedOver guards against tickets that are lost in a planned stop,
// here during a platform outage: after the stop a used ticket gives the recorded
// answer at any peer, and an unused one still runs.
func TestTicketsHandedOver(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		sim.platform.SetFaults(platform.Faults{Outage: true})
		used, unused := sim.requestTicket(sim.nodes[0]), sim.requestTicket(sim.nodes[0])
		if outcome := sim.bookOnce(sim.nodes[0], "A", used, `{"Booking":1}`); outcome != "ok" {
			t.Fatalf("first booking: outcome %s, expected ok", outcome)
		}
		sim.stop(sim.nodes[0])
		for _, node := range sim.nodes[1:] {
			if outcome := sim.bookOnce(node, "A", used, `{"Booking":1}`); outcome != "ok" {
				t.Errorf("used ticket: outcome %s at %s, expected ok", outcome, node.name)
			}
			if outcome := sim.bookOnce(node, "A", unused, `{"Booking":2}`); outcome != "ok" {
				t.Errorf("unused ticket: outcome %s at %s, expected ok", outcome, node.name)
			}
		}
		sim.checkRuns()
	})
}

// TestTicketsAfterRollingRestart restarts every instance, so that tickets are
// handed over several times, also to instances that started after the tickets
// were issued.
func TestTicketsAfterRollingRestart(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		used, unused := sim.requestTicket(sim.nodes[0]), sim.requestTicket(sim.nodes[0])
		if outcome := sim.bookOnce(sim.nodes[0], "A", used, `{"Booking":1}`); outcome != "ok" {
			t.Fatalf("first booking: outcome %s, expected ok", outcome)
		}
		for _, node := range sim.nodes {
			sim.stop(node)
			sim.start(node)
			time.Sleep(10 * time.Second)
		}
		for _, node := range sim.nodes {
			if outcome := sim.bookOnce(node, "A", used, `{"Booking":1}`); outcome != "ok" {
				t.Errorf("used ticket: outcome %s at %s, expected ok", outcome, node.name)
			}
			if outcome := sim.bookOnce(node, "A", unused, `{"Booking":2}`); outcome != "ok" {
				t.Errorf("unused ticket: outcome %s at %s, expected ok", outcome, node.name)
			}
		}
		sim.checkRuns()
	})
}

// TestRollingRestart restarts all instances under load, each after a change of
// the configuration: every request is answered, and each change stays in force.
func TestRollingRestart(t *testing.T) {
	simulate(t, options{instances: 4, engines: 6, services: 2, queueLimit: 100, maxBatch: 8}, func(sim *simulation) {
		sim.startConfigured()
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, node := range sim.nodes {
				r, err := sim.apply(sim.pickLive(), -1, sim.configText+"# "+node.name+"\n[Class Extra]\nTier = Low\nFirstToken = 9s\nQueueTimeout = "+fmt.Sprint(len(node.name)+int(node.host[len(node.host)-1]))+"s\n", node.name)
				if err != nil || r.Outcome != revision.Applied {
					t.Errorf("apply: %v %v, expected outcome applied", r, err)
					return
				}
				sim.eventually(6*time.Second, "the change is in force on all instances", func() bool { return sim.inForce(r.Revision) })
				sim.stop(node)
				sim.start(node)
				sim.eventually(6*time.Second, "the restarted instance has the configuration", func() bool { return sim.inForce(r.Revision) })
			}
		}()
		sim.sendLoad(10, 100*time.Second)
		wg.Wait()
		sim.checkRuns()
		for outcome, n := range sim.outcomes {
			if !strings.HasSuffix(outcome, "ok") {
				t.Errorf("%d requests: outcome %s, expected ok\n%s", n, outcome, strings.Join(sim.trace, "\n"))
			}
		}
	})
}

// TestStopWaitsForAnswers guards against a planned stop that cuts off answers in
// progress: these take longer than the lifetime of an address answer.
func TestStopWaitsForAnswers(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if outcome := sim.chat(sim.nodes[0], "A", "Rider", n, 1500, n%2 == 0); outcome != "ok" {
					t.Errorf("request %d: outcome %s, expected ok", n, outcome)
				}
			}()
		}
		time.Sleep(time.Second)
		sim.stop(sim.nodes[0])
		wg.Wait()
	})
}
