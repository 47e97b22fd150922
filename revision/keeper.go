// Package revision keeps the configuration that is in force: it follows the
// platform and the peers, never goes back to a lower revision, and applies
// changes by conditional update.
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
	objectKind    = "configuration"
	objectName    = "current"
	fetchMethod   = "Configuration.Fetch"
	fetchTimeout  = 2 * time.Second
	relayDelay    = 500 * time.Millisecond // relayDelay is the time that the watch has before a peer is asked.
	contactLimit  = 6 * time.Second        // contactLimit is the age of the last contact after which an instance is cut off.
	contactPeriod = time.Second
)

// Snapshot is one revision of the configuration. It is not changed once it is
// in force.
type Snapshot struct {
	Revision int64
	Text     string
	Config   *config.Config
	Plan     *shard.Plan
	History  []Entry
	Since    time.Time // Since is when it came into force here.
	record   *record
}

// Keeper keeps the snapshot in force. The exported fields are set before Run.
type Keeper struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Silence returns for how long no other instance was heard, and false if
	// none is known.
	Silence func() (time.Duration, bool)

	current   atomic.Pointer[Snapshot]
	mu        sync.Mutex // mu serialises taking a snapshot.
	listeners []func(*Snapshot)
	contact   time.Time // contact is the last answer of the platform.
	relay     follow.Relay
	follower  *follow.Follower
	group     background.Group
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

// Run starts to follow the platform.
func (k *Keeper) Run(kn *kernel.Kernel) error {
	k.touch()
	k.follower = &follow.Follower{
		Platform: k.Platform,
		Kind:     objectKind,
		Listed: func(l platform.Listing) {
			for i := range l.Objects {
				k.followed(&l.Objects[i])
			}
		},
		Changed: func(c platform.Changes) {
			for i := range c.Events {
				if !c.Events[i].Removed {
					k.followed(&c.Events[i].Object)
				}
			}
		},
		Log: k.Log,
	}
	k.group.Every(contactPeriod, k.keepContact)
	return k.follower.Run(kn)
}

// followed takes in an object that the store brought.
func (k *Keeper) followed(o *platform.Object) {
	if o.Name != objectName {
		return
	}
	if err := k.takeObject(o); err != nil {
		k.Log.WithFields(logrus.Fields{"Revision": o.Revision, "Error": err.Error()}).Error("stored configuration was not taken")
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

// Revision returns the revision in force, zero if there is none.
func (k *Keeper) Revision() int64 {
	if s := k.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// CutOff reports whether neither the platform nor any known peer was heard for
// so long that a newer configuration may be in force elsewhere.
func (k *Keeper) CutOff() bool {
	silence, known := k.Silence()
	if !known || silence < contactLimit {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.contact) > contactLimit && time.Since(k.follower.Contact()) > contactLimit
}

func (k *Keeper) touch() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.contact = time.Now()
}

// keepContact asks the platform for a sign of life while all peers are silent.
func (k *Keeper) keepContact(ctx context.Context, _ time.Time) {
	silence, known := k.Silence()
	if !known || silence <= contactLimit/2 {
		return
	}
	o, err := k.Platform.Get(ctx, objectKind, objectName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	k.touch()
	if err == nil {
		_ = k.takeObject(o)
	}
}

func (k *Keeper) takeObject(o *platform.Object) error {
	r, err := decodeRecord(o.Value)
	if err != nil {
		return err
	}
	return k.take(o.Revision, r)
}

// take puts a revision in force unless one as high is.
func (k *Keeper) take(revision int64, r *record) error {
	if revision <= k.Revision() {
		return nil
	}
	text, err := r.text()
	if err != nil {
		return err
	}
	c, err := config.Parse("configuration", text)
	if err != nil {
		k.Log.WithFields(logrus.Fields{"Revision": revision, "Error": err.Error()}).Error("stored configuration is not sound")
		return err
	}
	k.force(&Snapshot{
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

func (k *Keeper) force(s *Snapshot) {
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
// the watch on the platform brings it first.
func (k *Keeper) Ahead(address string, revision int64) {
	k.relay.Fetch(k.Revision() > 0, func() bool { return revision > k.Revision() }, func(ctx context.Context) { k.fetch(ctx, address) })
}

// fetched is a peer's answer to a fetch.
type fetched struct {
	Revision int64
	Record   *record
}

func (k *Keeper) fetch(ctx context.Context, address string) {
	var f fetched
	if err := k.Peers.Call(ctx, address, fetchMethod, nil, &f); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration was not fetched from a peer")
		return
	}
	if f.Record == nil {
		return
	}
	if err := k.take(f.Revision, f.Record); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Error": err.Error()}).Warn("configuration from a peer was not taken")
	}
}

func (k *Keeper) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	s := k.Current()
	if s == nil {
		return fetched{}, nil
	}
	return fetched{Revision: s.Revision, Record: s.record}, nil
}
