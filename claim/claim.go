// Package claim keeps requests that are not idempotent from running more than
// once. A claim on an idempotency key is taken before a request is handed to
// an upstream. Keys that callers chose are claimed in the platform; keys that
// an address answer gave out (tickets) are claimed in the memory of the
// instance incarnation that the ticket names.
package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"knapweedwell/request"
)

// Claim is the wish of one attempt to run the request with a key.
type Claim struct {
	Organisation string
	Key          string
	Nonce        string // Nonce is unique to the attempt.
	Holder       string // Holder is the identity of the instance that would run it.
	Digest       string // Digest is the hash of the request.
}

// Outcome is the recorded end of a request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Failure     *request.Failure // Failure is set if there is no whole answer.
}

// Answer is the answer to a claim.
type Answer interface {
	answer()
}

// Yours allows the attempt to run the request.
type Yours struct{}

// Done carries the outcome of an earlier attempt.
type Done struct {
	Outcome Outcome
}

// Busy tells that another attempt holds the claim.
type Busy struct {
	Holder string
}

// Unsure tells that it cannot be known whether an earlier attempt ran.
type Unsure struct {
	Reason string
}

// Mismatch tells that the key belongs to another request.
type Mismatch struct{}

func (Yours) answer()    {}
func (Done) answer()     {}
func (Busy) answer()     {}
func (Unsure) answer()   {}
func (Mismatch) answer() {}

// Digest returns the hash of a request's parts.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
