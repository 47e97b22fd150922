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
	fetchTimeout = 1500 * time.Millisecond
	fetchDelay   = 300 * time.Millisecond // time for the watch to deliver a change before a peer is asked
	dropPeriod   = 100 * time.Millisecond // time between checks for retained entries to drop

	// maxStartDelay bounds the random delay of the first list, so that instances
	// that start together do not call the store at the same time.
	maxStartDelay = 20 * time.Millisecond

	maxLoggedRetentions = 20 // lines of one change of the list

	defaultHeartbeat = 1200 * time.Millisecond
)

// Service maintains the roster. The exported fields are set before Run.
type Service struct {
	Platform *platform.Client
	Peers    *peer.Node
	Log      logrus.FieldLogger
	// Role returns how closely this instance follows the store; may be nil.
	Role func() follow.Role
	// Deadline is the time in which a change in the store must be in force; zero if
	// there is none.
	Deadline time.Duration
	// Heartbeat is the time between two writes of an upstream to its entry; zero means
	// defaultHeartbeat.
	Heartbeat time.Duration
	// AnsweredAt returns a time at which the store had answered another instance lately, zero if none
	// is known; may be nil.
	AnsweredAt func() time.Time
	// OnChange is called with each new roster; may be nil.
	OnChange func(*Roster)

	current  atomic.Pointer[Roster]
	mu       sync.Mutex
	list     *entryList
	follower *follow.Follower
	fetcher  follow.PeerFetcher
	group    background.Group
	refused  atomic.Int64
}

// Prepare registers the handler of Roster.Fetch. It is called before the peer
// node runs.
func (s *Service) Prepare() {
	s.list = newEntryList()
	s.fetcher = follow.PeerFetcher{Delay: fetchDelay, Timeout: fetchTimeout}
	s.Peers.Handle(fetchMethod, s.serveFetch)
}

// Run starts following the store.
func (s *Service) Run(k *kernel.Kernel) error {
	s.follower = &follow.Follower{
		Platform: s.Platform,
		Kind:     platform.UpstreamKind,
		Role:     s.Role,
		Delay:    maxStartDelay,
		Deadline: s.Deadline,
		MaxWait:  s.heartbeat(), // so that one lost watch is no outage in which entries expire
		OnList:   s.applyListing,
		OnChange: s.applyChanges,
		OnReturn: s.storeReturned,
		Log:      s.Log,
	}
	s.group.Every(dropPeriod, func(_ context.Context, now time.Time) {
		s.update(false, func(l *entryList) bool { return l.dropRetained(now) })
		s.update(false, func(l *entryList) bool { return l.endDoubts(now) })
	})
	return s.follower.Run(k)
}

// Close stops following the store.
func (s *Service) Close() error {
	err := s.follower.Close()
	s.fetcher.Close()
	s.group.Close()
	return err
}

// Current returns the roster, nil if none is known yet.
func (s *Service) Current() *Roster {
	return s.current.Load()
}

// Position returns the position of the newest change known.
func (s *Service) Position() Position {
	if r := s.Current(); r != nil {
		return r.Position
	}
	return Position{}
}

// StoreUnreachable reports whether the store does not answer this instance.
func (s *Service) StoreUnreachable() bool {
	return s.follower.StoreUnreachable()
}

// LastFailure returns when a call to the store last failed, zero if none did.
func (s *Service) LastFailure() time.Time {
	return s.follower.LastFailure()
}

// update changes the list and publishes a new roster if that changed anything,
// or if it is the first complete list.
func (s *Service) update(complete bool, change func(*entryList) bool) {
	s.mu.Lock()
	changed := change(s.list)
	s.logLoss()
	s.logRetentions()
	if !changed && !(complete && s.Current() == nil) {
		s.mu.Unlock()
		return
	}
	r := s.list.snapshot()
	s.current.Store(r)
	s.mu.Unlock()
	s.Log.WithFields(logrus.Fields{"Era": r.Position.Era, "Mark": r.Position.Mark, "Upstreams": len(r.Entries), "Leaving": r.Leaving()}).Info("roster changed")
	if s.OnChange != nil {
		s.OnChange(r)
	}
}

// logLoss logs that many entries were missing at once, and what that was taken for. The caller holds
// s.mu.
func (s *Service) logLoss() {
	loss := s.list.loss
	if loss == nil {
		return
	}
	s.list.loss = nil
	s.Log.WithFields(logrus.Fields{
		"Missing": loss.entries, "Of": loss.of, "SilenceMillis": loss.before.length.Milliseconds(), "Expired": loss.expired,
	}).Info("many upstreams are missing in the store at once")
}

// logRetentions logs which entries are used from now on although the store does not list
// them, until when, and which ones no longer. The caller holds s.mu.
func (s *Service) logRetentions() {
	for _, r := range s.list.news[:min(len(s.list.news), maxLoggedRetentions)] {
		if r.until.IsZero() {
			s.Log.WithField("Upstream", r.id).Info("upstream is still missing in the store and not used any more")
			continue
		}
		s.Log.WithFields(logrus.Fields{"Upstream": r.id, "RetainMillis": time.Until(r.until).Milliseconds()}).Info("upstream is missing in the store after an outage and still used")
	}
	if over := len(s.list.news) - maxLoggedRetentions; over > 0 {
		s.Log.WithField("More", over).Info("more upstreams are missing in the store, or not used any more")
	}
	s.list.news = nil
}

// RecordDeparture records that an upstream has said itself that it leaves. It is not
// used again in this incarnation, whatever the store and the peers list. It reports
// whether that was not known.
func (s *Service) RecordDeparture(u *route.Upstream) bool {
	fresh := false
	s.update(false, func(l *entryList) bool {
		fresh = l.recordDeparture(time.Now(), u)
		return fresh
	})
	return fresh
}

// heartbeat returns the time between two writes of an upstream to its entry.
func (s *Service) heartbeat() time.Duration {
	if s.Heartbeat > 0 {
		return s.Heartbeat
	}
	return defaultHeartbeat
}

// storeReturned starts a retention period if entries may have expired.
func (s *Service) storeReturned() {
	if outage := s.outage(); !outage.mayExpire() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.storeReturned(time.Now())
}

// outage returns the longest outage of the store that may have ended with its newest answer: none
// is known to have answered since, neither this instance nor another one.
func (s *Service) outage() outage {
	silence := s.follower.Silence()
	if s.AnsweredAt != nil {
		if at := s.AnsweredAt(); !at.IsZero() {
			silence = min(silence, time.Since(at))
		}
	}
	return outage{length: silence, heartbeat: s.heartbeat()}
}

// AnswerAges returns how old the newest answer of the store may be at an instance that follows it:
// while the store answers, and when the instance has noticed that it does not.
func (s *Service) AnswerAges() (usual, most time.Duration) {
	return s.follower.AnswerAges()
}

func (s *Service) applyListing(listing platform.Listing) {
	var entries []*route.Upstream
	for _, o := range listing.Objects {
		if e := s.decodeEntry(o); e != nil {
			entries = append(entries, e)
		}
	}
	before := s.outage()
	s.update(true, func(l *entryList) bool {
		if listing.Era < l.era {
			return false
		}
		l.startEra(time.Now(), listing.Era)
		l.before = before
		return l.replaceAll(time.Now(), listing.Revision, entries)
	})
}

func (s *Service) applyChanges(c platform.Changes) {
	changes := s.decodeChanges(c)
	before := s.outage()
	s.update(false, func(l *entryList) bool {
		if c.Era != l.era || l.outdated(c.Revision) {
			return false
		}
		l.before = before
		return l.applyChanges(time.Now(), c.Revision, changes)
	})
}

// decodeChanges decodes changes of the store. An entry that cannot be decoded counts as gone.
func (s *Service) decodeChanges(c platform.Changes) []storeChange {
	var changes []storeChange
	for _, ev := range c.Events {
		change := storeChange{id: ev.Object.Name, gone: true}
		if !ev.Removed {
			change.entry, change.revision = s.decodeEntry(ev.Object), ev.Object.Revision
			change.gone = change.entry == nil
		}
		changes = append(changes, change)
	}
	return changes
}

// decodeEntry decodes an entry of the store. It returns nil if the entry cannot
// be decoded, and then no upstream is used for it.
func (s *Service) decodeEntry(o platform.Object) *route.Upstream {
	e, err := platform.DecodeUpstream(o)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"Upstream": o.Name, "Revision": o.Revision, "Error": err.Error()}).Warn("entry of an upstream cannot be used")
		return nil
	}
	return e
}

// FetchNewer fetches the changes from the peer at the address, which has the given
// position, if that is newer, unless the watch delivers them first.
func (s *Service) FetchNewer(address string, p Position) {
	waitForWatch := s.Current() != nil && !s.StoreUnreachable() && !s.follower.Idle()
	s.fetcher.Fetch(waitForWatch, func() bool { return s.behind(p) }, func(ctx context.Context) { s.fetch(ctx, address) })
}

// behind reports whether this instance lacks a change with the position.
func (s *Service) behind(p Position) bool {
	if !s.Position().Before(p) {
		return false
	}
	era, revision := s.follower.Synced()
	return s.follower.Idle() || Position{Era: era, Mark: revision}.Before(Position{Era: p.Era, Mark: p.Mark >> localMarkBits})
}

func (s *Service) fetch(ctx context.Context, address string) {
	own := s.Position()
	f, err := s.fetchAfter(ctx, address, own)
	if err == nil && !f.Whole && s.Position().Before(Position{Era: f.Era, Mark: f.Mark}) {
		s.refused.Add(1)
		s.Log.WithFields(logrus.Fields{
			"Peer": address, "Era": f.Era, "Mark": f.Mark, "OwnEra": own.Era, "OwnMark": own.Mark,
		}).Warn("changes of upstreams from a peer cannot be taken, and its whole list is asked for")
		_, err = s.fetchAfter(ctx, address, Position{Era: own.Era})
	}
	if err != nil {
		s.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("roster was not fetched from a peer")
	}
}

// fetchAfter fetches the changes after a position from a peer, all entries if it has no mark, and
// applies them.
func (s *Service) fetchAfter(ctx context.Context, address string, p Position) (fetchReply, error) {
	var f fetchReply
	err := follow.CallPeer(ctx, s.Peers, address, fetchMethod, fetchRequest{Era: p.Era, After: p.Mark}, &f)
	if err == nil {
		s.update(false, func(l *entryList) bool { return l.applyFetched(time.Now(), f) })
	}
	return f, err
}

// Refused returns how often changes from a peer could not be taken, so that its whole list was
// fetched.
func (s *Service) Refused() int64 {
	return s.refused.Load()
}

func (s *Service) serveFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req fetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.reply(time.Now(), req), nil
}
