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
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/shard"
)

const (
	objectKind     = "configuration"
	objectName     = "current"
	fetchMethod    = "Configuration.Fetch"
	fetchTimeout   = 2 * time.Second
	relayDelay     = 500 * time.Millisecond // time for the watch to deliver a revision before a peer is asked
	contactTimeout = 6 * time.Second        // age of the last contact above which an instance is cut off
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

// Keeper maintains the snapshot in force. The exported fields are set before Run.
type Keeper struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Silence returns the time since a message of any other instance was last
	// received, and false if no other instance is known.
	Silence func() (time.Duration, bool)

	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex // serialises the activation of snapshots; guards listeners and lastContact
	listeners   []func(*Snapshot)
	lastContact time.Time // last answer of the platform outside the follower; at first the time of Run
	relay       follow.Relay
	follower    *follow.Follower
	group       background.Group
}

// Prepare registers the handlers. It is called before the peer node runs.
func (k *Keeper) Prepare() {
	k.relay = follow.Relay{Delay: relayDelay, Timeout: fetchTimeout}
	k.Peers.Handle(fetchMethod, k.serveFetch)
}

// Listen registers a function that is called with each new snapshot.
func (k *Keeper) Listen(f func(*Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, f)
}

// Run starts following the platform.
func (k *Keeper) Run(kn *kernel.Kernel) error {
	k.recordContact()
	k.follower = &follow.Follower{
		Platform: k.Platform,
		Kind:     objectKind,
		Listed: func(l platform.Listing) {
			for i := range l.Objects {
				k.handleObject(&l.Objects[i])
			}
		},
		Changed: func(c platform.Changes) {
			for i := range c.Events {
				if !c.Events[i].Removed {
					k.handleObject(&c.Events[i].Object)
				}
			}
		},
		Log: k.Log,
	}
	k.group.Every(contactPeriod, k.checkContact)
	return k.follower.Run(kn)
}

// handleObject installs an object that was received from the store. Objects
// other than the configuration are ignored.
func (k *Keeper) handleObject(o *platform.Object) {
	if o.Name != objectName {
		return
	}
	if err := k.installObject(o); err != nil {
		k.Log.WithFields(logrus.Fields{"Revision": o.Revision, "Error": err.Error()}).Error("stored configuration was not installed")
	}
}

// Close stops following the platform.
func (k *Keeper) Close() error {
	err := k.follower.Close()
	k.relay.Close()
	k.group.Close()
	return err
}

// Current returns the snapshot in force, or nil if there is none yet.
func (k *Keeper) Current() *Snapshot {
	return k.current.Load()
}

// Revision returns the revision in force, or zero if there is none.
func (k *Keeper) Revision() int64 {
	if s := k.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// CutOff reports whether neither the platform nor any known peer has been in
// contact for contactTimeout, so that a newer configuration may be in force
// elsewhere. It is false if no peer is known.
func (k *Keeper) CutOff() bool {
	silence, known := k.Silence()
	if !known || silence < contactTimeout {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.lastContact) > contactTimeout && time.Since(k.follower.Contact()) > contactTimeout
}

func (k *Keeper) recordContact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastContact = time.Now()
}

// checkContact reads the configuration from the platform while all peers are
// silent, and records the contact if the platform answers.
func (k *Keeper) checkContact(ctx context.Context, _ time.Time) {
	silence, known := k.Silence()
	if !known || silence <= contactTimeout/2 {
		return
	}
	o, err := k.Platform.Get(ctx, objectKind, objectName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	k.recordContact()
	if err == nil {
		_ = k.installObject(o)
	}
}

func (k *Keeper) installObject(o *platform.Object) error {
	r, err := decodeRecord(o.Value)
	if err != nil {
		return err
	}
	return k.install(o.Revision, r)
}

// install puts a revision in force unless that in force is at least as high.
func (k *Keeper) install(revision int64, r *record) error {
	if revision <= k.Revision() {
		return nil
	}
	text, err := r.decompress()
	if err != nil {
		return err
	}
	c, err := config.Parse("configuration", text)
	if err != nil {
		k.Log.WithFields(logrus.Fields{"Revision": revision, "Error": err.Error()}).Error("stored configuration is not sound")
		return err
	}
	k.activate(&Snapshot{
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

// activate puts a snapshot in force, unless its revision is not higher than that
// in force, and calls the listeners.
func (k *Keeper) activate(s *Snapshot) {
	k.mu.Lock()
	old := k.Revision()
	if s.Revision <= old {
		k.mu.Unlock()
		return
	}
	k.current.Store(s)
	listeners := k.listeners
	k.mu.Unlock()
	k.Check.Check(invariant.RevisionRises, s.Revision > old, "revision %d follows %d", s.Revision, old)
	k.Log.WithField("Revision", s.Revision).Info("configuration is in force")
	for _, f := range listeners {
		f(s)
	}
}

// Ahead fetches the configuration from a peer that has a higher revision, unless
// the watch on the platform delivers it first.
func (k *Keeper) Ahead(address string, revision int64) {
	k.relay.Fetch(k.Revision() > 0, func() bool { return revision > k.Revision() }, func(ctx context.Context) { k.fetch(ctx, address) })
}

// fetchReply is the answer of a peer to Configuration.Fetch.
type fetchReply struct {
	Revision int64
	Record   *record
}

func (k *Keeper) fetch(ctx context.Context, address string) {
	var reply fetchReply
	if err := k.Peers.Call(ctx, address, fetchMethod, nil, &reply); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration was not fetched from a peer")
		return
	}
	if reply.Record == nil {
		return
	}
	if err := k.install(reply.Revision, reply.Record); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration from a peer was not installed")
	}
}

func (k *Keeper) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	s := k.Current()
	if s == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Revision: s.Revision, Record: s.record}, nil
}
