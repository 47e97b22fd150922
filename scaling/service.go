package scaling

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/kernel"
	"knapweedwell/roster"
	"knapweedwell/route"
)

const (
	decidePeriod  = time.Second
	callTimeout   = time.Second            // of one order
	sendTime      = 900 * time.Millisecond // in which the orders of one decision begin to be sent
	callShare     = 0.5                    // part of the calls a second for orders; the rest is for usage
	firstBackoff  = time.Second            // after a failed call
	longestPause  = 8 * time.Second
	maxPools      = 256 // pools for which is decided
	recentReasons = 16  // orders that the status lists
)

// Errors by which an Orderer says that an order was refused.
var (
	ErrNoneAvailable = errors.New("no such upstreams are available")
	ErrRateLimited   = errors.New("the platform takes no further orders now")
)

// Lease is the right to place orders, which one instance has at a time.
type Lease interface {
	// Held returns a context that ends before the lease may have ended, and its token. It
	// reports false if this instance holds none.
	Held() (context.Context, int64, bool)
}

// Orderer places orders at the platform. The context is derived from that of the lease.
type Orderer interface {
	Order(ctx context.Context, token int64, o Order) error
}

// DemandSource returns the demand of a pool, false if none is known.
type DemandSource interface {
	Demand(now time.Time, pool string) (Demand, bool)
}

// Service decides once a second while the lease is held, and places the orders. The
// exported fields are set before Run.
type Service struct {
	Lease          Lease
	Orders         Orderer
	Demand         DemandSource
	Table          func() *route.Table
	Roster         func() *roster.Roster
	Instances      func() map[string]int // running instances by availability zone
	Regions        map[string]string     // by availability zone
	Speed          func(pool string) Speed
	CallsPerSecond float64
	Log            logrus.FieldLogger

	clock func() time.Time // time.Now, except in tests

	// Used by the loop only.
	counted       []Input // for the table and the roster that follow
	countedTable  *route.Table
	countedRoster *roster.Roster

	mu        sync.Mutex
	held      bool
	token     int64
	states    map[string]*State
	decisions map[string]Decision
	counts    Counts
	recent    []Placed
	backoff   time.Duration
	notBefore time.Time // no order is sent before, because a call failed
	allowance float64   // orders that may be sent now
	group     background.Group
}

// Counts are the outcomes of orders at this instance.
type Counts struct {
	Accepted int64
	Refused  int64
	Failed   int64
	Repeated int64
}

// Placed is an order that the platform answered.
type Placed struct {
	At       time.Time
	Order    Order
	Accepted bool
}

// Run starts the decisions.
func (s *Service) Run(*kernel.Kernel) error {
	s.clock = time.Now
	s.group.Every(decidePeriod, s.step)
	return nil
}

// Close ends the decisions. What was ordered stays.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// step decides for all pools and sends the orders. Orders that cannot be sent are dropped: the
// next decision returns them again if they are still needed.
func (s *Service) step(ctx context.Context, now time.Time) {
	_, token, ok := s.Lease.Held()
	table, upstreams := s.Table(), s.Roster()
	if !ok || table == nil || upstreams == nil {
		s.forget()
		return
	}
	orders := s.decide(now, token, table, upstreams)
	end := now.Add(sendTime)
	for _, o := range orders {
		if ctx.Err() != nil || !s.maySend(s.clock(), end) || !s.send(ctx, token, table, o) {
			return
		}
	}
}

// forget ends what a holder remembers, so that a later lease begins from what is present then.
func (s *Service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held, s.states, s.decisions, s.recent = false, nil, nil, nil
	s.counted, s.countedTable, s.countedRoster = nil, nil, nil
}

// decide returns the orders of all pools, those of more upstreams first.
func (s *Service) decide(now time.Time, token int64, table *route.Table, upstreams *roster.Roster) []Order {
	inputs := s.inputs(now, table, upstreams)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.token != token {
		s.held, s.token = true, token
		s.states, s.recent = map[string]*State{}, nil
		s.Log.WithFields(logrus.Fields{"Token": token, "Pools": len(inputs)}).Info("this instance decides how many upstreams are ordered")
	}
	s.allowance = min(s.allowance+s.CallsPerSecond*callShare*decidePeriod.Seconds(), max(s.CallsPerSecond*callShare, 1))
	states, decisions := make(map[string]*State, len(inputs)), make(map[string]Decision, len(inputs))
	var orders []Order
	for _, in := range inputs {
		name := in.Pool.Name
		state := s.states[name]
		if state == nil {
			state = NewState()
		}
		states[name] = state
		d := state.Decide(now, in)
		s.logHold(d)
		decisions[name] = d
		orders = append(orders, d.Orders...)
	}
	s.states, s.decisions = states, decisions
	sort.SliceStable(orders, func(i, j int) bool { return orders[i].Count-orders[i].Present > orders[j].Count-orders[j].Present })
	return orders
}

// logHold logs that a pool began or ceased to hold. The caller holds s.mu.
func (s *Service) logHold(d Decision) {
	before, known := s.decisions[d.Pool]
	if known && before.Hold == d.Hold || !known && d.Hold == "" {
		return
	}
	s.Log.WithFields(logrus.Fields{"Pool": d.Pool, "Hold": d.Hold, "Busy": d.Busy, "Late": d.Late}).Info("returns of upstreams held or allowed")
}

// maySend takes one order from the allowance.
func (s *Service) maySend(now, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(end) || now.Before(s.notBefore) || s.allowance < 1 {
		return false
	}
	s.allowance--
	return true
}

// send sends one order. It reports false if no further one shall be sent now.
func (s *Service) send(ctx context.Context, token int64, table *route.Table, o Order) bool {
	lease, current, ok := s.Lease.Held()
	if !ok || current != token {
		return false
	}
	lease, cancel := context.WithTimeout(lease, callTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	err := s.Orders.Order(lease, token, o)
	return s.record(s.clock(), token, table, o, err)
}

// record records the outcome of an order. It reports false if no further one shall be sent now.
func (s *Service) record(now time.Time, token int64, table *route.Table, o Order, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.token != token || s.states[o.Pool] == nil {
		return false
	}
	d := s.decisions[o.Pool]
	log := s.Log.WithFields(logrus.Fields{
		"Pool": o.Pool, "Zone": o.Zone, "Kind": KindName(o.Kind), "Count": o.Count, "Present": o.Present, "Reason": o.Reason,
		"Repeated": o.Repeated, "Busy": d.Busy, "Late": d.Late, "Token": token,
	})
	switch {
	case err == nil:
		s.backoff = 0
		s.counts.Accepted++
		if o.Repeated {
			s.counts.Repeated++
		}
		s.states[o.Pool].Accepted(now, o, table.Pools[o.Pool].Scaling.StartTime)
		log.Info("upstreams ordered")
	case errors.Is(err, ErrNoneAvailable):
		s.backoff = 0
		s.counts.Refused++
		s.states[o.Pool].Refused(now, o)
		log.Warn("order of upstreams refused: none are available")
	default:
		s.counts.Failed++
		s.backoff = min(max(2*s.backoff, firstBackoff), longestPause)
		s.notBefore = now.Add(s.backoff)
		log.WithFields(logrus.Fields{"Error": err.Error(), "PauseMillis": s.backoff.Milliseconds()}).Warn("upstreams could not be ordered")
		return false
	}
	s.recent = append(s.recent, Placed{At: now, Order: o, Accepted: err == nil})
	if len(s.recent) > recentReasons {
		s.recent = s.recent[len(s.recent)-recentReasons:]
	}
	return true
}

// inputs returns what the decisions for the pools with bounds depend on, by name of the pool.
func (s *Service) inputs(now time.Time, table *route.Table, upstreams *roster.Roster) []Input {
	if s.counted == nil || s.countedTable != table || s.countedRoster != upstreams {
		s.counted, s.countedTable, s.countedRoster = s.count(table, upstreams), table, upstreams
	}
	if len(s.counted) == 0 {
		return nil
	}
	instances := s.Instances()
	inputs := make([]Input, 0, len(s.counted))
	for _, in := range s.counted {
		in.Zones = append([]Zone(nil), in.Zones...)
		for i := range in.Zones {
			in.Zones[i].Callers = float64(instances[in.Zones[i].Name])
		}
		name := in.Pool.Name
		measured := s.Speed(name)
		in.Speed.TokenSeconds, in.Speed.RequestSeconds = measured.TokenSeconds, measured.RequestSeconds
		in.Demand, _ = s.demand(now, name)
		inputs = append(inputs, in)
	}
	return inputs
}

// count returns the parts of the inputs that change only with the route table or the roster.
func (s *Service) count(table *route.Table, upstreams *roster.Roster) []Input {
	zones := map[string]map[string]*Zone{}
	for name, p := range table.Pools {
		if p.Scaling != nil && len(zones) < maxPools {
			zones[name] = map[string]*Zone{}
		}
	}
	slots := s.countUpstreams(upstreams, zones)
	inputs := make([]Input, 0, len(zones))
	for name, byName := range zones {
		in := Input{Pool: table.Pools[name], Speed: Speed{Slots: slots[name]}}
		in.Speed.Aim, in.Speed.GapAim = aims(table, name)
		for zone, price := range in.Pool.Scaling.ZonePrices {
			if byName[zone] == nil {
				byName[zone] = &Zone{Name: zone}
			}
			byName[zone].Price = price
		}
		for zone, z := range byName {
			z.Region = s.Regions[zone]
			in.Zones = append(in.Zones, *z)
		}
		sort.Slice(in.Zones, func(i, j int) bool { return in.Zones[i].Name < in.Zones[j].Name })
		inputs = append(inputs, in)
	}
	sort.Slice(inputs, func(i, j int) bool { return inputs[i].Pool.Name < inputs[j].Pool.Name })
	return inputs
}

// demand returns the demand of a pool; without one, a demand that covers no instance.
func (s *Service) demand(now time.Time, pool string) (Demand, bool) {
	d, ok := s.Demand.Demand(now, pool)
	if !ok {
		return Demand{Age: 2 * maxAge}, false
	}
	return d, true
}

// countUpstreams adds the upstreams of the roster to the zones and returns the slots of one by pool.
func (s *Service) countUpstreams(upstreams *roster.Roster, zones map[string]map[string]*Zone) map[string]int {
	slots := map[string]int{}
	for _, u := range upstreams.Entries {
		byName := zones[u.Pool]
		if byName == nil {
			continue
		}
		z := byName[u.Zone]
		if z == nil {
			z = &Zone{Name: u.Zone, Price: 1}
			byName[u.Zone] = z
		}
		kind := Ordinary
		if u.Reclaimable {
			kind = Reclaimable
		}
		if u.Leaving {
			z.Leaving[kind]++
			continue
		}
		z.Present[kind]++
		slots[u.Pool] = max(slots[u.Pool], u.Slots)
	}
	return slots
}

// aims returns the shortest targets of the streams to a pool, or of all requests if there are no
// streams.
func aims(t *route.Table, pool string) (first, gap time.Duration) {
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			if target.Pool != pool {
				continue
			}
			if r.Aim > 0 && (first == 0 || r.Aim < first) {
				first = r.Aim
			}
			if r.GapAim > 0 && (gap == 0 || r.GapAim < gap) {
				gap = r.GapAim
			}
		}
	}
	return first, gap
}
