package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// Tier is a service tier. Rank 1 is the highest.
type Tier struct {
	Name     string
	Rank     int
	Preempts bool // requests of the tier may preempt those of lower tiers
}

// Class is a request class with its latency targets.
type Class struct {
	Name         string
	Tier         string
	Rank         int           // rank of the tier
	FirstToken   time.Duration // target for the time to the first token; zero if none
	BetweenToken time.Duration // target for the gap between tokens; zero if none
	Whole        time.Duration // target for the time to the whole answer; zero if none
	Floor        float64       // minimum share of dispatches, as a fraction
	Weight       float64       // relative share within the tier
	QueueTimeout time.Duration // limit of the wait in a queue
}

// LatencyTarget returns the wait after which a request of the class is late: the
// target for the first token, or for the whole answer if there is none.
func (c *Class) LatencyTarget() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Whole
}

// Organisation is a customer with its bearer key and the classes that it may use.
type Organisation struct {
	Name         string
	KeySHA256    string // SHA-256 of the bearer key, in hex
	DefaultClass string
	Classes      []string
	Weight       float64
}

// MayUse reports whether the organisation may use the class.
func (o *Organisation) MayUse(class string) bool {
	for _, c := range o.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// Region is a region with the order in which other regions are tried.
type Region struct {
	Name  string
	Spill []string // other regions, nearest first
}

// Target is a model or a plain service that callers request by name.
type Target struct {
	Name           string
	Service        bool // a plain service, not a model
	Idempotent     bool // calls may be retried
	QueueLimit     int  // limit of requests queued in one shard
	ShardUpstreams int  // upstreams per shard; zero means all
}

// Upstream is one model engine or plain service instance.
type Upstream struct {
	Name        string
	Target      string
	Address     string
	Region      string
	Zone        string
	Concurrency int  // limit of requests running at once
	Leaving     bool // no new requests are sent to the upstream
}

// Config is one valid configuration.
type Config struct {
	Tiers         map[string]*Tier
	Classes       map[string]*Class
	Organisations map[string]*Organisation
	Regions       map[string]*Region
	Targets       map[string]*Target
	Upstreams     map[string]*Upstream

	byKeyHash map[string]*Organisation // by the SHA-256 of the bearer key, in hex
}

// HashKey returns the SHA-256 of a bearer key in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ByKey returns the organisation with the bearer key, or nil.
func (c *Config) ByKey(key string) *Organisation {
	return c.byKeyHash[HashKey(key)]
}

// ClassNames returns the names of all classes by rank, then name.
func (c *Config) ClassNames() []string {
	names := make([]string, 0, len(c.Classes))
	for name := range c.Classes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := c.Classes[names[i]], c.Classes[names[j]]
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.Name < b.Name
	})
	return names
}

// UpstreamNames returns the names of all upstreams in ascending order.
func (c *Config) UpstreamNames() []string {
	names := make([]string, 0, len(c.Upstreams))
	for name := range c.Upstreams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RegionOrder returns the region itself, then its Spill, then all other regions by
// name.
func (c *Config) RegionOrder(region string) []string {
	order := []string{region}
	added := map[string]bool{region: true}
	if r := c.Regions[region]; r != nil {
		for _, s := range r.Spill {
			order = append(order, s)
			added[s] = true
		}
	}
	others := []string{}
	for name := range c.Regions {
		if !added[name] {
			others = append(others, name)
		}
	}
	sort.Strings(others)
	return append(order, others...)
}
