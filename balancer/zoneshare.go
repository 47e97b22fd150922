package balancer

import (
	"math"
	"slices"
	"strings"
	"time"

	"knapweedwell/route"
)

// The thresholds of leaving the zone.
const (
	zoneMargin       = 40 * time.Millisecond  // cost of another zone for a request that is not of the share; about one step that reads
	zoneStartGain    = 20 * time.Millisecond  // gain from which a share rises; it falls when the gain is negative
	zoneFullGain     = 100 * time.Millisecond // gain from which a share rises at full speed
	zoneRoom         = 0.6                    // share of the slots of another zone up to which requests are sent there
	zonePeriod       = 100 * time.Millisecond // time between two updates of the shares
	zoneRiseTime     = 2 * time.Second        // time in which a share takes up 1-1/e of the amount that evens out the load
	zoneFallTime     = 2 * time.Second        // time in which a share without gain falls to 1/e
	zoneReportPeriod = time.Second            // shortest time between two reports of changes
	minZoneShare     = 0.001                  // a smaller share ends
	maxZoneShare     = 0.5                    // bound of the share that is sent to one zone
	bytesPerMegabyte = 1 << 20
)

// ZoneLoad is the load of the upstreams of a zone that a kind of requests may use.
type ZoneLoad struct {
	Running float64 // running requests of all instances
	Slots   float64
	// WaitSeconds is the mean delay that the load of an upstream causes: the wait for prompts
	// that are read before, and the cost of gaps and of full slots.
	WaitSeconds float64
}

// ZoneInput is what the decision to send requests to another zone is based on.
type ZoneInput struct {
	Home, Away   ZoneLoad
	ExtraSeconds float64       // network delay of a request, and the delay that its bytes cost
	Senders      int           // zones that may send requests there
	Share        float64       // share in force
	Elapsed      time.Duration // since the latest decision
}

// LeavingShare returns the share of a zone's requests that is sent to another zone.
//
// It answers a zone whose own upstreams are too few for its callers while those of other zones
// have room, and a zone that has just lost some. The share follows the amount that evens out
// the load of both zones, so it is the amount of the whole zone and not that of one instance:
// each instance sends the same share of its own requests. It rises while that gains more than
// zoneStartGain after all costs, holds while it gains less, and falls while it loses. What the
// other zone takes is bounded by its room, of which each other zone gets an equal part.
func LeavingShare(in ZoneInput) float64 {
	share := min(max(in.Share, 0), maxZoneShare)
	dt := max(in.Elapsed, 0).Seconds()
	falling := share * math.Exp(-dt/zoneFallTime.Seconds())
	if falling < minZoneShare {
		falling = 0
	}
	gain := in.Home.WaitSeconds - in.Away.WaitSeconds - in.ExtraSeconds
	room := (zoneRoom*in.Away.Slots - in.Away.Running) / float64(max(in.Senders, 1))
	switch {
	case in.Home.Slots <= 0 || in.Away.Slots <= 0 || gain < 0 || room <= 0:
		return falling
	case gain < zoneStartGain.Seconds() || in.Home.Running <= 0:
		return share
	}
	even := (in.Home.Running*in.Away.Slots - in.Away.Running*in.Home.Slots) / (in.Home.Slots + in.Away.Slots)
	amount := max(min(even, room), 0) / in.Home.Running
	speed := min(gain/zoneFullGain.Seconds(), 1) * (1 - math.Exp(-dt/zoneRiseTime.Seconds()))
	return min(share+speed*(1-share)*amount, maxZoneShare)
}

// zoneShares holds the shares of one kind of a pool's requests that leave the zone. Streams
// with the shortest target for the gap between events are one kind, all other requests are the
// other, because they use other upstreams.
type zoneShares struct {
	at            time.Time
	zones         []zoneShare // by name
	choices, left int         // choices, and those of an upstream in another zone
	told          int         // zones with a share in the latest report of a change
	toldAt        time.Time
}

// zoneChange returns the state of one kind of requests if the number of zones to which they
// are sent has changed and no other change was reported within zoneReportPeriod. The caller
// holds p.mu.
func (p *Picker) zoneChange(now time.Time, r Request) (ZoneState, bool) {
	v := &p.poolStats(r.Pool.Name).zones[kind(r.ShortestGap)]
	n := 0
	for i := range v.zones {
		if v.zones[i].share > 0 {
			n++
		}
	}
	if n == v.told || now.Sub(v.toldAt) < zoneReportPeriod {
		return ZoneState{}, false
	}
	v.told, v.toldAt = n, now
	return v.state(r.Pool.Name, r.ShortestGap), true
}

// zoneShare holds the share for one zone.
type zoneShare struct {
	name  string
	share float64
	load  ZoneLoad
	count float64 // upstreams in load
}

func kind(shortest bool) int {
	if shortest {
		return 1
	}
	return 0
}

// distance states what lies between this instance and an upstream.
type distance int

const (
	unknownDistance distance = iota
	sameZone
	sameRegion
	otherRegion
)

// distanceTo returns the distance of an upstream. The caller holds p.mu.
func (p *Picker) distanceTo(u *route.Upstream, s *state) distance {
	if s.distance == unknownDistance {
		switch {
		case u.Zone == p.Zone:
			s.distance = sameZone
		case p.Regions[u.Zone] == p.Regions[p.Zone]:
			s.distance = sameRegion
		default:
			s.distance = otherRegion
		}
	}
	return s.distance
}

// bytesCost returns the delay in seconds that the operator would accept to save the bytes of
// a request between this instance and an upstream.
func (p *Picker) bytesCost(d distance, bytes int) float64 {
	megabytes := float64(bytes) / bytesPerMegabyte
	switch d {
	case sameRegion:
		return p.ZoneCost.Seconds() * megabytes
	case otherRegion:
		return p.RegionCost.Seconds() * megabytes
	}
	return 0
}

// drawZone returns the other zone to which a request may go without a margin, empty if it is
// to stay.
func (v *zoneShares) drawZone(random float64) string {
	for i := range v.zones {
		if random -= v.zones[i].share; random < 0 {
			return v.zones[i].name
		}
	}
	return ""
}

// zoneCost returns the cost in seconds of the zone of an upstream beyond the network delay.
func (p *Picker) zoneCost(u *route.Upstream, s *state, r Request, drawn string) float64 {
	d := p.distanceTo(u, s)
	if d == sameZone {
		return 0
	}
	cost := p.bytesCost(d, r.Bytes)
	if u.Zone != drawn {
		cost += zoneMargin.Seconds()
	}
	return cost
}

// due reports whether the shares are to be updated, and clears the loads if so.
func (v *zoneShares) due(now time.Time) bool {
	if now.Sub(v.at) < zonePeriod {
		return false
	}
	for i := range v.zones {
		v.zones[i].load, v.zones[i].count = ZoneLoad{}, 0
	}
	return true
}

// add adds an upstream to the load of its zone.
func (v *zoneShares) add(u *route.Upstream, running int, busySeconds float64) {
	i, found := slices.BinarySearchFunc(v.zones, u.Zone, func(z zoneShare, name string) int { return strings.Compare(z.name, name) })
	if !found {
		v.zones = slices.Insert(v.zones, i, zoneShare{name: u.Zone})
	}
	z := &v.zones[i]
	z.load.Running += float64(running)
	z.load.Slots += float64(u.Slots)
	z.load.WaitSeconds += busySeconds
	z.count++
}

// updateZones decides the shares from the loads that were added. The caller holds p.mu.
func (p *Picker) updateZones(now time.Time, v *zoneShares, r Request) {
	elapsed := now.Sub(v.at)
	if v.at.IsZero() {
		elapsed = zonePeriod
	}
	v.at = now
	v.zones = slices.DeleteFunc(v.zones, func(z zoneShare) bool { return z.count == 0 })
	var home ZoneLoad
	for i := range v.zones {
		z := &v.zones[i]
		z.load.WaitSeconds /= z.count
		if z.name == p.Zone {
			home = z.load
		}
	}
	for i := range v.zones {
		z := &v.zones[i]
		if z.name == p.Zone {
			continue
		}
		d := otherRegion
		if p.Regions[z.name] == p.Regions[p.Zone] {
			d = sameRegion
		}
		z.share = LeavingShare(ZoneInput{
			Home: home, Away: z.load, ExtraSeconds: p.networkDelaySeconds(z.name) + p.bytesCost(d, r.Bytes),
			Senders: len(v.zones) - 1, Share: z.share, Elapsed: min(elapsed, time.Second),
		})
	}
}

// busySeconds returns the delay that the load of an upstream causes, as in ZoneLoad.
func (p *Picker) busySeconds(now time.Time, stats *poolStats, s *state, r Request, c Choice) float64 {
	_, relative := stats.speeds.slowdowns(now, &s.speed)
	busy := c.Wait.Seconds() + missedGapCost.Seconds()*stats.gapMissShare(r.GapAim, relative*s.gapRatio(now))
	if slots := c.Upstream.Slots; slots > 0 {
		busy += sharingCost.Seconds() * float64(c.Running) / float64(slots)
		busy += stats.serviceSeconds * float64(max(c.Running+1-slots, 0)) / float64(slots)
	}
	return busy
}

// count counts a choice.
func (v *zoneShares) count(p *Picker, u *route.Upstream) {
	v.choices++
	if u != nil && u.Zone != p.Zone {
		v.left++
	}
}

// ZoneState describes the requests of one kind that leave the zone to operators.
type ZoneState struct {
	Pool          string
	ShortestGap   bool        // whether it is the state of the streams with the shortest target for gaps
	Shares        []ZoneShare // larger than zero, by zone
	Choices, Left int         // choices, and those of an upstream in another zone
}

// ZoneShare is the share of requests that is sent to a zone.
type ZoneShare struct {
	Zone  string
	Share float64
}

// ZoneStates returns the states of the pools whose requests may leave the zone by decision.
func (p *Picker) ZoneStates() []ZoneState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []ZoneState
	for name, stats := range p.pools {
		for k := range stats.zones {
			if v := &stats.zones[k]; v.choices > 0 {
				states = append(states, v.state(name, k == kind(true)))
			}
		}
	}
	return states
}

func (v *zoneShares) state(pool string, shortestGap bool) ZoneState {
	s := ZoneState{Pool: pool, ShortestGap: shortestGap, Choices: v.choices, Left: v.left}
	for _, z := range v.zones {
		if z.share > 0 {
			s.Shares = append(s.Shares, ZoneShare{Zone: z.name, Share: z.share})
		}
	}
	return s
}
