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

// Desk routes each claim to the store, ticket table or peer that decides on it.
// The exported fields are set before Run.
type Desk struct {
	Identity string
	Store    *Store
	Peers    *peer.Node
	Beats    *heartbeat.Service
	Log      logrus.FieldLogger

	mu        sync.Mutex
	table     *claim.Table
	adopted   map[string]*claim.Table // tables of predecessors by identity
	successor string                  // address of the peer that took the table over
	expiry    background.Group        // expires old records
	saving    background.Group        // saves outcomes and releases claims
}

// Prepare registers the handlers. It is called before the peer node runs.
func (d *Desk) Prepare() {
	d.table = claim.NewTable(d.Identity, time.Now())
	d.adopted = map[string]*claim.Table{}
	d.Peers.Handle(takeMethod, d.serveTake)
	d.Peers.Handle(finishMethod, d.serveFinish)
	d.Peers.Handle(releaseMethod, d.serveRelease)
	d.Peers.Handle(adoptMethod, d.serveAdopt)
}

// Run starts to expire old records.
func (d *Desk) Run(*kernel.Kernel) error {
	d.expiry.Every(expirePeriod, d.expire)
	return nil
}

// Close waits for the outcomes that are still being saved, each for at most
// finishTimeout.
func (d *Desk) Close() error {
	d.expiry.Close()
	d.saving.Finish()
	return nil
}

func (d *Desk) expire(_ context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Expire(now)
	for _, t := range d.adopted {
		t.Expire(now)
	}
}

// Issue returns a new ticket.
func (d *Desk) Issue() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Issue(time.Now())
}

// Tickets returns the number of ticket records held.
func (d *Desk) Tickets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.table.Len()
	for _, t := range d.adopted {
		n += t.Len()
	}
	return n
}

// location is where a claim is decided.
type location struct {
	store       bool
	table       *claim.Table
	address     string // of the peer that decides, if it is another instance
	unavailable bool   // no instance can decide any more
}

// locate returns where a claim on the key is decided.
func (d *Desk) locate(key string) location {
	ticket, ok := claim.ParseTicket(key)
	if !ok {
		return location{store: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ticket.Identity == d.Identity && d.successor == "" {
		return location{table: d.table}
	}
	if ticket.Identity == d.Identity {
		return location{address: d.successor}
	}
	if t := d.adopted[ticket.Identity]; t != nil {
		return location{table: t}
	}
	return d.locatePeer(ticket.Identity)
}

func (d *Desk) locatePeer(identity string) location {
	p := location{unavailable: true}
	d.Beats.With(func(v *member.View) {
		m, ok := v.Heir(identity)
		if ok && m.Name != v.Self.Name {
			p = location{address: m.Peer}
		}
	})
	return p
}

// Take requests the decision whether the claim's request may run. It returns
// Unsure if there is none within takeTimeout.
func (d *Desk) Take(ctx context.Context, c claim.Claim) claim.Answer {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	answer, err := backoff.Retry(ctx, func() (claim.Answer, error) {
		return d.takeOnce(ctx, c)
	}, backoff.WithMaxElapsedTime(takeTimeout))
	if err != nil {
		return claim.Unsure{Reason: "the instance that gave the ticket out did not answer"}
	}
	return answer
}

func (d *Desk) takeOnce(ctx context.Context, c claim.Claim) (claim.Answer, error) {
	p := d.locate(c.Key)
	switch {
	case p.store:
		return d.Store.Take(ctx, c), nil
	case p.table != nil:
		d.mu.Lock()
		defer d.mu.Unlock()
		return p.table.Take(time.Now(), c), nil
	case p.unavailable:
		return claim.Unsure{Reason: "the instance that gave the ticket out has ended"}, nil
	}
	var w wireAnswer
	if err := d.call(ctx, p.address, takeMethod, c, &w); err != nil {
		return nil, err
	}
	return w.answer(), nil
}

func (d *Desk) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return d.Peers.Call(ctx, address, method, params, result)
}

// Finish saves the outcome of the claim in the background.
func (d *Desk) Finish(c claim.Claim, o claim.Outcome) {
	d.retryInBackground(finishTimeout, func(ctx context.Context) error { return d.finishOnce(ctx, c, o) })
}

// Release releases the claim in the background. Its request must not have been
// sent to any upstream.
func (d *Desk) Release(c claim.Claim) {
	d.retryInBackground(finishTimeout, func(ctx context.Context) error { return d.releaseOnce(ctx, c) })
}

func (d *Desk) retryInBackground(limit time.Duration, f func(context.Context) error) {
	d.saving.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		_, err := backoff.Retry(ctx, func() (bool, error) { return true, f(ctx) }, backoff.WithMaxElapsedTime(limit))
		if err != nil {
			d.Log.WithField("Error", err.Error()).Warn("a claim was not settled")
		}
	})
}

func (d *Desk) finishOnce(ctx context.Context, c claim.Claim, o claim.Outcome) error {
	p := d.locate(c.Key)
	switch {
	case p.store:
		return d.Store.Finish(ctx, c, o)
	case p.table != nil:
		d.mu.Lock()
		defer d.mu.Unlock()
		p.table.Finish(c, o)
		return nil
	case p.unavailable:
		return nil
	}
	return d.call(ctx, p.address, finishMethod, wireFinish{Claim: c, Outcome: o}, nil)
}

func (d *Desk) releaseOnce(ctx context.Context, c claim.Claim) error {
	p := d.locate(c.Key)
	switch {
	case p.store:
		return d.Store.Release(ctx, c)
	case p.table != nil:
		d.mu.Lock()
		defer d.mu.Unlock()
		p.table.Release(c)
		return nil
	case p.unavailable:
		return nil
	}
	return d.call(ctx, p.address, releaseMethod, c, nil)
}

// HandOver seals the ticket tables and transfers them to the first of the peers
// that accepts them. It returns the identity of this successor, empty if there is
// none.
func (d *Desk) HandOver(ctx context.Context, to []member.Member) string {
	d.mu.Lock()
	exports := []claim.Export{d.table.Seal(time.Now())}
	for _, t := range d.adopted {
		exports = append(exports, t.Seal(time.Now()))
	}
	d.mu.Unlock()
	for _, m := range to {
		if err := d.call(ctx, m.Peer, adoptMethod, exports, nil); err != nil {
			continue
		}
		d.mu.Lock()
		d.successor = m.Peer
		d.adopted = map[string]*claim.Table{}
		d.mu.Unlock()
		return m.Identity()
	}
	return ""
}

// wireFinish is a claim with its outcome as it is sent to peers.
type wireFinish struct {
	Claim   claim.Claim
	Outcome claim.Outcome
}

func (d *Desk) serveTake(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var c claim.Claim
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, err
	}
	if d.locate(c.Key).store {
		return nil, errors.New("the key is not a ticket")
	}
	a, err := d.takeOnce(ctx, c)
	if err != nil {
		return nil, err
	}
	return newWireAnswer(a), nil
}

func (d *Desk) serveFinish(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireFinish
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	return nil, d.finishOnce(ctx, w.Claim, w.Outcome)
}

func (d *Desk) serveRelease(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var c claim.Claim
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, err
	}
	return nil, d.releaseOnce(ctx, c)
}

// serveAdopt takes over the tables of a leaving instance. A repeated handover does
// not overwrite decisions made since the first one.
func (d *Desk) serveAdopt(_ context.Context, from string, params json.RawMessage) (any, error) {
	var exports []claim.Export
	if err := json.Unmarshal(params, &exports); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.successor != "" {
		return nil, errors.New("this instance is leaving itself")
	}
	for _, e := range exports {
		if d.adopted[e.Identity] == nil {
			d.adopted[e.Identity] = claim.Import(time.Now(), e)
		}
	}
	d.Log.WithField("Instance", from).Info("tickets were taken over")
	return nil, nil
}

// wireAnswer is the decision on a claim as it is sent to peers.
type wireAnswer struct {
	Kind    string
	Outcome claim.Outcome
	Text    string
}

func newWireAnswer(a claim.Answer) wireAnswer {
	switch a := a.(type) {
	case claim.Yours:
		return wireAnswer{Kind: "Yours"}
	case claim.Done:
		return wireAnswer{Kind: "Done", Outcome: a.Outcome}
	case claim.Busy:
		return wireAnswer{Kind: "Busy", Text: a.Holder}
	case claim.Mismatch:
		return wireAnswer{Kind: "Mismatch"}
	case claim.Unsure:
		return wireAnswer{Kind: "Unsure", Text: a.Reason}
	}
	return wireAnswer{Kind: "Unsure"}
}

func (w wireAnswer) answer() claim.Answer {
	switch w.Kind {
	case "Yours":
		return claim.Yours{}
	case "Done":
		return claim.Done{Outcome: w.Outcome}
	case "Busy":
		return claim.Busy{Holder: w.Text}
	case "Mismatch":
		return claim.Mismatch{}
	}
	return claim.Unsure{Reason: w.Text}
}
