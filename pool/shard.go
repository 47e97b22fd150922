package pool

import (
	"sort"
	"time"

	"knapweedwell/invariant"
	"knapweedwell/tier"
)

const (
	// GrantLease is the time after which a grant without a report from its holder
	// expires.
	GrantLease = 4 * time.Second
	// MaxPreemptions is the number of times that one request may be preempted.
	MaxPreemptions = 1
	// TakeoverWait is the time for which a new owner waits for reports of grants
	// in use.
	TakeoverWait = 1200 * time.Millisecond
	// suspensionThreshold is the time between ticks above which the process counts as
	// suspended in between.
	suspensionThreshold = time.Second

	unhealthyTime    = 2 * time.Second // time without new work after a failed request
	preemptWaitShare = 0.25            // share of its target that a request waits before it preempts
	prefixLifetime   = 2 * time.Minute
	maxPrefixes      = 512 // stored prefixes of one upstream
	foreignMargin    = 2   // subtracted from the reported requests beyond the grants, because reports are late
)

// Shard makes the decisions for the upstreams of one shard. The exported fields
// are set before the first call.
type Shard struct {
	Name   string
	Policy Policy
	Check  *invariant.Checker
	// MaxReportAge is the age of an upstream's last load report up to which it gets
	// new work; zero means that no report is needed.
	MaxReportAge time.Duration

	settings     Settings
	classes      map[string]Class
	queue        *tier.Queue
	requests     map[string]*GrantRequest
	grants       map[string]*Grant
	upstreams    map[string]*upstream
	names        []string             // names of the upstreams, in ascending order
	withdrawn    map[string]time.Time // times of withdrawals without a request or grant, by its ID
	openAt       time.Time            // time at which granting begins after a takeover or a suspension
	tickedAt     time.Time
	nextUpstream int // index of the next upstream under FIFO
}

// New returns a shard that starts granting TakeoverWait after now.
func New(name string, policy Policy, check *invariant.Checker, now time.Time) *Shard {
	return &Shard{
		Name:      name,
		Policy:    policy,
		Check:     check,
		queue:     tier.NewQueue(),
		requests:  map[string]*GrantRequest{},
		grants:    map[string]*Grant{},
		upstreams: map[string]*upstream{},
		withdrawn: map[string]time.Time{},
		openAt:    now.Add(TakeoverWait),
		tickedAt:  now,
	}
}

// Configure applies settings. Settings of a lower revision are ignored.
func (s *Shard) Configure(now time.Time, set Settings) []Decision {
	if set.Revision < s.settings.Revision {
		return nil
	}
	s.settings = set
	s.classes = map[string]Class{}
	classes := make([]tier.Class, len(set.Classes))
	for i, c := range set.Classes {
		s.classes[c.Name] = c
		classes[i] = tier.Class{Name: c.Name, Rank: c.Rank, Weight: c.Weight, Floor: c.Floor}
	}
	s.queue.Configure(classes, set.Organisations)
	s.setUpstreams(set.Upstreams)
	return s.schedule(now)
}

func (s *Shard) setUpstreams(list []UpstreamSettings) {
	old := s.upstreams
	s.upstreams = map[string]*upstream{}
	s.names = nil
	for _, us := range list {
		u := old[us.Name]
		if u == nil {
			u = &upstream{prefixes: map[uint64]time.Time{}}
		}
		u.UpstreamSettings = us
		u.limiter.Max = us.Concurrency
		u.limiter.Fixed = s.Policy != Tiered
		s.upstreams[us.Name] = u
		s.names = append(s.names, us.Name)
	}
	sort.Strings(s.names)
}

// RequestGrant handles a request for a grant. A request that already waits or
// is granted is ignored.
func (s *Shard) RequestGrant(now time.Time, r GrantRequest) []Decision {
	if _, withdrawn := s.withdrawn[r.ID]; withdrawn {
		return []Decision{Shed{Request: r, Reason: WaitExpired}}
	}
	if s.requests[r.ID] != nil || s.grants[r.ID] != nil {
		return nil
	}
	if reason := s.refusalReason(now, r); reason != "" {
		return []Decision{Shed{Request: r, Reason: reason}}
	}
	if r.Try && !s.grantable(now, r) {
		return []Decision{Shed{Request: r, Reason: Busy}}
	}
	out := s.admit(now, r)
	return append(out, s.schedule(now)...)
}

// grantable reports whether the request would be granted at once: no other
// request waits and an upstream has a free slot. It takes no turn of the round robin.
func (s *Shard) grantable(now time.Time, r GrantRequest) bool {
	if now.Before(s.openAt) || s.queue.Len() > 0 {
		return false
	}
	turn := s.nextUpstream
	u := s.place(now, r, false)
	s.nextUpstream = turn
	return u != nil
}

// refusalReason returns the reason to refuse the request whatever the queue holds:
// its class is not configured or no upstream is in service. Otherwise the reason is
// empty.
func (s *Shard) refusalReason(now time.Time, r GrantRequest) Reason {
	if _, known := s.classes[r.Class]; !known && len(s.classes) > 0 {
		return UnknownClass
	}
	for _, u := range s.upstreams {
		if u.inService(now, s.MaxReportAge) {
			return ""
		}
	}
	if now.Before(s.openAt) {
		return ""
	}
	return NoUpstream
}

// admit queues the request. If the queue is full, it decides instead what is
// granted, preempted or shed.
func (s *Shard) admit(now time.Time, r GrantRequest) []Decision {
	if s.queue.Len() < max(s.settings.QueueLimit, 1) {
		s.enqueue(r)
		return nil
	}
	if s.Policy != Tiered {
		return []Decision{Shed{Request: r, Reason: QueueFull}}
	}
	if d, ok := s.floorGrant(now, r); ok {
		return d
	}
	lowest := s.queue.LowestRank()
	if lowest > r.Rank {
		return s.displace(r)
	}
	if d := s.preemptFor(now, r); d != nil {
		s.enqueue(r)
		return d
	}
	return s.shedLowest(r)
}

func (s *Shard) enqueue(r GrantRequest) {
	s.requests[r.ID] = &r
	s.queue.Push(s.item(r))
}

func (s *Shard) item(r GrantRequest) *tier.Item {
	it := &tier.Item{
		ID:           r.ID,
		Class:        r.Class,
		Organisation: r.Organisation,
		Rank:         r.Rank,
		Cost:         max(r.Cost, 1),
		Arrived:      r.Arrived,
		Due:          r.Arrived.Add(s.classes[r.Class].Target),
		Expires:      r.Expires,
	}
	if s.Policy != Tiered {
		it.Rank, it.Class, it.Organisation, it.Due = 1, "", "", r.Arrived
	}
	return it
}

// displace sheds the queue's victim and queues the request, which is of a
// higher tier.
func (s *Shard) displace(r GrantRequest) []Decision {
	victim := s.dequeue(s.queue.Victim().ID)
	s.checkShed(victim.Rank, r.Rank)
	s.queue.RecordDemand(victim.Class)
	s.enqueue(r)
	return []Decision{Shed{Request: victim, Reason: Displaced}}
}

// shedLowest sheds one request of the lowest tier: the request itself, or one of the
// class and organisation with the most requests for their weight in that tier.
func (s *Shard) shedLowest(r GrantRequest) []Decision {
	s.queue.RecordDemand(r.Class)
	if s.queue.LowestRank() < r.Rank {
		s.checkShed(r.Rank, r.Rank)
		return []Decision{Shed{Request: r, Reason: QueueFull}}
	}
	s.enqueue(r)
	victim := s.dequeue(s.queue.Victim().ID)
	s.checkShed(victim.Rank, r.Rank)
	return []Decision{Shed{Request: victim, Reason: QueueFull}}
}

func (s *Shard) checkShed(shed, arrived int) {
	lowest := max(s.queue.LowestRank(), arrived)
	s.Check.Check(invariant.ShedLowest, shed >= lowest,
		"shard %s shed rank %d while rank %d waits", s.Name, shed, lowest)
}

// dequeue removes a request from the queue and returns it.
func (s *Shard) dequeue(id string) GrantRequest {
	s.queue.Remove(id)
	r := s.requests[id]
	delete(s.requests, id)
	return *r
}

// Withdraw cancels a request or an unused grant. A withdrawal that arrives
// before its request is stored until GrantLease has passed; a request that
// arrives in this time is refused.
func (s *Shard) Withdraw(now time.Time, id string) []Decision {
	return s.WithdrawAll(now, []string{id})
}

// WithdrawAll cancels requests and unused grants as Withdraw does, before anything is
// decided for those that remain.
func (s *Shard) WithdrawAll(now time.Time, ids []string) []Decision {
	for _, id := range ids {
		s.withdraw(now, id)
	}
	return s.schedule(now)
}

func (s *Shard) withdraw(now time.Time, id string) {
	switch {
	case s.requests[id] != nil:
		s.dequeue(id)
	case s.grants[id] != nil:
		s.release(id)
	default:
		s.withdrawn[id] = now
	}
}

// Refresh applies a holder's reports of all grants that it has in use. Grants that
// the shard has no record of are adopted.
func (s *Shard) Refresh(now time.Time, held []HeldGrant) []Decision {
	for _, h := range held {
		s.adopt(now, h)
		s.observe(now, h.Report)
	}
	return s.schedule(now)
}

func (s *Shard) adopt(now time.Time, h HeldGrant) {
	if h.Finished || s.grants[h.Grant] != nil || s.upstreams[h.Upstream] == nil {
		return
	}
	if s.requests[h.Grant] != nil {
		s.dequeue(h.Grant)
	}
	s.grants[h.Grant] = &Grant{
		ID:          h.Grant,
		Holder:      h.Holder,
		Upstream:    h.Upstream,
		Class:       h.Class,
		Rank:        h.Rank,
		Restartable: h.Restartable,
		GrantedAt:   now,
		ReportedAt:  now,
	}
	s.upstreams[h.Upstream].granted++
}

// Finish applies the last report of a grant and releases its slot.
func (s *Shard) Finish(now time.Time, r Report) []Decision {
	s.observe(now, r)
	s.release(r.Grant)
	return s.schedule(now)
}

// Load applies a load report of an upstream: the number of running requests, and
// whether it is draining.
func (s *Shard) Load(now time.Time, name string, running int, draining bool) []Decision {
	u := s.upstreams[name]
	if u == nil {
		return nil
	}
	u.reported = running
	u.reportedAt = now
	u.draining = draining
	u.foreign = max(0, running-u.granted-u.beyondLimit-foreignMargin)
	return s.schedule(now)
}

// observe applies a holder's report of a grant's request.
func (s *Shard) observe(now time.Time, r Report) {
	g := s.grants[r.Grant]
	if g == nil {
		return
	}
	g.ReportedAt = now
	g.Tokens = r.Tokens
	if r.Started {
		g.Restartable = false
	}
	u := s.upstreams[g.Upstream]
	if u == nil {
		return
	}
	if r.Gaps > 0 {
		u.tokenTime = smooth(u.tokenTime, r.MeanGap)
		u.limiter.Observe(now, r.Gaps, r.MeanGap, s.classes[g.Class].BetweenToken, u.granted+u.beyondLimit)
	}
	s.recordOutcome(now, u, r)
}

// recordOutcome records a fault or a success of an upstream.
func (s *Shard) recordOutcome(now time.Time, u *upstream, r Report) {
	switch {
	case r.Fault:
		u.faults++
		u.unhealthyUntil = now.Add(unhealthyTime)
	case r.Finished:
		u.faults = 0
	}
}

// smooth returns the exponentially weighted mean with a weight of 1/5 for the
// observed value.
func smooth(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + (observed-old)/5
}

func (s *Shard) release(id string) {
	g := s.grants[id]
	if g == nil {
		return
	}
	delete(s.grants, id)
	u := s.upstreams[g.Upstream]
	if u == nil {
		return
	}
	if g.BeyondLimit {
		u.beyondLimit--
		return
	}
	u.granted--
}

// Tick removes expired requests, grants and withdrawals. It is called several
// times a second.
func (s *Shard) Tick(now time.Time) []Decision {
	if now.Sub(s.tickedAt) > suspensionThreshold {
		s.handleSuspension(now)
	}
	s.tickedAt = now
	var out []Decision
	for _, it := range s.queue.Expired(now) {
		r := *s.requests[it.ID]
		delete(s.requests, it.ID)
		out = append(out, Shed{Request: r, Reason: WaitExpired})
	}
	s.expireGrants(now)
	s.expireWithdrawn(now)
	return append(out, s.schedule(now)...)
}

// handleSuspension handles a suspension of this process: holders may have changed
// their grants meanwhile, so granting waits for their reports.
func (s *Shard) handleSuspension(now time.Time) {
	s.openAt = now.Add(TakeoverWait)
	for _, g := range s.grants {
		g.ReportedAt = now
	}
}

func (s *Shard) expireGrants(now time.Time) {
	for id, g := range s.grants {
		if now.Sub(g.ReportedAt) > GrantLease {
			s.release(id)
		}
	}
}

func (s *Shard) expireWithdrawn(now time.Time) {
	for id, t := range s.withdrawn {
		if now.Sub(t) > GrantLease {
			delete(s.withdrawn, id)
		}
	}
}
