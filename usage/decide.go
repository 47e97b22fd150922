package usage

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/platform"
)

const (
	maxDecided  = 12 // windows in the object
	maxRetry    = 2 * time.Second
	firstRetry  = 200 * time.Millisecond
	storeWait   = time.Second // for one call to the store
	lateFactor  = 3           // a window is given up this many deadlines after its end
	firstEra    = 1           // of a store that never came back from a copy; some name none
	clockMargin = time.Second // difference that the times of two holders may have
)

// decided is a window whose counts will never change.
type decided struct {
	Window    int64
	Counts    map[string]int64
	Instances int  // that the counts cover
	Accepted  bool // by the platform
}

// ledger is the value of the object with the decided windows.
type ledger struct {
	Era     int64 // of the store when it was written
	Last    int64 // window up to which all are decided or given up
	Windows []decided
}

// decisions is what this instance knows of the decided windows.
type decisions struct {
	token    int64 // of the lease under which the ledger was read
	ledger   ledger
	revision int64
	backoff  time.Duration
	nextSend time.Time
	accepted int64
	late     int64
}

// nextWindow returns the window that is to be decided next, if its time has come. Windows that
// ended long ago are passed over.
func nextWindow(last int64, now time.Time, window, giveUp time.Duration) (int64, bool) {
	newest := now.Add(-decideDelay).UnixNano()/int64(window) - 1
	oldest := now.Add(-giveUp).UnixNano()/int64(window) - 1
	next := max(last, oldest) + 1
	return next, next <= newest
}

// lastUncertain returns the last window that an earlier holder may have decided, if what it
// stored may be lost.
func lastUncertain(now time.Time, window time.Duration) int64 {
	return now.Add(-decideDelay).Add(clockMargin).UnixNano()/int64(window) - 1
}

// step decides and sends what is due, if this instance holds the lease.
func (s *Service) step(ctx context.Context) {
	calls, token, ok := s.Duties.Held()
	if !ok {
		return
	}
	if s.decisions.token != token && !s.readLedger(ctx, token) {
		return
	}
	now := s.Now()
	for {
		window, due := nextWindow(s.decisions.ledger.Last, now, s.Window, min(lateFactor*s.Deadline, keepTime))
		if !due || !s.decide(ctx, window) {
			break
		}
	}
	s.sendDue(calls, token)
}

// readLedger reads what earlier holders have decided.
func (s *Service) readLedger(ctx context.Context, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	l, err := s.Platform.List(ctx, platform.UsageKind)
	if err != nil {
		s.Log.WithField("Error", err.Error()).Warn("the decided windows cannot be read")
		return false
	}
	d := &s.decisions
	known := d.ledger
	var stored ledger
	revision, found := int64(0), false
	for _, o := range l.Objects {
		if o.Name != platform.DecidedName {
			continue
		}
		revision = o.Revision
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			s.Log.WithField("Error", err.Error()).Warn("the decided windows cannot be decoded; none that may have been decided is sent")
			stored = ledger{Era: -1}
			continue
		}
		found = true
	}
	merged, certain := startLedger(known, stored, l.Era, found, revision == 0 && !s.Platform.Restored(), lastUncertain(s.Now(), s.Window))
	if !certain {
		s.Log.WithFields(logrus.Fields{"Era": l.Era, "Last": merged.Last}).Warn("windows may have been decided that the store does not know; they are not sent")
	}
	s.mu.Lock()
	d.ledger = merged
	s.mu.Unlock()
	d.revision, d.token = revision, token
	return true
}

// startLedger returns what a new holder takes as decided, from what it knows and what the store
// has in an era. It reports whether this is certain: otherwise windows up to the uncertain
// one may have been decided by others, and count as decided.
func startLedger(known, stored ledger, era int64, found, absent bool, uncertain int64) (ledger, bool) {
	certain := (found && stored.Era == era) || (absent && era <= firstEra)
	merged := mergeLedgers(known, stored)
	if !certain {
		merged.Last = max(merged.Last, uncertain)
	}
	merged.Era = era
	return merged, certain
}

// mergeLedgers returns the windows that either ledger has. What is stored counts.
func mergeLedgers(known, stored ledger) ledger {
	out := ledger{Last: max(known.Last, stored.Last), Windows: slices.Clone(stored.Windows)}
	for _, w := range known.Windows {
		i := slices.IndexFunc(out.Windows, func(o decided) bool { return o.Window == w.Window })
		if i < 0 {
			out.Windows = append(out.Windows, w)
		} else {
			out.Windows[i].Accepted = out.Windows[i].Accepted || w.Accepted
		}
	}
	return trim(out)
}

// trim drops the oldest windows beyond maxDecided.
func trim(l ledger) ledger {
	slices.SortFunc(l.Windows, func(a, b decided) int { return int(a.Window - b.Window) })
	l.Windows = l.Windows[max(len(l.Windows)-maxDecided, 0):]
	return l
}

// decide stores the counts of a window and reports whether they are stored.
func (s *Service) decide(ctx context.Context, window int64) bool {
	d := &s.decisions
	s.mu.Lock()
	counts, instances := s.total(Slot{Kind: WindowKind, Number: window})
	s.mu.Unlock()
	next := ledger{Era: d.ledger.Era, Last: window, Windows: slices.Clone(d.ledger.Windows)}
	next.Windows = append(next.Windows, decided{Window: window, Counts: counts, Instances: instances})
	next = trim(next)
	value, err := json.Marshal(next)
	if err != nil {
		s.Log.WithField("Error", err.Error()).Error("the decided windows cannot be encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	revision, err := s.Platform.Update(ctx, platform.UsageKind, platform.DecidedName, value, d.revision)
	if err != nil || s.Platform.Era() != next.Era {
		// What is stored decides: it is read again before anything else.
		d.token = 0
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			s.Log.WithFields(logrus.Fields{"Window": window, "Error": err.Error()}).Warn("the counts of a window could not be stored yet")
		}
		return false
	}
	s.mu.Lock()
	d.ledger = next
	s.mu.Unlock()
	d.revision = revision
	s.Log.WithFields(logrus.Fields{"Window": window, "Organisations": len(counts), "Instances": instances}).Info("counts of a window decided")
	return true
}

// sendDue sends the decided windows that are not accepted yet, the oldest first.
func (s *Service) sendDue(calls context.Context, token int64) {
	d := &s.decisions
	now := s.Now()
	for i := range d.ledger.Windows {
		w := &d.ledger.Windows[i]
		end := Slot{Kind: WindowKind, Number: w.Window}.end(s.Window)
		if w.Accepted || now.Sub(end) > lateFactor*s.Deadline || now.Before(d.nextSend) {
			continue
		}
		err := s.API.SendUsage(calls, platform.Duty{Holder: s.Self, Token: token}, platform.UsageReport{Window: w.Window, Counts: w.Counts})
		fields := logrus.Fields{"Window": w.Window, "AgeMillis": s.Now().Sub(end).Milliseconds(), "Instances": w.Instances}
		if err != nil {
			d.backoff = min(max(2*d.backoff, firstRetry), maxRetry)
			d.nextSend = s.Now().Add(d.backoff)
			s.Log.WithFields(fields).WithField("Error", err.Error()).Warn("usage of a window was not accepted yet")
			return
		}
		d.backoff = 0
		s.mu.Lock()
		w.Accepted = true
		d.accepted++
		if now.Sub(end) > s.Deadline {
			d.late++
		}
		s.mu.Unlock()
		s.Log.WithFields(fields).Info("usage of a window reported")
	}
}

// WindowState is what operators see of a decided window.
type WindowState struct {
	Window        int64
	Age           time.Duration // since its end
	Instances     int
	Organisations int
	Accepted      bool
}

// Windows returns the decided windows that this instance knows, the oldest first.
func (s *Service) Windows() []WindowState {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []WindowState
	for _, w := range s.decisions.ledger.Windows {
		end := Slot{Kind: WindowKind, Number: w.Window}.end(s.Window)
		out = append(out, WindowState{Window: w.Window, Age: now.Sub(end), Instances: w.Instances, Organisations: len(w.Counts), Accepted: w.Accepted})
	}
	return out
}

// Reported returns the number of windows that the platform accepted, and of these those after
// their deadline.
func (s *Service) Reported() (accepted, late int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisions.accepted, s.decisions.late
}
