// Package claim prevents requests that are not idempotent from running more than
// once. A claim on an idempotency key is taken before the request is sent to an
// upstream. Keys that callers choose are claimed in the platform. Tickets, the
// keys that an instance issues in address answers, are claimed in the memory of
// the instance incarnation that the ticket names.
package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"knapweedwell/request"
)

// Claim identifies one attempt to run the request with a key.
type Claim struct {
	Organisation string
	Key          string
	Nonce        string // unique to the attempt
	Holder       string // identity of the instance that would run the request
	Digest       string // hash of the request
}

// Outcome is the recorded end of a request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Failure     *request.Failure // set if there is no complete answer
}

// Decision is the decision on a claim: Acquired, Done, Busy, Undecided or Mismatch.
type Decision interface {
	decision()
}

// Acquired allows the attempt to run the request.
type Acquired struct{}

// Done carries the outcome of an earlier attempt.
type Done struct {
	Outcome Outcome
}

// Busy means that another attempt holds the key.
type Busy struct {
	Holder string
}

// Undecided means that it cannot be determined whether an earlier attempt ran.
type Undecided struct {
	Reason string
}

// Mismatch means that the key belongs to another request.
type Mismatch struct{}

func (Acquired) decision()  {}
func (Done) decision()      {}
func (Busy) decision()      {}
func (Undecided) decision() {}
func (Mismatch) decision()  {}

// Digest returns a hash of a request's parts: 16 bytes of SHA-256 in hexadecimal.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
