package request

import (
	"fmt"
	"net/http"
	"time"
)

// FailureType classifies how a request failed.
type FailureType string

// The types of failure.
const (
	// NotRun states that no upstream ran any part of this request, or of an
	// earlier one with its idempotency key.
	NotRun FailureType = "not_run"
	// OutcomeUnknown states that the request, or an earlier one with its
	// idempotency key, may have run.
	OutcomeUnknown FailureType = "outcome_unknown"
	// Failed states that an upstream ran the request and reported a failure.
	Failed FailureType = "failed"
	// Invalid states that the request is malformed; it was not run.
	Invalid FailureType = "invalid"
	// Unauthorized states that the bearer key is unknown; it was not run.
	Unauthorized FailureType = "unauthorized"
)

// Finding is one error in a request, with its place.
type Finding struct {
	Place   string
	Message string
}

// Failure describes why a request got no complete answer.
type Failure struct {
	Type       FailureType
	Status     int // HTTP status
	Message    string
	RetryAfter time.Duration // zero if a retry is not advised
	Findings   []Finding
}

// Error returns the type, the message and the findings.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s", f.Type, f.Message)
	for _, d := range f.Findings {
		text += fmt.Sprintf("; %s: %s", d.Place, d.Message)
	}
	return text
}

// defaultRetryAfter is the wait that a refusal advises before a retry.
const defaultRetryAfter = time.Second

// Refuse returns a failure of type NotRun for lack of capacity (HTTP 429).
func Refuse(format string, args ...any) *Failure {
	return &Failure{
		Type:       NotRun,
		Status:     http.StatusTooManyRequests,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: defaultRetryAfter,
	}
}

// Unavailable returns a failure of type NotRun for a missing upstream,
// configuration or instance (HTTP 503).
func Unavailable(format string, args ...any) *Failure {
	return &Failure{
		Type:       NotRun,
		Status:     http.StatusServiceUnavailable,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: defaultRetryAfter,
	}
}

// WithRetryAfter sets the wait that is advised before a retry, and returns the
// failure.
func (f *Failure) WithRetryAfter(wait time.Duration) *Failure {
	f.RetryAfter = wait
	return f
}

// Unknown returns a failure of type OutcomeUnknown (HTTP 504).
func Unknown(format string, args ...any) *Failure {
	return &Failure{
		Type:    OutcomeUnknown,
		Status:  http.StatusGatewayTimeout,
		Message: fmt.Sprintf(format, args...),
	}
}

// Undecided returns a failure of type OutcomeUnknown (HTTP 503) for a request that
// was not run while an earlier one with its idempotency key may have been.
func Undecided(format string, args ...any) *Failure {
	return &Failure{
		Type:       OutcomeUnknown,
		Status:     http.StatusServiceUnavailable,
		Message:    "this attempt was not run, but an earlier one with the key may have been: " + fmt.Sprintf(format, args...),
		RetryAfter: defaultRetryAfter,
	}
}

// BeforeClaim converts a failure of type NotRun of a request whose claim was not
// read into one of type OutcomeUnknown, because an earlier request with the
// idempotency key may have run. Without a key it returns the failure unchanged.
func (f *Failure) BeforeClaim(key string) *Failure {
	if key == "" || f.Type != NotRun {
		return f
	}
	return Undecided("%s", f.Message)
}

// Malformed returns a failure of type Invalid (HTTP 400) with all findings.
func Malformed(findings []Finding) *Failure {
	return &Failure{
		Type:     Invalid,
		Status:   http.StatusBadRequest,
		Message:  "the request is malformed",
		Findings: findings,
	}
}

// Denied returns a failure of type Unauthorized (HTTP 401).
func Denied(format string, args ...any) *Failure {
	return &Failure{
		Type:    Unauthorized,
		Status:  http.StatusUnauthorized,
		Message: fmt.Sprintf(format, args...),
	}
}
