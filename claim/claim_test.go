package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTable checks the decisions on one ticket while its request runs, after it was
// released, after it has ended and after the record has expired.
func TestTable(t *testing.T) {
	start := time.Unix(0, 0)
	table := NewTable("entry-1@7", start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	key := table.Issue(at(time.Minute))
	first := Claim{Organisation: "A", Key: key, Nonce: "1", Holder: "entry-1@7", Digest: "d"}
	second := Claim{Organisation: "A", Key: key, Nonce: "2", Holder: "entry-2@8", Digest: "d"}

	assert.Equal(t, table.Take(at(2*time.Minute), first), Decision(Acquired{}))
	assert.Equal(t, table.Take(at(2*time.Minute), first), Decision(Acquired{}), "a repeated claim got another decision")
	assert.Equal(t, table.Take(at(2*time.Minute), second), Decision(Busy{Holder: "entry-1@7"}))
	table.Release(second)
	assert.Equal(t, table.Take(at(2*time.Minute), second), Decision(Busy{Holder: "entry-1@7"}), "a claim was released by another than its holder")
	table.Release(first)
	assert.Equal(t, table.Take(at(2*time.Minute), second), Decision(Acquired{}))
	table.Finish(second, Outcome{Status: 200})
	assert.DeepEqual(t, table.Take(at(time.Hour), first), Decision(Done{Outcome: Outcome{Status: 200}}))
	other := first
	other.Digest = "e"
	assert.Equal(t, table.Take(at(3*time.Minute), other), Decision(Mismatch{}))

	table.Expire(at(2 * time.Hour))
	assert.Equal(t, table.Len(), 0)
	_, undecided := table.Take(at(2*time.Hour), first).(Undecided)
	assert.Assert(t, undecided, "the request of an expired ticket was run")
}

// TestForeignTickets checks that the request of a ticket with an issue time in the
// future, or of a key that is not a ticket, is never run.
func TestForeignTickets(t *testing.T) {
	start := time.Unix(0, 0)
	table := NewTable("entry-1@7", start)
	for _, key := range []string{
		"x", "kw1.entry-1@7.9999999999.n", "kw1.entry-1@7.-5.n", "kw1.entry-1@7.x.n", "kw1.n",
	} {
		_, undecided := table.Take(start.Add(time.Minute), Claim{Key: key, Nonce: "1"}).(Undecided)
		assert.Assert(t, undecided, key)
	}
}

// TestHandover checks that a table decides on no claim after the handover, and that
// its successor decides by the records and the ages of the tickets.
func TestHandover(t *testing.T) {
	start := time.Unix(0, 0)
	table := NewTable("entry-1@7", start)
	used, unused := table.Issue(start), table.Issue(start)
	c := Claim{Key: used, Nonce: "1"}
	table.Take(start, c)
	export := table.Seal(start.Add(time.Minute))
	_, undecided := table.Take(start.Add(time.Minute), Claim{Key: unused, Nonce: "2"}).(Undecided)
	assert.Assert(t, undecided, "a sealed table decided on a claim")

	// The successor's clock differs.
	now := time.Unix(1e6, 0)
	next := Import(now, export)
	assert.Equal(t, next.Take(now, Claim{Key: used, Nonce: "2"}), Decision(Busy{}))
	assert.Equal(t, next.Take(now, Claim{Key: unused, Nonce: "2"}), Decision(Acquired{}))
	late := Claim{Key: Ticket{Identity: "entry-1@7", Nonce: "late"}.String(), Nonce: "3"}
	_, undecided = next.Take(now.Add(TicketLifetime), late).(Undecided)
	assert.Assert(t, undecided, "the age of a ticket did not continue after the handover")
}

// FuzzTicket checks that a parsed ticket is the same after it is formatted and
// parsed again.
func FuzzTicket(f *testing.F) {
	f.Add("kw1.entry-1@7.60000.nonce")
	f.Add("kw1...")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, ok := ParseTicket(key)
		if !ok {
			return
		}
		reparsed, ok := ParseTicket(ticket.String())
		if !ok || reparsed != ticket {
			t.Errorf("key %q: got %+v after formatting and parsing again, want %+v", key, reparsed, ticket)
		}
	})
}

// TestExpireWithoutOutcome guards against records that are kept for good because no
// outcome came. The request of an expired ticket does not run, with or without a record.
func TestExpireWithoutOutcome(t *testing.T) {
	start := time.Unix(0, 0)
	table := NewTable("entry-1@7", start)
	c := Claim{Key: table.Issue(start), Nonce: "1"}
	assert.Equal(t, table.Take(start, c), Decision(Acquired{}))
	table.Expire(start.Add(RecordLifetime))
	assert.Equal(t, table.Len(), 1)
	later := start.Add(RecordLifetime + time.Second)
	table.Expire(later)
	assert.Equal(t, table.Len(), 0)
	c.Nonce = "2"
	_, undecided := table.Take(later, c).(Undecided)
	assert.Assert(t, undecided, "the request of an expired ticket was run")
}
