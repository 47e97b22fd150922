package verdictstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/platform"
	"knapweedwell/quarantine"
)

// fields returns the fields of a log line about a verdict.
func fields(now time.Time, v quarantine.Convicted) logrus.Fields {
	return logrus.Fields{
		"Part": quarantine.TraitName(v.Trait), "Crashes": v.Crashes, "AgeMillis": now.Sub(v.At).Milliseconds(), "RemainingSeconds": int(v.Until.Sub(now).Seconds()),
	}
}

// write stores a verdict, unless the store has it with the same or a later end. It reports
// whether the store answered.
func (s *Service) write(ctx context.Context, v quarantine.Convicted) bool {
	now := time.Now()
	era := s.Platform.Era()
	s.mu.Lock()
	revision := s.recordOf(v.Trait).revisionIn(era)
	s.mu.Unlock()
	stored, written, err := s.put(ctx, now, v, revision)
	if err != nil {
		s.recordFailure(v, err)
		return false
	}
	s.mu.Lock()
	r := s.recordOf(v.Trait)
	r.verdict, r.revision, r.era, r.backoff = stored.Verdict, stored.Revision, era, 0
	s.mu.Unlock()
	if written {
		s.Log.WithFields(fields(now, v)).Info("verdict on a " + v.Noun() + " stored")
		return true
	}
	s.Verdicts.Apply(now, []quarantine.Fact{stored.Verdict})
	return true
}

// put writes the object of a verdict that has the revision, zero if that is not known. It
// returns the verdict that is then stored, and whether it was written now.
func (s *Service) put(ctx context.Context, now time.Time, v quarantine.Convicted, revision int64) (platform.StoredVerdict, bool, error) {
	own := platform.StoredVerdict{Verdict: v}
	value, err := platform.EncodeVerdict(now, own)
	if err != nil {
		return own, false, err
	}
	name := quarantine.TraitName(v.Trait)
	if revision == 0 {
		o, created, err := s.Platform.CreateOrGet(ctx, platform.VerdictKind, name, value)
		if err != nil || created {
			own.Revision = o.Revision
			return own, created, err
		}
		stored, err := platform.DecodeVerdict(now, o)
		if err == nil && v.Until.Sub(stored.Verdict.Until) <= endTolerance {
			return stored, false, nil
		}
		revision = o.Revision
	}
	own.Revision, err = s.Platform.Update(ctx, platform.VerdictKind, name, value, revision)
	return own, err == nil, err
}

// recordFailure records a failed write. The next one follows after a growing wait and
// looks at the object first.
func (s *Service) recordFailure(v quarantine.Convicted, err error) {
	now := time.Now()
	s.mu.Lock()
	r := s.recordOf(v.Trait)
	first := r.backoff == 0
	r.backoff = min(max(2*r.backoff, initialBackoff), maxBackoff)
	r.nextTry = now.Add(r.backoff)
	r.revision = 0
	s.mu.Unlock()
	if first {
		s.Log.WithFields(fields(now, v)).WithField("Error", err.Error()).Warn("verdict on a " + v.Noun() + " could not be stored yet")
	}
}

// remove deletes the object of a verdict that has ended.
func (s *Service) remove(ctx context.Context, part uint64) {
	era := s.Platform.Era()
	s.mu.Lock()
	revision := s.recordOf(part).revisionIn(era)
	s.mu.Unlock()
	err := s.deleteObject(ctx, quarantine.TraitName(part), revision)
	gone := err == nil || errors.Is(err, platform.ErrNotFound)
	s.mu.Lock()
	r := s.recordOf(part)
	if gone {
		delete(s.stored, part)
	} else {
		// The next read of the kind tells the revision.
		r.nextTry = time.Now().Add(readPeriod)
	}
	s.mu.Unlock()
	entry := s.Log.WithField("Part", quarantine.TraitName(part))
	if gone {
		entry.Info("verdict deleted from the store")
		return
	}
	entry.WithField("Error", err.Error()).Warn("verdict could not be deleted from the store yet")
}

// revisionIn returns the revision of the object in an era of the store, zero if it is not
// known to be stored in it.
func (r *record) revisionIn(era int64) int64 {
	if r.era != era {
		return 0
	}
	return r.revision
}

// deleteObject deletes the object with the revision. Revision zero means that the answer
// to its write was lost or that the store has come back from a copy since.
func (s *Service) deleteObject(ctx context.Context, name string, revision int64) error {
	if revision == 0 {
		o, err := s.Platform.Get(ctx, platform.VerdictKind, name)
		if err != nil {
			return err
		}
		revision = o.Revision
	}
	return s.Platform.Delete(ctx, platform.VerdictKind, name, revision)
}

// readWithin reads the stored verdicts and applies them, for at most the timeout.
func (s *Service) readWithin(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l, err := s.Platform.ListCheaply(ctx, platform.VerdictKind)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.readEra, s.read = l.Era, true
	s.mu.Unlock()
	s.applyList(ctx, l)
	return nil
}

// readAgain reads the stored verdicts again. A failure is logged by those that follow the
// store; the next read is due after the usual time.
func (s *Service) readAgain(ctx context.Context) {
	s.mu.Lock()
	s.lastRead = time.Now()
	s.mu.Unlock()
	if err := s.readWithin(ctx, readPeriod); err != nil {
		s.Log.WithField("Error", err.Error()).Debug("verdicts were not read from the store")
	}
}

// applyList applies the verdicts of a list, and ends those of this instance whose objects
// an operator has deleted.
func (s *Service) applyList(ctx context.Context, l platform.Listing) {
	now := time.Now()
	known := s.current(now)
	listed := map[uint64]bool{}
	var facts []quarantine.Fact
	for _, o := range l.Objects {
		v, err := platform.DecodeVerdict(now, o)
		if err != nil {
			s.Log.WithFields(logrus.Fields{"Entry": o.Name, "Error": err.Error()}).Warn("stored verdict cannot be read")
			continue
		}
		listed[v.Verdict.Trait] = true
		if _, ok := known[v.Verdict.Trait]; !ok {
			s.Log.WithFields(fields(now, v.Verdict)).WithField("Source", "store").Warn("verdict on a " + v.Verdict.Noun() + " learned")
		}
		facts = append(facts, v.Verdict)
		s.recordListed(v, l.Era)
	}
	if len(facts) > 0 {
		s.Verdicts.Apply(now, facts)
	}
	for _, part := range s.missing(now, known, listed, l) {
		s.checkDeleted(ctx, part)
	}
}

// recordListed records that a verdict is stored in an era, unless a later revision is known.
func (s *Service) recordListed(v platform.StoredVerdict, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recordOf(v.Verdict.Trait)
	if era > r.era || v.Revision > r.revision {
		r.verdict, r.revision, r.era, r.seen, r.backoff = v.Verdict, v.Revision, era, true, 0
	}
}

// missing returns the parts with a verdict in force that is stored but not in a list. One
// that was stored in an earlier era of the store may be lost and is no such verdict.
func (s *Service) missing(now time.Time, known map[uint64]quarantine.Convicted, listed map[uint64]bool, l platform.Listing) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []uint64
	for part, r := range s.stored {
		v, ok := known[part]
		if ok && !listed[part] && now.Before(v.Until) && r.era == l.Era && r.revision > 0 && r.revision <= l.Revision {
			parts = append(parts, part)
		}
	}
	return parts
}

// checkDeleted ends a verdict whose object no longer exists, because an operator has
// deleted it or another instance knows that the verdict has ended.
func (s *Service) checkDeleted(ctx context.Context, part uint64) {
	_, err := s.Platform.Get(ctx, platform.VerdictKind, quarantine.TraitName(part))
	if !errors.Is(err, platform.ErrNotFound) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	delete(s.stored, part)
	s.mu.Unlock()
	released := []quarantine.Fact{quarantine.Released{Trait: part, At: now}}
	s.Verdicts.Apply(now, released)
	s.Tell(released)
	s.Log.WithField("Part", quarantine.TraitName(part)).Warn("verdict ended: its object was deleted from the store")
}
