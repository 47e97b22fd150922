package simulation

import (
	"testing"
	"time"

	"knapweedwell/standin/dutyapi"
)

// scaleCalls returns the orders that the platform accepted.
func scaleCalls(api *dutyapi.Server) []dutyapi.Call {
	var calls []dutyapi.Call
	for _, c := range api.Calls() {
		if c.Path == "/scale" {
			calls = append(calls, c)
		}
	}
	return calls
}

// TestUpstreamsOrdered guards against orders that nobody or more than one instance sends, against
// orders for a service without autoscaling, and against a successor that goes on with the returns
// of its predecessor without looking.
func TestUpstreamsOrdered(t *testing.T) {
	simulateDuties(t, 4, []string{"z0"}, func(sim *routeSimulation, api *dutyapi.Server) {
		sim.traffic(15*time.Second, 4)
		if n := len(scaleCalls(api)); n > 0 {
			t.Errorf("%d orders for services without autoscaling", n)
		}
		sim.autoscaling = map[string]any{"min_replicas": 1, "max_replicas": 8, "boot_s": 2.0, "zone_prices": map[string]any{"z0": 1.0}}
		sim.writeRoutes()
		sim.traffic(15*time.Second, 4)
		calls := scaleCalls(api)
		if len(calls) == 0 {
			t.Fatal("no order although three upstreams serve what one can")
		}
		for _, c := range calls {
			if c.Subject != "calls/z0" || c.Desired != 2 || c.Holder != calls[0].Holder {
				t.Errorf("order %+v, expected one of three upstreams to be given back by one holder", c)
			}
		}
		sim.store.Delete("servers", "calls-2")
		sim.closeHolder()
		before := len(scaleCalls(api))
		closed := time.Now()
		for time.Since(closed) < 20*time.Second {
			sim.traffic(time.Second, 1)
		}
		after := scaleCalls(api)[before:]
		if len(after) == 0 {
			t.Fatal("no order by the successor")
		}
		for _, c := range after {
			if c.Holder == calls[0].Holder || c.Token <= calls[0].Token || c.Desired != 1 || c.At.Sub(closed) < 4*time.Second {
				t.Errorf("order %+v %s after the end of the holder", c, c.At.Sub(closed))
			}
		}
	})
}
