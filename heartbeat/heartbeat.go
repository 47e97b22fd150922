// Package heartbeat exchanges heartbeats with neighbouring instances: who is
// alive, which configuration revision is in force and which upstreams leave.
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
	period          = time.Second             // period is the time between heartbeats.
	callTimeout     = 900 * time.Millisecond  // callTimeout bounds one heartbeat.
	differTime      = 2 * member.NewsLifetime // differTime is how long views may differ before one is taken over.
	departingMemory = time.Minute             // departingMemory is how long an upstream is remembered as leaving.
	maxDeparting    = 32                      // maxDeparting bounds the leaving upstreams in one heartbeat.
	exchangeMethod  = "Heartbeat.Exchange"
	membersMethod   = "Heartbeat.Members"
)

// Beat is what two instances exchange.
type Beat struct {
	Pulse     member.Pulse
	Digest    uint32          // Digest is that of the sender's view.
	From      *member.Member  `json:",omitempty"` // From is set after changes, and for a peer that does not know the sender.
	Unknown   bool            `json:",omitempty"` // Unknown asks the receiver to send From.
	News      []member.Member `json:",omitempty"`
	Departing []Departing     `json:",omitempty"`
}

// Departing is an upstream that the platform listed as leaving, and the time
// since. The age is passed on, so that the news ends everywhere.
type Departing struct {
	Name string
	Age  time.Duration
}

// Service keeps the view of the fleet. The exported fields are set before Run.
type Service struct {
	Self     member.Member
	Seeds    []string
	Peers    *peer.Node
	Platform *platform.Client
	Log      logrus.FieldLogger
	// Revision returns the revision in force here.
	Revision func() int64
	// Leaving returns the upstreams that the store lists as leaving; may be nil.
	Leaving func() []string
	// Ahead is told of a peer that has a higher revision.
	Ahead func(peerAddress string, revision int64)

	mu        sync.Mutex
	view      *member.View
	departing map[string]time.Time
	changed   time.Time // changed is when this instance last changed what it says of itself.
	agreed    time.Time // agreed is when a neighbour's view was last the same, or was taken over.
	last      time.Time // last is when the last round began.
	listeners []func()
	group     background.Group
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.view = member.New(s.Self)
	s.departing = map[string]time.Time{}
	s.Peers.Handle(exchangeMethod, s.exchange)
	s.Peers.Handle(membersMethod, s.members)
}

// Listen registers a function that is called after changes of the view.
func (s *Service) Listen(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Run starts the exchange of heartbeats.
func (s *Service) Run(*kernel.Kernel) error {
	s.With(func(v *member.View) { v.SetSelf(func(m *member.Member) { m.Peer = s.Peers.Address }) })
	s.last = time.Now()
	s.changed = s.last
	s.agreed = s.last
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

// Departing returns the upstreams that the platform lists as leaving.
func (s *Service) Departing() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for name := range s.departing {
		set[name] = true
	}
	return set
}

// Spread tells all neighbours in the background that this instance changed.
func (s *Service) Spread() {
	s.mu.Lock()
	s.changed = time.Now()
	s.mu.Unlock()
	s.group.Go(func(ctx context.Context) { s.Announce(ctx, nil) })
}

// Announce changes what this instance says of itself, if change is set, and
// tells all neighbours at once.
func (s *Service) Announce(ctx context.Context, change func(*member.Member)) {
	s.mu.Lock()
	if change != nil {
		s.view.SetSelf(change)
		s.changed = time.Now()
	}
	s.view.Self.Beat++
	neighbors := s.view.Neighbors()
	s.mu.Unlock()
	s.beatAll(ctx, neighbors)
	s.notify()
}

// round sends one heartbeat to each neighbour. After a freeze of this process
// nobody is judged by the silence of the past.
func (s *Service) round(ctx context.Context, _ time.Time) {
	now := time.Now()
	frozen := now.Sub(s.last) > member.SuspectAfter
	s.last = now
	s.mu.Lock()
	if frozen {
		s.view.Forgive(now)
	}
	s.view.Self.Beat++
	changed := s.view.Tick(now)
	neighbors := s.view.Neighbors()
	s.mu.Unlock()
	s.report(changed)
	s.group.Go(func(context.Context) { s.beatAll(ctx, neighbors) })
}

func (s *Service) report(changed []member.Member) {
	for _, m := range changed {
		s.Log.WithFields(logrus.Fields{"Instance": m.Name, "State": m.State.String()}).Warn("instance is silent")
		if m.State == member.Suspect {
			s.Peers.Drop(m.Peer)
		}
	}
	if len(changed) > 0 {
		s.notify()
	}
}

func (s *Service) notify() {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}

func (s *Service) beatAll(ctx context.Context, to []member.Member) {
	var wait sync.WaitGroup
	for _, m := range to {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.judge(m, s.beat(ctx, m.Peer))
		}()
	}
	wait.Wait()
}

// compare takes over the members that a neighbour knows if its view has
// differed from this one for longer than news travel.
func (s *Service) compare(address string, digest uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if digest == s.view.Digest() {
		s.agreed = now
		return
	}
	if now.Sub(s.agreed) > differTime {
		s.agreed = now
		s.group.Go(func(ctx context.Context) { s.learn(ctx, address) })
	}
}

// judge notes that a refused connection means that the instance is not
// running, which silence alone does not tell.
func (s *Service) judge(m member.Member, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	s.With(func(v *member.View) { v.Absent(m.Name) })
}

func (s *Service) beat(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Beat
	if err := s.Peers.Call(ctx, address, exchangeMethod, s.own(false), &answer); err != nil {
		return err
	}
	known := s.merge(answer)
	s.compare(address, answer.Digest)
	if known && !answer.Unknown {
		return nil
	}
	// Unknown also asks the peer to answer with all of itself.
	again := s.own(true)
	again.Unknown = !known
	if err := s.Peers.Call(ctx, address, exchangeMethod, again, &answer); err != nil {
		return err
	}
	s.merge(answer)
	return nil
}

// own returns what this instance says in a heartbeat: all of itself if whole is
// set or it changed lately, and its pulse otherwise.
func (s *Service) own(whole bool) Beat {
	revision := s.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Self.Revision = revision
	b := Beat{Pulse: s.view.Self.Pulse(), News: s.view.News(time.Now()), Departing: s.departures(), Digest: s.view.Digest()}
	if whole || time.Since(s.changed) < member.NewsLifetime {
		self := s.view.Self
		b.From = &self
	}
	return b
}

// departures returns the leaving upstreams by name. The lock is held.
func (s *Service) departures() []Departing {
	var list []Departing
	now := time.Now()
	for name, t := range s.departing {
		list = append(list, Departing{Name: name, Age: now.Sub(t)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if len(list) > maxDeparting {
		list = list[:maxDeparting]
	}
	return list
}

// merge takes in a heartbeat. It reports whether its sender is known.
func (s *Service) merge(b Beat) bool {
	now := time.Now()
	s.mu.Lock()
	changed := false
	if b.From != nil {
		changed = s.view.Merge(now, *b.From)
	}
	known, pulsed := s.view.MergePulse(now, b.Pulse)
	changed = changed || pulsed
	var silent []member.Member
	for _, m := range b.News {
		if !s.view.Merge(now, m) {
			continue
		}
		changed = true
		if m.State == member.Suspect {
			silent = append(silent, m)
		}
	}
	for _, d := range b.Departing {
		changed = s.depart(d.Name, now.Add(-d.Age)) || changed
	}
	s.mu.Unlock()
	for _, m := range silent {
		s.Peers.Drop(m.Peer)
	}
	if known && b.Pulse.Revision > s.Revision() {
		var from member.Member
		s.With(func(v *member.View) { from, _ = v.Get(b.Pulse.Name) })
		s.Ahead(from.Peer, b.Pulse.Revision)
	}
	if changed {
		s.notify()
	}
	return known
}

func (s *Service) exchange(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b Beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	known := s.merge(b)
	answer := s.own(b.Unknown)
	answer.Unknown = !known
	return answer, nil
}

// Fleet is all that an instance knows of the others.
type Fleet struct {
	Members []member.Member
	Endings []member.Ending
}

func (s *Service) members(context.Context, string, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Fleet{Members: s.view.All(), Endings: s.view.Endings(time.Now())}, nil
}

// join learns the fleet from the seeds that are not known as members yet. A
// seed may start later than this instance.
func (s *Service) join(ctx context.Context) {
	known := map[string]bool{s.Peers.Address: true}
	for _, m := range s.Members() {
		known[m.Peer] = m.State != member.Gone
	}
	var wait sync.WaitGroup
	for _, seed := range s.Seeds {
		if known[seed] {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.learn(ctx, seed)
		}()
	}
	wait.Wait()
}

// learn greets one instance and takes over the members that it knows.
func (s *Service) learn(ctx context.Context, address string) {
	if address == s.Peers.Address {
		return
	}
	_ = s.beat(ctx, address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var all Fleet
	if err := s.Peers.Call(ctx, address, membersMethod, nil, &all); err != nil {
		return
	}
	s.With(func(v *member.View) {
		for _, e := range all.Endings {
			v.MergeEnding(time.Now(), e)
		}
	})
	s.merge(Beat{News: all.Members})
}
