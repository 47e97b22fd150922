// Package claimstore takes, finishes and releases claims where they are stored:
// in the platform, in this instance's ticket table or in that of a peer.
package claimstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"knapweedwell/claim"
	"knapweedwell/platform"
	"knapweedwell/request"
)

const (
	objectKind         = "claim"
	maxStoredBodyBytes = 256 << 10 // an outcome with a larger body is stored as a failure
	storeTakeTimeout   = 3 * time.Second
	// finishTimeout limits the time for the attempts to save an outcome or to
	// release a claim.
	finishTimeout = 2 * time.Minute
)

// Store stores claims in the platform.
type Store struct {
	Platform *platform.Client
}

// storedClaim is the value of a claim's object in the platform.
type storedClaim struct {
	Claim   claim.Claim
	Outcome *claim.Outcome
}

func objectName(c claim.Claim) string {
	return claim.Digest([]byte(c.Organisation), []byte(c.Key))
}

// Take creates the claim's object, or decides by the one that exists. A create
// without an answer is retried; the nonce in the object shows whether the first
// one took effect. Take returns Undecided if all attempts within
// storeTakeTimeout fail.
func (s *Store) Take(ctx context.Context, c claim.Claim) claim.Decision {
	value, err := json.Marshal(storedClaim{Claim: c})
	if err != nil {
		return claim.Undecided{Reason: "the claim cannot be encoded"}
	}
	attempt := func() (claim.Decision, error) {
		_, err := s.Platform.Create(ctx, objectKind, objectName(c), value)
		if err == nil {
			return claim.Acquired{}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return s.read(ctx, c)
		}
		return nil, err
	}
	decision, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(storeTakeTimeout))
	if err != nil {
		return claim.Undecided{Reason: "the platform did not answer whether the key was used before"}
	}
	return decision
}

func (s *Store) read(ctx context.Context, c claim.Claim) (claim.Decision, error) {
	o, err := s.Platform.Get(ctx, objectKind, objectName(c))
	if err != nil {
		return nil, err
	}
	var st storedClaim
	if err := json.Unmarshal(o.Value, &st); err != nil {
		return claim.Undecided{Reason: "the key's record cannot be read"}, nil
	}
	r := claim.Record{Claim: st.Claim, Outcome: st.Outcome}
	return r.Decide(c), nil
}

// Finish saves the outcome of a claim. It retries until the context ends or
// finishTimeout has passed. An outcome with a body larger than maxStoredBodyBytes is
// saved as a failure of unknown outcome.
func (s *Store) Finish(ctx context.Context, c claim.Claim, o claim.Outcome) error {
	if len(o.Body) > maxStoredBodyBytes {
		o = claim.Outcome{Failure: request.Unknown("the request ran; its answer was too large to be kept")}
	}
	value, err := json.Marshal(storedClaim{Claim: c, Outcome: &o})
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	_, err = backoff.Retry(ctx, func() (bool, error) {
		return true, s.replace(ctx, c, value)
	}, backoff.WithMaxElapsedTime(finishTimeout))
	return err
}

// replace overwrites the claim's object if the claim's attempt holds the key and
// has no outcome yet. An object that the store has lost is written again.
func (s *Store) replace(ctx context.Context, c claim.Claim, value []byte) error {
	o, err := s.heldObject(ctx, c)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = s.Platform.Create(ctx, objectKind, objectName(c), value)
		return err
	}
	if err != nil || o == nil {
		return err
	}
	_, err = s.Platform.Update(ctx, objectKind, objectName(c), value, o.Revision)
	return err
}

// heldObject returns the claim's object if the claim's attempt holds the key and has
// no outcome yet, and nil otherwise. It returns ErrNotFound if there is no object.
func (s *Store) heldObject(ctx context.Context, c claim.Claim) (*platform.Object, error) {
	o, err := s.Platform.Get(ctx, objectKind, objectName(c))
	if err != nil {
		return nil, err
	}
	var st storedClaim
	if err := json.Unmarshal(o.Value, &st); err != nil {
		return nil, backoff.Permanent(err)
	}
	if st.Claim.Nonce != c.Nonce || st.Outcome != nil {
		return nil, nil
	}
	return o, nil
}

// Release deletes a claim whose request was not sent to any upstream. It retries
// until the context ends or finishTimeout has passed.
func (s *Store) Release(ctx context.Context, c claim.Claim) error {
	_, err := backoff.Retry(ctx, func() (bool, error) {
		o, err := s.heldObject(ctx, c)
		if errors.Is(err, platform.ErrNotFound) {
			return true, nil
		}
		if err != nil || o == nil {
			return true, err
		}
		err = s.Platform.Delete(ctx, objectKind, objectName(c), o.Revision)
		if errors.Is(err, platform.ErrNotFound) {
			return true, nil
		}
		return true, err
	}, backoff.WithMaxElapsedTime(finishTimeout))
	return err
}
