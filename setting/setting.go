// Package setting reads and checks the settings of one instance: who it is,
// where it listens and whom it asks.
package setting

import (
	"os"
	"time"

	"knapweedwell/inifile"
)

// Settings are the settings of one instance.
type Settings struct {
	Name         string
	Region       string
	Zone         string
	Caller       string // Caller is the address that callers connect to.
	Peer         string // Peer is the address for other instances.
	PeerBind     string // PeerBind is the address to listen at for other instances, if they reach this one at another; empty means Peer.
	Operator     string // Operator is the address for operators.
	Platform     string // Platform is the address of the object API.
	Seeds        []string
	PeerKey      string // PeerKey is the key shared by all instances.
	OperatorKey  string // OperatorKey is the bearer key of operators; empty means none.
	LogLevel     string
	StopWait     time.Duration // StopWait is how long a planned stop keeps serving callers whose address answers are cached.
	MaxBodyBytes int           // MaxBodyBytes is the largest accepted request body.
	MaxRequests  int           // MaxRequests is the most requests held at once.
	Policy       string        // Policy selects the scheduling policy; see package pool.
	Routes       *Routes       // Routes is set if the instance serves the routes that the platform's operator writes.
}

// Routes are the settings of an instance that serves routes.
type Routes struct {
	Readiness       string            // Readiness is the address for the platform's checks.
	Directory       string            // Directory is the address for callers that ask where to connect.
	Exchange        string            // Exchange is the address for datagrams of other instances.
	ExchangeBind    string            // ExchangeBind is the address to listen at for datagrams, if others reach this instance at another; empty means Exchange.
	AddressLifetime time.Duration     // AddressLifetime is how long callers keep an address answer.
	GracePeriod     time.Duration     // GracePeriod is the time from a stop signal to the kill.
	RetryRatio      float64           // RetryRatio is the repeats for each request that all instances share.
	RetryWindow     time.Duration     // RetryWindow is the time over which repeats are counted.
	RetrySlack      float64           // RetrySlack is the repeats of all instances beyond the ratio in a window.
	MemoryMegabytes int               // MemoryMegabytes is the memory that the process may use; zero means no bound.
	Zones           map[string]string // Zones are the regions by availability zone.
}

// Defaults of the settings.
const (
	defaultStopWait     = 12 * time.Second
	defaultMaxBodyBytes = 4 << 20
	defaultMaxRequests  = 4000

	defaultAddressLifetime = 1500 * time.Millisecond
	defaultGracePeriod     = 30 * time.Second
	defaultRetryRatio      = 0.1
	defaultRetryWindow     = 10 * time.Second
)

// Sections of the settings.
const (
	section       = "Instance"
	routesSection = "Routes"
	zonesSection  = "Zones"
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
	found := false
	zones := map[string]string{}
	for _, sec := range f.Sections {
		switch sec.Header() {
		case section:
			found = true
			s.read(f.Read(sec))
		case routesSection:
			s.Routes = readRoutes(f.Read(sec))
		case zonesSection:
			for zone, region := range sec.Keys {
				zones[zone] = region.Text
			}
		default:
			f.Read(sec).Find("", "unknown section; expected [%s], [%s] or [%s]", section, routesSection, zonesSection)
		}
	}
	if s.Routes != nil {
		s.Routes.Zones = zones
	}
	if !found {
		f.Findings = append(f.Findings, inifile.Finding{File: name, Line: 1, Section: section, Message: "section is missing"})
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
		r.Find("LogLevel", "%q is not accepted; expected debug, info, warning or error", s.LogLevel)
	}
	switch s.Policy {
	case "tiered", "fifo", "least-reported":
	default:
		r.Find("Policy", "%q is not accepted; expected tiered, fifo or least-reported", s.Policy)
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
		MemoryMegabytes: r.Int("MemoryMegabytes", 0, 0, 1<<20),
	}
	r.Finish()
	return routes
}
