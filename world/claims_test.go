package world

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// bookingOutput is how one attempt of a booking ended.
type bookingOutput string

// recordBooking keeps one attempt for the check of the claims' history. An
// attempt without an answer may take effect at any later time.
func (w *world) recordBooking(key string, call time.Time, end string) {
	back := time.Now().UnixNano()
	if end != "ok" && end != "not_run" {
		back = 1 << 62
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bookings = append(w.bookings, porcupine.Operation{
		ClientId: len(w.bookings), Input: key, Call: call.UnixNano(), Output: bookingOutput(end), Return: back,
	})
}

// bookingStep returns the states that may follow an attempt: whether the
// booking has run.
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

// checkBookings checks that the history of all attempts is linearizable for
// each key: a register that is set once and never reads as unset afterwards.
func (w *world) checkBookings() {
	if len(w.bookings) == 0 {
		w.fail("no booking was tried")
	}
	if !w.linearizable() {
		w.fail("the history of bookings is not linearizable")
	}
}

func (w *world) linearizable() bool {
	model := porcupine.NondeterministicModel{
		Partition: byKey,
		Init:      func() []any { return []any{false} },
		Step:      bookingStep,
	}
	return porcupine.CheckOperations(model.ToModel(), w.bookings)
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
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

// TestBookingModel checks that the model refuses a booking that reads as not
// run after it ran, and allows what may have happened.
func TestBookingModel(t *testing.T) {
	for _, c := range []struct {
		ends []string
		want bool
	}{
		{[]string{"not_run", "unreachable", "ok", "ok"}, true},
		{[]string{"outcome_unknown", "not_run", "ok"}, true},
		{[]string{"ok", "not_run"}, false},
		{[]string{"ok", "outcome_unknown", "ok"}, true},
	} {
		w := &world{}
		for _, end := range c.ends {
			call := time.Now()
			time.Sleep(time.Millisecond)
			w.recordBooking("key", call, end)
			time.Sleep(time.Millisecond)
		}
		if got := w.linearizable(); got != c.want {
			t.Errorf("history %v: linearizable %t, expected %t", c.ends, got, c.want)
		}
	}
}
