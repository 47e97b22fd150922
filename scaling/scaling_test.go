package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
)

var epoch = time.Unix(1_700_000_000, 0)

// quietInput is a pool of 40 engines in two zones with the load of about four.
func quietInput() Input {
	return Input{
		Pool: &route.Pool{
			Name: "engines", Engine: &route.Engine{Slots: 48},
			Scaling: &route.Scaling{Min: 1, Max: 48, StartTime: 4 * time.Second, ZonePrices: map[string]float64{}},
		},
		Zones: []Zone{
			{Name: "east-a", Region: "east", Price: 1, Callers: 1, Present: [kinds]int{20, 0}},
			{Name: "west-a", Region: "west", Price: 1, Callers: 1, Present: [kinds]int{20, 0}},
		},
		Demand: Demand{ReadTokens: 150_000, Events: 1200, Begun: 50, Age: time.Second, Covered: 1},
		Speed:  Speed{TokenSeconds: 26e-6, Slots: 48, Aim: 500 * time.Millisecond, GapAim: 250 * time.Millisecond},
	}
}

// decideFor runs decisions once a second and returns the last one. Orders are not placed.
func decideFor(s *State, in Input, from, seconds int) Decision {
	var d Decision
	for i := from; i < from+seconds; i++ {
		d = s.Decide(epoch.Add(time.Duration(i)*time.Second), in)
	}
	return d
}

// TestHoldsWithoutDemand guards against orders by sums that are stale, partial or from the first
// seconds of a holder, and for pools that are not to be scaled.
func TestHoldsWithoutDemand(t *testing.T) {
	for name, change := range map[string]func(*Input){
		"stale":   func(in *Input) { in.Demand.Age = maxAge + time.Millisecond },
		"partial": func(in *Input) { in.Demand.Covered = 0.79 },
		"no zone": func(in *Input) { in.Zones = nil },
		"no bounds": func(in *Input) {
			p := *in.Pool
			p.Scaling = nil
			in.Pool = &p
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, in := NewState(), quietInput()
			decideFor(s, in, 0, 5)
			change(&in)
			in.Demand.ReadTokens *= 50
			d := decideFor(s, in, 5, 20)
			assert.Equal(t, len(d.Orders), 0)
			assert.Assert(t, d.Hold != "")
		})
	}
	// Two windows of demand pass after each gap in the sums.
	s, in := NewState(), quietInput()
	d := decideFor(s, in, 0, 4)
	assert.Equal(t, len(d.Orders), 0, "%+v", d)
	in.Demand.Covered = 0
	d = decideFor(s, in, 4, 5)
	in.Demand.Covered = 1
	assert.Equal(t, len(d.Orders), 0, "%+v", d)
	d = decideFor(s, in, 9, 4)
	assert.Equal(t, len(d.Orders), 0, "%+v", d)
	d = decideFor(s, in, 13, 2)
	assert.Equal(t, len(d.Orders), 2, "%+v", d)
}

// TestNeverBelowHeadroom guards against returns that leave less than 1.7 times the demand of a
// zone, also of one with most of the callers.
func TestNeverBelowHeadroom(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Demand.Zones = map[string]float64{"east-a": 0.8, "west-a": 0.2}
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		d := s.Decide(now, in)
		for _, o := range d.Orders {
			capacity := s.assumed(in)
			busy, _ := capacity.busy(load{in.Demand.ReadTokens, in.Demand.Events, in.Demand.Begun})
			assert.Assert(t, float64(o.Count) >= burst*busy*in.Demand.Zones[o.Zone], "%+v", o)
			s.Accepted(now, o, in.Pool.Scaling.StartTime)
			for j := range in.Zones {
				if in.Zones[j].Name == o.Zone {
					in.Zones[j].Present[o.Kind] = o.Count
				}
			}
		}
	}
	assert.Assert(t, in.Zones[0].Present[Ordinary] < 20 && in.Zones[1].Present[Ordinary] < 5, "%+v", in.Zones)
}

// TestRefusedOrder guards against a need that is ordered again and again where none are
// available, and never elsewhere.
func TestRefusedOrder(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Zones = append(in.Zones, Zone{Name: "west-b", Region: "west", Price: 0.5, Callers: 1, Present: [kinds]int{20, 0}})
	in.Zones[1].Present[Ordinary] = 0
	in.Demand.ReadTokens *= 6
	d := s.Decide(epoch, in)
	assert.Equal(t, len(d.Orders), 1, "%+v", d.Orders)
	first := d.Orders[0]
	assert.Equal(t, first.Zone, "west-a")
	s.Refused(epoch, first)
	in.Zones[2].Present[Ordinary] = first.Count // enough for its own callers only
	d = s.Decide(epoch.Add(time.Second), in)
	assert.Equal(t, len(d.Orders), 1, "%+v", d.Orders)
	assert.Equal(t, d.Orders[0].Zone, "west-b")
	assert.Assert(t, d.Orders[0].Count >= 2*first.Count, "%+v", d.Orders[0])
	s.Accepted(epoch.Add(time.Second), d.Orders[0], in.Pool.Scaling.StartTime)
	in.Zones[2].Present[Ordinary] = d.Orders[0].Count
	d = s.Decide(epoch.Add(5*time.Second), in)
	assert.Equal(t, len(d.Orders), 0, "%+v", d.Orders)
	d = s.Decide(epoch.Add(refusalTime), in)
	assert.Equal(t, len(d.Orders), 1, "%+v", d.Orders)
	assert.Equal(t, d.Orders[0].Zone, "west-a", "the refusal is forgotten after a while")
}

// TestUnfollowedOrder guards against waiting for upstreams that were ordered and never come.
func TestUnfollowedOrder(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Zones[1].Present[Ordinary] = 0
	in.Demand.ReadTokens *= 6
	orders, repeats, elsewhere := 0, 0, 0
	for i := range 30 {
		now := epoch.Add(time.Duration(i) * time.Second)
		for _, o := range s.Decide(now, in).Orders {
			switch {
			case o.Zone == "east-a":
				elsewhere = max(elsewhere, o.Count)
				in.Zones[0].Present[Ordinary] = o.Count
			case o.Repeated:
				repeats++
			default:
				orders++
			}
			s.Accepted(now, o, in.Pool.Scaling.StartTime)
		}
	}
	assert.Assert(t, orders <= 2, "%d orders", orders)
	assert.Assert(t, repeats >= 1 && repeats <= 2, "%d repeats", repeats)
	assert.Assert(t, elsewhere > 20, "nothing was ordered in the other zone")
}

// TestReclaimLeavesEnough guards against so many reclaimable upstreams that a reclaim of all
// leaves too few.
func TestReclaimLeavesEnough(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Pool.Scaling.ReclaimablePrice = 0.22
	in.Demand.ReadTokens *= 6
	used := 0
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		for _, o := range s.Decide(now, in).Orders {
			s.Accepted(now, o, in.Pool.Scaling.StartTime)
			for j := range in.Zones {
				if in.Zones[j].Name == o.Zone {
					in.Zones[j].Present[o.Kind] = o.Count
				}
			}
		}
		capacity := s.assumed(in)
		busy, _ := capacity.busy(load{in.Demand.ReadTokens, in.Demand.Events, in.Demand.Begun})
		for _, z := range in.Zones {
			assert.Assert(t, float64(z.Present[Ordinary]) >= busy/2, "%+v", z)
			used = max(used, z.Present[Reclaimable])
		}
	}
	assert.Assert(t, used > 0, "reclaimable upstreams are never used")
	for i := range in.Zones {
		in.Zones[i].Present[Reclaimable] = 0
	}
	for _, o := range s.Decide(epoch.Add(time.Minute), in).Orders {
		assert.Assert(t, o.Count >= o.Present, "given back after a reclaim: %+v", o)
	}
}

// TestExpensiveReclaimable guards against a restart of upstreams that saves next to nothing.
func TestExpensiveReclaimable(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Pool.Scaling.ReclaimablePrice = 0.9
	for i := range 30 {
		for _, o := range s.Decide(epoch.Add(time.Duration(i)*time.Second), in).Orders {
			assert.Equal(t, o.Kind, Ordinary, "%+v", o)
		}
	}
}

// TestLatenessWithOtherCauses guards against orders without end for streams that are late however
// many upstreams there are.
func TestLatenessWithOtherCauses(t *testing.T) {
	s, in := NewState(), quietInput()
	for i := range 120 {
		in.Demand.LateGap = 0.3
		if i > 30 {
			in.Demand.LateGap = 0.5
		}
		now := epoch.Add(time.Duration(i) * time.Second)
		for _, o := range s.Decide(now, in).Orders {
			assert.Assert(t, o.Count < o.Present, "%+v", o)
		}
	}
}

// TestPlainService guards against a plain service that is given back although its slots are in use.
func TestPlainService(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Pool.Engine = nil
	in.Demand = Demand{Begun: 100, Age: time.Second, Covered: 1}
	in.Speed = Speed{RequestSeconds: 0.1, Slots: 6}
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		for _, o := range s.Decide(now, in).Orders {
			s.Accepted(now, o, in.Pool.Scaling.StartTime)
			for j := range in.Zones {
				if in.Zones[j].Name == o.Zone {
					in.Zones[j].Present[o.Kind] = o.Count
				}
			}
		}
	}
	// 10 slots are in use; with headroom of 1.7 and 0.7 of six slots each that is 4.05 upstreams.
	assert.Equal(t, in.Zones[0].Present[Ordinary], 3)
	assert.Equal(t, in.Zones[1].Present[Ordinary], 3)
}

// TestTrend guards against a demand that rises for longer than an upstream takes to start and that
// is answered only once the headroom is used up, and against a step that is taken for a trend.
func TestTrend(t *testing.T) {
	firstOrder := func(demand func(second int) float64) int {
		s, in := NewState(), quietInput()
		for j := range in.Zones {
			in.Zones[j].Present[Ordinary] = 9 // serve 1.7 times the demand of the start
		}
		for i := range 60 {
			in.Demand.ReadTokens, in.Demand.Begun = 250_000*demand(i), 80*demand(i)
			for _, o := range s.Decide(epoch.Add(time.Duration(i)*time.Second), in).Orders {
				if o.Count > o.Present {
					return i
				}
			}
		}
		return 60
	}
	ramp := firstOrder(func(i int) float64 { return 1 + 0.05*float64(max(i-10, 0)) })
	// The demand at the order and 5 s of its rise are served by what is present.
	busy := 250_000 * 26e-6 / 0.62 * (1 + 0.05*float64(ramp-10+5))
	assert.Assert(t, busy <= 18.0, "first order after %d s, when %.1f of 18 engines will be needed", ramp, busy)
	step := firstOrder(func(i int) float64 {
		if i < 10 {
			return 1
		}
		return 1.15
	})
	assert.Equal(t, step, 60)
}

// TestBounds guards against orders beyond the bounds of a zone, which hold for both kinds
// together, and against orders without a reason where only the bounds have changed.
func TestBounds(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Pool.Scaling.Max = 18
	d := decideFor(s, in, 0, 1)
	assert.Equal(t, len(d.Orders), 2)
	assert.Assert(t, d.Orders[0].Count == 18 && d.Orders[0].Reason != "", "%+v", d.Orders[0])
	s, in = NewState(), quietInput()
	in.Pool.Scaling.Min = 22
	d = decideFor(s, in, 0, 1)
	assert.Equal(t, len(d.Orders), 2)
	assert.Equal(t, d.Orders[0].Count, 22)
	for _, c := range []struct{ want, coming, bounded [kinds]int }{
		{[kinds]int{10, 12}, [kinds]int{10, 4}, [kinds]int{10, 10}},
		{[kinds]int{16, 12}, [kinds]int{4, 12}, [kinds]int{8, 12}},
		{[kinds]int{25, 12}, [kinds]int{25, 12}, [kinds]int{20, 0}},
		{[kinds]int{1, 1}, [kinds]int{1, 1}, [kinds]int{2, 1}},
		{[kinds]int{3, 4}, [kinds]int{3, 3}, [kinds]int{3, 4}},
	} {
		got := c.want
		changed := bound(&got, &route.Scaling{Min: 3, Max: 20}, c.coming)
		assert.Equal(t, got, c.bounded, "%v of %v", c.want, c.coming)
		assert.Equal(t, changed, got != c.want)
	}
}

// TestRiseAtUnknownSpeed guards against upstreams that are ordered for the rise of the demand at
// the start, when few streams are late and nothing is known of what an upstream can take.
func TestRiseAtUnknownSpeed(t *testing.T) {
	s, in := NewState(), quietInput()
	in.Speed.TokenSeconds = 0
	steady := in.Demand
	for i, share := range []float64{0.1, 0.4, 0.7, 1, 1, 1} {
		in.Demand.ReadTokens, in.Demand.Events, in.Demand.Begun = share*steady.ReadTokens, share*steady.Events, share*steady.Begun
		in.Demand.LateFirst = 0.01
		for _, o := range s.Decide(epoch.Add(time.Duration(i)*time.Second), in).Orders {
			assert.Assert(t, o.Kind == Reclaimable || o.Count <= o.Present, "%+v", o)
		}
	}
}
