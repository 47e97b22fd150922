package edge

import (
	"knapweedwell/member"
	"knapweedwell/scaling"
	"knapweedwell/setting"
)

// buildScaling builds the service that orders upstreams, if the platform names that duty.
func (i *Instance) buildScaling(lease scaling.Lease, orders scaling.Orderer, demand scaling.DemandSource) {
	d := i.Settings.Duties
	if !d.Has(setting.ScalingDuty) {
		return
	}
	i.Scaling = &scaling.Service{
		Lease:          lease,
		Orders:         orders,
		Demand:         demand,
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
