package claimstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

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
)

// Service routes each claim to the store, ticket table or peer that decides on it.
// The exported fields are set before Run.
type Service struct {
	Identity   string
	Store      *Store
	Peers      *peer.Node
	Heartbeats *heartbeat.Service
	Log        logrus.FieldLogger

	mu        sync.Mutex
	table     *claim.Table
	adopted   map[string]*claim.Table // tables of predecessors by identity
	successor string                  // address of the peer that took the table over
	expiry    background.Group        // expires old records
	saving    background.Group        // saves outcomes and releases claims
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.table = claim.NewTable(s.Identity, time.Now())
	s.adopted = map[string]*claim.Table{}
	s.Peers.Handle(takeMethod, s.serveTake)
	s.Peers.Handle(finishMethod, s.serveFinish)
	s.Peers.Handle(releaseMethod, s.serveRelease)
	s.Peers.Handle(adoptMethod, s.serveAdopt)
}

// Run starts to expire old records.
func (s *Service) Run(*kernel.Kernel) error {
	s.expiry.Every(expirePeriod, s.expire)
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
	if ticket.Identity == s.Identity && s.successor == "" {
		return location{table: s.table}
	}
	if ticket.Identity == s.Identity {
		return location{address: s.successor}
	}
	if t := s.adopted[ticket.Identity]; t != nil {
		return location{table: t}
	}
	return s.locatePeer(ticket.Identity)
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
		return s.Store.Take(ctx, c), nil
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
		return s.Store.Finish(ctx, c, o)
	case loc.table != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		loc.table.Finish(c, o)
		return nil
	case loc.unavailable:
		return nil
	}
	return s.call(ctx, loc.address, finishMethod, wireFinish{Claim: c, Outcome: o}, nil)
}

func (s *Service) releaseOnce(ctx context.Context, c claim.Claim) error {
	loc := s.locate(c.Key)
	switch {
	case loc.store:
		return s.Store.Release(ctx, c)
	case loc.table != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		loc.table.Release(c)
		return nil
	case loc.unavailable:
		return nil
	}
	return s.call(ctx, loc.address, releaseMethod, c, nil)
}

// HandOver seals the ticket tables and transfers them to the first of the peers
// that accepts them. It returns the identity of this successor, empty if there is
// none. The tables stay sealed in either case.
func (s *Service) HandOver(ctx context.Context, to []member.Member) string {
	s.mu.Lock()
	exports := []claim.Export{s.table.Seal(time.Now())}
	for _, t := range s.adopted {
		exports = append(exports, t.Seal(time.Now()))
	}
	s.mu.Unlock()
	for _, m := range to {
		if err := s.call(ctx, m.Peer, adoptMethod, exports, nil); err != nil {
			continue
		}
		s.mu.Lock()
		s.successor = m.Peer
		s.adopted = map[string]*claim.Table{}
		s.mu.Unlock()
		return m.Identity()
	}
	return ""
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
	if s.successor != "" {
		return nil, errors.New("this instance is leaving itself")
	}
	for _, e := range exports {
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
