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
	Preempts bool // Preempts allows its requests to preempt lower tiers.
}

// Class is a request class with its targets.
type Class struct {
	Name         string
	Tier         string
	Rank         int           // Rank is the rank of the tier.
	FirstToken   time.Duration // FirstToken is the target for the first token; zero if none.
	BetweenToken time.Duration // BetweenToken is the target between tokens; zero if none.
	Whole        time.Duration // Whole is the target for the whole answer; zero if none.
	Floor        float64       // Floor is the least share of dispatches.
	Weight       float64       // Weight is the share within the tier.
	QueueTimeout time.Duration // QueueTimeout is the longest wait in a queue.
}

// Target returns the wait after which a request of the class is late: the
// target for the first token, or for the whole answer if there is none.
func (c *Class) Target() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Whole
}

// Organisation is a customer with its key and classes.
type Organisation struct {
	Name         string
	KeySHA256    string // KeySHA256 is the bearer key's SHA-256 in hex.
	DefaultClass string
	Classes      []string
	Weight       float64
}

// May reports whether the organisation may use the class.
func (o *Organisation) May(class string) bool {
	for _, c := range o.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// Region is a region with the order in which others are tried.
type Region struct {
	Name  string
	Spill []string // Spill names the other regions, nearest first.
}

// Target is a model or a plain service that callers name.
type Target struct {
	Name           string
	Service        bool
	Idempotent     bool // Idempotent allows a call to be repeated.
	QueueLimit     int  // QueueLimit is the most requests queued in one shard.
	ShardUpstreams int  // ShardUpstreams is the upstreams per shard; zero means all.
}

// Upstream is one model engine or plain service instance.
type Upstream struct {
	Name        string
	Target      string
	Address     string
	Region      string
	Zone        string
	Concurrency int  // Concurrency is the most requests running at once.
	Leaving     bool // Leaving stops new work.
}

// Config is one accepted configuration.
type Config struct {
	Tiers         map[string]*Tier
	Classes       map[string]*Class
	Organisations map[string]*Organisation
	Regions       map[string]*Region
	Targets       map[string]*Target
	Upstreams     map[string]*Upstream

	byKey map[string]*Organisation
}

// HashKey returns the SHA-256 of a bearer key in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ByKey returns the organisation with the bearer key, or nil.
func (c *Config) ByKey(key string) *Organisation {
	return c.byKey[HashKey(key)]
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

// UpstreamNames returns the names of all upstreams in order.
func (c *Config) UpstreamNames() []string {
	names := make([]string, 0, len(c.Upstreams))
	for name := range c.Upstreams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RegionOrder returns the region itself and the others, nearest first.
func (c *Config) RegionOrder(region string) []string {
	order := []string{region}
	seen := map[string]bool{region: true}
	if r := c.Regions[region]; r != nil {
		for _, s := range r.Spill {
			order = append(order, s)
			seen[s] = true
		}
	}
	rest := []string{}
	for name := range c.Regions {
		if !seen[name] {
			rest = append(rest, name)
		}
	}
	sort.Strings(rest)
	return append(order, rest...)
}
