package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"knapweedwell/revision"
	"knapweedwell/standin/platform"
)

// changedText returns a configuration that differs from the others by its number.
func (sim *simulation) changedText(n int) string {
	return sim.configText + fmt.Sprintf("[Class Extra]\nTier = Low\nFirstToken = 20s\nQueueTimeout = %dms\n", 1000+n)
}

// TestRestoredStoreKeepsChanges guards against a confirmed configuration that is lost, or
// whose number is given out again, because the store came back from a copy without it.
func TestRestoredStoreKeepsChanges(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration // before the store comes back
		raised int           // revisions that the store gives out again for other objects
	}{{"at once", 0, 0}, {"after an outage", 2 * time.Second, 0}, {"revisions given out again", 2 * time.Second, 30}} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, options{instances: 3, engines: 2, services: 1, queueLimit: 20, maxBatch: 4}, func(sim *simulation) {
				sim.startConfigured()
				time.Sleep(3 * time.Second)
				second := sim.changed(1, -1)
				time.Sleep(2 * time.Second)
				sim.platform.SetFaults(platform.Faults{Outage: c.outage > 0})
				sim.platform.Restore(2500*time.Millisecond, 0)
				time.Sleep(c.outage)
				for i := range c.raised {
					sim.platform.Put("other", "object", i)
				}
				sim.platform.SetFaults(platform.Faults{})
				time.Sleep(15 * time.Second)
				sim.expectText(1, second.Revision)
				third := sim.changed(2, sim.nodes[1].instance().Revisions.Revision())
				sim.eventually(3*time.Second, "the next change is in force", func() bool { return sim.inForce(third.Revision) })
				sim.expectText(2, second.Revision+1)
				_ = sim.nodes[2].instance().Close()
				sim.nodes[2].running = nil
				sim.start(sim.nodes[2])
				sim.eventually(5*time.Second, "a new instance has the change", func() bool { return sim.inForce(third.Revision) })
			})
		})
	}
}

// changed applies the configuration with a number and fails the test unless it is applied.
func (sim *simulation) changed(n int, base int64) *revision.Result {
	sim.t.Helper()
	r, err := sim.apply(sim.nodes[n%len(sim.nodes)], base, sim.changedText(n), fmt.Sprintf("change-%d", n))
	if err != nil || r.Outcome != revision.Applied {
		sim.t.Fatalf("apply: %+v %v, expected outcome applied", r, err)
	}
	return r
}

// expectText fails the test unless all instances have the configuration with a number, in a
// revision that is not lower than the given one.
func (sim *simulation) expectText(n int, lowest int64) {
	sim.t.Helper()
	for _, node := range sim.nodes {
		s := node.instance().Revisions.Current()
		if s.Text != sim.changedText(n) || s.Revision < lowest {
			sim.t.Errorf("%s has revision %d with another text than change %d, expected at least %d", node.name, s.Revision, n, lowest)
		}
	}
}

// TestRandomRestores runs a fleet under random faults while the store comes back from copies,
// and asserts that no confirmed change is lost and no booking runs twice.
func TestRandomRestores(t *testing.T) {
	const length = 2 * time.Minute
	for seed := range seeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulateSeed(t, seed, options{instances: 4, engines: 3, services: 3, queueLimit: 20, maxBatch: 4}, func(sim *simulation) {
				sim.startConfigured()
				inj := &faultInjector{sim: sim, rng: rand.New(rand.NewPCG(seed, 2)), deadline: time.Now().Add(length)}
				var wg sync.WaitGroup
				wg.Go(func() { sim.restoreOften(inj) })
				wg.Go(func() { sim.cutOften(inj) })
				var confirmed []string
				wg.Go(func() { confirmed = sim.changeOften(inj) })
				sim.sendLoad(10, length)
				wg.Wait()
				sim.network.restoreAll()
				time.Sleep(30 * time.Second)
				sim.checkRuns()
				sim.checkBookings()
				sim.checkConfirmed(confirmed)
			})
		})
	}
}

// restoreOften lets the store come back from a copy, with and without an outage.
func (sim *simulation) restoreOften(inj *faultInjector) {
	for time.Now().Before(inj.deadline) {
		time.Sleep(inj.randomDuration(15000, 30000))
		sim.countFault("restore")
		if inj.randomInt(2) == 0 {
			sim.platform.SetFaults(platform.Faults{Outage: true})
		}
		sim.platform.Restore(inj.randomDuration(1000, 10000), 0)
		time.Sleep(inj.randomDuration(100, 3000))
		sim.platform.SetFaults(platform.Faults{})
	}
}

// cutOften isolates instances, and cuts them off from the store.
func (sim *simulation) cutOften(inj *faultInjector) {
	for time.Now().Before(inj.deadline) {
		time.Sleep(inj.randomDuration(1000, 8000))
		if inj.randomInt(2) == 0 {
			inj.cutFromPlatform()
		} else {
			inj.isolateNode()
		}
	}
}

// changeOften applies changes and returns the IDs of those that were confirmed.
func (sim *simulation) changeOften(inj *faultInjector) []string {
	var confirmed []string
	for n := 1; time.Now().Before(inj.deadline); n++ {
		time.Sleep(inj.randomDuration(2000, 8000))
		node := sim.pickLive()
		id := fmt.Sprintf("change-%d", n)
		r, err := sim.apply(node, node.instance().Revisions.Revision(), sim.changedText(n), id)
		if err != nil {
			continue
		}
		sim.countFault("apply " + string(r.Outcome))
		if r.Outcome == revision.Applied {
			confirmed = append(confirmed, id)
		}
	}
	return confirmed
}

// checkConfirmed checks that all instances have the same configuration, which holds all
// confirmed changes.
func (sim *simulation) checkConfirmed(confirmed []string) {
	if len(confirmed) == 0 {
		sim.errorf("no change was confirmed")
	}
	for _, node := range sim.nodes {
		s := node.instance().Revisions.Current()
		for _, id := range confirmed {
			if !slices.ContainsFunc(s.History, func(e revision.Entry) bool { return e.ChangeID == id }) {
				sim.errorf("%s has revision %d without the confirmed %s", node.name, s.Revision, id)
			}
		}
	}
}
