package balancer

import (
	"container/list"

	"knapweedwell/request"
)

const (
	defaultCacheTokens = 200000 // used while an engine's memory is not known
	cacheShare         = 0.75   // fraction of an engine's memory that is assumed to hold prompt parts
)

// cache estimates which prompt parts an upstream holds: those that were sent to
// it most recently, up to a share of its memory.
type cache struct {
	parts  map[uint64]*list.Element
	recent list.List // parts, the most recently used first
	tokens int
}

type cachedPart struct {
	id     uint64
	tokens int
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
// parts beyond its share of the memory. A memoryTokens of zero means that the
// memory is not known.
func (c *cache) add(id uint64, tokens, memoryTokens int) {
	if c.parts == nil {
		c.parts = map[uint64]*list.Element{}
	}
	if e := c.parts[id]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.parts[id] = c.recent.PushFront(cachedPart{id: id, tokens: tokens})
	c.tokens += tokens
	limit := defaultCacheTokens
	if memoryTokens > 0 {
		limit = int(cacheShare * float64(memoryTokens))
	}
	for c.tokens > limit && c.recent.Len() > 1 {
		last := c.recent.Remove(c.recent.Back()).(cachedPart)
		delete(c.parts, last.id)
		c.tokens -= last.tokens
	}
}

// clear removes all parts.
func (c *cache) clear() {
	*c = cache{}
}
