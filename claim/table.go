package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	ticketPrefix = "kw1"
	// TicketLifetime is how long after its issue a ticket may be used for the
	// first time.
	TicketLifetime = 10 * time.Minute
	// RecordLifetime is how long a ticket's record is kept. It is longer than
	// TicketLifetime, so that a ticket without a record is either unused or
	// expired.
	RecordLifetime = 30 * time.Minute
	maxRecords     = 200000
	maxAgeAtIssue  = 100 * 365 * 24 * time.Hour // a ticket with a greater age at issue is invalid
)

// Ticket is an idempotency key that names the incarnation that issued it, whose
// table decides on it.
type Ticket struct {
	Identity   string        // name@incarnation of the instance
	AgeAtIssue time.Duration // age of the incarnation at issue
	Nonce      string
}

// String returns the ticket's text, with the age at issue in milliseconds.
func (t Ticket) String() string {
	return fmt.Sprintf("%s.%s.%d.%s", ticketPrefix, t.Identity, t.AgeAtIssue.Milliseconds(), t.Nonce)
}

// ParseTicket parses a ticket. It returns false if the key is not a ticket.
func ParseTicket(key string) (Ticket, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix+".")
	if !ok {
		return Ticket{}, false
	}
	at := strings.LastIndex(rest, ".")
	if at < 0 {
		return Ticket{}, false
	}
	rest, nonce := rest[:at], rest[at+1:]
	at = strings.LastIndex(rest, ".")
	if at < 0 {
		return Ticket{}, false
	}
	ms, err := strconv.ParseInt(rest[at+1:], 10, 64)
	if err != nil || ms < 0 || ms > maxAgeAtIssue.Milliseconds() {
		return Ticket{}, false
	}
	return Ticket{Identity: rest[:at], AgeAtIssue: time.Duration(ms) * time.Millisecond, Nonce: nonce}, true
}

// Record is the state of one used ticket.
type Record struct {
	Claim   Claim
	Outcome *Outcome      // nil while the request runs
	Taken   time.Duration // age of the incarnation when the claim was taken
}

// Table decides on the tickets of one incarnation. Its decisions depend only on
// the calls to it.
type Table struct {
	Identity string
	Started  time.Time

	records map[string]*Record
	sealed  bool // set once the table is handed over
}

// NewTable returns an empty table.
func NewTable(identity string, started time.Time) *Table {
	return &Table{Identity: identity, Started: started, records: map[string]*Record{}}
}

// Issue returns a new ticket.
func (t *Table) Issue(now time.Time) string {
	return Ticket{Identity: t.Identity, AgeAtIssue: now.Sub(t.Started), Nonce: uuid.NewString()}.String()
}

func recordKey(organisation, key string) string {
	return organisation + "\x00" + key
}

// Take decides on a claim. A claim that is repeated with the same nonce gets
// Acquired again until its outcome is recorded.
func (t *Table) Take(now time.Time, c Claim) Decision {
	if t.sealed {
		return Undecided{Reason: "the ticket's instance has handed its tickets over"}
	}
	if r := t.records[recordKey(c.Organisation, c.Key)]; r != nil {
		return r.Decide(c)
	}
	ticket, ok := ParseTicket(c.Key)
	age := now.Sub(t.Started)
	switch {
	case !ok || ticket.AgeAtIssue > age:
		return Undecided{Reason: "the ticket was not given out by this instance"}
	case age-ticket.AgeAtIssue > TicketLifetime:
		return Undecided{Reason: "the ticket has expired"}
	case len(t.records) >= maxRecords:
		return Undecided{Reason: "the instance holds too many tickets"}
	}
	t.records[recordKey(c.Organisation, c.Key)] = &Record{Claim: c, Taken: age}
	return Acquired{}
}

// Decide decides on a claim of the key that the record belongs to.
func (r *Record) Decide(c Claim) Decision {
	switch {
	case r.Claim.Digest != c.Digest:
		return Mismatch{}
	case r.Outcome != nil:
		return Done{Outcome: *r.Outcome}
	case r.Claim.Nonce == c.Nonce:
		return Acquired{}
	}
	return Busy{Holder: r.Claim.Holder}
}

// Finish records the outcome of a claim. It does nothing if the claim's attempt
// does not hold the key.
func (t *Table) Finish(c Claim, o Outcome) {
	r := t.records[recordKey(c.Organisation, c.Key)]
	if r != nil && r.Claim.Nonce == c.Nonce {
		r.Outcome = &o
	}
}

// Release deletes a claim whose request was not sent to any upstream. It does
// nothing if the claim's attempt does not hold the key or has an outcome.
func (t *Table) Release(c Claim) {
	key := recordKey(c.Organisation, c.Key)
	r := t.records[key]
	if r != nil && r.Claim.Nonce == c.Nonce && r.Outcome == nil {
		delete(t.records, key)
	}
}

// Expire deletes the records that are older than RecordLifetime.
func (t *Table) Expire(now time.Time) {
	age := now.Sub(t.Started)
	for key, r := range t.records {
		if age-r.Taken > RecordLifetime {
			delete(t.records, key)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Export is the content of a table that is handed over to a successor.
type Export struct {
	Identity string
	Age      time.Duration // age of the incarnation at the handover
	Records  []Record
}

// Seal stops the table from deciding on claims and returns its content.
func (t *Table) Seal(now time.Time) Export {
	t.sealed = true
	e := Export{Identity: t.Identity, Age: now.Sub(t.Started)}
	for _, r := range t.records {
		e.Records = append(e.Records, *r)
	}
	return e
}

// Import returns the table of a predecessor for use by its successor.
func Import(now time.Time, e Export) *Table {
	t := NewTable(e.Identity, now.Add(-e.Age))
	for i := range e.Records {
		r := e.Records[i]
		t.records[recordKey(r.Claim.Organisation, r.Claim.Key)] = &r
	}
	return t
}
