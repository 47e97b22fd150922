package simulation

import (
	"slices"
	"testing"
	"time"

	"knapweedwell/edge"
	"knapweedwell/standin/platform"
)

// leavingLimit is the time after which an upstream whose entry was removed gets no new work.
const leavingLimit = 2500 * time.Millisecond

// expectDropped checks that no instance uses an upstream later than leavingLimit after its
// entry was removed.
func (sim *routeSimulation) expectDropped(id string, removedAt time.Time) {
	sim.t.Helper()
	time.Sleep(time.Until(removedAt.Add(leavingLimit)))
	if !sim.rejected(id) {
		sim.t.Errorf("%s is used %s after its removal", id, leavingLimit)
	}
}

// injectFor injects faults into the store for a time.
func (sim *routeSimulation) injectFor(d time.Duration, f platform.Faults) {
	sim.store.SetFaults(f)
	time.AfterFunc(d, func() { sim.store.SetFaults(platform.Faults{}) })
}

// TestDisturbedWatchesRetainNothing guards against an upstream that is used for too long after
// its removal because calls to the store failed around it, though too shortly for any entry to
// expire.
func TestDisturbedWatchesRetainNothing(t *testing.T) {
	const period = 1800 * time.Millisecond // between two disturbances
	cut := func(sim *routeSimulation) { sim.store.CutWatches() }
	refuse := func(sim *routeSimulation) { sim.injectFor(50*time.Millisecond, platform.Faults{Outage: true}) }
	silence := func(sim *routeSimulation) { sim.injectFor(time.Second, platform.Faults{DeafWatches: true}) }
	compact := func(sim *routeSimulation) {
		sim.store.Compact()
		sim.store.CutWatches()
	}
	one, two := []string{"calls-0"}, []string{"calls-0", "calls-1"}
	for _, c := range []struct {
		name    string
		disturb func(*routeSimulation)
		removed []string
		before  time.Duration // from a disturbance to the removal
	}{
		{"watches cut off before", cut, one, 300 * time.Millisecond},
		{"watches cut off", cut, one, 0},
		{"watches cut off before, two removed", cut, two, 300 * time.Millisecond},
		{"watches cut off, two removed", cut, two, 0},
		{"calls refused before", refuse, one, 300 * time.Millisecond},
		{"calls refused", refuse, one, 20 * time.Millisecond},
		{"calls refused, two removed", refuse, two, 20 * time.Millisecond},
		{"watches silent", silence, one, 20 * time.Millisecond},
		{"watches silent, two removed", silence, two, 20 * time.Millisecond},
		{"history dropped before", compact, one, 300 * time.Millisecond},
		{"history dropped", compact, two, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 3, func(sim *routeSimulation) {
				time.Sleep(5 * time.Second)
				c.disturb(sim)
				time.Sleep(c.before)
				for _, id := range c.removed {
					sim.store.Delete("servers", id)
				}
				removedAt := time.Now()
				time.Sleep(period - c.before)
				c.disturb(sim)
				for _, id := range c.removed {
					sim.expectDropped(id, removedAt)
				}
			})
		})
	}
}

// TestOutageRetainsExpired guards against the loss of upstreams whose entries expired in an
// outage of the store, whatever their share, and against one that is used for longer because
// calls fail once more.
func TestOutageRetainsExpired(t *testing.T) {
	const retained = 1900 * time.Millisecond // time after the return for which an entry is certainly used
	for _, c := range []struct {
		name   string
		outage platform.Faults
	}{{"refusing", platform.Faults{Outage: true}}, {"silent", platform.Faults{Silent: true}}} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 3, func(sim *routeSimulation) {
				time.Sleep(5 * time.Second)
				sim.store.SetFaults(c.outage)
				time.Sleep(3500 * time.Millisecond)
				sim.store.Delete("servers", "calls-0")
				sim.store.SetFaults(platform.Faults{})
				returned := time.Now()
				time.Sleep(retained)
				if !sim.accepted("calls-0") {
					t.Error("the expired entry is not used until its upstream can have written it again")
				}
				sim.store.CutWatches()
				// The store's return is noticed within the longest pause between two calls.
				sim.expectDropped("calls-0", returned.Add(600*time.Millisecond))
			})
		})
	}
}

// TestCutWatchesDelayNoRoutes guards against routes that are in force late because watches are
// cut off again and again.
func TestCutWatchesDelayNoRoutes(t *testing.T) {
	const limit = 2500 * time.Millisecond
	for _, period := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(period.String(), func(t *testing.T) {
			simulateRoutes(t, 4, func(sim *routeSimulation) {
				time.Sleep(2 * time.Second)
				done := make(chan struct{})
				defer close(done)
				go func() {
					for ticker := time.NewTicker(period); ; {
						select {
						case <-done:
							ticker.Stop()
							return
						case <-ticker.C:
							sim.store.CutWatches()
						}
					}
				}()
				for range 3 {
					sim.writeRoutes()
					sim.eventually(limit, "the configuration is in force", func() bool {
						return !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool { return i.Routing.Version() < sim.routesVersion })
					})
				}
			})
		})
	}
}
