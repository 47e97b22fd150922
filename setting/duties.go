package setting

import (
	"slices"
	"time"

	"knapweedwell/inifile"
)

// Duties that the platform names.
const (
	UsageDuty   = "usage" // reports of each organisation's requests
	ScalingDuty = "scale" // orders of upstreams
)

// Duties are the settings of the calls to the platform's API that one instance at a time
// makes.
type Duties struct {
	Address        string   // of the platform's API
	Names          []string // of the duties
	CallsPerSecond float64  // of all instances together
	Lease          time.Duration
	Thaw           time.Duration // time after a suspension in which calls are excused
	UsageWindow    time.Duration // length of a window of usage
	UsageTolerance float64       // relative error that a report may have
	UsageDeadline  time.Duration // time after a window's end in which its report is due
	// OrderUpstreams asks for orders of upstreams by demand, if the platform names that duty.
	OrderUpstreams bool
}

// Has reports whether the duty is one of those that the platform names.
func (d *Duties) Has(name string) bool {
	return d != nil && slices.Contains(d.Names, name)
}

// Defaults and bounds of the duties.
const (
	defaultCallsPerSecond       = 10
	defaultLeaseMillis          = 3000
	defaultThawMillis           = 300
	defaultUsageWindowSeconds   = 5
	defaultUsageTolerance       = 0.05
	defaultUsageDeadlineSeconds = 10
	minLeaseMillis              = 1000
	maxDutySeconds              = 3600
)

func readDuties(r *inifile.Reader) *Duties {
	d := &Duties{
		Address:        r.Address("Address", true),
		Names:          r.Names("Names"),
		CallsPerSecond: optionalFloat(r, "CallsPerSecond", defaultCallsPerSecond, 0.1, 1e6),
		Lease:          time.Duration(optionalInt(r, "LeaseMillis", defaultLeaseMillis, minLeaseMillis, maxDutySeconds*1000)) * time.Millisecond,
		Thaw:           time.Duration(optionalInt(r, "ThawMillis", defaultThawMillis, 0, maxDutySeconds*1000)) * time.Millisecond,
		UsageWindow:    time.Duration(optionalInt(r, "UsageWindowSeconds", defaultUsageWindowSeconds, 1, maxDutySeconds)) * time.Second,
		UsageTolerance: optionalFloat(r, "UsageTolerance", defaultUsageTolerance, 0, 1),
		UsageDeadline:  time.Duration(optionalInt(r, "UsageDeadlineSeconds", defaultUsageDeadlineSeconds, 1, maxDutySeconds)) * time.Second,
	}
	d.OrderUpstreams = r.Bool("OrderUpstreams", false)
	r.Finish()
	return d
}

// optionalInt returns a whole number from lo to hi, or def if the value is empty: the platform
// renders values that a deployment does not have as empty ones.
func optionalInt(r *inifile.Reader, key string, def, lo, hi int) int {
	if r.Text(key, "") == "" {
		return def
	}
	return r.Int(key, def, lo, hi)
}

// optionalFloat returns a number from lo to hi, or def if the value is empty.
func optionalFloat(r *inifile.Reader, key string, def, lo, hi float64) float64 {
	if r.Text(key, "") == "" {
		return def
	}
	return r.Float(key, def, lo, hi)
}
