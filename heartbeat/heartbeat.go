// Package heartbeat exchanges heartbeats with neighbouring instances. They
// contain the states of instances, the configuration revision in force and the
// upstreams that are leaving.
package heartbeat

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/platform"
)

const (
	period      = time.Second            // time between heartbeats
	callTimeout = 900 * time.Millisecond // for one heartbeat
	// maxDivergence is how long the digests of all neighbours may differ from this
	// instance's before the members of one neighbour are fetched.
	maxDivergence   = 2 * member.ChangeLifetime
	leavingLifetime = time.Minute // how long an upstream is kept as leaving
	maxLeaving      = 32          // leaving upstreams in one heartbeat
	exchangeMethod  = "Heartbeat.Exchange"
	membersMethod   = "Heartbeat.Members"
)

// Beat is the heartbeat that two instances exchange.
type Beat struct {
	Pulse   member.Pulse
	Digest  uint32          // digest of the sender's view
	From    *member.Member  `json:",omitempty"` // set after changes, and for a peer that lacks the sender
	Unknown bool            `json:",omitempty"` // asks the receiver to send From
	News    []member.Member `json:",omitempty"`
	// Departing holds leaving upstreams. The field keeps its name on the wire.
	Departing []LeavingUpstream `json:",omitempty"`
}

// LeavingUpstream is an upstream that the platform listed as leaving, and the time
// since then. The age is passed on, so that the entry expires at all instances.
type LeavingUpstream struct {
	Name string
	Age  time.Duration
}

// Service maintains this instance's view of the fleet. The exported fields are set
// before Run.
type Service struct {
	Self     member.Member
	Seeds    []string
	Peers    *peer.Node
	Platform *platform.Client
	Log      logrus.FieldLogger
	// Revision returns the revision of the configuration, or the version of the
	// route table, in force at this instance.
	Revision func() int64
	// StoreEra returns the highest era of the store that is known, and whether one is; may be nil.
	StoreEra func() (era int64, known bool)
	// Leaving returns the upstreams that the store lists as leaving; may be nil.
	Leaving func() []string
	// OnNewerRevision is called for a peer that has a higher revision.
	OnNewerRevision func(peerAddress string, revision int64)

	mu              sync.Mutex
	view            *member.View
	leavingListedAt map[string]time.Time // when an upstream was last listed as leaving, by its ID
	changed         time.Time            // when this instance last changed its own member
	lastAgreed      time.Time            // when a neighbour's digest was last equal, or its members were fetched
	lastRound       time.Time            // when the last round began
	subscribers     []func()
	group           background.Group
}

// Prepare creates the view and registers the handlers. It is called before the peer
// node runs.
func (s *Service) Prepare() {
	s.view = member.New(s.Self)
	s.leavingListedAt = map[string]time.Time{}
	s.Peers.Handle(exchangeMethod, s.serveExchange)
	s.Peers.Handle(membersMethod, s.serveMembers)
}

// Subscribe registers a function that is called after changes of the view.
func (s *Service) Subscribe(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Run starts the exchange of heartbeats.
func (s *Service) Run(*kernel.Kernel) error {
	s.With(func(v *member.View) { v.SetSelf(func(m *member.Member) { m.Peer = s.Peers.Address }) })
	s.lastRound = time.Now()
	s.changed = s.lastRound
	s.lastAgreed = s.lastRound
	s.group.Every(period, s.round)
	s.group.Go(s.joinLoop)
	return nil
}

// Close stops the exchange.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// With calls f with the view while holding its lock.
func (s *Service) With(f func(*member.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.view)
}

// Members returns all members.
func (s *Service) Members() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.All()
}

// Member returns a member by name.
func (s *Service) Member(name string) (member.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Get(name)
}

// LeavingUpstreams returns the upstreams that the platform has recently listed as
// leaving.
func (s *Service) LeavingUpstreams() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for name := range s.leavingListedAt {
		set[name] = true
	}
	return set
}

// AnnounceAsync sends a heartbeat to all neighbours in the background, after a
// change of this instance.
func (s *Service) AnnounceAsync() {
	s.mu.Lock()
	s.changed = time.Now()
	s.mu.Unlock()
	s.group.Go(func(ctx context.Context) { s.Announce(ctx, nil) })
}

// Announce changes this instance's own member, unless change is nil, and sends
// a heartbeat to all neighbours at once.
func (s *Service) Announce(ctx context.Context, change func(*member.Member)) {
	s.mu.Lock()
	if change != nil {
		s.view.SetSelf(change)
		s.changed = time.Now()
	}
	s.view.Self.Beat++
	neighbours := s.view.Neighbours()
	s.mu.Unlock()
	s.sendBeats(ctx, neighbours)
	s.notifySubscribers()
}

// round sends one heartbeat to each neighbour. If this process was suspended, it
// resets the silence of all members, because nothing was received meanwhile.
func (s *Service) round(ctx context.Context, _ time.Time) {
	now := time.Now()
	suspended := now.Sub(s.lastRound) > member.SuspectAfter
	s.lastRound = now
	s.mu.Lock()
	if suspended {
		s.view.ResetSilence(now)
	}
	s.view.Self.Beat++
	changed := s.view.Tick(now)
	neighbours := s.view.Neighbours()
	s.mu.Unlock()
	s.handleSilent(changed)
	s.group.Go(func(context.Context) { s.sendBeats(ctx, neighbours) })
}

// handleSilent logs the members that became silent and closes the connections
// to those that are suspect.
func (s *Service) handleSilent(changed []member.Member) {
	for _, m := range changed {
		s.Log.WithFields(logrus.Fields{"Instance": m.Name, "State": m.State.String()}).Warn("instance is silent")
		if m.State == member.Suspect {
			s.Peers.Drop(m.Peer)
		}
	}
	if len(changed) > 0 {
		s.notifySubscribers()
	}
}

func (s *Service) notifySubscribers() {
	s.mu.Lock()
	subscribers := s.subscribers
	s.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

func (s *Service) sendBeats(ctx context.Context, to []member.Member) {
	var wg sync.WaitGroup
	for _, m := range to {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.checkRefused(m, s.sendBeat(ctx, m.Peer))
		}()
	}
	wg.Wait()
}

// compareDigest fetches the members of a neighbour if its digest differs and
// maxDivergence has passed since a neighbour's digest was equal or members were
// fetched.
func (s *Service) compareDigest(address string, digest uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if digest == s.view.Digest() {
		s.lastAgreed = now
		return
	}
	if now.Sub(s.lastAgreed) > maxDivergence {
		s.lastAgreed = now
		s.group.Go(func(ctx context.Context) { s.fetchMembers(ctx, address) })
	}
}

// checkRefused records that an instance is not running if it refused the
// connection. Silence alone does not show this.
func (s *Service) checkRefused(m member.Member, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	s.With(func(v *member.View) { v.MarkNotRunning(m.Name) })
}

func (s *Service) sendBeat(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Beat
	if err := s.Peers.Call(ctx, address, exchangeMethod, s.ownBeat(false), &answer); err != nil {
		return err
	}
	known := s.merge(answer)
	s.compareDigest(address, answer.Digest)
	if known && !answer.Unknown {
		return nil
	}
	// Unknown also asks the peer to set From in its answer.
	full := s.ownBeat(true)
	full.Unknown = !known
	if err := s.Peers.Call(ctx, address, exchangeMethod, full, &answer); err != nil {
		return err
	}
	s.merge(answer)
	return nil
}

// ownBeat returns this instance's heartbeat: with its whole member in From if
// whole is set or the member changed recently, and with only its pulse otherwise.
func (s *Service) ownBeat(whole bool) Beat {
	revision := s.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Self.Revision = revision
	b := Beat{Pulse: s.view.Self.Pulse(), News: s.view.RecentChanges(time.Now()), Departing: s.leavingList(), Digest: s.view.Digest()}
	if whole || time.Since(s.changed) < member.ChangeLifetime {
		self := s.view.Self
		b.From = &self
	}
	return b
}

// leavingList returns the leaving upstreams in the order of their names, at
// most maxLeaving. The caller holds s.mu.
func (s *Service) leavingList() []LeavingUpstream {
	var list []LeavingUpstream
	now := time.Now()
	for name, t := range s.leavingListedAt {
		list = append(list, LeavingUpstream{Name: name, Age: now.Sub(t)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if len(list) > maxLeaving {
		list = list[:maxLeaving]
	}
	return list
}

// merge applies a heartbeat. It reports whether its sender is known.
func (s *Service) merge(b Beat) bool {
	now := time.Now()
	s.mu.Lock()
	changed := false
	if b.From != nil {
		changed = s.view.Merge(now, *b.From)
	}
	known, pulseChanged := s.view.MergePulse(now, b.Pulse)
	changed = changed || pulseChanged
	var suspects []member.Member
	for _, m := range b.News {
		if !s.view.Merge(now, m) {
			continue
		}
		changed = true
		if m.State == member.Suspect {
			suspects = append(suspects, m)
		}
	}
	for _, d := range b.Departing {
		changed = s.recordLeaving(d.Name, now.Add(-d.Age)) || changed
	}
	s.mu.Unlock()
	for _, m := range suspects {
		s.Peers.Drop(m.Peer)
	}
	if known && b.Pulse.Revision > s.Revision() {
		var from member.Member
		s.With(func(v *member.View) { from, _ = v.Get(b.Pulse.Name) })
		s.OnNewerRevision(from.Peer, b.Pulse.Revision)
	}
	if changed {
		s.notifySubscribers()
	}
	return known
}

func (s *Service) serveExchange(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b Beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	known := s.merge(b)
	answer := s.ownBeat(b.Unknown)
	answer.Unknown = !known
	return answer, nil
}
