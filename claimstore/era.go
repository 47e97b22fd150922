package claimstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"knapweedwell/claim"
	"knapweedwell/member"
	"knapweedwell/platform"
)

const (
	recallMethod = "Claim.Recall"
	keepMethod   = "Claim.Keep"
	eraPeriod    = 200 * time.Millisecond // time between checks of the store's era
	writeTimeout = 10 * time.Second       // for writing all remembered claims again
	neverWritten = -1                     // is no era
)

// eras is what this instance knows of the eras of the store. The lock of Service guards it.
type eras struct {
	seen     int64     // highest era in an answer of the store
	known    bool      // an answer has named an era
	restored int64     // highest era that is known to have begun because the store came back from a copy
	began    time.Time // when that was learned
	written  int64     // era in which all remembered claims of this instance are in the store, or neverWritten
	settled  int64     // era in which those of all instances are
	learned  bool      // other instances were asked for these after the start
}

// notice records the era of an answer of the store, if one has named it.
func (e *eras) notice(now time.Time, era int64, known bool) {
	if !known {
		return
	}
	if e.known && era > e.seen {
		e.restoredTo(now, era)
	}
	e.seen, e.known = max(e.seen, era), true
}

// restoredTo records that an era has begun because the store came back from a copy.
func (e *eras) restoredTo(now time.Time, era int64) {
	if era > e.restored {
		e.restored, e.began = era, now
	}
}

// recall asks a peer for a claim that it remembers.
type recall struct {
	Era   int64 // of the store as the asking instance knows it
	Claim claim.Claim
}

// recalled is the answer to a recall.
type recalled struct {
	Restored int64        // as in eras
	Written  int64        // as in eras
	Settled  int64        // as in eras
	Stored   *storedClaim // nil if no claim on the key is remembered
}

// takeStored decides on a claim in the store. In an era of the store in which not all
// instances have written their claims again, the store alone does not know whether the key
// is unused.
func (s *Service) takeStored(ctx context.Context, c claim.Claim) claim.Decision {
	d := s.Store.Take(ctx, c)
	if _, ok := d.(claim.Acquired); !ok {
		return d
	}
	now := time.Now()
	if st := s.recent.get(now, objectName(c)); st != nil && st.Claim.Nonce != c.Nonce {
		return s.yield(ctx, c, *st)
	}
	s.recent.put(now, storedClaim{Claim: c})
	s.mu.Lock()
	era, named := s.Store.Platform.KnownEra()
	s.eras.notice(now, era, named)
	known := s.eras
	s.mu.Unlock()
	if known.learned && known.restored <= known.settled {
		return d
	}
	return s.askOthers(ctx, c, known)
}

// askOthers decides on a claim by what the other instances remember of its key, and learns
// what they know of the store's eras. The claim was written when this instance knew the given
// eras.
func (s *Service) askOthers(ctx context.Context, c claim.Claim, known eras) claim.Decision {
	others, unknown := s.holders(time.Now())
	written := unknown == "" && known.written >= known.seen // whether all have written their claims
	for _, m := range others {
		var answer recalled
		err := s.call(ctx, m.Peer, recallMethod, recall{Era: known.seen, Claim: c}, &answer)
		switch {
		case isUnknownMethod(err):
			continue // An earlier build remembers nothing.
		case err != nil:
			unknown, written = m.Name, false
			continue
		case answer.Stored != nil && answer.Stored.Claim.Nonce != c.Nonce:
			return s.yield(ctx, c, *answer.Stored)
		}
		written = written && answer.Written >= known.seen
		known.restored, known.settled = max(known.restored, answer.Restored), max(known.settled, answer.Settled)
	}
	if written {
		known.settled = max(known.settled, known.restored)
	}
	s.learn(known)
	if known.restored > known.settled && unknown != "" {
		s.Release(c)
		return claim.Undecided{Reason: "the store came back from a copy, and " + unknown + " may have used the key before"}
	}
	return claim.Acquired{}
}

// learn records what the other instances know of the store's eras.
func (s *Service) learn(known eras) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eras.learned = true
	s.eras.restoredTo(time.Now(), known.restored)
	if known.settled > s.eras.settled {
		s.eras.settled = known.settled
		s.Log.WithField("Era", known.settled).Info("all claims are in the store")
	}
}

// isUnknownMethod reports whether a peer does not know the method of a call.
func isUnknownMethod(err error) bool {
	var rpc *jsonrpc2.Error
	return errors.As(err, &rpc) && rpc.Code == jsonrpc2.CodeMethodNotFound
}

// holders returns the other instances that may remember claims, and the name of one that
// has ended lately without handing its claims over, empty if there is none.
func (s *Service) holders(now time.Time) (others []member.Member, lost string) {
	s.Heartbeats.With(func(v *member.View) {
		for _, m := range v.All() {
			switch {
			case m.Name == v.Self.Name:
			case m.State != member.Gone:
				others = append(others, m)
			case v.GoneFor(now, m.Name) < recentTime && !handedOver(v, m.Identity()):
				lost = m.Name
			}
		}
		for _, e := range v.Endings(now) {
			if e.Age < recentTime && !handedOver(v, e.Identity) {
				lost = e.Identity
			}
		}
	})
	return others, lost
}

// handedOver reports whether an instance that runs has the claims of an incarnation that has
// ended.
func handedOver(v *member.View, identity string) bool {
	_, ok := v.TicketHolder(identity)
	return ok
}

// yield leaves a key to the claim that another instance remembers, and writes that to the
// store.
func (s *Service) yield(ctx context.Context, c claim.Claim, st storedClaim) claim.Decision {
	s.recent.forget(c)
	s.Log.WithFields(logrus.Fields{"Holder": st.Claim.Holder, "Done": st.Outcome != nil}).Warn("the store had lost a claim that an instance remembers")
	if err := s.Store.overwrite(ctx, c, st); err != nil {
		return claim.Undecided{Reason: "the key was used before, which could not be written to the store: " + err.Error()}
	}
	r := claim.Record{Claim: st.Claim, Outcome: st.Outcome}
	return r.Decide(c)
}

// serveRecall answers whether this instance remembers a claim on a key. If the asking
// instance knows a later era of the store, this one reads from the store to learn of it.
func (s *Service) serveRecall(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req recall
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	if s.Store.Platform.Era() < req.Era {
		_, _ = s.Store.Platform.Get(ctx, objectKind, objectName(req.Claim))
	}
	answer := recalled{Stored: s.recent.get(time.Now(), objectName(req.Claim))}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Restored, answer.Written, answer.Settled = s.eras.restored, s.eras.written, s.eras.settled
	return answer, nil
}

// serveKeep remembers the claims of an instance that leaves.
func (s *Service) serveKeep(_ context.Context, from string, params json.RawMessage) (any, error) {
	var claims []storedClaim
	if err := json.Unmarshal(params, &claims); err != nil {
		return nil, err
	}
	for _, st := range claims {
		s.recent.put(time.Now(), st)
	}
	s.mu.Lock()
	s.eras.written = neverWritten // those of the leaving instance may not be in the store yet
	s.mu.Unlock()
	s.Log.WithFields(logrus.Fields{"Instance": from, "Claims": len(claims)}).Info("claims were taken over")
	return nil, nil
}

// handOverRecent tells a successor the claims that this instance remembers.
func (s *Service) handOverRecent(ctx context.Context, address string) {
	claims := s.recent.all(time.Now())
	if len(claims) == 0 {
		return
	}
	if err := s.call(ctx, address, keepMethod, claims, nil); err != nil {
		s.Log.WithFields(logrus.Fields{"Address": address, "Claims": len(claims), "Error": err.Error()}).Warn("claims were not handed over")
	}
}

// checkEra writes the remembered claims again once the store has begun another era.
func (s *Service) checkEra(ctx context.Context, now time.Time) {
	era, known := s.Store.Platform.KnownEra()
	s.mu.Lock()
	s.eras.notice(now, era, known)
	due := s.eras.written != era
	// What an instance that has ended remembered is too old by then to be asked for.
	if !due && now.Sub(s.eras.began) > recentTime {
		s.eras.settled = max(s.eras.settled, s.eras.restored)
	}
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	claims := s.recent.all(now)
	for _, st := range claims {
		if err := s.Store.restore(ctx, st); err != nil {
			s.Log.WithFields(logrus.Fields{"Era": era, "Error": err.Error()}).Warn("claims were not written again yet")
			return
		}
	}
	s.mu.Lock()
	s.eras.written = era
	s.mu.Unlock()
	if len(claims) > 0 {
		s.Log.WithFields(logrus.Fields{"Era": era, "Claims": len(claims)}).Info("claims were written again, because the store came back from a copy")
	}
}

// restore writes a remembered claim to the store unless the store has it. If the store has
// another claim on the key, that one stays.
func (s *Store) restore(ctx context.Context, st storedClaim) error {
	value, err := json.Marshal(st)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	_, err = s.Platform.Create(ctx, objectKind, objectName(st.Claim), value)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	if st.Outcome == nil {
		return nil
	}
	return s.replace(ctx, st.Claim, value)
}

// overwrite replaces the claim c, which this instance has just written, by another one.
func (s *Store) overwrite(ctx context.Context, c claim.Claim, st storedClaim) error {
	value, err := json.Marshal(st)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	o, err := s.heldObject(ctx, c)
	if err != nil || o == nil {
		return err
	}
	_, err = s.Platform.Update(ctx, objectKind, objectName(c), value, o.Revision)
	return err
}
