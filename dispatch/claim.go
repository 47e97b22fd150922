package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"knapweedwell/claim"
	"knapweedwell/request"
)

// withClaim runs the request, under a claim if it has an idempotency key and
// must not be repeated.
func (r *requestState) withClaim(ctx context.Context) *request.Failure {
	if r.req.Idempotent || r.req.IdempotencyKey == "" {
		return r.attempts(ctx)
	}
	c := claim.Claim{
		Organisation: r.req.Organisation,
		Key:          r.req.IdempotencyKey,
		Nonce:        uuid.NewString(),
		Holder:       r.s.Identity,
		Digest:       claim.Digest([]byte(r.req.Method), []byte(r.req.Target), []byte(r.req.Path), r.req.Body),
	}
	for {
		switch a := r.s.Claims.Take(ctx, c).(type) {
		case claim.Acquired:
			return r.runClaimed(ctx, c)
		case claim.Done:
			return r.replay(a.Outcome)
		case claim.Mismatch:
			return request.Malformed([]request.Finding{{Place: "header Idempotency-Key", Message: "the key was used with another request"}})
		case claim.Undecided:
			return request.Undecided("%s", a.Reason)
		case claim.Busy:
			if f := r.waitForHolder(ctx, a); f != nil {
				return f
			}
		}
	}
}

// waitForHolder pauses for claimPollPeriod while another attempt with the key
// runs. It fails if the instance of the attempt that holds the key has ended or if
// the context ends.
func (r *requestState) waitForHolder(ctx context.Context, b claim.Busy) *request.Failure {
	if r.s.Ended(b.Holder) {
		return request.Unknown("the instance that ran the request with this key has ended")
	}
	select {
	case <-ctx.Done():
		return request.Unknown("the request with this key is still running")
	case <-time.After(claimPollPeriod):
		return nil
	}
}

// replay answers the caller with the recorded outcome of an earlier request.
func (r *requestState) replay(o claim.Outcome) *request.Failure {
	r.s.Trace.Record(r.req.ID, "answered from the record of an earlier request with its key")
	if o.Failure != nil {
		return o.Failure
	}
	_ = r.sink.Whole(Answer{Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: true})
	return nil
}

// runClaimed runs the request while the attempt holds the key, then records its
// outcome. It releases the claim instead if no upstream can have received the
// request.
func (r *requestState) runClaimed(ctx context.Context, c claim.Claim) *request.Failure {
	inner := r.sink.Whole
	var outcome *claim.Outcome
	r.sink.Whole = func(a Answer) error {
		outcome = &claim.Outcome{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
		return inner(a)
	}
	f := r.attempts(ctx)
	switch {
	case !r.forwarded:
		r.s.Claims.Release(c)
	case outcome != nil:
		r.s.Claims.Finish(c, *outcome)
	default:
		r.s.Claims.Finish(c, claim.Outcome{Failure: f})
	}
	return f
}
