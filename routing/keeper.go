// Package routing keeps the route table that is in force: it follows the
// platform's store and the peers, and never goes back to a lower version.
package routing

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/follow"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/route"
)

const (
	fetchMethod  = "Routing.Fetch"
	fetchTimeout = time.Second
	relayDelay   = 200 * time.Millisecond // relayDelay is the time that the watch has before a peer is asked.
	startSpread  = 20 * time.Millisecond  // startSpread spreads the first lists of instances that start together.
)

// Keeper keeps the table in force. The exported fields are set before Run.
type Keeper struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Role tells how closely this instance follows the store; may be nil.
	Role func() follow.Role
	// Listen is told of each new table; may be nil.
	Listen func(*route.Table)

	current  atomic.Pointer[route.Table]
	mu       sync.Mutex
	source   platform.Object // source is what the table was read from.
	follower *follow.Follower
	relay    follow.Relay
}

// Prepare registers the handler. It is called before the peer node runs.
func (k *Keeper) Prepare() {
	k.relay = follow.Relay{Delay: relayDelay, Timeout: fetchTimeout}
	k.Peers.Handle(fetchMethod, k.serveFetch)
}

// Run starts to follow the store.
func (k *Keeper) Run(kn *kernel.Kernel) error {
	k.follower = &follow.Follower{
		Platform: k.Platform,
		Kind:     platform.ConfigurationKind,
		Role:     k.Role,
		Delay:    startSpread,
		Listed: func(l platform.Listing) {
			for _, o := range l.Objects {
				k.take(o, "store")
			}
		},
		Changed: func(c platform.Changes) {
			for _, e := range c.Events {
				if !e.Removed {
					k.take(e.Object, "store")
				}
			}
		},
		Log: k.Log,
	}
	return k.follower.Run(kn)
}

// Close stops following.
func (k *Keeper) Close() error {
	err := k.follower.Close()
	k.relay.Close()
	return err
}

// Current returns the table in force, nil if there is none yet.
func (k *Keeper) Current() *route.Table {
	return k.current.Load()
}

// Version returns the version in force, zero if there is none.
func (k *Keeper) Version() int64 {
	if t := k.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Contact returns when the store last answered.
func (k *Keeper) Contact() time.Time {
	return k.follower.Contact()
}

// take puts a table in force unless one as new is.
func (k *Keeper) take(o platform.Object, from string) {
	if o.Name != platform.ConfigurationName {
		return
	}
	t, err := platform.ReadTable(o)
	if err != nil {
		k.Log.WithFields(logrus.Fields{"Revision": o.Revision, "From": from, "Error": err.Error()}).Error("configuration is not sound and not taken")
		return
	}
	k.mu.Lock()
	old := k.Version()
	if t.Version <= old {
		k.mu.Unlock()
		return
	}
	k.current.Store(t)
	k.source = o
	k.mu.Unlock()
	k.Check.Check(invariant.RevisionRises, t.Version > old, "version %d follows %d", t.Version, old)
	k.Log.WithFields(logrus.Fields{"Version": t.Version, "Before": old, "Revision": t.Revision, "Routes": len(t.Routes), "From": from}).Info("configuration is in force")
	if k.Listen != nil {
		k.Listen(t)
	}
}

// Ahead fetches the table from a peer that has a newer one, unless the watch
// brings it first.
func (k *Keeper) Ahead(address string, version int64) {
	patient := k.Current() != nil && !k.follower.Away() && !k.follower.Idle()
	k.relay.Fetch(patient, func() bool { return version > k.Version() }, func(ctx context.Context) { k.fetch(ctx, address, version) })
}

// fetched is a peer's answer to a fetch.
type fetched struct {
	Name     string
	Revision int64
	Value    json.RawMessage
}

func (k *Keeper) fetch(ctx context.Context, address string, version int64) {
	var f fetched
	if err := k.Peers.Call(ctx, address, fetchMethod, nil, &f); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Version": version, "Error": err.Error()}).Warn("configuration was not fetched from a peer")
		return
	}
	k.take(platform.Object{Kind: platform.ConfigurationKind, Name: f.Name, Revision: f.Revision, Value: f.Value}, address)
}

func (k *Keeper) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.source.Value == nil {
		return fetched{}, nil
	}
	return fetched{Name: k.source.Name, Revision: k.source.Revision, Value: k.source.Value}, nil
}
