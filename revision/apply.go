package revision

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"knapweedwell/config"
	"knapweedwell/platform"
)

// Outcome tells how an apply ended.
type Outcome string

// The outcomes of an apply.
const (
	Applied   Outcome = "applied"
	Unchanged Outcome = "unchanged"
	Conflict  Outcome = "conflict" // Conflict means that another change came first.
	Unclear   Outcome = "unclear"  // Unclear means that the platform did not tell whether the change was written.
	NotSaved  Outcome = "not-saved"
)

// Change is a wish to replace the configuration.
type Change struct {
	ChangeID string
	Base     int64 // Base is the revision that the operator saw; -1 means the present one.
	Author   string
	Text     string
	DryRun   bool
}

// Result tells how an apply ended. Later holds the changes that came first in
// a conflict.
type Result struct {
	Outcome  Outcome
	Revision int64
	Changes  []string
	Later    []Entry
	Reason   string

	stored *storedRecord // stored is what the platform held when the change was confirmed.
}

// Apply checks the text and replaces the configuration if it is still that of
// the base revision. An error is of type inifile.Findings and means that the
// text is not sound.
func (k *Keeper) Apply(ctx context.Context, c Change) (*Result, error) {
	if _, err := config.Parse("configuration", c.Text); err != nil {
		return nil, err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	old, err := k.stored(ctx)
	if err != nil {
		return &Result{Outcome: NotSaved, Reason: err.Error()}, nil
	}
	if old.record.has(c.ChangeID) {
		return &Result{Outcome: Applied, Revision: old.record.revisionOf(c.ChangeID, old.revision)}, nil
	}
	if c.Base >= 0 && c.Base != old.revision {
		return conflict(old, c.Base), nil
	}
	return k.write(ctx, c, old)
}

// storedRecord is what the platform holds.
type storedRecord struct {
	revision int64
	record   *record
	text     string
}

// stored reads the configuration from the platform.
func (k *Keeper) stored(ctx context.Context) (*storedRecord, error) {
	o, err := k.Platform.Get(ctx, objectKind, objectName)
	if errors.Is(err, platform.ErrNotFound) {
		return &storedRecord{record: &record{}}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "the platform cannot be read")
	}
	r, err := decodeRecord(o.Value)
	if err != nil {
		return nil, err
	}
	text, err := r.text()
	if err != nil {
		return nil, err
	}
	return &storedRecord{revision: o.Revision, record: r, text: text}, nil
}

func conflict(old *storedRecord, base int64) *Result {
	return &Result{Outcome: Conflict, Revision: old.revision, Later: old.record.since(base)}
}

func (k *Keeper) write(ctx context.Context, c Change, old *storedRecord) (*Result, error) {
	changes := summarize(old.text, c.Text)
	if len(changes) == 0 && old.revision > 0 {
		return &Result{Outcome: Unchanged, Revision: old.revision}, nil
	}
	if c.DryRun {
		return &Result{Outcome: Unchanged, Revision: old.revision, Changes: changes}, nil
	}
	entry := Entry{ChangeID: c.ChangeID, Base: old.revision, Author: c.Author, Applied: time.Now().UTC(), Summary: changes}
	r, err := newRecord(c.Text, next(old.record.History, entry))
	if err != nil {
		return nil, err
	}
	value, err := r.encode()
	if err != nil {
		return nil, err
	}
	if len(value) > platform.MaxValueBytes {
		return &Result{Outcome: NotSaved, Reason: "the compressed configuration is larger than the platform keeps"}, nil
	}
	res := k.save(ctx, c, old.revision, value)
	res.Changes = changes
	if res.Outcome != Applied {
		return res, nil
	}
	if res.stored == nil {
		res.stored = &storedRecord{revision: res.Revision, record: r}
	}
	return res, k.take(res.stored.revision, res.stored.record)
}

// save writes the value, and reads back after each unclear answer until it is
// known whether the change was written.
func (k *Keeper) save(ctx context.Context, c Change, base int64, value []byte) *Result {
	attempt := func() (*Result, error) {
		version, err := k.Platform.Update(ctx, objectKind, objectName, value, base)
		if err == nil {
			return &Result{Outcome: Applied, Revision: version}, nil
		}
		return k.resolve(ctx, c, base, err)
	}
	res, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(fetchTimeout*4))
	if err != nil {
		return &Result{Outcome: Unclear, Reason: err.Error()}
	}
	return res
}

// resolve finds out what became of a write that was not confirmed. A returned
// error asks for another attempt.
func (k *Keeper) resolve(ctx context.Context, c Change, base int64, cause error) (*Result, error) {
	now, err := k.stored(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case now.record.has(c.ChangeID):
		return &Result{Outcome: Applied, Revision: now.record.revisionOf(c.ChangeID, now.revision), stored: now}, nil
	case now.revision != base:
		return conflict(now, base), nil
	}
	return nil, cause
}
