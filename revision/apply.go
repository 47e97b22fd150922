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

// Outcome classifies how applying a change ended.
type Outcome string

// The outcomes of applying a change.
const (
	Applied   Outcome = "applied"
	Unchanged Outcome = "unchanged"
	Conflict  Outcome = "conflict" // another change was applied first
	Unclear   Outcome = "unclear"  // the platform did not confirm whether the change was written
	NotSaved  Outcome = "not-saved"
)

// Change is a request to replace the configuration.
type Change struct {
	ChangeID string
	Base     int64 // revision that the operator read; a negative one means the current one
	Author   string
	Text     string
	DryRun   bool
}

// Result describes how applying a change ended. After a conflict, Later holds
// the changes applied since the base revision.
type Result struct {
	Outcome  Outcome
	Revision int64
	Changes  []string
	Later    []Entry
	Reason   string

	stored *storedRecord // read back from the platform; nil if the write itself was confirmed
}

// Apply checks the text and replaces the configuration if it still has the base
// revision. The error is of type inifile.Findings if the text is not valid.
func (m *Manager) Apply(ctx context.Context, c Change) (*Result, error) {
	if _, err := config.Parse("configuration", c.Text); err != nil {
		return nil, err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	if err := m.settle(ctx); err != nil {
		return &Result{Outcome: NotSaved, Reason: err.Error()}, nil
	}
	known := m.noticeEra()
	old, err := m.readStored(ctx)
	if err != nil {
		return &Result{Outcome: NotSaved, Reason: err.Error()}, nil
	}
	if known.seen == 0 {
		known = m.noticeEra()
	}
	if old.record.contains(c.ChangeID) {
		return &Result{Outcome: Applied, Revision: old.record.revisionOf(c.ChangeID, old.revision)}, nil
	}
	if c.Base >= 0 && c.Base != old.revision {
		return conflictResult(old, c.Base), nil
	}
	return m.write(ctx, c, known, old)
}

// storedRecord is the configuration that the platform stores.
type storedRecord struct {
	revision      int64 // of the configuration
	storeRevision int64 // of the object
	record        *record
	text          string
}

// readStored reads the configuration from the platform. The revision is zero if
// none is stored.
func (m *Manager) readStored(ctx context.Context) (*storedRecord, error) {
	o, err := m.Platform.Get(ctx, objectKind, objectName)
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
	text, err := r.decompress()
	if err != nil {
		return nil, err
	}
	return &storedRecord{revision: r.revisionIn(o.Revision), storeRevision: o.Revision, record: r, text: text}, nil
}

func conflictResult(old *storedRecord, base int64) *Result {
	return &Result{Outcome: Conflict, Revision: old.revision, Later: old.record.since(base)}
}

func (m *Manager) write(ctx context.Context, c Change, known eras, old *storedRecord) (*Result, error) {
	changes := summarise(old.text, c.Text)
	if len(changes) == 0 && old.revision > 0 {
		return &Result{Outcome: Unchanged, Revision: old.revision}, nil
	}
	if c.DryRun {
		return &Result{Outcome: Unchanged, Revision: old.revision, Changes: changes}, nil
	}
	entry := Entry{ChangeID: c.ChangeID, Base: old.revision, Author: c.Author, Applied: time.Now().UTC(), Summary: changes}
	r, err := newRecord(c.Text, prependEntry(old.record.History, entry))
	if err != nil {
		return nil, err
	}
	r.Era = old.record.Era
	value, err := r.encode()
	if err != nil {
		return nil, err
	}
	if len(value) > platform.MaxValueBytes {
		return &Result{Outcome: NotSaved, Reason: "the compressed configuration is larger than the platform keeps"}, nil
	}
	res := m.checkWritten(ctx, c, known, m.save(ctx, c, old, value))
	res.Changes = changes
	if res.Outcome != Applied {
		return res, nil
	}
	if res.Revision <= m.Revision() {
		return res, nil
	}
	if res.stored == nil {
		res.stored = &storedRecord{revision: res.Revision, record: r}
	}
	return res, m.install(res.stored.revision, res.stored.record)
}

// save writes the value. After a write that is not confirmed, it reads the
// configuration back and retries until the outcome is known. If the time for
// retries ends first, the outcome is Unclear.
func (m *Manager) save(ctx context.Context, c Change, old *storedRecord, value []byte) *Result {
	attempt := func() (*Result, error) {
		revision, err := m.Platform.Update(ctx, objectKind, objectName, value, old.storeRevision)
		if err == nil {
			return &Result{Outcome: Applied, Revision: old.record.revisionIn(revision)}, nil
		}
		return m.resolveUnconfirmed(ctx, c, old.revision, err)
	}
	res, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(saveTimeout))
	if err != nil {
		return &Result{Outcome: Unclear, Reason: err.Error()}
	}
	return res
}

// resolveUnconfirmed determines the outcome of a write that returned an error. If
// it returns an error itself, the write is retried.
func (m *Manager) resolveUnconfirmed(ctx context.Context, c Change, base int64, cause error) (*Result, error) {
	current, err := m.readStored(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case current.record.contains(c.ChangeID):
		return &Result{Outcome: Applied, Revision: current.record.revisionOf(c.ChangeID, current.revision), stored: current}, nil
	case current.revision != base:
		return conflictResult(current, base), nil
	}
	return nil, cause
}
