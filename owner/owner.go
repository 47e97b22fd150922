// Package owner schedules the shards that this instance owns and requests grants
// from the owners of the others. It sends grants, reports and preemptions between
// the instances that hold requests and the owners of shards.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/heartbeat"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/pool"
	"knapweedwell/revision"
	"knapweedwell/upstream"
)

const (
	tickPeriod         = 100 * time.Millisecond
	maxReportAge       = 2 * time.Second // an upstream with an older load report gets no new work
	loadPeriod         = 500 * time.Millisecond
	notifyTimeout      = time.Second
	requestGrantMethod = "Grant.Ask" // stays, because instances of other builds use it
	withdrawMethod     = "Grant.Withdraw"
	finishMethod       = "Grant.Finish"
	refreshMethod      = "Grant.Refresh"
	preemptMethod      = "Grant.Preempt"
)

// Service schedules the shards that this instance owns and requests grants from
// the owners of the others. The exported fields are set before Run.
type Service struct {
	Self       string
	Region     string
	Policy     pool.Policy
	Revisions  *revision.Manager
	Heartbeats *heartbeat.Service
	Peers      *peer.Node
	Upstreams  *upstream.Client
	Check      *invariant.Checker
	Log        logrus.FieldLogger
	// Preempted is called when a grant that this instance holds is preempted.
	Preempted func(grant string)

	mu     sync.Mutex
	shards map[string]*ownedShard
	group  background.Group
}

// ownedShard is a shard with the reply channels of its waiting grant requests.
type ownedShard struct {
	*pool.Shard
	waiters map[string]chan Reply // by ID of the grant request
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.shards = map[string]*ownedShard{}
	s.Peers.Handle(requestGrantMethod, s.serveGrantRequest)
	s.Peers.Handle(withdrawMethod, s.serveWithdraw)
	s.Peers.Handle(finishMethod, s.serveFinish)
	s.Peers.Handle(refreshMethod, s.serveRefresh)
	s.Peers.Handle(preemptMethod, s.servePreempt)
	s.Revisions.Subscribe(func(*revision.Snapshot) { s.reconcile() })
	s.Heartbeats.Subscribe(s.reconcile)
}

// Run starts the periodic ticks of the shards and the reading of load reports.
func (s *Service) Run(*kernel.Kernel) error {
	s.group.Every(tickPeriod, s.tick)
	s.group.Every(loadPeriod, s.readLoads)
	return nil
}

// Close stops the scheduling and replies Moved to all waiting grant requests.
func (s *Service) Close() error {
	s.group.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.shards {
		s.replyMoved(time.Now(), o)
	}
	return nil
}

// Owner returns the owner of a shard in this instance's view, or false if there is
// none. With a policy other than Tiered each instance is the owner of all shards.
func (s *Service) Owner(shard string) (member.Member, bool) {
	region := s.Region
	if snap := s.Revisions.Current(); snap != nil && snap.Plan.ByName[shard] != nil {
		region = snap.Plan.ByName[shard].Region
	}
	var m member.Member
	var ok bool
	s.Heartbeats.With(func(v *member.View) {
		if s.Policy != pool.Tiered {
			m, ok = v.Self, true
			return
		}
		m, ok = v.Owner(shard, region)
	})
	return m, ok
}

// reconcile applies a change of the configuration or of the membership view: it
// passes the new settings to all shards, creates the shards that this instance
// now owns, and replies Moved to the waiting grant requests of those that it no
// longer owns.
func (s *Service) reconcile() {
	snap := s.Revisions.Current()
	if snap == nil || s.group.Context().Err() != nil {
		return
	}
	leaving := s.Heartbeats.LeavingUpstreams()
	now := time.Now()
	ownedHere := map[string]bool{}
	for _, name := range snap.Plan.Names() {
		m, ok := s.Owner(name)
		isOwner := ok && m.Name == s.Self
		ownedHere[name] = isOwner
		s.mu.Lock()
		if isOwner {
			s.getOrCreate(now, name)
		}
		if o := s.shards[name]; o != nil {
			s.configure(now, o, snap, leaving)
			if !isOwner {
				s.replyMoved(now, o)
			}
		}
		s.mu.Unlock()
	}
	s.removeIdle(ownedHere)
}

// removeIdle removes the shards that this instance does not own once no request
// runs or waits in them.
func (s *Service) removeIdle(ownedHere map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, o := range s.shards {
		if !ownedHere[name] && o.Idle() && len(o.waiters) == 0 {
			delete(s.shards, name)
		}
	}
}

// configure applies the settings of the configuration to a shard, with the given
// upstreams as leaving. The caller holds s.mu.
func (s *Service) configure(now time.Time, o *ownedShard, snap *revision.Snapshot, leaving map[string]bool) {
	sh := snap.Plan.ByName[o.Name]
	if sh == nil {
		return
	}
	settings := snap.Plan.Settings(sh, snap.Config, snap.Revision)
	for i := range settings.Upstreams {
		if leaving[settings.Upstreams[i].Name] {
			settings.Upstreams[i].Leaving = true
		}
	}
	s.apply(o, o.Configure(now, settings))
}

// getOrCreate returns the shard and creates it if it does not exist. The lock is
// held.
func (s *Service) getOrCreate(now time.Time, name string) *ownedShard {
	o := s.shards[name]
	if o != nil {
		return o
	}
	o = &ownedShard{Shard: pool.New(name, s.Policy, s.Check, now), waiters: map[string]chan Reply{}}
	o.MaxReportAge = maxReportAge
	s.shards[name] = o
	if snap := s.Revisions.Current(); snap != nil {
		s.configure(now, o, snap, s.Heartbeats.LeavingUpstreams())
	}
	return o
}

// replyMoved withdraws all waiting grant requests of a shard and replies Moved to them.
// The caller holds s.mu.
func (s *Service) replyMoved(now time.Time, o *ownedShard) {
	ids := make([]string, 0, len(o.waiters))
	for id, ch := range o.waiters {
		ids = append(ids, id)
		delete(o.waiters, id)
		ch <- Reply{Moved: true}
	}
	s.apply(o, o.WithdrawAll(now, ids))
}

// apply carries out the decisions of a shard. The caller holds s.mu.
func (s *Service) apply(o *ownedShard, decisions []pool.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case pool.Granted:
			o.reply(d.Request.ID, Reply{Granted: true, Upstream: d.Grant.Upstream, Address: d.Address, Waited: d.Waited})
		case pool.Shed:
			o.reply(d.Request.ID, Reply{Reason: d.Reason})
		case pool.Preempt:
			s.sendPreempt(d.Grant)
		}
	}
}

// reply sends the reply to a waiting grant request and does nothing if none waits.
// The caller holds Service.mu.
func (o *ownedShard) reply(id string, r Reply) {
	ch := o.waiters[id]
	if ch == nil {
		return
	}
	delete(o.waiters, id)
	ch <- r
}

func (s *Service) sendPreempt(g pool.Grant) {
	if g.Holder == s.Self {
		s.group.Go(func(context.Context) { s.Preempted(g.ID) })
		return
	}
	s.notifyMember(g.Holder, preemptMethod, wireID{ID: g.ID})
}

// notifyMember sends a notification to a member in the background.
func (s *Service) notifyMember(name, method string, params any) {
	var m member.Member
	s.Heartbeats.With(func(v *member.View) { m, _ = v.Get(name) })
	s.notify(m.Peer, method, params)
}

func (s *Service) notify(address, method string, params any) {
	if address == "" {
		return
	}
	s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		_ = s.Peers.Notify(ctx, address, method, params)
	})
}

// requestLocal submits a grant request to a shard of this instance and waits for
// the reply. If the context ends first, the request or its grant is withdrawn and
// the error of the context is returned.
func (s *Service) requestLocal(ctx context.Context, shard string, req pool.GrantRequest) (Reply, error) {
	if !s.inPlan(shard) {
		return Reply{Reason: pool.NoUpstream}, nil
	}
	ch := make(chan Reply, 1)
	s.mu.Lock()
	now := time.Now()
	o := s.getOrCreate(now, shard)
	o.waiters[req.ID] = ch
	s.apply(o, o.RequestGrant(now, req))
	s.mu.Unlock()
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		s.withdraw(shard, req.ID)
		return Reply{}, ctx.Err()
	}
}

// inPlan reports whether the configuration in force has the shard.
func (s *Service) inPlan(shard string) bool {
	snap := s.Revisions.Current()
	return snap != nil && snap.Plan.ByName[shard] != nil
}

func (s *Service) withdraw(shard, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.shards[shard]
	if o == nil {
		return
	}
	if ch := o.waiters[id]; ch != nil {
		delete(o.waiters, id)
		ch <- Reply{Reason: pool.WaitExpired}
	}
	s.apply(o, o.Withdraw(time.Now(), id))
}

func (s *Service) finish(shard string, r pool.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.shards[shard]; o != nil {
		s.apply(o, o.Finish(time.Now(), r))
	}
}

func (s *Service) refresh(shard string, held []pool.HeldGrant) {
	if !s.inPlan(shard) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	o := s.getOrCreate(now, shard)
	s.apply(o, o.Refresh(now, held))
}

func (s *Service) tick(context.Context, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, o := range s.shards {
		s.apply(o, o.Tick(now))
	}
}

// readLoads reads the load reports of the upstreams of all shards that
// this instance owns.
func (s *Service) readLoads(context.Context, time.Time) {
	snap := s.Revisions.Current()
	if snap == nil {
		return
	}
	s.mu.Lock()
	var names []string
	for name := range s.shards {
		if sh := snap.Plan.ByName[name]; sh != nil {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	for _, name := range names {
		if m, ok := s.Owner(name); !ok || m.Name != s.Self {
			continue
		}
		for _, u := range snap.Plan.ByName[name].Upstreams {
			s.readLoad(name, u, snap.Config.Upstreams[u].Address)
		}
	}
}

func (s *Service) readLoad(shard, name, address string) {
	s.group.Go(func(ctx context.Context) {
		l, err := s.Upstreams.Load(ctx, address)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.shards[shard]; o != nil {
			s.apply(o, o.Load(time.Now(), name, l.Running, l.Draining))
		}
	})
}

// Views returns the state of all shards in use at this instance.
func (s *Service) Views() []pool.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var views []pool.View
	for _, o := range s.shards {
		views = append(views, o.View(now))
	}
	return views
}
