package edge

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"knapweedwell/duty"
	"knapweedwell/follow"
	"knapweedwell/platform"
	"knapweedwell/setting"
	"knapweedwell/usage"
)

const (
	// dutyRateShare is the share of the platform's rate that one holder uses: a predecessor's
	// calls may fall into the same second.
	dutyRateShare = 0.8
	dutyBurst     = 5               // calls at once
	releaseTime   = 2 * time.Second // for the release of the lease in a planned stop
)

// buildDuties builds the lease of the duties, if the settings name them.
func (i *Instance) buildDuties() {
	d := i.Settings.Duties
	if d == nil {
		return
	}
	i.API = platform.NewAPI(d.Address, duty.GuardedDial(i.Dial))
	i.API.Limiter = rate.NewLimiter(rate.Limit(d.CallsPerSecond*dutyRateShare), dutyBurst)
	i.Duties = &duty.Service{
		Self: i.identity(), Platform: i.store, Role: i.dutyRole, Lease: d.Lease, Elapsed: i.Elapsed, APIFailingSince: i.API.FailingSince, Log: i.Log,
	}
	elapsed := i.Elapsed
	if elapsed == nil {
		elapsed = duty.Boottime
	}
	i.Usage = &usage.Service{
		Self: i.Settings.Name, Identity: i.identity(), Zone: i.Settings.Zone, Window: d.UsageWindow, Deadline: d.UsageDeadline,
		Report: d.Has(setting.UsageDuty), Duties: i.Duties, API: i.API, Platform: i.store, Elapsed: elapsed, Instances: i.instances,
		Send: i.Exchange.SendUsage, Log: i.Log,
	}
	i.Exchange.Usage, i.Forward.Usage = i.Usage, i.Usage
	i.kernel.Add("duties", i.Duties)
	i.kernel.Add("usage", i.Usage)
	i.metrics.Gauge("knapweedwell_duty_held", func() float64 { return boolValue(i.Duties.State().Held) })
	i.metrics.Gauge("knapweedwell_duty_token", func() float64 { return float64(i.Duties.State().Token) })
	i.metrics.Gauge("knapweedwell_duty_lease_age_seconds", func() float64 { return i.Duties.State().Age.Seconds() })
	i.metrics.Gauge("knapweedwell_duty_changes_total", func() float64 { return float64(i.Duties.State().Changes) })
	i.metrics.Gauge("knapweedwell_usage_windows_reported_total", func() float64 {
		accepted, _ := i.Usage.Reported()
		return float64(accepted)
	})
	i.metrics.Gauge("knapweedwell_usage_windows_late_total", func() float64 {
		_, late := i.Usage.Reported()
		return float64(late)
	})
	for _, result := range []string{"ok", "limited", "unavailable", "failed"} {
		i.metrics.Gauge(`knapweedwell_duty_calls_total{result="`+result+`"}`, func() float64 { return float64(i.API.Calls(result)) })
	}
}

// dutyRole returns the role of this instance, Idle if it does not get the counts of the fleet.
func (i *Instance) dutyRole() follow.Role {
	if !i.Exchange.Collects() {
		return follow.Idle
	}
	return i.role()
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// releaseDuties releases the lease of the duties, if this instance holds it.
func (i *Instance) releaseDuties(ctx context.Context) {
	if i.Duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	i.Duties.Release(ctx)
}

// DutiesStatus is the state of the duties as operators see it.
type DutiesStatus struct {
	Lease   duty.State // Holder is known to the instances that follow the store only
	Windows []usage.WindowState
}

// dutiesStatus returns the state of the duties, nil if there are none.
func (i *Instance) dutiesStatus() *DutiesStatus {
	if i.Duties == nil {
		return nil
	}
	return &DutiesStatus{Lease: i.Duties.State(), Windows: i.Usage.Windows()}
}
