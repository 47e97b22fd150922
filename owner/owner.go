// Package owner runs the shards that this instance owns and asks the owners of
// others: it carries grants between the instances that hold requests and those
// that decide.
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
	tickPeriod     = 100 * time.Millisecond
	reportLimit    = 2 * time.Second // reportLimit is the age up to which a load report is trusted.
	loadPeriod     = 500 * time.Millisecond
	sendTimeout    = time.Second
	askMethod      = "Grant.Ask"
	withdrawMethod = "Grant.Withdraw"
	finishMethod   = "Grant.Finish"
	refreshMethod  = "Grant.Refresh"
	preemptMethod  = "Grant.Preempt"
)

// Service decides for the shards owned here. The exported fields are set
// before Run.
type Service struct {
	Self      string
	Region    string
	Policy    pool.Policy
	Keeper    *revision.Keeper
	Beats     *heartbeat.Service
	Peers     *peer.Node
	Upstreams *upstream.Client
	Check     *invariant.Checker
	Log       logrus.FieldLogger
	// Preempted is called when a grant that is held here is preempted.
	Preempted func(grant string)

	mu     sync.Mutex
	shards map[string]*owned
	group  background.Group
}

// owned is one shard with the channels of its waiting asks.
type owned struct {
	*pool.Shard
	waiters map[string]chan Reply
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.shards = map[string]*owned{}
	s.Peers.Handle(askMethod, s.serveAsk)
	s.Peers.Handle(withdrawMethod, s.serveWithdraw)
	s.Peers.Handle(finishMethod, s.serveFinish)
	s.Peers.Handle(refreshMethod, s.serveRefresh)
	s.Peers.Handle(preemptMethod, s.servePreempt)
	s.Keeper.Listen(func(*revision.Snapshot) { s.review() })
	s.Beats.Listen(s.review)
}

// Run starts the shards' clocks.
func (s *Service) Run(*kernel.Kernel) error {
	s.group.Every(tickPeriod, s.tick)
	s.group.Every(loadPeriod, s.readLoads)
	return nil
}

// Close stops deciding and answers all waiting asks with Moved.
func (s *Service) Close() error {
	s.group.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.shards {
		o.moveAll(time.Now())
	}
	return nil
}

// Owner returns the owner of a shard in this instance's view.
func (s *Service) Owner(shard string) (member.Member, bool) {
	region := s.Region
	if snap := s.Keeper.Current(); snap != nil && snap.Plan.ByName[shard] != nil {
		region = snap.Plan.ByName[shard].Region
	}
	var m member.Member
	var ok bool
	s.Beats.With(func(v *member.View) {
		if s.Policy != pool.Tiered {
			m, ok = v.Self, true
			return
		}
		m, ok = v.Owner(shard, region)
	})
	return m, ok
}

// review follows a change of the configuration or of the view: new settings
// go to all shards, shards that are owned here begin, and the waiting asks of
// those that moved are told so.
func (s *Service) review() {
	snap := s.Keeper.Current()
	if snap == nil || s.group.Context().Err() != nil {
		return
	}
	departing := s.Beats.Departing()
	now := time.Now()
	ours := map[string]bool{}
	for _, name := range snap.Plan.Names() {
		m, ok := s.Owner(name)
		mine := ok && m.Name == s.Self
		ours[name] = mine
		s.mu.Lock()
		if mine {
			s.begin(now, name)
		}
		if o := s.shards[name]; o != nil {
			s.configure(now, o, snap, departing)
			if !mine {
				o.moveAll(now)
			}
		}
		s.mu.Unlock()
	}
	s.forget(ours)
}

// forget drops the shards that are not owned here once nothing runs in them.
func (s *Service) forget(ours map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, o := range s.shards {
		if !ours[name] && o.Idle() && len(o.waiters) == 0 {
			delete(s.shards, name)
		}
	}
}

func (s *Service) configure(now time.Time, o *owned, snap *revision.Snapshot, departing map[string]bool) {
	sh := snap.Plan.ByName[o.Name]
	if sh == nil {
		return
	}
	set := snap.Plan.Settings(sh, snap.Config, snap.Revision)
	for i := range set.Upstreams {
		if departing[set.Upstreams[i].Name] {
			set.Upstreams[i].Leaving = true
		}
	}
	s.carry(o, o.Configure(now, set))
}

// begin returns the shard and creates it if it is new. The lock is held.
func (s *Service) begin(now time.Time, name string) *owned {
	o := s.shards[name]
	if o != nil {
		return o
	}
	o = &owned{Shard: pool.New(name, s.Policy, s.Check, now), waiters: map[string]chan Reply{}}
	o.ReportLimit = reportLimit
	s.shards[name] = o
	if snap := s.Keeper.Current(); snap != nil {
		s.configure(now, o, snap, s.Beats.Departing())
	}
	return o
}

// moveAll answers all waiting asks with Moved.
func (o *owned) moveAll(now time.Time) {
	for id, ch := range o.waiters {
		delete(o.waiters, id)
		o.Withdraw(now, id)
		ch <- Reply{Moved: true}
	}
}

// carry carries decisions out. The lock is held.
func (s *Service) carry(o *owned, ds []pool.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case pool.Granted:
			o.reply(d.Ask.ID, Reply{Granted: true, Upstream: d.Grant.Upstream, Address: d.Address, Waited: d.Waited})
		case pool.Shed:
			o.reply(d.Ask.ID, Reply{Reason: d.Reason})
		case pool.Preempt:
			s.sendPreempt(d.Grant)
		}
	}
}

func (o *owned) reply(id string, r Reply) {
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
	s.toMember(g.Holder, preemptMethod, wireID{ID: g.ID})
}

// toMember notifies a member in the background.
func (s *Service) toMember(name, method string, params any) {
	var m member.Member
	s.Beats.With(func(v *member.View) { m, _ = v.Get(name) })
	s.notify(m.Peer, method, params)
}

func (s *Service) notify(address, method string, params any) {
	if address == "" {
		return
	}
	s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = s.Peers.Notify(ctx, address, method, params)
	})
}

// decide enters an ask here and waits for the reply. If the context ends
// first, the ask or its grant is withdrawn.
func (s *Service) decide(ctx context.Context, shard string, a pool.Ask) (Reply, error) {
	if !s.planned(shard) {
		return Reply{Reason: pool.NoUpstream}, nil
	}
	ch := make(chan Reply, 1)
	s.mu.Lock()
	now := time.Now()
	o := s.begin(now, shard)
	o.waiters[a.ID] = ch
	s.carry(o, o.Ask(now, a))
	s.mu.Unlock()
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		s.withdraw(shard, a.ID)
		return Reply{}, ctx.Err()
	}
}

// planned reports whether the configuration in force has the shard.
func (s *Service) planned(shard string) bool {
	snap := s.Keeper.Current()
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
		ch <- Reply{Reason: pool.Waited}
	}
	s.carry(o, o.Withdraw(time.Now(), id))
}

func (s *Service) finish(shard string, r pool.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.shards[shard]; o != nil {
		s.carry(o, o.Finish(time.Now(), r))
	}
}

func (s *Service) refresh(shard string, helds []pool.Held) {
	if !s.planned(shard) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	o := s.begin(now, shard)
	s.carry(o, o.Refresh(now, helds))
}

func (s *Service) tick(context.Context, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, o := range s.shards {
		s.carry(o, o.Tick(now))
	}
}

// readLoads reads the load reports of the upstreams of all shards owned here.
func (s *Service) readLoads(context.Context, time.Time) {
	snap := s.Keeper.Current()
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
			s.carry(o, o.Load(time.Now(), name, l.Running, l.Draining))
		}
	})
}

// Views returns the state of all shards that are in use here.
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
