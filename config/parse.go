package config

import (
	"encoding/hex"
	"strings"
	"time"

	"knapweedwell/inifile"
)

// Defaults and limits of the configuration's keys.
const (
	defaultFloor        = 0.01
	defaultQueueTimeout = 30 * time.Second
	defaultQueueLimit   = 200
	defaultConcurrency  = 8
	maxRank             = 100
	maxConcurrency      = 10000
	maxQueueLimit       = 1000000
	maxWeight           = 1000
	maxFloorSum         = 0.5
	// MaxTextBytes is the size limit of a configuration text.
	MaxTextBytes = 4 << 20
)

// Parse reads and checks a configuration text. The error, if any, is of type
// inifile.Findings.
func Parse(name, text string) (*Config, error) {
	if len(text) > MaxTextBytes {
		return nil, inifile.Findings{{File: name, Line: 1, Message: "text is larger than 4 MiB"}}
	}
	p := &parser{file: inifile.Parse(name, text), readers: map[string]*inifile.Reader{}}
	p.c = &Config{
		Tiers:         map[string]*Tier{},
		Classes:       map[string]*Class{},
		Organisations: map[string]*Organisation{},
		Regions:       map[string]*Region{},
		Targets:       map[string]*Target{},
		Upstreams:     map[string]*Upstream{},
		byKeyHash:     map[string]*Organisation{},
	}
	p.parseSections()
	p.link()
	if len(p.file.Findings) > 0 {
		return nil, p.file.Findings
	}
	return p.c, nil
}

// parser builds a Config from an INI file and adds findings to the file.
type parser struct {
	file    *inifile.File
	c       *Config
	readers map[string]*inifile.Reader // by section header
}

func (p *parser) parseSections() {
	for _, s := range p.file.Sections {
		r := p.file.NewReader(s)
		p.readers[s.Header()] = r
		if s.Name == "" {
			r.AddFinding("", "section without a name; expected [%s Name]", s.Kind)
			continue
		}
		p.parseSection(r, s)
	}
}

func (p *parser) parseSection(r *inifile.Reader, s *inifile.Section) {
	switch s.Kind {
	case "Tier":
		p.parseTier(r, s.Name)
	case "Class":
		p.parseClass(r, s.Name)
	case "Organisation":
		p.parseOrganisation(r, s.Name)
	case "Region":
		p.c.Regions[s.Name] = &Region{Name: s.Name, Spill: r.Names("Spill")}
	case "Model":
		p.parseTarget(r, s.Name, false)
	case "Service":
		p.parseTarget(r, s.Name, true)
	case "Upstream":
		p.parseUpstream(r, s.Name)
	default:
		r.AddFinding("", "unknown section; expected Tier, Class, Organisation, Region, Model, Service or Upstream with a name")
		return
	}
	r.Finish()
}

func (p *parser) parseTier(r *inifile.Reader, name string) {
	r.Required("Rank", "a whole number, 1 for the highest tier")
	p.c.Tiers[name] = &Tier{
		Name:     name,
		Rank:     r.Int("Rank", 0, 1, maxRank),
		Preempts: r.Bool("Preempts", false),
	}
}

func (p *parser) parseClass(r *inifile.Reader, name string) {
	c := &Class{
		Name:         name,
		Tier:         r.Required("Tier", "the name of a tier"),
		FirstToken:   r.Duration("FirstToken", 0, time.Millisecond),
		BetweenToken: r.Duration("BetweenToken", 0, time.Millisecond),
		Whole:        r.Duration("Whole", 0, time.Millisecond),
		Floor:        r.Float("Floor", defaultFloor, 0.001, maxFloorSum),
		Weight:       r.Float("Weight", 1, 0.01, maxWeight),
		QueueTimeout: r.Duration("QueueTimeout", defaultQueueTimeout, time.Millisecond),
	}
	if !r.Has("FirstToken") && !r.Has("Whole") {
		r.AddFinding("FirstToken", "missing; expected FirstToken or Whole as the class's target")
	}
	p.c.Classes[name] = c
}

func (p *parser) parseOrganisation(r *inifile.Reader, name string) {
	o := &Organisation{
		Name:         name,
		KeySHA256:    r.Required("KeySHA256", "the SHA-256 of the bearer key in hex (knapweedwell hash-key)"),
		DefaultClass: r.Required("DefaultClass", "the name of a class"),
		Classes:      r.Names("Classes"),
		Weight:       r.Float("Weight", 1, 0.01, maxWeight),
	}
	if !o.MayUse(o.DefaultClass) {
		o.Classes = append(o.Classes, o.DefaultClass)
	}
	o.KeySHA256 = strings.ToLower(o.KeySHA256)
	digest, err := hex.DecodeString(o.KeySHA256)
	if o.KeySHA256 != "" && (err != nil || len(digest) != 32) {
		r.AddFinding("KeySHA256", "not a SHA-256; expected 64 hex digits")
	}
	if other := p.c.byKeyHash[o.KeySHA256]; other != nil && o.KeySHA256 != "" {
		r.AddFinding("KeySHA256", "the same key as organisation %q", other.Name)
	}
	p.c.byKeyHash[o.KeySHA256] = o
	p.c.Organisations[name] = o
}

func (p *parser) parseTarget(r *inifile.Reader, name string, service bool) {
	if p.c.Targets[name] != nil {
		r.AddFinding("", "the name %q is already that of another model or service", name)
	}
	p.c.Targets[name] = &Target{
		Name:           name,
		Service:        service,
		Idempotent:     r.Bool("Idempotent", !service),
		QueueLimit:     r.Int("QueueLimit", defaultQueueLimit, 1, maxQueueLimit),
		ShardUpstreams: r.Int("ShardUpstreams", 0, 0, maxConcurrency),
	}
}

func (p *parser) parseUpstream(r *inifile.Reader, name string) {
	u := &Upstream{
		Name:        name,
		Address:     r.Address("Address", true),
		Region:      r.Required("Region", "the name of a region"),
		Zone:        r.Required("Zone", "the upstream's availability zone"),
		Concurrency: r.Int("Concurrency", defaultConcurrency, 1, maxConcurrency),
		Leaving:     r.Bool("Leaving", false),
	}
	model, service := r.Text("Model", ""), r.Text("Service", "")
	if (model == "") == (service == "") {
		r.AddFinding("Model", "expected either Model or Service, and not both")
	} else {
		u.Target = model + service
	}
	p.c.Upstreams[name] = u
}

// link checks the references between sections and sets the rank of each class.
func (p *parser) link() {
	p.linkTiers()
	p.linkClasses()
	p.linkOrganisations()
	p.linkRegions()
	p.linkUpstreams()
}

func (p *parser) addFinding(header, key, format string, args ...any) {
	p.readers[header].AddFinding(key, format, args...)
}

func (p *parser) linkTiers() {
	byRank := map[int]string{}
	for _, name := range sortedKeys(p.c.Tiers) {
		rank := p.c.Tiers[name].Rank
		if other, duplicate := byRank[rank]; duplicate && rank > 0 {
			p.addFinding("Tier "+name, "Rank", "the same rank as tier %q; expected a rank of its own", other)
		}
		byRank[rank] = name
	}
}

func (p *parser) linkClasses() {
	sum := 0.0
	for _, name := range sortedKeys(p.c.Classes) {
		c := p.c.Classes[name]
		sum += c.Floor
		t := p.c.Tiers[c.Tier]
		if t == nil {
			p.addFinding("Class "+name, "Tier", "no tier %q; expected a tier that is configured", c.Tier)
			continue
		}
		c.Rank = t.Rank
	}
	if sum > maxFloorSum {
		last := sortedKeys(p.c.Classes)[len(p.c.Classes)-1]
		p.addFinding("Class "+last, "Floor", "the floors of all classes add up to %.3f; expected at most %.1f", sum, maxFloorSum)
	}
}

func (p *parser) linkOrganisations() {
	for _, name := range sortedKeys(p.c.Organisations) {
		o := p.c.Organisations[name]
		for _, class := range o.Classes {
			if p.c.Classes[class] == nil {
				p.addFinding("Organisation "+name, "Classes", "no class %q; expected a class that is configured", class)
			}
		}
	}
}

func (p *parser) linkRegions() {
	for _, name := range sortedKeys(p.c.Regions) {
		for _, spill := range p.c.Regions[name].Spill {
			if p.c.Regions[spill] == nil || spill == name {
				p.addFinding("Region "+name, "Spill", "%q is not another region", spill)
			}
		}
	}
}

func (p *parser) linkUpstreams() {
	byAddress := map[string]string{}
	for _, name := range sortedKeys(p.c.Upstreams) {
		u := p.c.Upstreams[name]
		header := "Upstream " + name
		if p.c.Regions[u.Region] == nil {
			p.addFinding(header, "Region", "no region %q; expected a region that is configured", u.Region)
		}
		p.linkTarget(header, u)
		if other, duplicate := byAddress[u.Address]; duplicate {
			p.addFinding(header, "Address", "the same address as upstream %q", other)
		}
		byAddress[u.Address] = name
	}
}

func (p *parser) linkTarget(header string, u *Upstream) {
	key := "Model"
	if _, ok := p.readers[header].Section.Keys["Service"]; ok {
		key = "Service"
	}
	if u.Target == "" {
		return
	}
	t := p.c.Targets[u.Target]
	if t == nil || t.Service != (key == "Service") {
		p.addFinding(header, key, "no %s %q; expected one that is configured", key, u.Target)
	}
}
