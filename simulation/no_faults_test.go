package simulation

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNoFaults checks that every request is answered if no fault is injected.
func TestNoFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, options{instances: 4, engines: 6, services: 2, queueLimit: 100, maxBatch: 8})
		defer sim.close()
		sim.startConfigured()
		sim.sendLoad(10, time.Minute)
		sim.checkRuns()
		for outcome, n := range sim.outcomes {
			t.Log(outcome, n)
			if outcome[len(outcome)-2:] != "ok" {
				t.Errorf("%d requests: outcome %s, expected ok", n, outcome)
			}
		}
	})
}
