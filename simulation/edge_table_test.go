package simulation

import (
	"testing"
	"time"
)

const (
	thinLink = 10e6 / 8 // bytes a second
	// changeDeadline is the time in which a change must be in force on the platform's
	// large sites.
	changeDeadline = 4 * time.Second
)

// TestLargeTableInForceInTime guards against a large table that is late on instances with
// thin links.
func TestLargeTableInForceInTime(t *testing.T) {
	simulateRoutes(t, 0, func(sim *routeSimulation) {
		sim.startThinFleet(76)
		sim.addedRoutes = 1400
		sim.writeRoutes()
		sim.expectInForce(changeDeadline)
		sim.writeRoutes()
		sim.expectInForce(changeDeadline)
	})
}

// startThinFleet starts n instances with thin links in three availability zones.
func (sim *routeSimulation) startThinFleet(n int) {
	sim.zones = []string{"z0", "z1", "z2"}
	sim.changeDeadline = changeDeadline
	for i := range n {
		in := sim.startInstance(i)
		sim.network.setRate(host(in.Settings.Peer), thinLink)
	}
	time.Sleep(4 * time.Second)
}

// expectInForce fails the test unless all instances have the last version of the routes
// within the time.
func (sim *routeSimulation) expectInForce(within time.Duration) {
	sim.t.Helper()
	start := time.Now()
	late := len(sim.instances)
	for late > 0 && time.Since(start) < within {
		time.Sleep(10 * time.Millisecond)
		late = 0
		for _, in := range sim.instances {
			if in.Routing.Version() != sim.routesVersion {
				late++
			}
		}
	}
	if late > 0 {
		sim.t.Errorf("%d of %d instances do not have version %d after %s", late, len(sim.instances), sim.routesVersion, within)
		return
	}
	sim.t.Logf("version %d is in force after %s", sim.routesVersion, time.Since(start))
}
