package simulation

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"knapweedwell/edge"
)

// TestVersionsOfAnySize guards against configurations that are not in force in time, and against
// instances that do not hear each other, because the number of a version was taken for "none yet" or
// is one that a message among instances cannot hold.
func TestVersionsOfAnySize(t *testing.T) {
	const heardLimit = 2 * time.Second
	written := time.Date(2026, time.December, 7, 0, 0, 0, 1, time.UTC)
	for _, first := range []int64{0, 1, 1 << 32, 1 << 40, 1<<53 + 1, written.UnixMilli(), written.UnixNano(), math.MaxInt64 - 1} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			simulateStore(t, storeNumbers{firstEra: 1, firstVersion: first}, 6, []string{"z0"}, nil, func(sim *routeSimulation) {
				inForce := func(version int64) bool {
					return !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool {
						table := i.Routing.Current()
						return table == nil || table.Version != version
					})
				}
				if !inForce(first) {
					t.Fatal("the first configuration is not in force")
				}
				if n := len(sim.followers()); n != 2 {
					t.Errorf("%d instances follow the store as if they did not hear the others, expected 2", n)
				}
				sim.cutFromStore(host(sim.startInstance(6).Settings.Caller), true)
				sim.eventually(heardLimit, "an instance that is cut off from the store has the configuration", func() bool { return inForce(first) })
				sim.writeRoutes()
				sim.eventually(changeDeadline, "the next configuration is in force", func() bool { return inForce(first + 1) })
			})
		})
	}
}
