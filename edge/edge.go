// Package edge assembles an instance that serves the routes of the platform's
// operator, and stops it without interrupting requests that can end in time.
package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/balancer"
	"knapweedwell/budget"
	"knapweedwell/buffer"
	"knapweedwell/duty"
	"knapweedwell/exchange"
	"knapweedwell/follow"
	"knapweedwell/forward"
	"knapweedwell/heartbeat"
	"knapweedwell/httpwire"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/metric"
	"knapweedwell/peer"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
	"knapweedwell/ratelimit"
	"knapweedwell/roster"
	"knapweedwell/route"
	"knapweedwell/routing"
	"knapweedwell/scaling"
	"knapweedwell/setting"
	"knapweedwell/usage"
	"knapweedwell/verdictstore"
)

const (
	minLeavingTime  = 3 * time.Second        // least time in which a leaving instance serves callers that kept its address
	minIdleTime     = 600 * time.Millisecond // time without the end of a request before a leaving instance exits
	exitMargin      = 400 * time.Millisecond // part of the grace period that is kept for the exit
	shutdownTime    = 250 * time.Millisecond // part of exitMargin for requests accepted in the last moment
	stopCheckPeriod = 50 * time.Millisecond

	megabyte          = 1 << 20
	bodyMemoryPercent = 30 // part of the process's memory for bodies; as much again may be garbage
	headMemoryPercent = 25 // part of that for bodies that heads of answers may take
)

// Instance holds the services of one instance. The exported fields up to Check are
// set before Run, which sets the others.
type Instance struct {
	Settings     *setting.Settings
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Log          logrus.FieldLogger
	Check        *invariant.Checker
	// Elapsed returns the time since the machine was started, suspensions included. Nil means
	// duty.Boottime.
	Elapsed func() time.Duration

	Peers      *peer.Node
	Heartbeats *heartbeat.Service
	Routing    *routing.Manager
	Roster     *roster.Service
	Exchange   *exchange.Service
	Quarantine *quarantine.Quarantine
	Limits     *ratelimit.Limits
	Verdicts   *verdictstore.Service
	Forward    *forward.Server
	Directory  *directory
	Operator   *operatorServer
	API        *platform.API    // nil without duties
	Duties     *duty.Service    // nil without duties
	Usage      *usage.Service   // nil without duties
	Scaling    *scaling.Service // nil without the duty

	kernel      *kernel.Kernel
	store       *platform.Client
	connections *httpwire.ConnPool
	bodies      *buffer.Memory
	picker      *balancer.Picker
	metrics     *metric.Registry
	clients     *clients
	started     time.Time
	routes      atomic.Pointer[setting.Routes] // settings in force; Reload replaces them
}

// Run builds and starts all services.
func (i *Instance) Run() error {
	i.started = time.Now()
	i.routes.Store(i.Settings.Routes)
	i.kernel = kernel.New()
	i.metrics = metric.New()
	i.store = platform.New(i.Settings.Platform, i.Dial)
	i.buildClients()
	i.bodies = &buffer.Memory{Limit: int64(i.Settings.Routes.MemoryMegabytes) * megabyte * bodyMemoryPercent / 100}
	i.connections = &httpwire.ConnPool{
		Dial:       (&limitedDialer{dial: i.Dial, limit: i.clients.limits.Upstreams}).Dial,
		HeadMemory: &buffer.Memory{Limit: i.bodies.Limit * headMemoryPercent / 100, Whole: i.bodies},
	}
	i.Quarantine = &quarantine.Quarantine{Log: i.Log}
	i.buildPlacing()
	i.buildMembership()
	i.Limits = &ratelimit.Limits{Self: i.Settings.Name, Regions: i.Settings.Routes.Zones, Members: i.Heartbeats.Members, Log: i.Log}
	i.buildState()
	i.buildServers()
	i.kernel.Add("peer", i.Peers)
	i.kernel.Add("heartbeat", i.Heartbeats)
	i.kernel.Add("picture", i.Exchange) // the name stays, because operators see it in error messages
	i.kernel.Add("verdictstore", i.Verdicts)
	i.kernel.Add("routing", i.Routing)
	i.kernel.Add("roster", i.Roster)
	i.kernel.Add("operator", i.Operator)
	i.kernel.Add("forward", i.Forward)
	i.kernel.Add("directory", i.Directory)
	i.buildDuties()
	i.buildScaling()
	if err := i.kernel.Run(); err != nil {
		return err
	}
	i.Log.WithFields(logrus.Fields{"Zone": i.Settings.Zone, "Caller": i.Forward.Address, "Store": i.Settings.Platform}).Info("instance has started")
	return nil
}

// buildMembership builds the connections to peers and the heartbeat.
func (i *Instance) buildMembership() {
	s := i.Settings
	self := member.Member{
		Name:        s.Name,
		Incarnation: time.Now().UnixNano(),
		State:       member.Starting,
		Region:      s.Region,
		Zone:        s.Zone,
		Peer:        s.Peer,
		Caller:      s.Caller,
		Operator:    s.Operator,
		Exchange:    s.Routes.Exchange,
	}
	i.Peers = &peer.Node{Name: s.Name, Address: s.Peer, Bind: s.PeerBind, Key: s.PeerKey, Dial: i.Dial, Listen: i.Listen, Log: i.Log, Port: i.clients.ports[peersPort], Budget: i.clients.frames}
	i.Heartbeats = &heartbeat.Service{Self: self, Seeds: s.Seeds, Peers: i.Peers, Platform: i.store, Log: i.Log}
	// Here the revision of the heartbeat is the version of the route table.
	i.Heartbeats.Revision = func() int64 { return i.Routing.Version() }
	i.Heartbeats.OnNewerRevision = func(address string, version int64) { i.Routing.FetchNewer(address, version) }
	i.Heartbeats.StoreEra = i.storeEra
	i.Heartbeats.Prepare()
	i.Heartbeats.With(func(v *member.View) { v.Renumber = true })
}

// buildState builds the services that maintain the routes, the roster and the
// reports of other instances.
func (i *Instance) buildState() {
	i.Routing = &routing.Manager{
		Platform: i.store, Peers: i.Peers, Check: i.Check, Log: i.Log, Role: i.role, Deadline: i.Settings.Routes.ChangeDeadline,
		OnTable: func(_ *route.Table, age time.Duration) {
			i.metrics.ObserveConfigurationAge(age)
			i.stateChanged()
		},
	}
	i.Roster = &roster.Service{
		Platform: i.store, Peers: i.Peers, Log: i.Log, Role: i.role, Deadline: i.Settings.Routes.LeavingDeadline,
		Heartbeat: i.Settings.Routes.UpstreamHeartbeat, AnsweredAt: func() time.Time { return i.Exchange.StoreAnsweredAt() },
		OnChange: func(r *roster.Roster) {
			i.Quarantine.Leaving(time.Now(), r.LeavingUpstreams())
			i.Quarantine.Listed(time.Now(), r.Entries)
			i.stateChanged()
		},
	}
	i.Routing.Prepare()
	i.Roster.Prepare()
	i.Exchange = &exchange.Service{
		Self:             i.Settings.Name,
		Zone:             i.Settings.Zone,
		Regions:          i.Settings.Routes.Zones,
		Address:          i.Settings.Routes.Exchange,
		Bind:             i.Settings.Routes.ExchangeBind,
		Listen:           i.ListenPacket,
		Members:          i.Heartbeats.Members,
		Member:           i.Heartbeats.Member,
		Peers:            i.Peers,
		Picker:           i.picker,
		Roster:           i.Roster.Current,
		EngineMemory:     i.engineMemory,
		Version:          i.Routing.Version,
		Position:         i.Roster.Position,
		StoreUnreachable: i.Roster.StoreUnreachable,
		LastFailure:      i.Roster.LastFailure,
		AnswerAges:       i.Roster.AnswerAges,
		News:             i.Heartbeats.RecentChanges,
		MergeNews:        i.Heartbeats.MergeNews,
		FetchMembers:     i.Heartbeats.FetchMembersAsync,
		OnReport: func(address string, version int64, position roster.Position) {
			i.Routing.FetchNewer(address, version)
			i.Roster.FetchNewer(address, position)
		},
		Facts:  i.Quarantine,
		Limits: i.Limits,
		Log:    i.Log,
	}
	i.Exchange.Prepare()
	i.Verdicts = &verdictstore.Service{
		Self: i.identity(), Platform: i.store, Verdicts: i.Quarantine, Role: i.role, FetchFacts: i.Exchange.FetchFacts,
		Isolated: i.Exchange.Isolated, Tell: i.Exchange.Tell, OnReady: i.goLive, Log: i.Log,
	}
	i.Quarantine.OnChange = i.Exchange.ShareFacts
	i.Quarantine.Trial = i.Verdicts.Trial
}

// identity returns the identity of this incarnation of the instance.
func (i *Instance) identity() string {
	self := i.Heartbeats.Self
	return self.Identity()
}

// role returns how closely this instance follows the store.
func (i *Instance) role() follow.Role {
	return i.Exchange.Role()
}

// storeEra returns the highest era of the store that this instance knows, by its own calls
// or by its peers, and whether it knows any.
func (i *Instance) storeEra() (era int64, known bool) {
	era, known = i.store.KnownEra()
	return max(era, i.Roster.Position().Era), known || i.Roster.Current() != nil
}

// engineMemory returns the cache capacity of an upstream's engine in tokens. It
// reports false if the upstream has none or is unknown.
func (i *Instance) engineMemory(id string) (int, bool) {
	r, t := i.Roster.Current(), i.Routing.Current()
	if r == nil || t == nil || r.Entries[id] == nil {
		return 0, false
	}
	p := t.Pools[r.Entries[id].Pool]
	if p == nil || p.Engine == nil {
		return 0, false
	}
	return p.Engine.MemoryTokens, true
}

// buildServers builds the servers for callers, the operator and the platform, and
// registers their metrics.
func (i *Instance) buildServers() {
	r := i.Settings.Routes
	i.Forward = &forward.Server{
		Address:          i.Settings.Caller,
		Table:            i.servedTable,
		Roster:           i.Roster.Current,
		RecordDeparture:  i.Roster.RecordDeparture,
		StoreUnreachable: i.Roster.StoreUnreachable,
		Picker:           i.picker,
		Connections:      i.connections,
		Budget:           &budget.Budget{Ratio: r.RetryRatio, Window: r.RetryWindow, Slack: r.RetrySlack, Instances: i.instances},
		Quarantine:       i.Quarantine,
		Limits:           i.Limits,
		Admission:        i.buildAdmission(),
		Memory:           i.bodies,
		Metrics:          i.metrics,
		Check:            i.Check,
		Log:              i.Log,
		Listen:           i.Listen,
		HeadLimits:       i.headLimits,
		Heads:            i.clients.heads,
		Port:             i.clients.ports[callersPort],
		Drops:            i.clients.drops,
	}
	i.Directory = &directory{instance: i}
	i.Operator = &operatorServer{instance: i}
	i.metrics.Gauge("knapweedwell_requests_running", func() float64 {
		n, _ := i.Forward.Busy(time.Now())
		return float64(n)
	})
	i.metrics.Gauge("knapweedwell_configuration_version", func() float64 { return float64(i.Routing.Version()) })
	i.metrics.Gauge("knapweedwell_configuration_sent_bytes_total", func() float64 { return float64(i.Routing.Transfers().SentBytes) })
	i.metrics.Gauge("knapweedwell_configuration_received_bytes_total", func() float64 { return float64(i.Routing.Transfers().ReceivedBytes) })
	i.metrics.Gauge("knapweedwell_configuration_fetches_total", func() float64 { return float64(i.Routing.Transfers().Fetched) })
	i.metrics.Gauge("knapweedwell_configuration_fetch_failures_total", func() float64 { return float64(i.Routing.Transfers().Failed) })
	i.metrics.Gauge("knapweedwell_datagrams_sent_total", func() float64 { return float64(i.Exchange.Counts().Sent) })
	i.metrics.Gauge("knapweedwell_datagrams_received_total", func() float64 { return float64(i.Exchange.Counts().Received) })
	i.metrics.Gauge("knapweedwell_datagram_bytes_sent_total", func() float64 { return float64(i.Exchange.Counts().SentBytes) })
	i.metrics.Gauge("knapweedwell_quarantined_parts", func() float64 { return float64(len(i.Quarantine.Verdicts(time.Now()))) })
	i.metrics.Gauge("knapweedwell_quarantine_refusals_total", func() float64 { return float64(i.Quarantine.Refusals()) })
	i.metrics.Gauge("knapweedwell_limited_upstreams", func() float64 { return float64(i.Limits.Limited()) })
	i.metrics.Gauge("knapweedwell_cached_parts", func() float64 {
		held, _ := i.picker.CachedPartCounts()
		return float64(held)
	})
	i.metrics.Gauge("knapweedwell_cached_parts_evicted_total", func() float64 {
		_, evicted := i.picker.CachedPartCounts()
		return float64(evicted)
	})
	i.metrics.Gauge("knapweedwell_answer_head_bytes", func() float64 { return float64(i.connections.HeadMemory.Used()) })
	i.metrics.Gauge("knapweedwell_answer_heads_refused_total", func() float64 { return float64(i.connections.HeadMemory.Refused()) })
	i.metrics.Gauge("knapweedwell_body_memory_bytes", func() float64 { return float64(i.Forward.Memory.Used()) })
	i.metrics.Gauge("knapweedwell_body_memory_refused_total", func() float64 { return float64(i.Forward.Memory.Refused()) })
	i.metrics.Gauge("knapweedwell_store_era", func() float64 {
		era, _ := i.storeEra()
		return float64(era)
	})
	i.metrics.Gauge("knapweedwell_roster_refused_total", func() float64 { return float64(i.Roster.Refused()) })
	i.metrics.Gauge("knapweedwell_store_calls_total", func() float64 { return float64(i.store.Calls()) })
	i.metrics.Gauge("knapweedwell_upstream_connections_total", func() float64 {
		dialed, _ := i.connections.Counts()
		return float64(dialed)
	})
}

// servedTable returns the routes in force, nil until this instance has the verdicts on
// prompt parts.
func (i *Instance) servedTable() *route.Table {
	if !i.Verdicts.Ready() {
		return nil
	}
	return i.Routing.Current()
}

// instances returns the number of known instances that may send requests.
func (i *Instance) instances() int {
	n := 0
	i.Heartbeats.With(func(v *member.View) {
		for _, m := range v.All() {
			if m.State != member.Gone {
				n++
			}
		}
	})
	return n
}

// stateChanged passes a new table or roster on to the other instances.
func (i *Instance) stateChanged() {
	i.goLive()
	i.Exchange.Push()
}

// goLive changes the state of a starting instance to live once it has routes, a roster
// and the verdicts on prompt parts.
func (i *Instance) goLive() {
	if i.Routing.Current() == nil || i.Roster.Current() == nil || !i.Verdicts.Ready() {
		return
	}
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
		i.Log.WithFields(logrus.Fields{"Version": i.Routing.Version(), "Millis": time.Since(i.started).Milliseconds()}).Info("instance is live")
	}
}

// Live reports whether callers may use this instance.
func (i *Instance) Live() bool {
	live := false
	i.Heartbeats.With(func(v *member.View) { live = v.Self.State == member.Live })
	return live
}

// Reload applies the settings that may change while the instance runs: the
// lifetime of address answers, the grace period, and the ratio and slack of the
// retry budget. All others stay as they are.
func (i *Instance) Reload(fresh *setting.Settings) {
	if fresh.Routes == nil {
		i.Log.Error("new settings have no routes; the settings in force are kept")
		return
	}
	i.routes.Store(fresh.Routes)
	i.Forward.Budget.SetLimits(fresh.Routes.RetryRatio, fresh.Routes.RetrySlack)
}

// Stop stops the instance. Requests that can end within the grace period are not
// interrupted.
func (i *Instance) Stop(ctx context.Context) error {
	start := time.Now()
	i.Log.Info("instance is leaving")
	i.Heartbeats.With(func(v *member.View) { v.SetSelf(func(m *member.Member) { m.State = member.Leaving }) })
	end := start.Add(i.routes.Load().GracePeriod - exitMargin)
	i.Forward.Leave(start, end)
	i.Exchange.SendNow()
	i.Heartbeats.AnnounceAsync()
	i.releaseDuties(ctx)
	for now := start; now.Before(end) && ctx.Err() == nil; now = time.Now() {
		active, idle := i.Forward.Busy(now)
		if active == 0 && idle > minIdleTime && now.Sub(start) > minLeavingTime {
			break
		}
		time.Sleep(stopCheckPeriod)
	}
	i.shutDown(ctx, end.Add(shutdownTime))
	active, _ := i.Forward.Busy(time.Now())
	i.Log.WithFields(logrus.Fields{"Millis": time.Since(start).Milliseconds(), "CutOff": active}).Info("instance has left")
	return i.Close()
}

// shutDown accepts no further connections and waits until the requests on those
// accepted in the last moment are answered, at most until the end.
func (i *Instance) shutDown(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := i.Forward.Shutdown(ctx); err != nil {
		i.Log.WithField("Error", err.Error()).Warn("requests of callers are still in progress")
	}
}

// Close stops all services at once. Requests in progress are interrupted.
func (i *Instance) Close() error {
	err := i.kernel.Close()
	_ = i.connections.Close()
	_ = i.store.Close()
	if i.API != nil {
		_ = i.API.Close()
	}
	return err
}
