package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/member"
	"knapweedwell/platform"
	"knapweedwell/scaling"
	"knapweedwell/setting"
	"knapweedwell/usage"
)

// buildScaling builds the service that orders upstreams, if the platform names that duty
// and the settings ask for it.
// It is called after buildDuties.
func (i *Instance) buildScaling() {
	d := i.Settings.Duties
	if !d.Has(setting.ScalingDuty) || !d.OrderUpstreams {
		return
	}
	i.Scaling = &scaling.Service{
		Lease:          i.Duties,
		Orders:         &platformOrders{api: i.API, holder: i.Settings.Name},
		Demand:         &usageDemand{sums: i.Usage.Demand},
		Table:          i.Routing.Current,
		Roster:         i.Roster.Current,
		Instances:      i.instancesByZone,
		Regions:        i.Settings.Routes.Zones,
		Speed:          i.poolSpeed,
		CallsPerSecond: d.CallsPerSecond,
		Log:            i.Log,
	}
	i.kernel.Add("scaling", i.Scaling)
}

// platformOrders sends orders by calls of the platform's API.
type platformOrders struct {
	api    *platform.API
	holder string // name of this instance
}

// Order sends one order.
func (p *platformOrders) Order(ctx context.Context, token int64, o scaling.Order) error {
	err := p.api.Order(ctx, platform.Duty{Holder: p.holder, Token: token}, platform.UpstreamOrder{
		Pool: o.Pool, Zone: o.Zone, Reclaimable: o.Kind == scaling.Reclaimable, Count: o.Count,
	})
	switch {
	case errors.Is(err, platform.ErrNoneAvailable):
		return scaling.ErrNoneAvailable
	case errors.Is(err, platform.ErrRateLimited):
		return scaling.ErrRateLimited
	}
	return err
}

// usageDemand gives the demand that package usage sums.
type usageDemand struct {
	sums func(now time.Time) map[string][]usage.Demand // samples by pool, the oldest first

	at    time.Time
	known map[string][]usage.Demand // of the time at
}

// Demand returns the latest sample of a pool. A pool that no counts name has no demand, if
// there are samples of others.
func (u *usageDemand) Demand(now time.Time, pool string) (scaling.Demand, bool) {
	if u.known == nil || !u.at.Equal(now) {
		u.at, u.known = now, u.sums(now)
	}
	if samples := u.known[pool]; len(samples) > 0 {
		return demandOf(samples[len(samples)-1]), true
	}
	for _, samples := range u.known {
		last := samples[len(samples)-1]
		return demandOf(usage.Demand{Age: last.Age, Coverage: last.Coverage}), true
	}
	return scaling.Demand{}, false
}

// demandOf converts the rates of late streams into shares.
func demandOf(u usage.Demand) scaling.Demand {
	d := scaling.Demand{ReadTokens: u.ReadTokens, Events: u.Events, Begun: u.Begun, Age: u.Age, Covered: u.Coverage}
	if u.Streams > 0 {
		d.LateFirst, d.LateGap = min(u.LateFirst/u.Streams, 1), min(u.LateGap/u.Streams, 1)
	}
	return d
}

// poolSpeed returns what this instance has measured of the upstreams of a pool.
func (i *Instance) poolSpeed(pool string) scaling.Speed {
	token, request := i.picker.Measured(pool)
	return scaling.Speed{TokenSeconds: token, RequestSeconds: request}
}

// instancesByZone returns the number of running instances in each availability zone.
func (i *Instance) instancesByZone() map[string]int {
	zones := map[string]int{}
	i.Heartbeats.With(func(v *member.View) {
		for _, m := range v.All() {
			if m.State == member.Live {
				zones[m.Zone]++
			}
		}
	})
	return zones
}
