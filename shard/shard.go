// Package shard divides the upstreams of a configuration into pools, one for each
// target and region, and the pools into shards. Package pool schedules the
// requests of each shard.
package shard

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"knapweedwell/config"
	"knapweedwell/pool"
)

// Shard is the plan of a part of a pool that one instance owns. A pool.Shard
// schedules its requests.
type Shard struct {
	Name      string
	Target    string
	Region    string
	Upstreams []string
}

// Plan is the division of one configuration into shards.
type Plan struct {
	ByName  map[string]*Shard
	classes []pool.Class
	weights map[string]float64  // weights of organisations by name
	byPool  map[string][]*Shard // shards by the name of their pool
}

func poolName(target, region string) string {
	return target + "/" + region
}

// New returns the plan of a configuration.
func New(c *config.Config) *Plan {
	pools := map[string][]string{}
	for _, name := range c.UpstreamNames() {
		u := c.Upstreams[name]
		key := poolName(u.Target, u.Region)
		pools[key] = append(pools[key], name)
	}
	p := &Plan{ByName: map[string]*Shard{}, byPool: map[string][]*Shard{}, weights: map[string]float64{}}
	for _, name := range c.ClassNames() {
		p.classes = append(p.classes, newClass(c, c.Classes[name]))
	}
	for name, o := range c.Organisations {
		p.weights[name] = o.Weight
	}
	for key, upstreams := range pools {
		first := c.Upstreams[upstreams[0]]
		p.divide(key, c.Targets[first.Target], first.Region, upstreams)
	}
	return p
}

// divide assigns the upstreams of the pool named key to its shards by rendezvous
// hashing, so that a new upstream moves no other one while the number of shards
// stays the same.
func (p *Plan) divide(key string, t *config.Target, region string, upstreams []string) {
	n := 1
	if t.ShardUpstreams > 0 {
		n = (len(upstreams) + t.ShardUpstreams - 1) / t.ShardUpstreams
	}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s/%d", key, i)
	}
	table := rendezvous.New(names, xxhash.Sum64String)
	for _, upstream := range upstreams {
		s := p.getOrCreate(table.Lookup(upstream), t.Name, region)
		s.Upstreams = append(s.Upstreams, upstream)
	}
	for _, name := range names {
		if s := p.ByName[name]; s != nil {
			p.byPool[key] = append(p.byPool[key], s)
		}
	}
}

func (p *Plan) getOrCreate(name, target, region string) *Shard {
	s := p.ByName[name]
	if s == nil {
		s = &Shard{Name: name, Target: target, Region: region}
		p.ByName[name] = s
	}
	return s
}

// Shards returns the shards of a target in a region.
func (p *Plan) Shards(target, region string) []*Shard {
	return p.byPool[poolName(target, region)]
}

// Names returns the names of all shards in ascending order.
func (p *Plan) Names() []string {
	names := make([]string, 0, len(p.ByName))
	for name := range p.ByName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Settings returns the part of the configuration that a shard needs. The classes
// and weights are shared by all shards and must not be modified.
func (p *Plan) Settings(s *Shard, c *config.Config, revision int64) pool.Settings {
	settings := pool.Settings{
		Revision:      revision,
		Classes:       p.classes,
		Organisations: p.weights,
		QueueLimit:    c.Targets[s.Target].QueueLimit,
	}
	for _, name := range s.Upstreams {
		u := c.Upstreams[name]
		settings.Upstreams = append(settings.Upstreams, pool.UpstreamSettings{
			Name:        u.Name,
			Address:     u.Address,
			Zone:        u.Zone,
			Concurrency: u.Concurrency,
			Leaving:     u.Leaving,
		})
	}
	return settings
}

func newClass(c *config.Config, cl *config.Class) pool.Class {
	return pool.Class{
		Name:         cl.Name,
		Rank:         cl.Rank,
		Preempts:     c.Tiers[cl.Tier].Preempts,
		Weight:       cl.Weight,
		Floor:        cl.Floor,
		Target:       cl.LatencyTarget(),
		BetweenToken: cl.BetweenToken,
		QueueTimeout: cl.QueueTimeout,
	}
}
