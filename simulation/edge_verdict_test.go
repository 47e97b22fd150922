package simulation

import (
	"testing"
	"time"

	"knapweedwell/edge"
	"knapweedwell/quarantine"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

const (
	verdictPart = "dead" // the part of the verdicts in hex
	verdictID   = 0xdead
)

// convict gives an instance a verdict on the part, as if it had found it.
func (sim *routeSimulation) convict(instance int, length time.Duration) {
	now := time.Now()
	sim.instances[instance].Quarantine.Apply(now, []quarantine.Fact{quarantine.Convicted{Trait: verdictID, At: now, Until: now.Add(length), Crashes: 5}})
	sim.instances[instance].Exchange.ShareFacts()
}

// knows reports whether an instance has a verdict in force.
func (sim *routeSimulation) knows(instance int) bool {
	return len(sim.instances[instance].Quarantine.Verdicts(time.Now())) == 1
}

// restartAll ends all instances at once and starts them again.
func (sim *routeSimulation) restartAll() {
	for i := range sim.instances {
		_ = sim.instances[i].Close()
	}
	n := len(sim.instances)
	sim.instances = nil
	for i := range n {
		sim.startInstance(i)
	}
}

// expectWithheld sends requests with the part to an instance for a while, and fails the
// test if one of them reaches an upstream.
func (sim *routeSimulation) expectWithheld(instance int, prefix string, span time.Duration) {
	sim.t.Helper()
	n := 0
	for start := time.Now(); time.Since(start) < span; n++ {
		id := prefix + itoa(n)
		sim.send(request{instance: instance, path: "/talk/1?events=2", id: id, header: map[string]string{
			"X-Knapweedwell-Prompt-Prefix": verdictPart + ":1000,77:100", "X-Knapweedwell-Token-Usage": "1100,20",
		}})
		if sim.runCount(id) > 0 {
			sim.t.Errorf("request %s with the part ran %s after the start", id, time.Since(start))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestVerdictOutlastsAllInstances guards against verdicts that are lost when all instances
// end at once. It also bounds the writes to the store for a verdict.
func TestVerdictOutlastsAllInstances(t *testing.T) {
	simulateRoutes(t, 5, func(sim *routeSimulation) {
		before := sim.store.Calls()
		sim.convict(3, time.Minute)
		sim.eventually(time.Second, "all know the verdict", func() bool {
			for i := range sim.instances {
				if !sim.knows(i) {
					return false
				}
			}
			return true
		})
		time.Sleep(2 * time.Second)
		after := sim.store.Calls()
		if n := after["POST"] + after["PUT"] - before["POST"] - before["PUT"]; n < 1 || n > 3 {
			t.Errorf("%d writes to the store for a verdict, expected 1 to 3", n)
		}
		sim.restartAll()
		sim.expectWithheld(0, "r", 2*time.Second)
		for i := range sim.instances {
			if !sim.knows(i) || !sim.instances[i].Live() {
				t.Errorf("instance %d: knows the verdict %t, live %t", i, sim.knows(i), sim.instances[i].Live())
			}
		}
	})
}

// TestVerdictAfterRestartInOutage guards against a started instance that sends requests
// before it has asked a peer for the verdicts.
func TestVerdictAfterRestartInOutage(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		sim.store.SetFaults(platform.Faults{Outage: true})
		sim.convict(1, time.Minute)
		time.Sleep(time.Second)
		_ = sim.instances[0].Close()
		sim.instances = append(sim.instances[:0], sim.startInstanceAgain(0), sim.instances[1], sim.instances[2])
		sim.expectWithheld(0, "r", 2*time.Second)
		if !sim.knows(0) || !sim.instances[0].Live() {
			t.Errorf("started instance: knows the verdict %t, live %t", sim.knows(0), sim.instances[0].Live())
		}
	})
}

// startInstanceAgain starts an instance and returns it without adding it to the list.
func (sim *routeSimulation) startInstanceAgain(i int) *edge.Instance {
	in := sim.startInstance(i)
	sim.instances = sim.instances[:len(sim.instances)-1]
	return in
}

// TestVerdictReachesCutOffInstance cuts an instance off from all others, but not from the
// store. It guards against verdicts that travel between instances only.
func TestVerdictReachesCutOffInstance(t *testing.T) {
	const limit = 4 * time.Second
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		for i := range 2 {
			sim.network.setCut("10.1.0.3", "10.1.0."+itoa(i+1), true)
			sim.network.setCut("10.1.0."+itoa(i+1), "10.1.0.3", true)
		}
		time.Sleep(time.Second)
		sim.convict(0, time.Minute)
		sim.eventually(limit, "the instance that is cut off knows the verdict", func() bool { return sim.knows(2) })
	})
}

// TestVerdictFoundInStoreOutage finds a verdict while the store does not answer, and ends
// all instances after its return. It guards against verdicts that are written only once.
func TestVerdictFoundInStoreOutage(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		sim.store.SetFaults(platform.Faults{Outage: true})
		sim.convict(0, 10*time.Minute)
		time.Sleep(20 * time.Second)
		sim.store.SetFaults(platform.Faults{LoseAnswers: 2})
		time.Sleep(8 * time.Second)
		sim.restartAll()
		sim.expectWithheld(1, "r", 2*time.Second)
	})
}

// TestVerdictEndedByHand deletes the object of a verdict, which ends it everywhere.
func TestVerdictEndedByHand(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		sim.convict(0, 10*time.Minute)
		time.Sleep(3 * time.Second)
		sim.store.Delete("quarantine", verdictPart)
		sim.eventually(8*time.Second, "no instance has the verdict", func() bool { return !sim.knows(0) && !sim.knows(1) && !sim.knows(2) })
		time.Sleep(3 * time.Second)
		if sim.knows(0) || sim.knows(1) || sim.knows(2) {
			t.Error("the verdict is back")
		}
	})
}

// TestVerdictAfterCut reconnects an instance that reached neither the others nor the store
// when there was a verdict. It guards against requests that it sends after the cut because
// nobody told it.
func TestVerdictAfterCut(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		others := []string{"10.1.0.1", "10.1.0.2", host(platformAddress)}
		setCut := func(cut bool) {
			for _, h := range others {
				sim.network.setCut("10.1.0.3", h, cut)
				sim.network.setCut(h, "10.1.0.3", cut)
			}
		}
		setCut(true)
		sim.convict(0, time.Minute)
		time.Sleep(5 * time.Second)
		if sim.knows(2) {
			t.Error("the instance knows the verdict in the cut")
		}
		setCut(false)
		sim.eventually(2*time.Second, "the instance knows the verdict after the cut", func() bool { return sim.knows(2) })
	})
}

// TestVerdictOutlastsItsWriters ends all instances but one at the moment of a verdict, and
// later that one.
func TestVerdictOutlastsItsWriters(t *testing.T) {
	simulateRoutes(t, 4, func(sim *routeSimulation) {
		sim.store.SetFaults(platform.Faults{LateWrites: 1})
		sim.convict(3, time.Minute)
		time.Sleep(100 * time.Millisecond)
		for i := range 3 {
			_ = sim.instances[i].Close()
		}
		time.Sleep(8 * time.Second)
		_ = sim.instances[3].Close()
		sim.instances = nil
		sim.startInstance(0)
		sim.expectWithheld(0, "r", 2*time.Second)
	})
}

// TestTrialByOneInstance ends a verdict by time, and sends requests with the part to all
// instances. One of them reaches an upstream at a time, and its answer ends the verdict.
func TestTrialByOneInstance(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		sim.convict(0, 3*time.Second)
		time.Sleep(4 * time.Second)
		sim.setFaults("model", runner.Faults{Delay: 2 * time.Second, Pause: 200 * time.Millisecond})
		tr := &traffic{sim: sim}
		for n := range 30 {
			tr.stream(n%3, "deadly-"+itoa(n), "aa", verdictPart)
			time.Sleep(50 * time.Millisecond)
		}
		ran := 0
		for n := range 30 {
			ran += min(sim.runCount("deadly-"+itoa(n)), 1)
		}
		if ran != 1 {
			t.Errorf("%d requests with the part ran, expected 1", ran)
		}
		tr.wg.Wait()
		sim.eventually(3*time.Second, "requests with the part are served again", func() bool {
			for i := range sim.instances {
				if len(sim.instances[i].Quarantine.Facts(time.Now())) > 1 {
					return false
				}
			}
			return sim.send(request{instance: 1, path: "/talk/1?events=2", id: "again", header: map[string]string{
				"X-Knapweedwell-Prompt-Prefix": "aa:1000,dead:500,1:100", "X-Knapweedwell-Token-Usage": "1600,20",
			}}).status == 200
		})
	})
}
