package roster

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/follow"
	"knapweedwell/kernel"
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/route"
)

const (
	fetchMethod  = "Roster.Fetch"
	fetchTimeout = time.Second
	relayDelay   = 300 * time.Millisecond // relayDelay is the time that the watch has before a peer is asked.
	settlePeriod = 100 * time.Millisecond
	startSpread  = 20 * time.Millisecond // startSpread spreads the first lists of instances that start together.
)

// Service keeps the roster. The exported fields are set before Run.
type Service struct {
	Platform *platform.Client
	Peers    *peer.Node
	Log      logrus.FieldLogger
	// Role tells how closely this instance follows the store; may be nil.
	Role func() follow.Role
	// Listen is told of each new roster; may be nil.
	Listen func(*Roster)

	current  atomic.Pointer[Roster]
	mu       sync.Mutex
	book     *book
	follower *follow.Follower
	relay    follow.Relay
	group    background.Group
}

// Prepare registers the handler. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.book = newBook()
	s.relay = follow.Relay{Delay: relayDelay, Timeout: fetchTimeout}
	s.Peers.Handle(fetchMethod, s.serveFetch)
}

// Run starts to follow the store.
func (s *Service) Run(k *kernel.Kernel) error {
	s.follower = &follow.Follower{
		Platform: s.Platform,
		Kind:     platform.UpstreamKind,
		Role:     s.Role,
		Delay:    startSpread,
		Listed:   s.listed,
		Changed:  s.changed,
		Back:     s.back,
		Log:      s.Log,
	}
	s.group.Every(settlePeriod, func(_ context.Context, now time.Time) {
		s.update(false, func(b *book) bool { return b.settle(now) })
	})
	return s.follower.Run(k)
}

// Close stops following.
func (s *Service) Close() error {
	err := s.follower.Close()
	s.relay.Close()
	s.group.Close()
	return err
}

// Current returns the roster, nil if none is known yet.
func (s *Service) Current() *Roster {
	return s.current.Load()
}

// Mark returns the mark of the newest change known.
func (s *Service) Mark() int64 {
	if r := s.Current(); r != nil {
		return r.Mark
	}
	return 0
}

// Away reports whether the store does not answer this instance.
func (s *Service) Away() bool {
	return s.follower.Away()
}

// update changes the book and publishes it if that changed anything, or if it is
// the first list.
func (s *Service) update(list bool, change func(*book) bool) {
	s.mu.Lock()
	if !change(s.book) && !(list && s.Current() == nil) {
		s.mu.Unlock()
		return
	}
	r := s.book.publish()
	s.current.Store(r)
	s.mu.Unlock()
	s.Log.WithFields(logrus.Fields{"Mark": r.Mark, "Upstreams": len(r.Entries), "Leaving": r.Leaving()}).Info("roster changed")
	if s.Listen != nil {
		s.Listen(r)
	}
}

func (s *Service) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.back(time.Now())
}

func (s *Service) listed(l platform.Listing) {
	var entries []*route.Upstream
	for _, o := range l.Objects {
		if e := s.read(o); e != nil {
			entries = append(entries, e)
		}
	}
	s.update(true, func(b *book) bool { return b.list(time.Now(), l.Revision, entries) })
}

func (s *Service) changed(c platform.Changes) {
	s.update(false, func(b *book) bool {
		changed := false
		var gone []string
		for _, ev := range c.Events {
			if ev.Removed {
				gone = append(gone, ev.Object.Name)
			}
		}
		b.suspect(time.Now(), gone)
		for _, ev := range c.Events {
			e := s.read(ev.Object)
			if ev.Removed || e == nil {
				changed = b.remove(time.Now(), ev.Object.Name) || changed
				continue
			}
			changed = b.put(e) || changed
		}
		return b.advance(c.Revision, changed)
	})
}

// read decodes an entry. One that cannot be read names no upstream.
func (s *Service) read(o platform.Object) *route.Upstream {
	e, err := platform.ReadUpstream(o)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"Upstream": o.Name, "Revision": o.Revision, "Error": err.Error()}).Warn("entry of an upstream cannot be used")
		return nil
	}
	return e
}

// Ahead fetches the changes from a peer that knows newer ones, unless the watch
// brings them first.
func (s *Service) Ahead(address string, mark int64) {
	patient := s.Current() != nil && !s.Away() && !s.follower.Idle()
	s.relay.Fetch(patient, func() bool { return s.behind(mark) }, func(ctx context.Context) { s.fetch(ctx, address) })
}

// behind reports whether a change with the mark is not known here.
func (s *Service) behind(mark int64) bool {
	return mark > s.Mark() && (mark>>localBits > s.follower.Synced() || s.follower.Idle())
}

// asked is what an instance asks for: the changes after a mark.
type asked struct {
	After int64
}

// fetched is a peer's answer to a fetch.
type fetched struct {
	Mark    int64
	Whole   bool // Whole tells that Entries are all there are.
	Entries []route.Upstream
	Removed []string
}

func (s *Service) fetch(ctx context.Context, address string) {
	var f fetched
	if err := s.Peers.Call(ctx, address, fetchMethod, asked{After: s.Mark()}, &f); err != nil {
		s.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("roster was not fetched from a peer")
		return
	}
	s.update(false, func(b *book) bool { return b.adopt(f) })
}

func (s *Service) serveFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var a asked
	if err := json.Unmarshal(params, &a); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fetched{Mark: s.book.mark}
	entries, removed, ok := s.book.after(a.After)
	if ok {
		f.Entries, f.Removed = entries, removed
		return f, nil
	}
	f.Whole = true
	for _, e := range s.book.entries {
		f.Entries = append(f.Entries, *e)
	}
	return f, nil
}
