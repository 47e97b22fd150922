package scaling

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"knapweedwell/roster"
	"knapweedwell/route"
)

// platformModel is the lease, the platform's API, the usage and the store of the tests of a Service.
type platformModel struct {
	now     time.Time
	token   int64 // zero if the lease is not held
	demand  Demand
	table   *route.Table
	roster  *roster.Roster
	placed  []Order
	answer  func(Order) error
	service *Service
	log     *logtest.Hook
}

func (m *platformModel) Held() (context.Context, int64, bool) {
	return context.Background(), m.token, m.token != 0
}

func (m *platformModel) Order(_ context.Context, token int64, o Order) error {
	if token != m.token {
		return errors.New("an order with the token of another lease")
	}
	m.placed = append(m.placed, o)
	return m.answer(o)
}

func (m *platformModel) Demand(time.Time, string) (Demand, bool) {
	return m.demand, m.demand.Covered > 0
}

// steps runs the loop for some seconds and returns the orders that it sent.
func (m *platformModel) steps(n int) []Order {
	m.placed = nil
	for range n {
		m.now = m.now.Add(time.Second)
		m.service.step(context.Background(), m.now)
	}
	return m.placed
}

// holdSteps is the number of decisions that give nothing back at the start.
const holdSteps = int(holdTime / decidePeriod)

// newPlatformModel returns a model with upstreams spread over pools and zones. The load keeps
// one of six engines busy.
func newPlatformModel(pools, zones, upstreams int) *platformModel {
	logger, hook := logtest.NewNullLogger()
	m := &platformModel{now: epoch, token: 7, log: hook, answer: func(Order) error { return nil }}
	m.table = &route.Table{Pools: map[string]*route.Pool{"fixed": {Name: "fixed", Engine: &route.Engine{Slots: 48}}}}
	regions, entries := map[string]string{}, map[string]*route.Upstream{}
	prices, instances := map[string]float64{}, map[string]int{}
	for z := range zones {
		name := fmt.Sprintf("zone-%d", z)
		regions[name], prices[name], instances[name] = fmt.Sprintf("region-%d", z/2), 1-0.01*float64(z), 4
	}
	for p := range pools {
		name := fmt.Sprintf("pool-%d", p)
		m.table.Pools[name] = &route.Pool{
			Name: name, Engine: &route.Engine{Slots: 48},
			Scaling: &route.Scaling{Min: 1, Max: 400, StartTime: 4 * time.Second, ZonePrices: prices},
		}
		m.table.Routes = append(m.table.Routes, &route.Route{
			Name: name, Stream: true, Aim: 500 * time.Millisecond, GapAim: 250 * time.Millisecond, Targets: []route.Target{{Pool: name, Weight: 1}},
		})
	}
	for u := range upstreams {
		id := fmt.Sprintf("u-%d", u)
		entries[id] = &route.Upstream{ID: id, Pool: fmt.Sprintf("pool-%d", u%pools), Zone: fmt.Sprintf("zone-%d", u/pools%zones), Slots: 48}
	}
	entries["fixed"] = &route.Upstream{ID: "fixed", Pool: "fixed", Zone: "zone-0", Slots: 48}
	m.roster = &roster.Roster{Entries: entries}
	load := float64(upstreams/pools) / 6
	m.demand = Demand{ReadTokens: load * 38_000, Events: load * 300, Begun: load * 12, Age: time.Second, Covered: 1}
	m.service = &Service{
		Lease: m, Orders: m, Demand: m,
		Table:          func() *route.Table { return m.table },
		Roster:         func() *roster.Roster { return m.roster },
		Instances:      func() map[string]int { return instances },
		Regions:        regions,
		Speed:          func(string) Speed { return Speed{TokenSeconds: 26e-6} },
		CallsPerSecond: 50,
		Log:            logger,
		clock:          func() time.Time { return m.now },
	}
	return m
}

// TestOnlyHolderOrders guards against orders by an instance without the lease, and against a new
// holder that acts on what it remembers from an earlier lease.
func TestOnlyHolderOrders(t *testing.T) {
	m := newPlatformModel(1, 6, 120)
	m.token = 0
	assert.Equal(t, len(m.steps(20)), 0)
	assert.Assert(t, !m.service.Status().Deciding)
	m.token = 7
	assert.Equal(t, len(m.steps(holdSteps)), 0, "nothing is given back before two windows of demand")
	orders := m.steps(3)
	assert.Equal(t, len(orders), 6)
	for _, o := range orders {
		assert.Equal(t, o.Pool, "pool-0")
		assert.Assert(t, o.Count >= 15 && o.Count < 20, "%+v", o)
	}
	assert.Equal(t, len(m.steps(2)), 0)
	m.token = 8
	assert.Equal(t, len(m.steps(holdSteps)), 0, "the next holder begins from what is present")
	assert.Equal(t, len(m.steps(3)), 6)
}

// TestLeaseEndsBetweenOrders guards against orders that are sent after the lease was lost.
func TestLeaseEndsBetweenOrders(t *testing.T) {
	m := newPlatformModel(1, 6, 120)
	m.steps(holdSteps)
	m.answer = func(Order) error {
		m.token = 9
		return nil
	}
	assert.Equal(t, len(m.steps(1)), 1)
}

// TestAPIDown guards against calls without a pause while the platform's API is down, and against
// older orders that are sent once it is back.
func TestAPIDown(t *testing.T) {
	m := newPlatformModel(1, 2, 40)
	m.answer = func(Order) error { return errors.New("connection refused") }
	calls := len(m.steps(30))
	assert.Assert(t, calls >= 3 && calls <= 6, "%d calls", calls)
	assert.Equal(t, m.service.Status().Counts.Failed, int64(calls))
	m.demand.ReadTokens *= 10 // what was to be given back is needed now
	m.answer = func(Order) error { return nil }
	for _, o := range m.steps(9) {
		assert.Assert(t, o.Count > o.Present, "%+v", o)
	}
	assert.Equal(t, m.service.Status().Counts.Accepted, int64(2))
}

// TestCallsPerSecond guards against more orders than the platform takes.
func TestCallsPerSecond(t *testing.T) {
	m := newPlatformModel(10, 6, 600)
	m.service.CallsPerSecond = 10
	m.steps(holdSteps)
	for range 5 {
		assert.Equal(t, len(m.steps(1)), 5)
	}
	m = newPlatformModel(10, 6, 600)
	m.answer = func(Order) error { return ErrRateLimited }
	m.steps(holdSteps)
	assert.Equal(t, len(m.steps(1)), 1, "a call that was refused for its rate ends the calls")
}

// TestRefusedByPlatform guards against an order that is repeated each second although none are
// available.
func TestRefusedByPlatform(t *testing.T) {
	m := newPlatformModel(1, 2, 40)
	m.table.Pools["pool-0"].Scaling.ReclaimablePrice = 0.22
	m.answer = func(o Order) error {
		if o.Kind == Reclaimable {
			return ErrNoneAvailable
		}
		return nil
	}
	refused := 0
	for _, o := range m.steps(holdSteps + int(refusalTime/decidePeriod)) {
		if o.Kind == Reclaimable {
			refused++
		}
	}
	assert.Equal(t, refused, 2)
	assert.Equal(t, m.service.Status().Counts.Refused, int64(2))
}

// TestWithoutBounds guards against orders for a pool without autoscaling, and against
// decisions without a demand.
func TestWithoutBounds(t *testing.T) {
	m := newPlatformModel(1, 2, 40)
	m.table.Pools["pool-0"].Scaling = nil
	assert.Equal(t, len(m.steps(20)), 0)
	m = newPlatformModel(1, 2, 40)
	m.demand.Covered = 0
	assert.Equal(t, len(m.steps(20)), 0)
	assert.Equal(t, m.service.Status().Pools[0].Hold, "the demand is too old")
}

// TestOperators guards against decisions that operators cannot follow: each order has one log line
// with its reason, and the numbers are in the status and the metrics.
func TestOperators(t *testing.T) {
	m := newPlatformModel(1, 2, 40)
	orders := m.steps(8)
	assert.Equal(t, len(orders), 2)
	lines := 0
	for _, e := range m.log.AllEntries() {
		if e.Message == "upstreams ordered" {
			lines++
			assert.Equal(t, e.Level, logrus.InfoLevel)
			assert.Equal(t, e.Data["Reason"], "less is needed")
			assert.Equal(t, e.Data["Kind"], "ordinary")
		}
	}
	assert.Equal(t, lines, len(orders))
	st := m.service.Status()
	assert.Assert(t, st.Deciding && st.Token == 7 && len(st.Recent) == 2)
	assert.Equal(t, st.Pools[0].Zones[0].Present[Ordinary], 20)
	assert.Equal(t, st.Pools[0].Zones[0].Desired[Ordinary], 15)
	assert.Equal(t, st.Pools[0].Zones[0].Reason, "less is needed")
	var text strings.Builder
	m.service.WriteMetrics(&text)
	for _, line := range []string{
		"knapweedwell_scaling_deciding 1\n",
		`knapweedwell_scaling_orders_total{result="accepted"} 2` + "\n",
		`knapweedwell_scaling_desired_upstreams{pool="pool-0",zone="zone-1",kind="ordinary"} 15` + "\n",
		`knapweedwell_scaling_present_upstreams{pool="pool-0",zone="zone-1",kind="ordinary"} 20` + "\n",
	} {
		assert.Assert(t, strings.Contains(text.String(), line), "%s is missing in\n%s", line, text.String())
	}
}

// TestHolderMemory guards against more than 2 MB at the holder and 200 KB at other instances.
func TestHolderMemory(t *testing.T) {
	m := newPlatformModel(20, 7, 2000)
	m.steps(40)
	used := heapWithout(func() { m.service.forget() })
	assert.Assert(t, used < 2<<20, "%d bytes", used)
	t.Logf("%d bytes at the holder", used)
	m.token = 0
	m.steps(1)
	used = heapWithout(func() { m.service = nil })
	assert.Assert(t, used < 200<<10, "%d bytes", used)
	runtime.KeepAlive(m)
}

// heapWithout returns by how much the heap shrinks with f.
func heapWithout(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(before.HeapAlloc) - int64(after.HeapAlloc)
}

// BenchmarkStep measures the decisions of one second for 2,000 upstreams in 20 pools and 7 zones.
func BenchmarkStep(b *testing.B) {
	m := newPlatformModel(20, 7, 2000)
	m.answer = func(Order) error { return errors.New("no platform") }
	m.steps(20)
	m.log.Reset()
	b.ReportAllocs()
	for b.Loop() {
		m.now = m.now.Add(time.Second)
		m.service.decide(m.now, m.token, m.table, m.roster)
	}
}

// BenchmarkDecide measures one decision for a pool with 2,000 upstreams in 7 zones.
func BenchmarkDecide(b *testing.B) {
	m := newPlatformModel(1, 7, 2000)
	in := m.service.inputs(m.now, m.table, m.roster)[0]
	s := NewState()
	b.ReportAllocs()
	for b.Loop() {
		m.now = m.now.Add(time.Second)
		s.Decide(m.now, in)
	}
}

// BenchmarkCount measures the count of 2,000 upstreams in 20 pools and 7 zones, after each change of
// the roster.
func BenchmarkCount(b *testing.B) {
	m := newPlatformModel(20, 7, 2000)
	b.ReportAllocs()
	for b.Loop() {
		m.service.count(m.table, m.roster)
	}
}
