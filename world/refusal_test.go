package world

import (
	"testing"
	"time"
)

// TestKeyAtCutOffInstance sends a booking that has run once more, with its key,
// to an instance that is cut off from the platform and its peers, and to one
// that has no configuration: neither may say that nothing with the key has run.
func TestKeyAtCutOffInstance(t *testing.T) {
	inWorld(t, usual, func(w *world) {
		w.begin()
		const key, body = "kept-key", `{"Booking":1}`
		if end := w.bookOnce(w.slots[0], "A", key, body); end != "ok" {
			t.Fatalf("the booking ended as %s", end)
		}
		s := w.slots[2]
		for _, other := range []string{w.slots[0].host, w.slots[1].host, host(platformAddress)} {
			w.net.set(s.host, other, true)
			w.net.set(other, s.host, true)
		}
		time.Sleep(10 * time.Second)
		if end := w.bookOnce(s, "A", key, body); end != "outcome_unknown" {
			t.Errorf("at the cut-off instance the repeated booking ended as %s", end)
		}
		w.kill(s)
		w.start(s)
		if end := w.bookOnce(s, "A", key, body); end != "outcome_unknown" {
			t.Errorf("at the instance without configuration the repeated booking ended as %s", end)
		}
		w.net.heal()
		time.Sleep(10 * time.Second)
		if end := w.bookOnce(s, "A", key, body); end != "ok" {
			t.Errorf("afterwards the repeated booking ended as %s", end)
		}
		w.checkRuns()
	})
}
