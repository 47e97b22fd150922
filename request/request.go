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
	PrefixHash     uint64 // hash of the start of the prompt
	PromptTokens   int
	MaxTokens      int
	Method         string // HTTP method of a service call
	Path           string // path of a service call
	ContentType    string
	Body           []byte
	Arrived        time.Time
	Deadline       time.Time
}
