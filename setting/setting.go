// Package setting reads and checks the settings of one instance: its identity, the
// addresses that it listens on and the addresses that it connects to.
package setting

import (
	"os"
	"slices"
	"time"

	"knapweedwell/inifile"
)

// Settings are the settings of one instance.
type Settings struct {
	Name   string
	Region string
	Zone   string
	Caller string // address that callers connect to
	Peer   string // address that other instances connect to
	// PeerBind is the address to listen on for other instances, if it differs from
	// Peer; empty means Peer.
	PeerBind    string
	Operator    string // address that operators connect to
	Platform    string // address of the object API
	Seeds       []string
	PeerKey     string // key shared by all instances
	OperatorKey string // bearer key of operators; if empty, no key is checked
	LogLevel    string
	// StopWait is the time for which a planned stop continues to serve callers
	// whose address answers are cached.
	StopWait     time.Duration
	MaxBodyBytes int    // size limit of a request body
	MaxRequests  int    // limit of concurrent requests
	Policy       string // scheduling policy; see package pool
	// Routes is set if the instance serves the routes that the platform's operator
	// writes.
	Routes *Routes
	// Duties is set if the platform names duties of one instance at a time. A section without
	// values means that it names none.
	Duties *Duties
}

// Routes are the settings of an instance that serves routes.
type Routes struct {
	Readiness string // address for the platform's readiness checks
	Directory string // address for callers that request address answers
	Exchange  string // address for datagrams of other instances
	// ExchangeBind is the address to listen on for datagrams, if it differs from
	// Exchange; empty means Exchange.
	ExchangeBind    string
	AddressLifetime time.Duration // time for which callers cache an address answer
	GracePeriod     time.Duration // time from a stop signal to the kill
	RetryRatio      float64       // retries per request, shared by all instances
	RetryWindow     time.Duration // time over which retries are counted
	RetrySlack      float64       // retries of all instances per window, beyond the ratio
	ChangeDeadline  time.Duration // time in which a changed configuration must be in force
	LeavingDeadline time.Duration // time in which a leaving upstream must get no new work
	// UpstreamHeartbeat is the time between two writes of an upstream to its entry in the
	// store; zero if it is not known.
	UpstreamHeartbeat time.Duration
	MemoryMegabytes   int // memory that the process may use; zero means no limit
	MaxDescriptors    int // file descriptors that the process may have; zero means no limit
	// Features names what the deployment asks for beyond serving routes. Unknown ones have
	// no effect.
	Features []string
	// AdmissionControl asks for admission control where the deployment has the feature
	// PressureFeature.
	AdmissionControl bool
	// ZoneCost and RegionCost are the delays that the operator would accept to save a
	// megabyte of traffic between availability zones, or between regions.
	ZoneCost   time.Duration
	RegionCost time.Duration
	Zones      map[string]string // region by availability zone
}

// Features that a deployment may ask for.
const (
	// DutiesFeature means that some calls to the platform's API are the duty of one
	// instance at a time.
	DutiesFeature = "leader"
	// PressureFeature means that upstreams crash if the requests that they hold exceed their
	// memory, and that callers and upstreams may read slowly.
	PressureFeature = "pressure"
)

// HasFeature reports whether the deployment asks for the feature.
func (r *Routes) HasFeature(name string) bool {
	return slices.Contains(r.Features, name)
}

// Defaults of the settings.
const (
	defaultStopWait     = 12 * time.Second
	defaultMaxBodyBytes = 4 << 20
	defaultMaxRequests  = 4000

	defaultAddressLifetime  = 1500 * time.Millisecond
	defaultGracePeriod      = 30 * time.Second
	defaultRetryRatio       = 0.1
	defaultRetryWindow      = 10 * time.Second
	defaultDeadline         = 2500 * time.Millisecond
	minDeadline             = 500 * time.Millisecond
	maxHeartbeatMillis      = 600_000
	defaultZoneCostMillis   = 20  // per megabyte
	defaultRegionCostMillis = 100 // per megabyte
	maxCostMillis           = 3_600_000
)

// Sections of the settings.
const (
	instanceSection = "Instance"
	routesSection   = "Routes"
	zonesSection    = "Zones"
	dutiesSection   = "Duties"
)

// Load reads the settings from a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, inifile.Findings{{File: path, Line: 1, Message: err.Error()}}
	}
	return Parse(path, string(text))
}

// Parse reads the settings from text. The error, if any, is of type
// inifile.Findings.
func Parse(name, text string) (*Settings, error) {
	f := inifile.Parse(name, text)
	s := &Settings{}
	hasInstance := false
	zones := map[string]string{}
	for _, sec := range f.Sections {
		switch sec.Header() {
		case instanceSection:
			hasInstance = true
			s.read(f.NewReader(sec))
		case routesSection:
			s.Routes = readRoutes(f.NewReader(sec))
		case dutiesSection:
			if !sec.Empty() {
				s.Duties = readDuties(f.NewReader(sec))
			}
		case zonesSection:
			for zone, region := range sec.Keys {
				zones[zone] = region.Text
			}
		default:
			f.NewReader(sec).AddFinding("", "unknown section; expected [%s], [%s], [%s] or [%s]", instanceSection, routesSection, dutiesSection, zonesSection)
		}
	}
	if s.Routes != nil {
		s.Routes.Zones = zones
	}
	if !hasInstance {
		f.Findings = append(f.Findings, inifile.Finding{File: name, Line: 1, Section: instanceSection, Message: "section is missing"})
	}
	if len(f.Findings) > 0 {
		return nil, f.Findings
	}
	return s, nil
}

func (s *Settings) read(r *inifile.Reader) {
	s.Name = r.Required("Name", "the name of this instance")
	s.Region = r.Required("Region", "the region of this instance")
	s.Zone = r.Required("Zone", "the availability zone of this instance")
	s.Caller = r.Address("Caller", true)
	s.Peer = r.Address("Peer", true)
	s.PeerBind = r.Address("PeerBind", false)
	s.Operator = r.Address("Operator", true)
	s.Platform = r.Address("Platform", true)
	s.Seeds = r.Addresses("Seeds")
	s.PeerKey = r.Text("PeerKey", "")
	s.OperatorKey = r.Text("OperatorKey", "")
	s.LogLevel = r.Text("LogLevel", "info")
	s.StopWait = r.Duration("StopWait", defaultStopWait, 0)
	s.MaxBodyBytes = r.Int("MaxBodyBytes", defaultMaxBodyBytes, 1, 1<<30)
	s.MaxRequests = r.Int("MaxRequests", defaultMaxRequests, 1, 1000000)
	s.Policy = r.Text("Policy", "tiered")
	s.checkChoices(r)
	r.Finish()
}

func (s *Settings) checkChoices(r *inifile.Reader) {
	switch s.LogLevel {
	case "debug", "info", "warning", "error":
	default:
		r.AddFinding("LogLevel", "%q is not accepted; expected debug, info, warning or error", s.LogLevel)
	}
	switch s.Policy {
	case "tiered", "fifo", "least-reported":
	default:
		r.AddFinding("Policy", "%q is not accepted; expected tiered, fifo or least-reported", s.Policy)
	}
}

func readRoutes(r *inifile.Reader) *Routes {
	routes := &Routes{
		Readiness:       r.Address("Readiness", true),
		Directory:       r.Address("Directory", true),
		Exchange:        r.Address("Exchange", true),
		ExchangeBind:    r.Address("ExchangeBind", false),
		AddressLifetime: r.Duration("AddressLifetime", defaultAddressLifetime, time.Millisecond),
		GracePeriod:     r.Duration("GracePeriod", defaultGracePeriod, 0),
		RetryRatio:      r.Float("RetryRatio", defaultRetryRatio, 0, 1),
		RetryWindow:     r.Duration("RetryWindow", defaultRetryWindow, time.Second),
		RetrySlack:      r.Float("RetrySlack", 0, 0, 1e6),
		ChangeDeadline:  r.Duration("ChangeDeadline", defaultDeadline, minDeadline),
		LeavingDeadline: r.Duration("LeavingDeadline", defaultDeadline, minDeadline),
		MemoryMegabytes: r.Int("MemoryMegabytes", 0, 0, 1<<20),
		MaxDescriptors:  optionalInt(r, "MaxDescriptors", 0, 0, 1<<30),
		Features:        r.Names("Features"),
		ZoneCost:        time.Duration(r.Int("ZoneCostMillisPerMegabyte", defaultZoneCostMillis, 0, maxCostMillis)) * time.Millisecond,
		RegionCost:      time.Duration(r.Int("RegionCostMillisPerMegabyte", defaultRegionCostMillis, 0, maxCostMillis)) * time.Millisecond,
	}
	routes.AdmissionControl = r.Bool("AdmissionControl", false)
	// The platform may name no heartbeat; the value is empty then.
	if r.Text("UpstreamHeartbeatMillis", "") != "" {
		routes.UpstreamHeartbeat = time.Duration(r.Int("UpstreamHeartbeatMillis", 0, 1, maxHeartbeatMillis)) * time.Millisecond
	}
	r.Finish()
	return routes
}
