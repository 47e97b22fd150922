package aggregate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/balancer"
	"knapweedwell/member"
)

const (
	// ReportLifetime is the age up to which the report of an instance counts, and
	// after which the instance counts as not running.
	ReportLifetime = 900 * time.Millisecond
	// zoneLifetime is the age up to which the sums of another zone are used.
	zoneLifetime = 1500 * time.Millisecond
)

// Report is the state of one instance and the load that it causes.
type Report struct {
	State            member.State
	StoreUnreachable bool
	Loads            []balancer.Report // by the hash of the upstream
}

// Instance is one running instance in the list of its zone.
type Instance struct {
	Hash             uint32 // of the name
	State            member.State
	StoreUnreachable bool
}

// NameHash returns the hash that stands for the name of an instance.
func NameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Zone is the summary of one availability zone, or one part of it.
type Zone struct {
	Name      string
	Part      int               // number of the part, from 0
	Instances []Instance        // those that are running; empty in all parts but the first
	Loads     []balancer.Report // sums over the instances
}

// Collector holds the reports of one zone's instances and the summaries of the other
// zones. The exported field is set before the first call.
type Collector struct {
	Zone string

	reports map[string]receivedReport // by the name of the instance
	zones   map[zonePart]receivedZone
}

// zonePart identifies a part of a summary of one sender.
type zonePart struct {
	zone   string
	sender string
	part   int
}

type receivedReport struct {
	Report
	at time.Time
}

type receivedZone struct {
	Zone
	at time.Time
}

// AddReport replaces the report of an instance of the zone.
func (c *Collector) AddReport(now time.Time, name string, r Report) {
	if c.reports == nil {
		c.reports = map[string]receivedReport{}
	}
	c.reports[name] = receivedReport{Report: r, at: now}
}

// AddZone replaces a part of the summary that a sender made of another zone.
func (c *Collector) AddZone(now time.Time, sender string, z Zone) {
	if z.Name == c.Zone {
		return
	}
	if c.zones == nil {
		c.zones = map[zonePart]receivedZone{}
	}
	c.zones[zonePart{z.Name, sender, z.Part}] = receivedZone{Zone: z, at: now}
}

// Expire deletes reports and summaries that are too old.
func (c *Collector) Expire(now time.Time) {
	for name, r := range c.reports {
		if now.Sub(r.at) > ReportLifetime {
			delete(c.reports, name)
		}
	}
	for part, z := range c.zones {
		if now.Sub(z.at) > zoneLifetime {
			delete(c.zones, part)
		}
	}
}

// Len returns the number of instances whose reports are held.
func (c *Collector) Len() int {
	return len(c.reports)
}

// Has reports whether the report of an instance is held.
func (c *Collector) Has(name string) bool {
	_, ok := c.reports[name]
	return ok
}

// Reporters returns the names of the instances whose reports are held, in order.
func (c *Collector) Reporters() []string {
	names := make([]string, 0, len(c.reports))
	for name := range c.reports {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Summary returns the summary of the collector's own zone.
func (c *Collector) Summary() Zone {
	z := Zone{Name: c.Zone}
	var s sum
	for _, name := range c.Reporters() {
		r := c.reports[name]
		z.Instances = append(z.Instances, Instance{Hash: NameHash(name), State: r.State, StoreUnreachable: r.StoreUnreachable})
		s.add(r.Loads)
	}
	z.Loads = s.loads()
	return z
}

// Zones returns the parts of one summary of each other zone, by name. Of the summaries
// of several senders it is the one that covers the most instances, or the most recent of
// those: a sender that only some of the instances report to knows less.
func (c *Collector) Zones() []Zone {
	best := map[string]zonePart{}
	for part, z := range c.zones {
		if part.part > 0 {
			continue
		}
		old, ok := best[part.zone]
		if o := c.zones[old]; !ok || cmp.Or(cmp.Compare(len(z.Instances), len(o.Instances)), z.at.Compare(o.at)) > 0 {
			best[part.zone] = part
		}
	}
	zones := make([]Zone, 0, len(best))
	for part, z := range c.zones {
		if best[part.zone].sender == part.sender {
			zones = append(zones, z.Zone)
		}
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Part, b.Part)) })
	return zones
}

// Total returns the loads of all zones, of which own is the collector's, in the order
// of the hashes.
func (c *Collector) Total(own Zone) []balancer.Report {
	var s sum
	s.add(own.Loads)
	for _, z := range c.Zones() {
		s.add(z.Loads)
	}
	return s.loads()
}

// Without returns total without what the named instance has reported to this
// collector. Upstreams without any load are omitted.
func (c *Collector) Without(total []balancer.Report, name string) []balancer.Report {
	reported := c.reports[name].Loads
	rest := make([]balancer.Report, 0, len(total))
	for _, t := range total {
		if i := slices.IndexFunc(reported, func(r balancer.Report) bool { return r.Upstream == t.Upstream }); i >= 0 {
			t.Counts.Running -= reported[i].Counts.Running
			t.Counts.Pending -= reported[i].Counts.Pending
			t.Counts.Tokens -= reported[i].Counts.Tokens
		}
		if t.Counts.Running > 0 || t.HasGapRatio {
			rest = append(rest, t)
		}
	}
	return rest
}

// Split divides loads into parts of about size loads each, at least one part. Which
// part an upstream is in depends on its hash and the number of parts.
func Split(loads []balancer.Report, size int) [][]balancer.Report {
	parts := make([][]balancer.Report, max((len(loads)+size-1)/size, 1))
	if len(parts) == 1 {
		parts[0] = loads
		return parts
	}
	for _, l := range loads {
		i := int(l.Upstream[0]) % len(parts)
		parts[i] = append(parts[i], l)
	}
	return parts
}

// Age returns the mean age of the reports and summaries that are held.
func (c *Collector) Age(now time.Time) time.Duration {
	var sum time.Duration
	for _, r := range c.reports {
		sum += now.Sub(r.at)
	}
	for _, z := range c.zones {
		sum += now.Sub(z.at)
	}
	return sum / time.Duration(max(len(c.reports)+len(c.zones), 1))
}

// sum adds loads by upstream. The gap ratio of a sum is the mean of those that were
// added. Its zero value is empty.
type sum struct {
	byUpstream map[string]*summed
}

type summed struct {
	report balancer.Report
	ratios int // number of gap ratios that were added
}

func (s *sum) add(loads []balancer.Report) {
	if s.byUpstream == nil {
		s.byUpstream = make(map[string]*summed, len(loads))
	}
	for _, l := range loads {
		t := s.byUpstream[l.Upstream]
		if t == nil {
			t = &summed{report: balancer.Report{Upstream: l.Upstream}}
			s.byUpstream[l.Upstream] = t
		}
		t.report.Counts.Running += l.Counts.Running
		t.report.Counts.Pending += l.Counts.Pending
		t.report.Counts.Tokens += l.Counts.Tokens
		if l.HasGapRatio {
			t.ratios++
			t.report.HasGapRatio = true
			t.report.LogGapRatio += (l.LogGapRatio - t.report.LogGapRatio) / float64(t.ratios)
		}
	}
}

// loads returns the sums in the order of the hashes.
func (s *sum) loads() []balancer.Report {
	loads := make([]balancer.Report, 0, len(s.byUpstream))
	for _, t := range s.byUpstream {
		loads = append(loads, t.report)
	}
	slices.SortFunc(loads, func(a, b balancer.Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return loads
}
