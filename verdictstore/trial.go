package verdictstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/platform"
	"knapweedwell/quarantine"
)

const (
	// trialTime is how long one instance alone may send requests with a part whose verdict
	// has ended.
	trialTime    = 10 * time.Second
	trialTimeout = time.Second
)

// Trial reports whether this instance may send the next request with a part whose verdict
// has ended. The store decides between the instances, and grants the trial for trialTime.
func (s *Service) Trial(part uint64) bool {
	ctx, cancel := context.WithTimeout(s.group.Context(), trialTimeout)
	defer cancel()
	now := time.Now()
	s.mu.Lock()
	end := s.trials[part]
	s.mu.Unlock()
	if now.Before(end) {
		return true
	}
	end, err := s.takeTrial(ctx, now, part)
	if err != nil {
		s.Log.WithField("Part", quarantine.PartName(part)).WithField("Error", err.Error()).Info("trial of a prompt part not granted")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials == nil {
		s.trials = map[uint64]time.Time{}
	}
	for p, t := range s.trials {
		if now.After(t) {
			delete(s.trials, p)
		}
	}
	s.trials[part] = end
	s.Log.WithField("Part", quarantine.PartName(part)).Info("trial of a prompt part granted")
	return true
}

// takeTrial records in the store that this instance tries a part, and returns the end of
// the trial.
func (s *Service) takeTrial(ctx context.Context, now time.Time, part uint64) (time.Time, error) {
	verdict, ok := s.current(now)[part]
	if !ok {
		verdict = quarantine.Convicted{Part: part, At: now, Until: now}
	}
	stored := platform.StoredVerdict{Verdict: verdict}
	o, err := s.Platform.Get(ctx, platform.VerdictKind, quarantine.PartName(part))
	if err == nil {
		if stored, err = platform.DecodeVerdict(now, *o); err != nil {
			return time.Time{}, err
		}
	} else if !errors.Is(err, platform.ErrNotFound) {
		return time.Time{}, err
	}
	left := stored.TrialEnd.Sub(now)
	switch {
	case now.Before(stored.Verdict.Until):
		s.Verdicts.Apply(now, []quarantine.Fact{stored.Verdict})
		return time.Time{}, errors.New("the verdict was renewed")
	case stored.Trial == s.Self && left > 0:
		return stored.TrialEnd, nil
	case stored.Trial != "" && left > 0 && left <= trialTime:
		return time.Time{}, errors.Errorf("%s tries the part", stored.Trial)
	}
	revision := stored.Revision
	stored.Trial, stored.TrialEnd = s.Self, now.Add(trialTime)
	value, err := platform.EncodeVerdict(now, stored)
	if err != nil {
		return time.Time{}, err
	}
	revision, err = s.Platform.Update(ctx, platform.VerdictKind, quarantine.PartName(part), value, revision)
	if err != nil {
		return time.Time{}, err
	}
	s.mu.Lock()
	s.recordOf(part).revision = revision
	s.mu.Unlock()
	return stored.TrialEnd, nil
}
