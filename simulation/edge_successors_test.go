package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/edge"
)

// TestSuccessorsCut guards against instances that reach the store and act on an old configuration, or
// use an upstream that has left, because those that follow the store are cut off from it together
// with those that are next to follow it.
func TestSuccessorsCut(t *testing.T) {
	const (
		instances = 7
		limit     = 2500 * time.Millisecond
		cutTime   = 5500 * time.Millisecond
	)
	for cut := 1; cut <= 4; cut++ {
		t.Run(fmt.Sprintf("%d cut off", cut), func(t *testing.T) {
			simulateRoutes(t, instances, func(sim *routeSimulation) {
				time.Sleep(2 * time.Second)
				order := slices.SortedFunc(slices.Values(sim.instances), func(a, b *edge.Instance) int {
					return cmp.Compare(xxhash.Sum64String(a.Settings.Name), xxhash.Sum64String(b.Settings.Name))
				})
				for _, i := range order[:cut] {
					sim.cutFromStore(host(i.Settings.Caller), true)
				}
				time.Sleep(100 * time.Millisecond)
				sim.writeRoutes()
				sim.store.Delete("servers", "calls-0")
				changed := time.Now()
				sim.eventually(limit, "the changes are in force", func() bool {
					return !slices.ContainsFunc(order[cut:], func(i *edge.Instance) bool {
						return i.Routing.Version() < sim.routesVersion || i.Roster.Current().Accepts("calls-0")
					})
				})
				time.Sleep(time.Until(changed.Add(cutTime)))
			})
		})
	}
}
