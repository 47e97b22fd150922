package simulation

import (
	"fmt"
	"testing"
	"time"

	"knapweedwell/follow"
	"knapweedwell/standin/platform"
)

// TestFormerOutageRetainsNothing guards against an upstream that is used for too long after its
// removal, because an instance that begins to follow the store remembers an outage that is over for
// all others. The two that followed it are cut off.
func TestFormerOutageRetainsNothing(t *testing.T) {
	const instances = 6
	for _, outage := range []platform.Faults{{Outage: true}, {Silent: true}} {
		for _, length := range []time.Duration{1500 * time.Millisecond, 3500 * time.Millisecond} {
			for _, pause := range []time.Duration{3 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("silent %t, %s, %s", outage.Silent, length, pause), func(t *testing.T) {
					simulateRoutes(t, instances, func(sim *routeSimulation) {
						time.Sleep(2 * time.Second)
						sim.store.SetFaults(outage)
						time.Sleep(length)
						sim.store.SetFaults(platform.Faults{})
						time.Sleep(pause)
						followers := sim.followers()
						for _, h := range followers {
							sim.cutFromStore(h, true)
						}
						time.Sleep(100 * time.Millisecond)
						sim.store.Delete("servers", "calls-0")
						sim.expectDropped("calls-0", time.Now())
						for _, h := range followers {
							sim.cutFromStore(h, false)
						}
					})
				})
			}
		}
	}
}

// followers returns the hosts of the instances that follow the store.
func (sim *routeSimulation) followers() []string {
	var hosts []string
	for _, i := range sim.instances {
		if i.Exchange.Role() == follow.Alert {
			hosts = append(hosts, host(i.Settings.Caller))
		}
	}
	return hosts
}
