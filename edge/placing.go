package edge

import (
	"github.com/sirupsen/logrus"

	"knapweedwell/balancer"
	"knapweedwell/setting"
)

// buildPlacing builds the choice of upstreams and registers its metrics.
func (i *Instance) buildPlacing() {
	r := i.Settings.Routes
	i.picker = balancer.New(i.Settings.Zone, r.Zones)
	i.picker.Strict = r.HasFeature(setting.DutiesFeature) || r.HasFeature(setting.PressureFeature)
	i.picker.ZoneCost, i.picker.RegionCost = r.ZoneCost, r.RegionCost
	i.picker.OnSplit = func(s balancer.SplitState) {
		i.Log.WithFields(logrus.Fields{
			"Pool": s.Pool, "Reserved": s.Load.Reserved, "Upstreams": s.Load.Upstreams, "ShortStreams": int(s.Load.ShortStreams),
			"ShortTokensPerSecond": int(s.Load.ShortRead), "OtherTokensPerSecond": int(s.Load.OtherRead), "MissedShare": s.Load.Missed,
		}).Info("split of a pool changed")
	}
	i.picker.OnZoneShare = func(s balancer.ZoneState) {
		fields := logrus.Fields{"Pool": s.Pool, "ShortestGap": s.ShortestGap, "Choices": s.Choices, "Left": s.Left}
		for _, z := range s.Shares {
			fields["Share."+z.Zone] = z.Share
		}
		i.Log.WithFields(fields).Info("requests to other zones changed")
	}
	i.zoneGauge("knapweedwell_zone_choices_total", func(s balancer.ZoneState) float64 { return float64(s.Choices) })
	i.zoneGauge("knapweedwell_zone_left_total", func(s balancer.ZoneState) float64 { return float64(s.Left) })
	i.metrics.Gauge("knapweedwell_zone_leaving_share_ratio", i.largestLeavingShare)
	i.splitGauge("knapweedwell_split_reserved_upstreams", func(s balancer.SplitState) float64 { return float64(s.Load.Reserved) })
	i.splitGauge("knapweedwell_split_upstreams", func(s balancer.SplitState) float64 { return float64(s.Load.Upstreams) })
	i.splitGauge("knapweedwell_split_short_streams", func(s balancer.SplitState) float64 { return s.Load.ShortStreams })
	i.splitGauge("knapweedwell_speed_answers_total", func(s balancer.SplitState) float64 { return float64(s.SpeedsKnown) })
	i.metrics.Gauge("knapweedwell_speed_mean_slowdown_ratio", i.meanSlowdown)
	i.metrics.Gauge("knapweedwell_split_step_seconds", i.longestStep)
}

// splitGauge registers a gauge whose value is the sum over all pools of engines.
func (i *Instance) splitGauge(name string, value func(balancer.SplitState) float64) {
	i.metrics.Gauge(name, func() float64 {
		sum := 0.0
		for _, s := range i.picker.Splits() {
			sum += value(s)
		}
		return sum
	})
}

// zoneGauge registers a gauge whose value is the sum over all pools of engines.
func (i *Instance) zoneGauge(name string, value func(balancer.ZoneState) float64) {
	i.metrics.Gauge(name, func() float64 {
		sum := 0.0
		for _, s := range i.picker.ZoneStates() {
			sum += value(s)
		}
		return sum
	})
}

// largestLeavingShare returns the largest share of one kind of requests that is sent to other
// zones by decision.
func (i *Instance) largestLeavingShare() float64 {
	largest := 0.0
	for _, s := range i.picker.ZoneStates() {
		sum := 0.0
		for _, z := range s.Shares {
			sum += z.Share
		}
		largest = max(largest, sum)
	}
	return largest
}

// meanSlowdown returns the mean of the slowdowns that upstreams state, one if none do.
func (i *Instance) meanSlowdown() float64 {
	sum, n := 0.0, 0
	for _, s := range i.picker.Splits() {
		if s.SpeedsKnown > 0 {
			sum += s.MeanSlowdown
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// longestStep returns the longest step of the engines of a pool, in seconds.
func (i *Instance) longestStep() float64 {
	longest := 0.0
	for _, s := range i.picker.Splits() {
		longest = max(longest, s.Load.StepSeconds)
	}
	return longest
}
