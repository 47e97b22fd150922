// Package routing maintains the route table in force. It receives tables from the
// platform's store and from peers, and never replaces a table by one of a lower
// version.
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
	fetchDelay   = 200 * time.Millisecond // time for the watch to deliver a table before a peer is asked

	// maxStartDelay bounds the random delay of the first list, so that instances
	// that start together do not call the store at once.
	maxStartDelay = 20 * time.Millisecond
)

// Keeper maintains the table in force. The exported fields are set before Run.
type Keeper struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Role returns how closely this instance follows the store; may be nil.
	Role func() follow.Role
	// Listen is called with each new table; may be nil.
	Listen func(*route.Table)

	current  atomic.Pointer[route.Table]
	mu       sync.Mutex
	source   platform.Object // object from which the table was read
	follower *follow.Follower
	relay    follow.Relay
}

// Prepare registers the handler of fetches. It is called before the peer node runs.
func (k *Keeper) Prepare() {
	k.relay = follow.Relay{Delay: fetchDelay, Timeout: fetchTimeout}
	k.Peers.Handle(fetchMethod, k.serveFetch)
}

// Run starts following the store.
func (k *Keeper) Run(kn *kernel.Kernel) error {
	k.follower = &follow.Follower{
		Platform: k.Platform,
		Kind:     platform.ConfigurationKind,
		Role:     k.Role,
		Delay:    maxStartDelay,
		Listed: func(l platform.Listing) {
			for _, o := range l.Objects {
				k.apply(o, "store")
			}
		},
		Changed: func(c platform.Changes) {
			for _, e := range c.Events {
				if !e.Removed {
					k.apply(e.Object, "store")
				}
			}
		},
		Log: k.Log,
	}
	return k.follower.Run(kn)
}

// Close stops following the store.
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

// Contact returns the time at which the store last answered.
func (k *Keeper) Contact() time.Time {
	return k.follower.Contact()
}

// apply puts a table in force if it has a higher version than the current one. It
// logs an error if the object holds no valid table.
func (k *Keeper) apply(o platform.Object, from string) {
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

// Ahead fetches the table from the peer at the address, which has the given newer
// version, unless the watch delivers it first.
func (k *Keeper) Ahead(address string, version int64) {
	delay := k.Current() != nil && !k.follower.Away() && !k.follower.Idle()
	k.relay.Fetch(delay, func() bool { return version > k.Version() }, func(ctx context.Context) { k.fetch(ctx, address, version) })
}

// fetchReply is a peer's answer to a fetch.
type fetchReply struct {
	Name     string
	Revision int64
	Value    json.RawMessage
}

// fetch gets the table of the peer at the address and applies it.
func (k *Keeper) fetch(ctx context.Context, address string, version int64) {
	var f fetchReply
	if err := k.Peers.Call(ctx, address, fetchMethod, nil, &f); err != nil {
		k.Log.WithFields(logrus.Fields{"Peer": address, "Version": version, "Error": err.Error()}).Warn("configuration was not fetched from a peer")
		return
	}
	k.apply(platform.Object{Kind: platform.ConfigurationKind, Name: f.Name, Revision: f.Revision, Value: f.Value}, address)
}

// serveFetch answers a peer with the object of the table in force.
func (k *Keeper) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.source.Value == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Name: k.source.Name, Revision: k.source.Revision, Value: k.source.Value}, nil
}
