package simulation

import (
	"testing"
	"time"
)

// TestKeyAtCutOffInstance guards against a false "not run". A booking that has
// run is repeated with its key at an instance that is cut off from the platform
// and its peers, and at one without a configuration. Neither can look up the
// key, so both must answer that the outcome is unknown.
func TestKeyAtCutOffInstance(t *testing.T) {
	simulate(t, smallFleet, func(sim *simulation) {
		sim.startConfigured()
		const key, body = "kept-key", `{"Booking":1}`
		if outcome := sim.bookOnce(sim.nodes[0], "A", key, body); outcome != "ok" {
			t.Fatalf("booking: outcome %s, expected ok", outcome)
		}
		node := sim.nodes[2]
		for _, other := range []string{sim.nodes[0].host, sim.nodes[1].host, host(platformAddress)} {
			sim.network.setCut(node.host, other, true)
			sim.network.setCut(other, node.host, true)
		}
		time.Sleep(10 * time.Second)
		if outcome := sim.bookOnce(node, "A", key, body); outcome != "outcome_unknown" {
			t.Errorf("repeated booking at the cut-off instance: outcome %s, expected outcome_unknown", outcome)
		}
		sim.kill(node)
		sim.start(node)
		if outcome := sim.bookOnce(node, "A", key, body); outcome != "outcome_unknown" {
			t.Errorf("repeated booking at the instance without configuration: outcome %s, expected outcome_unknown", outcome)
		}
		sim.network.restoreAll()
		time.Sleep(10 * time.Second)
		if outcome := sim.bookOnce(node, "A", key, body); outcome != "ok" {
			t.Errorf("repeated booking afterwards: outcome %s, expected ok", outcome)
		}
		sim.checkRuns()
	})
}
