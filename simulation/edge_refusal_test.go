package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"knapweedwell/edge"
	"knapweedwell/standin/platform"
)

// TestRandomRefusals guards against instances that could reach the store and do not, while
// those that follow it are turned away. The store turns random instances away, is away for
// short times and comes back from copies; a configuration that is written 4 s after the last
// of these must be in force at all instances within 2.5 s, and an upstream that has left may
// not be used then.
func TestRandomRefusals(t *testing.T) {
	const (
		settle = 4 * time.Second
		limit  = 2500 * time.Millisecond
	)
	for _, c := range []struct {
		instances int
		zones     []string
		steps     int
	}{
		{3, []string{"z0"}, 25},
		{7, []string{"z0", "z1", "z2"}, 25},
		{40, []string{"z0", "z1", "z2", "z3"}, 8},
	} {
		for seed := range seeds(1) {
			t.Run(fmt.Sprintf("%d instances, seed %d", c.instances, seed), func(t *testing.T) {
				t.Parallel()
				simulateZones(t, c.instances, c.zones, func(sim *routeSimulation) {
					rng := rand.New(rand.NewPCG(seed, uint64(c.instances)))
					for n := range c.steps {
						sim.refuseRandomly(rng)
						time.Sleep(settle)
						sim.writeRoutes()
						leaves := fmt.Sprintf("calls-%d", n%2)
						sim.putEntryBorn(leaves, "calls", "draining", n, 8)
						sim.eventually(limit, "the configuration is in force and the upstream is not used", func() bool {
							return sim.rejected(leaves) && !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool {
								return i.Routing.Version() < sim.routesVersion
							})
						})
						sim.putEntryBorn(leaves, "calls", "ready", n+1, 8)
					}
				})
			})
		}
	}
}

// seeds returns the seeds of a random test: the first n, or KNAPWEEDWELL_SEEDS of them.
func seeds(n uint64) uint64 {
	if text := os.Getenv("KNAPWEEDWELL_SEEDS"); text != "" {
		if more, err := strconv.ParseUint(text, 10, 64); err == nil {
			return more
		}
	}
	return n
}

// refuseRandomly lets the store turn away some of the instances, but not all, after a short
// outage at times, from which it may come back as a copy.
func (sim *routeSimulation) refuseRandomly(rng *rand.Rand) {
	away := map[string]bool{}
	for _, i := range rng.Perm(len(sim.instances))[:rng.IntN(len(sim.instances))] {
		away[host(sim.instances[i].Settings.Caller)] = true
	}
	if rng.IntN(2) == 0 {
		sim.store.SetFaults(platform.Faults{Outage: true, TurnedAway: away})
		time.Sleep(time.Duration(100+rng.IntN(1400)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			sim.store.Restore(time.Duration(rng.IntN(8000))*time.Millisecond, time.Duration(rng.IntN(1000))*time.Millisecond)
		}
	}
	sim.store.SetFaults(platform.Faults{TurnedAway: away})
}
