package simulation

import (
	"fmt"
	"testing"
	"time"

	"knapweedwell/standin/platform"
)

// TestRestoredStoreInAnyFirstEra guards against instances that never change their lists of upstreams
// again, or use upstreams that leave, because the first era of a store that comes back from a copy
// has a number that was taken for "no era named", or one that the messages among instances cannot hold.
func TestRestoredStoreInAnyFirstEra(t *testing.T) {
	for _, first := range []int64{0, 1, 7, 1<<30 - 1, 1<<31 - 1, 1<<31 + 5, 1 << 41} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			simulateStore(t, storeNumbers{firstEra: first, firstVersion: 1}, 6, []string{"z0"}, nil, func(sim *routeSimulation) {
				sim.raiseRevision(20)
				time.Sleep(5 * time.Second)
				sim.startRunner("calls-new", "calls")
				sim.putEntry("calls-0", "calls", "draining")
				sim.eventually(leavingLimit, "the first changes are in force", func() bool { return sim.accepted("calls-new") && sim.rejected("calls-0") })
				time.Sleep(time.Second)
				sim.store.SetFaults(platform.Faults{Outage: true})
				sim.store.Restore(9*time.Second, 0)
				time.Sleep(500 * time.Millisecond)
				sim.store.SetFaults(platform.Faults{})
				time.Sleep(5 * time.Second)
				if !sim.rejected("calls-0") {
					t.Error("an upstream that leaves is used again")
				}
				sim.putEntry("calls-1", "calls", "draining")
				sim.eventually(leavingLimit, "a change after the restore is in force", func() bool { return sim.rejected("calls-1") })
				sim.startRunner("calls-next", "calls")
				sim.store.Delete("servers", "calls-2")
				sim.eventually(leavingLimit, "the next changes are in force", func() bool { return sim.accepted("calls-next") && sim.rejected("calls-2") })
				sim.restartAll()
				time.Sleep(2 * time.Second)
				sim.store.Delete("servers", "calls-next")
				sim.eventually(leavingLimit, "a change after a restart is in force", func() bool { return sim.rejected("calls-next") })
			})
		})
	}
}
