package simulation

import (
	"fmt"
	"testing"
	"time"

	"knapweedwell/standin/platform"
)

// TestFirstCallOfSuccessorFails guards against an upstream that is used for too long after its removal,
// because the first call to the store of an instance that took over failed, and the instance held its
// own idleness before for an outage.
func TestFirstCallOfSuccessorFails(t *testing.T) {
	const (
		instances = 6
		failure   = 150 * time.Millisecond // of the store
	)
	for _, removed := range []string{"calls-0", "model-1"} {
		for _, before := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
			for at := 600 * time.Millisecond; at <= 1400*time.Millisecond; at += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("%s removed after %s, store away after %s", removed, before, at), func(t *testing.T) {
					simulateRoutes(t, instances, func(sim *routeSimulation) {
						time.Sleep(5 * time.Second)
						followers := sim.followers()[:2]
						sim.lose(followers, isolated)
						lostAt := time.Now()
						time.Sleep(before)
						sim.store.Delete("servers", removed)
						removedAt := time.Now()
						time.Sleep(time.Until(lostAt.Add(at)))
						sim.injectFor(failure, platform.Faults{Outage: true})
						time.Sleep(time.Until(removedAt.Add(leavingLimit)))
						sim.checkNotUsed(followers, []string{removed})
					})
				})
			}
		}
	}
}
