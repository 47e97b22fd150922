// Package claimstore takes, finishes and releases claims where they are kept:
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
	objectKind   = "claim"
	maxKeptBody  = 256 << 10 // maxKeptBody is the largest body kept with an outcome.
	storeTimeout = 3 * time.Second
	// finishTimeout is how long the outcome of a request is tried to be saved.
	finishTimeout = 2 * time.Minute
)

// Store claims keys in the platform.
type Store struct {
	Platform *platform.Client
}

// stored is a claim in the platform.
type stored struct {
	Claim   claim.Claim
	Outcome *claim.Outcome
}

func objectName(c claim.Claim) string {
	return claim.Digest([]byte(c.Organisation), []byte(c.Key))
}

// Take creates the claim's object, or reads the one that exists. A create
// without an answer is tried again: its own nonce tells whether it took effect.
func (s *Store) Take(ctx context.Context, c claim.Claim) claim.Answer {
	value, err := json.Marshal(stored{Claim: c})
	if err != nil {
		return claim.Unsure{Reason: "the claim cannot be encoded"}
	}
	attempt := func() (claim.Answer, error) {
		_, err := s.Platform.Create(ctx, objectKind, objectName(c), value)
		if err == nil {
			return claim.Yours{}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return s.read(ctx, c)
		}
		return nil, err
	}
	answer, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(storeTimeout))
	if err != nil {
		return claim.Unsure{Reason: "the platform did not answer whether the key was used before"}
	}
	return answer
}

func (s *Store) read(ctx context.Context, c claim.Claim) (claim.Answer, error) {
	o, err := s.Platform.Get(ctx, objectKind, objectName(c))
	if err != nil {
		return nil, err
	}
	var st stored
	if err := json.Unmarshal(o.Value, &st); err != nil {
		return claim.Unsure{Reason: "the key's record cannot be read"}, nil
	}
	r := claim.Record{Claim: st.Claim, Outcome: st.Outcome}
	return r.Answer(c), nil
}

// Finish saves the outcome of a claim. It tries until it is saved or the
// context ends.
func (s *Store) Finish(ctx context.Context, c claim.Claim, o claim.Outcome) error {
	if len(o.Body) > maxKeptBody {
		o = claim.Outcome{Failure: request.Unknown("the request ran; its answer was too large to be kept")}
	}
	value, err := json.Marshal(stored{Claim: c, Outcome: &o})
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	_, err = backoff.Retry(ctx, func() (bool, error) {
		return true, s.replace(ctx, c, value)
	}, backoff.WithMaxElapsedTime(finishTimeout))
	return err
}

// replace overwrites the claim's object while it is still held by the claim.
func (s *Store) replace(ctx context.Context, c claim.Claim, value []byte) error {
	o, err := s.own(ctx, c)
	if err != nil || o == nil {
		return err
	}
	_, err = s.Platform.Update(ctx, objectKind, objectName(c), value, o.Revision)
	return err
}

// own returns the claim's object if it is held by the claim and has no outcome
// yet, and nil otherwise.
func (s *Store) own(ctx context.Context, c claim.Claim) (*platform.Object, error) {
	o, err := s.Platform.Get(ctx, objectKind, objectName(c))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var st stored
	if err := json.Unmarshal(o.Value, &st); err != nil {
		return nil, backoff.Permanent(err)
	}
	if st.Claim.Nonce != c.Nonce || st.Outcome != nil {
		return nil, nil
	}
	return o, nil
}

// Release deletes a claim whose request was handed to no upstream.
func (s *Store) Release(ctx context.Context, c claim.Claim) error {
	_, err := backoff.Retry(ctx, func() (bool, error) {
		o, err := s.own(ctx, c)
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
