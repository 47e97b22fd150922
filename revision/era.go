package revision

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/platform"
)

const eraPeriod = 500 * time.Millisecond // time between checks of the store's era

// eras is what this instance knows of the eras of the store. The store begins a new one when
// it comes back from a copy, which may lack changes that were confirmed.
type eras struct {
	seen     int64  // highest era in an answer of the store
	known    bool   // an answer has named an era
	restored int64  // highest era that is known to have begun because the store came back from a copy
	settled  int64  // highest era in which the store has the newest configuration of all instances
	learned  bool   // other instances were asked for these after the start
	doubtful string // ID of a change of this instance that was written to a store which had just come back from a copy
}

// unsettled reports whether a confirmed change may be missing in the store.
func (e eras) unsettled() bool {
	return e.restored > e.settled
}

// noticeEra records the era of the store and returns what is known of eras.
func (m *Manager) noticeEra() eras {
	era, known := m.Platform.KnownEra()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !known {
		return m.eras
	}
	if m.eras.known && era > m.eras.seen {
		m.eras.restored = max(m.eras.restored, era)
	}
	m.eras.seen, m.eras.known = max(m.eras.seen, era), true
	return m.eras
}

// checkEra makes sure in the background that the store has the newest configuration after it
// came back from a copy.
func (m *Manager) checkEra(ctx context.Context, _ time.Time) {
	if !m.noticeEra().unsettled() {
		return
	}
	if err := m.settle(ctx); err != nil && ctx.Err() == nil {
		m.Log.WithField("Error", err.Error()).Warn("the configuration was not restored in the store yet")
	}
}

// settle asks the other instances for their configurations, unless it is known that the store
// has the newest one, and writes the newest to a store that came back from a copy without it.
// A change may only be applied after it.
func (m *Manager) settle(ctx context.Context) error {
	select {
	case m.settling <- struct{}{}:
		defer func() { <-m.settling }()
	case <-ctx.Done():
		return ctx.Err()
	}
	known := m.noticeEra()
	if known.learned && !known.unsettled() {
		return nil
	}
	silent := m.askOthers(ctx)
	known = m.noticeEra()
	switch {
	case !known.unsettled():
		return nil
	case silent != "":
		return errors.Errorf("the store came back from a copy, and %s does not tell its configuration, which may be newer", silent)
	}
	return m.restoreStored(ctx, known)
}

// mayFollow reports whether a configuration may replace the one in force. While the store may
// lack a confirmed change, it has to hold all changes, unless an instance has restored it.
func (m *Manager) mayFollow(next, current *record) bool {
	return !m.noticeEra().unsettled() || next.Era > current.Era || next.descends(current)
}

// askOthers installs the newest configuration of the other instances, and learns what they
// know of eras. It returns the name of one that does not answer, empty if all do.
func (m *Manager) askOthers(ctx context.Context) (silent string) {
	if m.Others != nil {
		for _, o := range m.Others() {
			err := m.askOther(ctx, o.Peer)
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
				silent = o.Name
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eras.learned = true
	return silent
}

// askOther installs the configuration of another instance if it is newer.
func (m *Manager) askOther(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply fetchReply
	if err := m.Peers.Call(ctx, address, fetchMethod, nil, &reply); err != nil {
		return err
	}
	m.mu.Lock()
	m.eras.restored, m.eras.settled = max(m.eras.restored, reply.Restored), max(m.eras.settled, reply.Settled)
	m.mu.Unlock()
	current := m.Current()
	switch {
	case reply.Record == nil:
		return nil
	case current == nil || m.mayFollow(reply.Record, current.record):
		return m.install(reply.Revision, reply.Record)
	case current.record.descends(reply.Record) || reply.Record.newest() == m.noticeEra().doubtful:
		return nil
	}
	return errors.New("it has a configuration with another change")
}

// restoreStored writes the configuration in force to the store unless the store has it or a
// newer one. It gets a revision of the present era.
func (m *Manager) restoreStored(ctx context.Context, known eras) error {
	stored, err := m.readStored(ctx)
	if err != nil {
		return err
	}
	current := m.Current()
	switch {
	case current == nil || stored.record.descends(current.record):
		if err := m.install(stored.revision, stored.record); err != nil {
			return err
		}
	case current.record.descends(stored.record) || stored.record.newest() == known.doubtful:
		if err := m.writeAgain(ctx, known.restored, stored, current); err != nil {
			return err
		}
	default:
		return errors.New("the store came back from a copy, and has a change that another instance wrote before it knew")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eras.settled = max(m.eras.settled, known.restored)
	return nil
}

// writeAgain writes the configuration in force in place of the stored one.
func (m *Manager) writeAgain(ctx context.Context, era int64, stored *storedRecord, current *Snapshot) error {
	r := *current.record
	r.Era = era
	value, err := r.encode()
	if err != nil {
		return err
	}
	revision, err := m.Platform.Update(ctx, objectKind, objectName, value, stored.storeRevision)
	if errors.Is(err, platform.ErrConflict) {
		return errors.New("another instance writes to the store")
	}
	if err != nil {
		return errors.Wrap(err, "write the configuration again")
	}
	m.Log.WithFields(logrus.Fields{"Era": era, "Revision": r.revisionIn(revision), "Before": current.Revision, "Stored": stored.revision}).
		Warn("the store came back from a copy: the configuration in force was written again")
	return m.install(r.revisionIn(revision), &r)
}

// checkWritten returns the result of a change that was written to the store. If the store came
// back from a copy meanwhile, the change counts only if it holds those of all instances.
func (m *Manager) checkWritten(ctx context.Context, c Change, before eras, res *Result) *Result {
	if m.noticeEra().seen == before.seen {
		return res
	}
	m.mu.Lock()
	m.eras.doubtful = c.ChangeID
	m.mu.Unlock()
	err := m.settle(ctx)
	if s := m.Current(); err == nil && s != nil && s.record.contains(c.ChangeID) {
		return &Result{Outcome: Applied, Revision: s.record.revisionOf(c.ChangeID, s.Revision)}
	}
	return &Result{Outcome: Unclear, Reason: "the store came back from a copy while the change was written"}
}
