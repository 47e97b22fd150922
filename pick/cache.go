package pick

import (
	"container/list"

	"knapweedwell/request"
)

const (
	defaultCacheTokens = 200000 // defaultCacheTokens is used while an engine's memory is not known.
	cacheShare         = 0.75   // cacheShare is the part of an engine's memory that is taken to hold parts.
)

// cache is what an upstream is believed to hold: the parts that were sent there
// last, up to its memory.
type cache struct {
	parts  map[uint64]*list.Element
	recent list.List // recent holds the parts, the last used first.
	tokens int
}

type held struct {
	id     uint64
	tokens int
}

// missing returns the tokens of a prompt that the upstream has to read: those
// from the first part on that it does not hold.
func (c *cache) missing(p *request.Prompt) int {
	known := 0
	for _, part := range p.Parts {
		if c.parts[part.ID] == nil {
			break
		}
		known += part.Tokens
	}
	return max(p.Tokens-known, 0)
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

// add notes that the upstream reads a part.
func (c *cache) add(id uint64, tokens, memory int) {
	if c.parts == nil {
		c.parts = map[uint64]*list.Element{}
	}
	if e := c.parts[id]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.parts[id] = c.recent.PushFront(held{id: id, tokens: tokens})
	c.tokens += tokens
	limit := defaultCacheTokens
	if memory > 0 {
		limit = int(cacheShare * float64(memory))
	}
	for c.tokens > limit && c.recent.Len() > 1 {
		last := c.recent.Remove(c.recent.Back()).(held)
		delete(c.parts, last.id)
		c.tokens -= last.tokens
	}
}

// clear forgets all parts.
func (c *cache) clear() {
	*c = cache{}
}
