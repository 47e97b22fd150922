// Package revision maintains the configuration in force. It follows the platform
// and the peers, never returns to a lower revision, and applies changes by
// conditional update.
package revision

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/config"
	"knapweedwell/follow"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/shard"
)

const (
	objectKind     = "configuration"
	objectName     = "current"
	fetchMethod    = "Configuration.Fetch"
	fetchTimeout   = 2 * time.Second
	saveTimeout    = 8 * time.Second        // limit of all attempts of one write
	fetchDelay     = 500 * time.Millisecond // time for the watch to deliver a revision before a peer is asked
	contactTimeout = 6 * time.Second        // age of the last contact above which an instance is isolated
	contactPeriod  = time.Second
)

// Snapshot is one revision of the configuration. It is immutable once it is in
// force.
type Snapshot struct {
	Revision int64
	Text     string
	Config   *config.Config
	Plan     *shard.Plan
	History  []Entry
	Since    time.Time // when it came into force on this instance
	record   *record
}

// Manager maintains the snapshot in force. The exported fields are set before Run.
type Manager struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Silence returns the time since a message of any other instance was last
	// received, and false if no other instance is known that may be running.
	Silence func() (time.Duration, bool)
	// Others returns the other instances that may run; nil means that there are none.
	Others func() []member.Member

	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex // serialises the activation of snapshots; guards subscribers and lastContact
	subscribers []func(*Snapshot)
	lastContact time.Time     // last answer of the platform outside the follower; at first the time of Run
	eras        eras          // guarded by mu
	settling    chan struct{} // holds a value while an instance settles an era
	fetcher     follow.PeerFetcher
	follower    *follow.Follower
	group       background.Group
}

// Prepare registers the handlers. It is called before the peer node runs.
func (m *Manager) Prepare() {
	m.fetcher = follow.PeerFetcher{Delay: fetchDelay, Timeout: fetchTimeout}
	m.settling = make(chan struct{}, 1)
	m.Peers.Handle(fetchMethod, m.serveFetch)
}

// Subscribe registers a function that is called with each new snapshot.
func (m *Manager) Subscribe(f func(*Snapshot)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// Run starts following the platform.
func (m *Manager) Run(kn *kernel.Kernel) error {
	m.recordContact()
	m.follower = &follow.Follower{
		Platform: m.Platform,
		Kind:     objectKind,
		OnList: func(l platform.Listing) {
			for i := range l.Objects {
				m.handleObject(&l.Objects[i])
			}
		},
		OnChange: func(c platform.Changes) {
			for i := range c.Events {
				if !c.Events[i].Removed {
					m.handleObject(&c.Events[i].Object)
				}
			}
		},
		Log: m.Log,
	}
	m.group.Every(contactPeriod, m.checkContact)
	m.group.Every(eraPeriod, m.checkEra)
	return m.follower.Run(kn)
}

// handleObject installs an object that was received from the store. Objects
// other than the configuration are ignored.
func (m *Manager) handleObject(o *platform.Object) {
	if o.Name != objectName {
		return
	}
	if err := m.installObject(o); err != nil {
		m.Log.WithFields(logrus.Fields{"Revision": o.Revision, "Error": err.Error()}).Error("stored configuration was not installed")
	}
}

// Close stops following the platform.
func (m *Manager) Close() error {
	err := m.follower.Close()
	m.fetcher.Close()
	m.group.Close()
	return err
}

// Current returns the snapshot in force, or nil if there is none yet.
func (m *Manager) Current() *Snapshot {
	return m.current.Load()
}

// Revision returns the revision in force, or zero if there is none.
func (m *Manager) Revision() int64 {
	if s := m.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// Isolated reports whether this instance is isolated: neither the platform nor
// any known peer has been in contact for contactTimeout, so that a newer
// configuration may be in force elsewhere. It is false if no peer is known. The
// state is reported to operators as CutOff.
func (m *Manager) Isolated() bool {
	silence, known := m.Silence()
	if !known || silence < contactTimeout {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastContact) > contactTimeout && time.Since(m.follower.LastAnswer()) > contactTimeout
}

func (m *Manager) recordContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Now()
}

// checkContact reads the configuration from the platform while all peers are
// silent, and records the contact if the platform answers.
func (m *Manager) checkContact(ctx context.Context, _ time.Time) {
	silence, known := m.Silence()
	if !known || silence <= contactTimeout/2 {
		return
	}
	o, err := m.Platform.Get(ctx, objectKind, objectName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	m.recordContact()
	if err == nil {
		_ = m.installObject(o)
	}
}

func (m *Manager) installObject(o *platform.Object) error {
	m.noticeEra()
	r, err := decodeRecord(o.Value)
	if err != nil {
		return err
	}
	return m.install(r.revisionIn(o.Revision), r)
}

// install puts a revision in force unless the one in force is at least as high.
func (m *Manager) install(revision int64, r *record) error {
	if revision <= m.Revision() {
		return nil
	}
	if current := m.Current(); current != nil && !m.mayFollow(r, current.record) {
		m.Log.WithFields(logrus.Fields{"Revision": revision, "InForce": current.Revision}).Warn("configuration is not installed: it lacks a change that the store has lost")
		return nil
	}
	text, err := r.decompress()
	if err != nil {
		return err
	}
	c, err := config.Parse("configuration", text)
	if err != nil {
		m.Log.WithFields(logrus.Fields{"Revision": revision, "Error": err.Error()}).Error("stored configuration is not sound")
		return err
	}
	m.activate(&Snapshot{
		Revision: revision,
		Text:     text,
		Config:   c,
		Plan:     shard.New(c),
		History:  r.History,
		Since:    time.Now(),
		record:   r,
	})
	return nil
}

// activate puts a snapshot in force and calls the subscribers. It does nothing
// unless the snapshot's revision is higher than the one in force.
func (m *Manager) activate(s *Snapshot) {
	m.mu.Lock()
	old := m.Revision()
	if s.Revision <= old {
		m.mu.Unlock()
		return
	}
	m.current.Store(s)
	subscribers := m.subscribers
	m.mu.Unlock()
	m.Check.Check(invariant.RevisionNeverFalls, s.Revision > old, "revision %d follows %d", s.Revision, old)
	m.Log.WithField("Revision", s.Revision).Info("configuration is in force")
	for _, f := range subscribers {
		f(s)
	}
}

// FetchNewer fetches the configuration from a peer that has a higher revision,
// unless the watch on the platform delivers it first.
func (m *Manager) FetchNewer(address string, revision int64) {
	m.fetcher.Fetch(m.Revision() > 0, func() bool { return revision > m.Revision() }, func(ctx context.Context) { m.fetch(ctx, address) })
}

// fetchReply is the answer of a peer to Configuration.Fetch.
type fetchReply struct {
	Revision int64
	Record   *record
	Restored int64 // as in eras; zero from earlier builds
	Settled  int64 // as in eras; zero from earlier builds
}

func (m *Manager) fetch(ctx context.Context, address string) {
	var reply fetchReply
	if err := m.Peers.Call(ctx, address, fetchMethod, nil, &reply); err != nil {
		m.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration was not fetched from a peer")
		return
	}
	if reply.Record == nil {
		return
	}
	if err := m.install(reply.Revision, reply.Record); err != nil {
		m.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration from a peer was not installed")
	}
}

func (m *Manager) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	m.mu.Lock()
	reply := fetchReply{Restored: m.eras.restored, Settled: m.eras.settled}
	m.mu.Unlock()
	if s := m.Current(); s != nil {
		reply.Revision, reply.Record = s.Revision, s.record
	}
	return reply, nil
}
