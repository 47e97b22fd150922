package intake

import "sync"

const (
	sizeClassBytes = 1 << 10
	sizeClasses    = 128 // the last one holds all larger inputs
)

// Budget is the number of bytes that unfinished inputs of all connections may take together.
// Limit and Drops are set before the first use. Its methods may be called concurrently.
type Budget struct {
	Limit int64 // bytes; zero means no limit
	Drops *Drops

	mu    sync.Mutex
	used  int64                          // by holdings that have not given way
	gone  int64                          // by holdings that have given way and whose connections have not ended yet
	sizes [sizeClasses]map[*Holding]bool // what may give way, by size
}

// Holding is what one connection holds of a Budget. Budget and Drop are set before the first
// use. A Holding is used by one goroutine at a time; Drop is called by any.
type Holding struct {
	Budget *Budget
	Drop   func() // makes the connection end; it does not block

	bytes   int64
	gone    int64 // bytes that the holding had when it gave way
	pinned  bool  // whether the holding never gives way
	dropped bool
}

// sizeClass returns the index of the class of inputs of the given size.
func sizeClass(bytes int64) int {
	return int(min(bytes/sizeClassBytes, sizeClasses-1))
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// gonePercent bounds the bytes of holdings that have given way and whose memory is still in
// use, in percent of the Limit. While there are more, no holding grows.
const gonePercent = 50

// Resize makes the holding take the given number of bytes. If too few are left, the largest
// holdings give way. It reports false if that is this one, or if the memory of those is still
// in use: it then holds nothing, and its connection is to end.
func (h *Holding) Resize(bytes int64) bool {
	b := h.Budget
	b.mu.Lock()
	if h.dropped {
		b.mu.Unlock()
		return false
	}
	b.remove(h)
	var victims []*Holding
	fits := true
	for b.Limit > 0 && b.used+bytes > b.Limit && bytes > 0 {
		v := b.largest(bytes)
		if v == nil {
			fits = false
			break
		}
		v.gone = v.bytes
		b.gone += v.gone
		b.remove(v)
		v.dropped = true
		victims = append(victims, v)
	}
	if b.Limit > 0 && bytes > 0 && b.used+b.gone+bytes > b.Limit+b.Limit*gonePercent/100 {
		fits = false
	}
	if fits {
		b.add(h, bytes)
	} else {
		h.dropped = true
		b.Drops.Add(NoBytes)
	}
	b.mu.Unlock()
	for _, v := range victims {
		b.Drops.Add(NoBytes)
		v.Drop()
	}
	return fits
}

// Pin makes the holding one that never gives way, because its request is being served. It
// reports false if it has given way already.
func (h *Holding) Pin() bool {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped {
		return false
	}
	bytes := h.bytes
	b.remove(h)
	h.pinned = true
	b.add(h, bytes)
	return true
}

// Free returns all bytes of the holding.
func (h *Holding) Free() {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
	b.gone -= h.gone
	h.gone = 0
	h.pinned = false
}

// add records the bytes of a holding that holds none. The caller holds b.mu.
func (b *Budget) add(h *Holding, bytes int64) {
	h.bytes = bytes
	b.used += bytes
	if bytes == 0 || h.pinned {
		return
	}
	class := &b.sizes[sizeClass(bytes)]
	if *class == nil {
		*class = map[*Holding]bool{}
	}
	(*class)[h] = true
}

// remove takes back the bytes of a holding. The caller holds b.mu.
func (b *Budget) remove(h *Holding) {
	b.used -= h.bytes
	if h.bytes > 0 && !h.pinned {
		delete(b.sizes[sizeClass(h.bytes)], h)
	}
	h.bytes = 0
}

// largest returns the largest holding that may give way, to sizeClassBytes, if it is in no
// smaller class than the given size, and nil otherwise. The caller holds b.mu.
func (b *Budget) largest(bytes int64) *Holding {
	for class := sizeClasses - 1; class >= sizeClass(bytes); class-- {
		var found *Holding
		for h := range b.sizes[class] {
			if class < sizeClasses-1 {
				return h
			}
			if found == nil || h.bytes > found.bytes {
				found = h
			}
		}
		if found != nil && found.bytes >= bytes {
			return found
		}
	}
	return nil
}
