package request

import (
	"time"
)

// Kind tells what sort of upstream a request is meant for.
type Kind int

// The kinds of request.
const (
	Chat    Kind = iota // Chat is a generation by a model engine.
	Service             // Service is one call of a plain service.
)

// Request is one caller's request after authentication and classification.
type Request struct {
	ID           string
	Organisation string
	Class        string
	Rank         int // Rank is the tier's rank; 1 is the highest tier.
	Kind         Kind
	Target       string // Target is the model or service that is called.
	Idempotent   bool
	Stream       bool
	Key          string // Key is the idempotency key, empty if none.
	Prefix       uint64 // Prefix is a hash of the start of the prompt.
	PromptTokens int
	MaxTokens    int
	Method       string // Method is the HTTP method of a service call.
	Path         string // Path is the path of a service call.
	ContentType  string
	Body         []byte
	Arrived      time.Time
	Deadline     time.Time
}
