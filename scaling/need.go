package scaling

import "sort"

// zoneNeed is what one zone needs.
type zoneNeed struct {
	need        int // upstreams of both kinds
	least       int // number below which more are ordered
	secure      int // ordinary upstreams
	secureLeast int // number of ordinary upstreams below which more are ordered
}

type poolNeed struct {
	busy  float64
	zones []zoneNeed
}

// maxLateRise is the ratio to what is present up to which late streams alone order more at
// a time: lateness may have other causes.
const maxLateRise = 1.5

// idleShare is the part of the highest demand that is kept room for, so that demand that comes
// back after a quiet time finds some upstreams while others start.
const idleShare = 0.2

// needs returns what each zone needs. A zone needs enough for its own callers and for an equal
// share of its region. What it cannot get is added to other zones.
func (s *State) needs(in Input) poolNeed {
	capacity := s.assumed(in)
	lowered := s.afterFailures(capacity)
	expected := s.expected(in)
	current, _ := lowered.busy(s.smooth)
	plan := load{}
	for i, x := range s.peak() {
		plan[i] = max(x, expected[i], idleShare*s.highest[i])
	}
	planned, _ := capacity.busy(plan)
	plannedLate, _ := lowered.busy(plan)
	expectedBusy, _ := lowered.busy(expected)
	n := poolNeed{busy: current, zones: make([]zoneNeed, len(in.Zones))}
	for i, share := range shares(in) {
		z := &in.Zones[i]
		coming := s.coming(z)
		total := coming[Ordinary] + coming[Reclaimable]
		sound := ceil(burst * planned * share)
		late := min(ceil(reorder*plannedLate*share), ceil(maxLateRise*float64(total)))
		least := max(in.Pool.Scaling.Min, 1)
		need := max(sound, late, least)
		n.zones[i] = zoneNeed{
			need:        need,
			least:       min(max(ceil(reorder*expectedBusy*share), least), need),
			secure:      min(max(ceil(secure*plannedLate*share), 1), need),
			secureLeast: min(ceil(current*share), need),
		}
	}
	s.spill(in, n.zones)
	return n
}

// expected returns the demand when ordered upstreams would serve. Without a known speed the trend
// does not count.
func (s *State) expected(in Input) load {
	if !in.speedKnown() {
		return s.smooth
	}
	return s.forecast(in.Pool.Scaling.StartTime + in.Demand.Age)
}

// shares returns the part of the pool's demand that each zone has to be able to serve: that of
// its own callers, or its equal part of the region's if that is more.
func shares(in Input) []float64 {
	own := make([]float64, len(in.Zones))
	sum := 0.0
	for i := range in.Zones {
		own[i] = in.Zones[i].Callers
		if in.Demand.Zones != nil {
			own[i] = in.Demand.Zones[in.Zones[i].Name]
		}
		sum += own[i]
	}
	rest := 0.0 // callers in zones without upstreams
	if in.Demand.Zones != nil {
		rest = max(1-sum, 0)
		sum += rest
	}
	if sum <= 0 {
		rest, sum = 1, 1
	}
	regions, zones := map[string]float64{}, map[string]int{}
	for i := range own {
		own[i] = (own[i] + rest/float64(len(own))) / sum
		regions[in.Zones[i].Region] += own[i]
		zones[in.Zones[i].Region]++
	}
	for i := range own {
		region := in.Zones[i].Region
		own[i] = max(own[i], regions[region]/float64(zones[region]))
	}
	return own
}

// spill adds what zones cannot get to others: the cheapest of the region first, then those
// of other regions.
func (s *State) spill(in Input, needs []zoneNeed) {
	var order []int // zones that can get more, by price
	for i := range in.Zones {
		if s.mayOrder(in.Zones[i].Name, Ordinary) {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return in.Zones[order[a]].Price < in.Zones[order[b]].Price })
	original := make([]int, len(needs))
	for i := range needs {
		original[i] = needs[i].need
	}
	for i := range in.Zones {
		z := &in.Zones[i]
		limit := in.Pool.Scaling.Max
		if !s.mayOrder(z.Name, Ordinary) {
			limit = min(limit, z.Present[Ordinary]+z.Present[Reclaimable])
		}
		missing := original[i] - limit
		if missing <= 0 {
			continue
		}
		needs[i].need = max(needs[i].need-missing, 0)
		needs[i].least = min(needs[i].least, needs[i].need)
		needs[i].secure = min(needs[i].secure, needs[i].need)
		needs[i].secureLeast = min(needs[i].secureLeast, needs[i].secure)
		for _, sameRegion := range []bool{true, false} {
			for _, j := range order {
				if j == i || (in.Zones[j].Region == z.Region) != sameRegion {
					continue
				}
				n := min(missing, max(in.Pool.Scaling.Max-needs[j].need, 0))
				needs[j].need += n
				needs[j].least += n
				missing -= n
			}
		}
	}
}
