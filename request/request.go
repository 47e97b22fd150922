package request

import (
	"time"
)

// Kind is the kind of upstream to which a request is addressed.
type Kind int

// The kinds of request.
const (
	Chat    Kind = iota // generation by a model engine
	Service             // call of a plain service
)

// Request is one caller's request after authentication and classification.
type Request struct {
	ID             string
	Organisation   string
	Class          string
	Rank           int // rank of the tier; 1 is the highest
	Kind           Kind
	Target         string // name of the model or service
	Idempotent     bool
	Stream         bool
	IdempotencyKey string // empty if none
	PrefixHash     uint64 // hash of the start of a chat request's body; zero if none
	PromptTokens   int    // estimate
	MaxTokens      int    // largest number of tokens of the answer; zero if the caller gives none
	Method         string // HTTP method
	Path           string // path and query at the upstream
	ContentType    string
	Body           []byte
	Arrived        time.Time
	Deadline       time.Time
}
