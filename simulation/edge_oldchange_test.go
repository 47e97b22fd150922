package simulation

import (
	"fmt"
	"testing"
	"time"
)

// TestCutInstanceRevivesNothing guards against an upstream that has left and that all instances
// use again, because one that was cut off from the store reads old changes of it when the cut
// ends. Its entry is written, and removed, within the cut.
func TestCutInstanceRevivesNothing(t *testing.T) {
	const (
		instances = 5
		cutTime   = 3500 * time.Millisecond
		watched   = 6 * time.Second // after the cut
	)
	for _, c := range []struct {
		name   string
		change func(sim *routeSimulation) // of the entry of calls-0, which is removed after it
		pause  time.Duration              // between change and removal
	}{
		{"written", func(sim *routeSimulation) { sim.putEntryBorn("calls-0", "calls", "ready", 1, 9) }, 400 * time.Millisecond},
		{"written, two answers", func(sim *routeSimulation) { sim.putEntryBorn("calls-0", "calls", "ready", 1, 9) }, 1500 * time.Millisecond},
		{"started again", func(sim *routeSimulation) { sim.putEntryBorn("calls-0", "calls", "ready", 2, 8) }, 400 * time.Millisecond},
		{"removed and back", func(sim *routeSimulation) {
			sim.store.Delete("servers", "calls-0")
			sim.putEntryBorn("calls-0", "calls", "ready", 1, 8)
		}, 400 * time.Millisecond},
	} {
		for i := range instances {
			t.Run(fmt.Sprintf("%s, entry-%d", c.name, i+1), func(t *testing.T) {
				simulateRoutes(t, instances, func(sim *routeSimulation) {
					time.Sleep(2 * time.Second)
					cut := host(sim.instances[i].Settings.Caller)
					sim.cutFromStore(cut, true)
					cutAt := time.Now()
					time.Sleep(300 * time.Millisecond)
					c.change(sim)
					time.Sleep(c.pause)
					sim.store.Delete("servers", "calls-0")
					removedAt := time.Now()
					time.Sleep(time.Until(cutAt.Add(cutTime)))
					sim.cutFromStore(cut, false)
					sim.expectDropped("calls-0", removedAt)
					for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if !sim.rejected("calls-0") {
							sim.t.Fatalf("calls-0 is used again %s after its removal", time.Since(removedAt))
						}
					}
				})
			})
		}
	}
}

// cutFromStore cuts the link between a host and the store, or restores it.
func (sim *routeSimulation) cutFromStore(h string, cut bool) {
	store := host(platformAddress)
	sim.network.setCut(h, store, cut)
	sim.network.setCut(store, h, cut)
}
