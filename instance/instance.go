// Package instance assembles an instance of the router from its services. A
// planned stop of the instance cuts off no request.
package instance

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/caller"
	"knapweedwell/claimstore"
	"knapweedwell/dispatch"
	"knapweedwell/heartbeat"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/metric"
	"knapweedwell/operator"
	"knapweedwell/owner"
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/pool"
	"knapweedwell/revision"
	"knapweedwell/roster"
	"knapweedwell/setting"
	"knapweedwell/trace"
	"knapweedwell/upstream"
)

// Names of the services of an instance.
const (
	PeerService      = "peer"
	HeartbeatService = "heartbeat"
	RevisionService  = "revision"
	RosterService    = "roster"
	ClaimService     = "claimstore"
	OwnerService     = "owner"
	DispatchService  = "dispatch"
	CallerService    = "caller"
	OperatorService  = "operator"
)

// maxIsolation is how long an instance that seems to have ended may have been isolated only,
// and may hold a configuration that no other one has.
const maxIsolation = time.Minute

// Instance is one instance. The exported fields are set before Run.
type Instance struct {
	Settings *setting.Settings
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Listen   func(network, address string) (net.Listener, error)
	Log      logrus.FieldLogger
	Check    *invariant.Checker

	Caller     *caller.Server
	Operator   *operator.Server
	Heartbeats *heartbeat.Service
	Revisions  *revision.Manager
	Roster     *roster.Service
	Dispatch   *dispatch.Service
	Owners     *owner.Service
	Claims     *claimstore.Service
	Peers      *peer.Node
	Platform   *platform.Client

	stopWait  atomic.Int64 // in nanoseconds; changed by Reload
	kernel    *kernel.Kernel
	upstreams *upstream.Client
	metrics   *metric.Registry
	trace     *trace.Recorder
}

// Run builds and starts all services. If one fails to start, those already
// started are closed and the error is returned.
func (i *Instance) Run() error {
	i.stopWait.Store(int64(i.Settings.StopWait))
	i.kernel = kernel.New()
	i.metrics = metric.New()
	i.trace = trace.New()
	i.metrics.Gauge("knapweedwell_requests_running", func() float64 { return float64(i.Dispatch.Running()) })
	i.Platform = platform.New(i.Settings.Platform, i.Dial)
	i.upstreams = upstream.New(i.Dial)
	self := i.newMember()
	i.buildMembership(self)
	i.buildRequestServices(self)
	i.buildServers()
	i.addServices()
	if err := i.kernel.Run(); err != nil {
		return err
	}
	i.Heartbeats.Announce(context.Background(), func(m *member.Member) {
		m.Caller = i.Caller.Address
		m.Operator = i.Operator.Address
	})
	i.Revisions.Subscribe(func(*revision.Snapshot) { i.goLive() })
	if i.Revisions.Current() != nil {
		i.goLive()
	}
	return nil
}

// goLive changes the state of a starting instance to live, so that callers may
// be sent to it and it may own shards. It is called only when a configuration is
// in force.
func (i *Instance) goLive() {
	changed := false
	i.Heartbeats.With(func(v *member.View) {
		if v.Self.State != member.Starting {
			return
		}
		changed = true
		v.SetSelf(func(m *member.Member) { m.State = member.Live })
	})
	if changed {
		i.Heartbeats.AnnounceAsync()
		i.Log.WithField("Revision", i.Revisions.Revision()).Info("instance is live")
	}
}

// newMember returns the member entry of this instance with a new incarnation.
func (i *Instance) newMember() member.Member {
	return member.Member{
		Name:        i.Settings.Name,
		Incarnation: time.Now().UnixNano(),
		State:       member.Starting,
		Region:      i.Settings.Region,
		Zone:        i.Settings.Zone,
		Peer:        i.Settings.Peer,
		Caller:      i.Settings.Caller,
		Operator:    i.Settings.Operator,
	}
}

func (i *Instance) buildMembership(self member.Member) {
	i.Peers = &peer.Node{
		Name:    self.Name,
		Address: self.Peer,
		Bind:    i.Settings.PeerBind,
		Key:     i.Settings.PeerKey,
		Dial:    i.Dial,
		Listen:  i.Listen,
		Log:     i.Log,
	}
	i.Heartbeats = &heartbeat.Service{
		Self:     self,
		Seeds:    i.Settings.Seeds,
		Peers:    i.Peers,
		Platform: i.Platform,
		Log:      i.Log,
	}
	i.Revisions = &revision.Manager{
		Platform: i.Platform,
		Peers:    i.Peers,
		Check:    i.Check,
		Log:      i.Log,
		Silence:  i.silence,
		Others:   i.others,
	}
	i.Roster = &roster.Service{
		Platform: i.Platform,
		Peers:    i.Peers,
		Log:      i.Log,
		OnChange: func(r *roster.Roster) { i.Heartbeats.AddLeaving(r.Leaving()) },
	}
	i.Heartbeats.Leaving = func() []string { return i.Roster.Current().Leaving() }
	i.Heartbeats.Revision = i.Revisions.Revision
	i.Heartbeats.OnNewerRevision = i.Revisions.FetchNewer
	i.Heartbeats.Prepare()
	i.Revisions.Prepare()
	i.Roster.Prepare()
}

// silence returns the time since the last message from another instance, and
// false if no other instance is known that may be running.
func (i *Instance) silence() (time.Duration, bool) {
	var silence time.Duration
	var known bool
	i.Heartbeats.With(func(v *member.View) { silence, known = v.Silence(time.Now()) })
	return silence, known
}

// others returns the other instances that may run: those that are not gone, and those that
// may only be isolated.
func (i *Instance) others() []member.Member {
	var others []member.Member
	i.Heartbeats.With(func(v *member.View) {
		for _, m := range v.All() {
			if m.Name != v.Self.Name && v.GoneFor(time.Now(), m.Name) < maxIsolation {
				others = append(others, m)
			}
		}
	})
	return others
}

// hasEnded reports whether the incarnation with the identity has ended.
func (i *Instance) hasEnded(identity string) bool {
	var ended bool
	i.Heartbeats.With(func(v *member.View) { _, ended = v.Ended(identity) })
	return ended
}

func (i *Instance) buildRequestServices(self member.Member) {
	i.Claims = &claimstore.Service{
		Identity:   self.Identity(),
		Store:      &claimstore.Store{Platform: i.Platform},
		Peers:      i.Peers,
		Heartbeats: i.Heartbeats,
		Log:        i.Log,
	}
	i.Owners = &owner.Service{
		Self:       self.Name,
		Region:     self.Region,
		Policy:     pool.Policy(i.Settings.Policy),
		Revisions:  i.Revisions,
		Heartbeats: i.Heartbeats,
		Peers:      i.Peers,
		Upstreams:  i.upstreams,
		Check:      i.Check,
		Log:        i.Log,
	}
	i.Dispatch = &dispatch.Service{
		Self:             self.Name,
		Identity:         self.Identity(),
		Zone:             self.Zone,
		Region:           self.Region,
		Revisions:        i.Revisions,
		Owners:           i.Owners,
		Claims:           i.Claims,
		Upstreams:        i.upstreams,
		Check:            i.Check,
		Metrics:          i.metrics,
		Trace:            i.trace,
		Log:              i.Log,
		LeavingUpstreams: i.Heartbeats.LeavingUpstreams,
		Ended:            i.hasEnded,
		MaxRunning:       i.Settings.MaxRequests,
	}
	i.Claims.Prepare()
	i.Owners.Prepare()
	i.Dispatch.Prepare()
}

func (i *Instance) buildServers() {
	i.Caller = &caller.Server{
		Self:         i.Settings.Name,
		Region:       i.Settings.Region,
		Address:      i.Settings.Caller,
		MaxBodyBytes: i.Settings.MaxBodyBytes,
		Revisions:    i.Revisions,
		Heartbeats:   i.Heartbeats,
		Owners:       i.Owners,
		Claims:       i.Claims,
		Dispatch:     i.Dispatch,
		Check:        i.Check,
		Listen:       i.Listen,
		Log:          i.Log,
	}
	i.Operator = &operator.Server{
		Self:       i.Settings.Name,
		Address:    i.Settings.Operator,
		Key:        i.Settings.OperatorKey,
		Revisions:  i.Revisions,
		Heartbeats: i.Heartbeats,
		Owners:     i.Owners,
		Claims:     i.Claims,
		Dispatch:   i.Dispatch,
		Peers:      i.Peers,
		Metrics:    i.metrics,
		Trace:      i.trace,
		Check:      i.Check,
		Listen:     i.Listen,
		Log:        i.Log,
	}
	i.Operator.Prepare()
}

func (i *Instance) addServices() {
	i.kernel.Add(PeerService, i.Peers)
	i.kernel.Add(HeartbeatService, i.Heartbeats)
	i.kernel.Add(RevisionService, i.Revisions)
	i.kernel.Add(RosterService, i.Roster)
	i.kernel.Add(ClaimService, i.Claims)
	i.kernel.Add(OwnerService, i.Owners)
	i.kernel.Add(DispatchService, i.Dispatch)
	i.kernel.Add(OperatorService, i.Operator)
	i.kernel.Add(CallerService, i.Caller)
}

// Live reports whether the address answers list the instance.
func (i *Instance) Live() bool {
	live := false
	i.Heartbeats.With(func(v *member.View) { live = v.Self.State == member.Live })
	return live
}

// Metrics returns the metrics of the instance.
func (i *Instance) Metrics() *metric.Registry {
	return i.metrics
}

// Stop stops the instance without cutting off a request. It removes the instance
// from the address answers, hands over its shards and tickets, serves callers
// whose address answers are still valid, and waits until all requests in progress
// are answered. If the context ends first, the remaining requests are cut off.
func (i *Instance) Stop(ctx context.Context) error {
	i.Log.Info("instance is leaving")
	i.Heartbeats.Announce(ctx, func(m *member.Member) { m.State = member.Leaving })
	i.Caller.Leave()
	successor := i.Claims.HandOver(ctx, i.successors())
	i.Heartbeats.Announce(ctx, func(m *member.Member) { m.Successor = successor })
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(i.stopWait.Load())):
	}
	allAnswered := i.Caller.Drain(ctx)
	i.Heartbeats.Announce(context.Background(), func(m *member.Member) { m.State = member.Gone })
	i.Log.WithField("AllAnswered", allAnswered).Info("instance has left")
	return i.Close()
}

// Reload applies the settings that may change while the instance runs. StopWait,
// the time for which a planned stop continues to serve callers, is the only one.
func (i *Instance) Reload(settings *setting.Settings) {
	i.stopWait.Store(int64(settings.StopWait))
}

// successors returns the other live instances, those of the same region first.
func (i *Instance) successors() []member.Member {
	var sameRegion, otherRegions []member.Member
	i.Heartbeats.With(func(v *member.View) {
		for _, m := range v.Live() {
			switch {
			case m.Name == v.Self.Name:
			case m.Region == v.Self.Region:
				sameRegion = append(sameRegion, m)
			default:
				otherRegions = append(otherRegions, m)
			}
		}
	})
	return append(sameRegion, otherRegions...)
}

// Close stops all services without waiting for requests in progress, which are cut
// off. It returns the first error of a service.
func (i *Instance) Close() error {
	i.Dispatch.Abort()
	err := i.kernel.Close()
	_ = i.upstreams.Close()
	_ = i.Platform.Close()
	return err
}
