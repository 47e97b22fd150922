package verdictstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/platform"
	"knapweedwell/quarantine"
)

const (
	// trialTime is how long one instance alone may send requests with a part whose verdict
	// has ended.
	trialTime    = 10 * time.Second
	trialTimeout = time.Second
)

// askAgainTime is the time after which an instance asks again for a trial that the store
// has not decided.
const askAgainTime = time.Second

// trial is what the store has answered about a part, and until when that holds.
type trial struct {
	granted bool
	end     time.Time
}

// Trial reports whether this instance may send the next request with a part whose verdict
// has ended. The store decides between the instances, and grants the trial for trialTime.
func (s *Service) Trial(part uint64) bool {
	ctx, cancel := context.WithTimeout(s.group.Context(), trialTimeout)
	defer cancel()
	now := time.Now()
	if t, known := s.knownTrial(now, part); known {
		return t.granted
	}
	t, err := s.takeTrial(ctx, now, part)
	s.mu.Lock()
	s.trials[part] = t
	s.mu.Unlock()
	entry := s.Log.WithFields(logrus.Fields{"Part": quarantine.TraitName(part), "Granted": t.granted, "Millis": t.end.Sub(now).Milliseconds()})
	if err != nil {
		entry = entry.WithField("Error", err.Error())
	}
	entry.Info("trial after a verdict")
	return t.granted
}

// knownTrial returns the last answer of the store about a part if it still holds, and
// forgets those that don't.
func (s *Service) knownTrial(now time.Time, part uint64) (t trial, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials == nil {
		s.trials = map[uint64]trial{}
	}
	for p, t := range s.trials {
		if !now.Before(t.end) {
			delete(s.trials, p)
		}
	}
	t, known = s.trials[part]
	return t, known
}

// takeTrial records in the store that this instance tries a part, unless another one does.
func (s *Service) takeTrial(ctx context.Context, now time.Time, part uint64) (trial, error) {
	undecided := trial{end: now.Add(askAgainTime)}
	era := s.Platform.Era()
	stored, err := s.storedVerdict(ctx, now, part)
	if err != nil {
		return undecided, err
	}
	left := stored.TrialEnd.Sub(now)
	switch {
	case now.Before(stored.Verdict.Until):
		s.Verdicts.Apply(now, []quarantine.Fact{stored.Verdict})
		return undecided, errors.New("the verdict was renewed")
	case stored.Trial == s.Self && left > 0:
		return trial{granted: true, end: stored.TrialEnd}, nil
	case stored.Trial != "" && left > 0 && left <= trialTime:
		return trial{end: stored.TrialEnd}, errors.Errorf("%s tries the part", stored.Trial)
	}
	revision := stored.Revision
	stored.Trial, stored.TrialEnd = s.Self, now.Add(trialTime)
	value, err := platform.EncodeVerdict(now, stored)
	if err != nil {
		return undecided, err
	}
	revision, err = s.Platform.Update(ctx, platform.VerdictKind, quarantine.TraitName(part), value, revision)
	if err != nil {
		return undecided, err
	}
	s.mu.Lock()
	r := s.recordOf(part)
	r.revision, r.era = revision, era
	s.mu.Unlock()
	return trial{granted: true, end: stored.TrialEnd}, nil
}

// storedVerdict returns the stored verdict on a part, or the own one with revision zero if
// none is stored.
func (s *Service) storedVerdict(ctx context.Context, now time.Time, part uint64) (platform.StoredVerdict, error) {
	o, err := s.Platform.Get(ctx, platform.VerdictKind, quarantine.TraitName(part))
	if errors.Is(err, platform.ErrNotFound) {
		verdict, ok := s.current(now)[part]
		if !ok {
			verdict = quarantine.Convicted{Trait: part, At: now, Until: now}
		}
		return platform.StoredVerdict{Verdict: verdict}, nil
	}
	if err != nil {
		return platform.StoredVerdict{}, err
	}
	return platform.DecodeVerdict(now, *o)
}
