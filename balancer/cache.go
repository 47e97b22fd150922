package balancer

import (
	"container/list"

	"knapweedwell/request"
)

const (
	defaultCacheTokens = 200000 // used while an engine's memory is not known
	cacheShare         = 0.75   // fraction of an engine's memory that is assumed to hold prompt parts
	maxPartTokens      = 1 << 32
)

// cache estimates which prompt parts an upstream holds: those that were sent to
// it most recently, up to a share of its memory.
type cache struct {
	parts  map[uint64]*cachedPart
	recent list.List // of *cachedPart, the most recently used first
	tokens int
	all    *cachedParts // of all upstreams
}

// cachedPart is a part in the cache of one upstream.
type cachedPart struct {
	id     uint64
	tokens int
	cache  *cache
	own    *list.Element // in the cache's list
	shared *list.Element // in the list of cachedParts
}

// missing returns the number of tokens of a prompt that the upstream has to
// read: those from the first part on that it does not hold.
func (c *cache) missing(p *request.Prompt) int {
	cached := 0
	for _, part := range p.Parts {
		if c.parts[part.ID] == nil {
			break
		}
		cached += part.Tokens
	}
	return max(p.Tokens-cached, 0)
}

// holds reports whether the upstream holds all parts.
func (c *cache) holds(parts []request.Part) bool {
	for _, part := range parts {
		if c.parts[part.ID] == nil {
			return false
		}
	}
	return true
}

// add records that the upstream reads a part, and evicts the least recently used
// parts beyond its share of the memory, and those that are worth least if the caches of all upstreams
// have too many. A memoryTokens of zero means that the memory is not known.
func (c *cache) add(id uint64, tokens, memoryTokens int) {
	if known := c.parts[id]; known != nil {
		c.recent.MoveToFront(known.own)
		c.all.used(known)
		return
	}
	if c.parts == nil {
		c.parts = map[uint64]*cachedPart{}
	}
	part := &cachedPart{id: id, tokens: min(max(tokens, 0), maxPartTokens), cache: c}
	part.own = c.recent.PushFront(part)
	c.parts[id] = part
	c.tokens += part.tokens
	c.all.add(part)
	limit := defaultCacheTokens
	if memoryTokens > 0 {
		limit = int(cacheShare * float64(memoryTokens))
	}
	for c.tokens > limit && c.recent.Len() > 1 {
		c.remove(c.recent.Back().Value.(*cachedPart))
	}
}

// remove removes a part.
func (c *cache) remove(part *cachedPart) {
	c.recent.Remove(part.own)
	delete(c.parts, part.id)
	c.tokens -= part.tokens
	c.all.remove(part)
}

// clear removes all parts.
func (c *cache) clear() {
	for _, part := range c.parts {
		c.all.remove(part)
	}
	*c = cache{all: c.all}
}
