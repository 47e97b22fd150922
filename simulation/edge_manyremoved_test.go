package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedwell/standin/platform"
)

// lossOfFollowers is a way in which instances that follow the store cease to.
type lossOfFollowers int

const (
	cutOffSilently lossOfFollowers = iota // from the store
	refused                               // by the store, which resets their connections
	isolated                              // from the store and all others, as if killed
)

// lose makes instances cease to follow the store.
func (sim *routeSimulation) lose(followers []string, how lossOfFollowers) {
	for _, h := range followers {
		switch how {
		case cutOffSilently:
			sim.cutFromStore(h, true)
		case refused:
			sim.cutFromStore(h, true)
			sim.network.resetHost(h)
		case isolated:
			sim.network.setCut("*", h, true)
			sim.network.setCut(h, "*", true)
		}
	}
}

// TestManyRemovedWhileFollowersAreLost guards against upstreams that are used for too long after they
// have left, because many left while the instances that follow the store were lost, and those that
// took over held that for entries that had expired in an outage.
func TestManyRemovedWhileFollowersAreLost(t *testing.T) {
	const instances = 6
	for _, how := range []lossOfFollowers{cutOffSilently, refused, isolated} {
		for _, lost := range []int{1, 2} {
			for _, before := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond} {
				for _, outage := range []bool{false, true} {
					name := fmt.Sprintf("loss %d of %d, removed after %s, outage before %t", how, lost, before, outage)
					t.Run(name, func(t *testing.T) {
						simulateRoutes(t, instances, func(sim *routeSimulation) {
							sim.checkManyRemoved(how, lost, before, outage)
						})
					})
				}
			}
		}
	}
}

// checkManyRemoved loses followers and then a third of all upstreams, and fails the test if another
// instance uses one of these for too long.
func (sim *routeSimulation) checkManyRemoved(how lossOfFollowers, lost int, before time.Duration, outage bool) {
	time.Sleep(5 * time.Second)
	if outage {
		sim.store.SetFaults(platform.Faults{Outage: true})
		time.Sleep(1500 * time.Millisecond)
		sim.store.SetFaults(platform.Faults{})
		time.Sleep(5700 * time.Millisecond)
	}
	followers := sim.followers()[:lost]
	sim.lose(followers, how)
	time.Sleep(before)
	removed := []string{"calls-0", "model-1"}
	for _, id := range removed {
		sim.store.Delete("servers", id)
	}
	time.Sleep(leavingLimit)
	sim.checkNotUsed(followers, removed)
}

// checkNotUsed fails the test if an instance other than the lost ones uses a removed upstream.
func (sim *routeSimulation) checkNotUsed(lost, removed []string) {
	for _, i := range sim.instances {
		if slices.Contains(lost, host(i.Settings.Caller)) {
			continue
		}
		if slices.ContainsFunc(removed, i.Roster.Current().Accepts) {
			sim.t.Errorf("%s uses a removed upstream %s after its removal", i.Settings.Name, leavingLimit)
		}
	}
}
