package balancer

import (
	"container/list"
	"math/bits"
)

const (
	// maxCachedParts is the number of parts in the caches of all upstreams together.
	maxCachedParts = 1 << 17
	// cachedPartBytes is about what one takes, with its places in two lists and a map.
	cachedPartBytes = 256
	// partClasses is the number of classes of parts by their size: class n has those of 2^(n-1) to
	// 2^n - 1 tokens.
	partClasses = 34
)

// cachedParts holds the parts in the caches of all upstreams of a picker, and bounds their number,
// whatever their size and the number of upstreams. Where there are too many it evicts one that is worth
// least: of the class of the smallest, because reading them again takes the least time, the least
// recently used.
type cachedParts struct {
	classes [partClasses]list.List // of *cachedPart, the most recently used first
	count   int
	evicted int64
}

func classOf(part *cachedPart) int {
	return bits.Len(uint(part.tokens))
}

// add adds a part that is in the cache of its upstream.
func (a *cachedParts) add(part *cachedPart) {
	part.shared = a.classes[classOf(part)].PushFront(part)
	a.count++
	if a.count > maxCachedParts {
		a.evict()
	}
}

// used records that a part was used again.
func (a *cachedParts) used(part *cachedPart) {
	a.classes[classOf(part)].MoveToFront(part.shared)
}

// remove removes a part that is no longer in the cache of its upstream.
func (a *cachedParts) remove(part *cachedPart) {
	a.classes[classOf(part)].Remove(part.shared)
	a.count--
}

// evict removes a part that is worth least from the cache of its upstream.
func (a *cachedParts) evict() {
	for class := range a.classes {
		if last := a.classes[class].Back(); last != nil {
			part := last.Value.(*cachedPart)
			part.cache.remove(part)
			a.evicted++
			return
		}
	}
}

// CachedPartCounts returns the number of prompt parts that upstreams are assumed to hold, and how many
// were evicted because there were too many.
func (p *Picker) CachedPartCounts() (held int, evicted int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cachedParts.count, p.cachedParts.evicted
}
