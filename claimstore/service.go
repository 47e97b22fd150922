package claimstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"knapweedwell/background"
	"knapweedwell/claim"
	"knapweedwell/heartbeat"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
)

const (
	takeMethod    = "Claim.Take"
	finishMethod  = "Claim.Finish"
	releaseMethod = "Claim.Release"
	adoptMethod   = "Claim.Adopt"
	peerTimeout   = 1500 * time.Millisecond
	takeTimeout   = 5 * time.Second
	expirePeriod  = time.Minute
	// maxAdoptCalls is the number of calls to a peer that may have taken tables over
	// without an answer.
	maxAdoptCalls = 3
)

// errHandingOver means that a table is being transferred, so that no record of it can
// be changed.
var errHandingOver = errors.New("the ticket's instance is handing its tickets over")

// Service routes each claim to the store, ticket table or peer that decides on it.
// The exported fields are set before Run.
type Service struct {
	Identity   string
	Store      *Store
	Peers      *peer.Node
	Heartbeats *heartbeat.Service
	Log        logrus.FieldLogger

	mu          sync.Mutex
	table       *claim.Table
	adopted     map[string]*claim.Table // tables of predecessors by identity
	leaving     bool                    // set once HandOver is called
	handingOver bool                    // the tables are being transferred
	successor   string                  // address of the peer that took the tables over
	recent      recentClaims
	eras        eras
	expiry      background.Group // expires old records and follows the store's eras
	saving      background.Group // saves outcomes and releases claims
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.table = claim.NewTable(s.Identity, time.Now())
	s.adopted = map[string]*claim.Table{}
	s.Peers.Handle(takeMethod, s.serveTake)
	s.Peers.Handle(finishMethod, s.serveFinish)
	s.Peers.Handle(releaseMethod, s.serveRelease)
	s.Peers.Handle(adoptMethod, s.serveAdopt)
	s.Peers.Handle(recallMethod, s.serveRecall)
	s.Peers.Handle(keepMethod, s.serveKeep)
}

// Run starts to expire old records and to write claims again if the store loses them.
func (s *Service) Run(*kernel.Kernel) error {
	s.expiry.Every(expirePeriod, s.expire)
	s.expiry.Every(eraPeriod, s.checkEra)
	return nil
}

// Close waits for the calls of Finish and Release that are still in progress, each
// for at most finishTimeout.
func (s *Service) Close() error {
	s.expiry.Close()
	s.saving.Drain()
	return nil
}

func (s *Service) expire(_ context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for _, t := range s.adopted {
		t.Expire(now)
	}
}

// Issue returns a new ticket.
func (s *Service) Issue() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Issue(time.Now())
}

// TicketCount returns the number of ticket records held.
func (s *Service) TicketCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.table.Len()
	for _, t := range s.adopted {
		n += t.Len()
	}
	return n
}

// location is where a claim is decided.
type location struct {
	store       bool
	table       *claim.Table
	address     string // address of the peer that decides, if it is another instance
	unavailable bool   // no instance can decide any more
}

// locate returns where a claim on the key is decided.
func (s *Service) locate(key string) location {
	ticket, ok := claim.ParseTicket(key)
	if !ok {
		return location{store: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.adopted[ticket.Identity]
	if ticket.Identity == s.Identity {
		t = s.table
	}
	switch {
	case t == nil:
		return s.locatePeer(ticket.Identity)
	case s.successor != "":
		return location{address: s.successor}
	}
	return location{table: t}
}

func (s *Service) locatePeer(identity string) location {
	loc := location{unavailable: true}
	s.Heartbeats.With(func(v *member.View) {
		m, ok := v.TicketHolder(identity)
		if ok && m.Name != v.Self.Name {
			loc = location{address: m.Peer}
		}
	})
	return loc
}

// Take requests the decision whether the claim's request may run. It returns
// Undecided if there is none within takeTimeout.
func (s *Service) Take(ctx context.Context, c claim.Claim) claim.Decision {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	decision, err := backoff.Retry(ctx, func() (claim.Decision, error) {
		return s.takeOnce(ctx, c)
	}, backoff.WithMaxElapsedTime(takeTimeout))
	if err != nil {
		return claim.Undecided{Reason: "the instance that gave the ticket out did not answer"}
	}
	return decision
}

func (s *Service) takeOnce(ctx context.Context, c claim.Claim) (claim.Decision, error) {
	loc := s.locate(c.Key)
	switch {
	case loc.store:
		return s.takeStored(ctx, c), nil
	case loc.table != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		return loc.table.Take(time.Now(), c), nil
	case loc.unavailable:
		return claim.Undecided{Reason: "the instance that gave the ticket out has ended"}, nil
	}
	var w wireDecision
	if err := s.call(ctx, loc.address, takeMethod, c, &w); err != nil {
		return nil, err
	}
	return w.decision(), nil
}

func (s *Service) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.Peers.Call(ctx, address, method, params, result)
}

// Finish saves the outcome of the claim in the background.
func (s *Service) Finish(c claim.Claim, o claim.Outcome) {
	s.retryInBackground(finishTimeout, func(ctx context.Context) error { return s.finishOnce(ctx, c, o) })
}

// Release releases the claim in the background. Its request must not have been
// sent to any upstream.
func (s *Service) Release(c claim.Claim) {
	s.retryInBackground(finishTimeout, func(ctx context.Context) error { return s.releaseOnce(ctx, c) })
}

// retryInBackground retries f in a new goroutine until it succeeds or the timeout
// has passed.
func (s *Service) retryInBackground(timeout time.Duration, f func(context.Context) error) {
	s.saving.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := backoff.Retry(ctx, func() (bool, error) { return true, f(ctx) }, backoff.WithMaxElapsedTime(timeout))
		if err != nil {
			s.Log.WithField("Error", err.Error()).Warn("a claim was not settled")
		}
	})
}

func (s *Service) finishOnce(ctx context.Context, c claim.Claim, o claim.Outcome) error {
	loc := s.locate(c.Key)
	switch {
	case loc.store:
		s.recent.put(time.Now(), storedClaim{Claim: c, Outcome: &o})
		return s.Store.Finish(ctx, c, o)
	case loc.table != nil:
		return s.settle(func() { loc.table.Finish(c, o) })
	case loc.unavailable:
		return nil
	}
	return s.call(ctx, loc.address, finishMethod, wireFinish{Claim: c, Outcome: o}, nil)
}

func (s *Service) releaseOnce(ctx context.Context, c claim.Claim) error {
	loc := s.locate(c.Key)
	switch {
	case loc.store:
		s.recent.forget(c)
		return s.Store.Release(ctx, c)
	case loc.table != nil:
		return s.settle(func() { loc.table.Release(c) })
	case loc.unavailable:
		return nil
	}
	return s.call(ctx, loc.address, releaseMethod, c, nil)
}

// settle changes a record of a table of this instance by calling f. It returns
// errHandingOver once the tables are being transferred or have been.
func (s *Service) settle(f func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handingOver || s.successor != "" {
		return errHandingOver
	}
	f()
	return nil
}

// HandOver seals the ticket tables and transfers them to the first of the peers
// that accepts them. It returns the identity of this successor, empty if there is
// none. The tables stay sealed in either case. If a peer may have taken them over
// without an answer, no other peer gets them: two would decide on the same tickets.
func (s *Service) HandOver(ctx context.Context, to []member.Member) string {
	exports := s.seal()
	var successor member.Member
	for _, m := range to {
		adopted, known := s.requestAdoption(ctx, m.Peer, exports)
		if adopted {
			successor = m
		}
		if adopted || !known {
			break
		}
	}
	if successor.Name != "" {
		s.handOverRecent(ctx, successor.Peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handingOver = false
	if successor.Name == "" {
		return ""
	}
	s.successor = successor.Peer
	return successor.Identity()
}

// seal seals all tables of this instance and returns their content.
func (s *Service) seal() []claim.Export {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.handingOver = true, true
	exports := []claim.Export{s.table.Seal(time.Now())}
	for _, t := range s.adopted {
		exports = append(exports, t.Seal(time.Now()))
	}
	return exports
}

// requestAdoption asks a peer to take tables over and reports whether it has done so.
// If that is not known after maxAdoptCalls calls, it reports so.
func (s *Service) requestAdoption(ctx context.Context, address string, exports []claim.Export) (adopted, known bool) {
	sent := false
	for range maxAdoptCalls {
		err := s.call(ctx, address, adoptMethod, exports, nil)
		if err == nil {
			return true, true
		}
		var refusal *jsonrpc2.Error
		refused := errors.As(err, &refusal)
		sent = sent || !refused && !errors.Is(err, peer.ErrNotSent)
		s.Log.WithFields(logrus.Fields{"Address": address, "Refused": refused, "Sent": sent, "Error": err.Error()}).Warn("tickets were not taken over")
		if refused || !sent {
			return false, !sent
		}
	}
	return false, false
}

// wireFinish is a claim with its outcome as it is sent to peers.
type wireFinish struct {
	Claim   claim.Claim
	Outcome claim.Outcome
}

func (s *Service) serveTake(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var c claim.Claim
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, err
	}
	if s.locate(c.Key).store {
		return nil, errors.New("the key is not a ticket")
	}
	d, err := s.takeOnce(ctx, c)
	if err != nil {
		return nil, err
	}
	return newWireDecision(d), nil
}

func (s *Service) serveFinish(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireFinish
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	return nil, s.finishOnce(ctx, w.Claim, w.Outcome)
}

func (s *Service) serveRelease(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var c claim.Claim
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, err
	}
	return nil, s.releaseOnce(ctx, c)
}

// serveAdopt takes over the tables of a leaving instance. A repeated handover does
// not overwrite decisions made since the first one.
func (s *Service) serveAdopt(_ context.Context, from string, params json.RawMessage) (any, error) {
	var exports []claim.Export
	if err := json.Unmarshal(params, &exports); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range exports {
		if s.adopted[e.Identity] == nil && s.leaving {
			return nil, errors.New("this instance is leaving itself")
		}
		if s.adopted[e.Identity] == nil {
			s.adopted[e.Identity] = claim.Import(time.Now(), e)
		}
	}
	s.Log.WithField("Instance", from).Info("tickets were taken over")
	return nil, nil
}

// wireDecision is the decision on a claim as it is sent to peers. The values Yours
// (claim.Acquired) and Unsure (claim.Undecided) of Kind stay, because instances of
// other builds use them.
type wireDecision struct {
	Kind    string
	Outcome claim.Outcome
	Text    string
}

func newWireDecision(d claim.Decision) wireDecision {
	switch d := d.(type) {
	case claim.Acquired:
		return wireDecision{Kind: "Yours"}
	case claim.Done:
		return wireDecision{Kind: "Done", Outcome: d.Outcome}
	case claim.Busy:
		return wireDecision{Kind: "Busy", Text: d.Holder}
	case claim.Mismatch:
		return wireDecision{Kind: "Mismatch"}
	case claim.Undecided:
		return wireDecision{Kind: "Unsure", Text: d.Reason}
	}
	return wireDecision{Kind: "Unsure"}
}

func (w wireDecision) decision() claim.Decision {
	switch w.Kind {
	case "Yours":
		return claim.Acquired{}
	case "Done":
		return claim.Done{Outcome: w.Outcome}
	case "Busy":
		return claim.Busy{Holder: w.Text}
	case "Mismatch":
		return claim.Mismatch{}
	}
	return claim.Undecided{Reason: w.Text}
}
