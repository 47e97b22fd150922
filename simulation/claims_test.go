package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// bookingOutput is the outcome of one attempt of a booking.
type bookingOutput string

// recordBooking adds one attempt to the history of bookings. An attempt without
// a definite answer may take effect at any later time.
func (sim *simulation) recordBooking(key string, call time.Time, outcome string) {
	returned := time.Now().UnixNano()
	if outcome != "ok" && outcome != "not_run" {
		returned = 1 << 62
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.bookings = append(sim.bookings, porcupine.Operation{
		ClientId: len(sim.bookings), Input: key, Call: call.UnixNano(), Output: bookingOutput(outcome), Return: returned,
	})
}

// bookingStep returns the states that may follow an attempt. The state is
// whether the booking has run.
func bookingStep(state, _, output any) []any {
	ran := state.(bool)
	switch output.(bookingOutput) {
	case "ok":
		return []any{true}
	case "not_run":
		if ran {
			return nil
		}
		return []any{false}
	}
	if ran {
		return []any{true}
	}
	return []any{false, true}
}

// checkBookings checks that the history of all attempts is linearizable per key:
// a register that is set once and never reads as unset afterwards.
func (sim *simulation) checkBookings() {
	if len(sim.bookings) == 0 {
		sim.errorf("no booking was attempted")
	}
	if !sim.bookingsLinearizable() {
		sim.errorf("history of %d booking attempts is not linearizable", len(sim.bookings))
	}
}

// bookingsLinearizable reports whether the recorded attempts are linearizable.
func (sim *simulation) bookingsLinearizable() bool {
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{false} },
		Step:      bookingStep,
	}
	return porcupine.CheckOperations(model.ToModel(), sim.bookings)
}

// partitionByKey splits a history into one history per booking key.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(string)
		parts[key] = append(parts[key], o)
	}
	list := make([][]porcupine.Operation, 0, len(parts))
	for _, p := range parts {
		list = append(list, p)
	}
	return list
}

// TestBookingModel checks that the model rejects a booking that reads as not run
// after it ran, and accepts all possible histories.
func TestBookingModel(t *testing.T) {
	for _, c := range []struct {
		outcomes []string
		want     bool
	}{
		{[]string{"not_run", "unreachable", "ok", "ok"}, true},
		{[]string{"outcome_unknown", "not_run", "ok"}, true},
		{[]string{"ok", "not_run"}, false},
		{[]string{"ok", "outcome_unknown", "ok"}, true},
	} {
		sim := &simulation{}
		for _, outcome := range c.outcomes {
			call := time.Now()
			time.Sleep(time.Millisecond)
			sim.recordBooking("key", call, outcome)
			time.Sleep(time.Millisecond)
		}
		if got := sim.bookingsLinearizable(); got != c.want {
			t.Errorf("history %v: linearizable %t, expected %t", c.outcomes, got, c.want)
		}
	}
}
