// Package routing maintains the route table in force. It receives tables from the
// platform's store and from peers, and never replaces a table by one of a lower
// version.
package routing

import (
	"context"
	"encoding/json"
	"slices"
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
	"knapweedwell/transfer"
)

// NoVersion is the version of an instance that has no table; that of a table is zero or higher.
const NoVersion = -1

const (
	transferName = "Routing"
	// fetchMethod is the method for the whole table. Instances of earlier builds use it.
	fetchMethod = "Routing.Fetch"
	fetchDelay  = 200 * time.Millisecond // time for the watch to deliver a table before a peer is asked

	// maxStartDelay bounds the random delay of the first list, so that instances
	// that start together do not call the store at the same time.
	maxStartDelay = 20 * time.Millisecond
)

// Manager maintains the table in force. The exported fields are set before Run.
type Manager struct {
	Platform *platform.Client
	Peers    *peer.Node
	Check    *invariant.Checker
	Log      logrus.FieldLogger
	// Role returns how closely this instance follows the store; may be nil.
	Role func() follow.Role
	// Deadline is the time in which a change in the store must be in force; zero if
	// there is none.
	Deadline time.Duration
	// OnTable is called with each new table and the time since the first instance had it;
	// may be nil.
	OnTable func(t *route.Table, age time.Duration)

	current  atomic.Pointer[route.Table]
	mu       sync.Mutex
	follower *follow.Follower
	transfer transfer.Service
}

// Prepare registers the handlers of the methods by which peers fetch the table. It is
// called before the peer node runs.
func (m *Manager) Prepare() {
	m.transfer = transfer.Service{
		Name: transferName, Peers: m.Peers, Delay: fetchDelay, Apply: m.applyFetched, FetchWhole: m.fetchWhole, Log: m.Log,
		Fetched: "configuration fetched from a peer", NotFetched: "configuration was not fetched from a peer",
		Call: func(ctx context.Context, address, method string, params, result any) error {
			return follow.CallPeer(ctx, m.Peers, address, method, params, result)
		},
	}
	m.transfer.Prepare()
	m.Peers.Handle(fetchMethod, m.serveFetch)
}

// Run starts following the store.
func (m *Manager) Run(k *kernel.Kernel) error {
	m.follower = &follow.Follower{
		Platform: m.Platform,
		Kind:     platform.ConfigurationKind,
		Role:     m.Role,
		Delay:    maxStartDelay,
		Deadline: m.Deadline,
		OnList: func(l platform.Listing) {
			for _, o := range l.Objects {
				m.apply(o, time.Now(), "store")
			}
		},
		OnChange: m.applyChanges,
		Log:      m.Log,
	}
	return m.follower.Run(k)
}

// Close stops following the store.
func (m *Manager) Close() error {
	err := m.follower.Close()
	_ = m.transfer.Close()
	return err
}

// Current returns the table in force, nil if there is none yet.
func (m *Manager) Current() *route.Table {
	return m.current.Load()
}

// Version returns the version in force, NoVersion if there is none.
func (m *Manager) Version() int64 {
	if t := m.Current(); t != nil {
		return t.Version
	}
	return NoVersion
}

// Transfers returns the numbers of bytes and fetches of tables between instances.
func (m *Manager) Transfers() transfer.Counts {
	return m.transfer.Counts()
}

// LastAnswer returns the time at which the store last answered, zero if it never
// did.
func (m *Manager) LastAnswer() time.Time {
	return m.follower.LastAnswer()
}

// applyChanges applies the newest sound version of the table among the changes. Earlier ones
// are not decoded.
func (m *Manager) applyChanges(c platform.Changes) {
	for _, e := range slices.Backward(c.Events) {
		if !e.Removed && e.Object.Name == platform.ConfigurationName && m.apply(e.Object, time.Now(), "store") {
			return
		}
	}
}

// apply puts a table in force if it has a higher version than the current one. The first
// instance had it at the time since. If the object holds no valid table, apply logs an
// error and reports false.
func (m *Manager) apply(o platform.Object, since time.Time, from string) bool {
	if o.Name != platform.ConfigurationName {
		return true
	}
	t, err := platform.DecodeTable(o)
	if err != nil {
		m.Log.WithFields(logrus.Fields{"Revision": o.Revision, "From": from, "Error": err.Error()}).Error("configuration is not sound and not taken")
		return false
	}
	m.mu.Lock()
	old := m.Version()
	if t.Version <= old {
		m.mu.Unlock()
		return true
	}
	m.current.Store(t)
	m.transfer.Set(transfer.Value{Version: t.Version, Revision: o.Revision, Data: o.Value, Since: since})
	m.mu.Unlock()
	age := time.Since(since)
	m.Check.Check(invariant.RevisionNeverFalls, t.Version > old, "version %d follows %d", t.Version, old)
	m.Log.WithFields(logrus.Fields{
		"Version": t.Version, "Before": old, "Revision": t.Revision, "Routes": len(t.Routes), "From": from, "AgeMillis": age.Milliseconds(),
	}).Info("configuration is in force")
	if m.OnTable != nil {
		m.OnTable(t, age)
	}
	return true
}

// applyFetched applies the value of a peer.
func (m *Manager) applyFetched(v transfer.Value, from string) bool {
	o := platform.Object{Kind: platform.ConfigurationKind, Name: platform.ConfigurationName, Revision: v.Revision, Value: v.Data}
	return m.apply(o, v.Since, from)
}

// FetchNewer fetches the table from the peer at the address, which has the
// given newer version, unless the watch delivers it first.
func (m *Manager) FetchNewer(address string, version int64) {
	waitForWatch := m.Current() != nil && !m.follower.StoreUnreachable() && !m.follower.Idle()
	m.transfer.Hint(address, version, waitForWatch)
}

// fetchReply is the answer to a fetch of the whole table.
type fetchReply struct {
	Name     string
	Revision int64
	Value    json.RawMessage
}

// fetchWhole gets the table of a peer of an earlier build.
func (m *Manager) fetchWhole(ctx context.Context, address string) (transfer.Value, error) {
	var f fetchReply
	if err := follow.CallPeer(ctx, m.Peers, address, fetchMethod, nil, &f); err != nil {
		return transfer.Value{}, err
	}
	return transfer.Value{Revision: f.Revision, Data: f.Value}, nil
}

// serveFetch answers a peer of an earlier build with the object of the table in force.
func (m *Manager) serveFetch(context.Context, string, json.RawMessage) (any, error) {
	v := m.transfer.Current()
	if v.Data == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Name: platform.ConfigurationName, Revision: v.Revision, Value: v.Data}, nil
}
