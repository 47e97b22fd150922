package usage

import (
	"time"
)

// zoneSource identifies the sums of one zone by one aggregator.
type zoneSource struct {
	zone, source string
}

// zoneBook holds the sums of a zone by one aggregator.
type zoneBook struct {
	book   book
	covers map[Slot]int
}

// collector holds the counts of all instances that reach this one.
type collector struct {
	books map[string]book // by the identity of the source
	zones map[zoneSource]*zoneBook
}

func newCollector() collector {
	return collector{books: map[string]book{}, zones: map[zoneSource]*zoneBook{}}
}

// add merges a message.
func (c *collector) add(m Message) {
	var b book
	if m.Zone == "" {
		if b = c.books[m.Source]; b == nil {
			b = book{}
			c.books[m.Source] = b
		}
	} else {
		key := zoneSource{m.Zone, m.Source}
		z := c.zones[key]
		if z == nil {
			z = &zoneBook{book: book{}, covers: map[Slot]int{}}
			c.zones[key] = z
		}
		z.covers[m.Slot] = max(z.covers[m.Slot], m.Covers)
		b = z.book
	}
	for _, e := range m.Entries {
		b.raise(m.Slot, e.Name, e.Count)
	}
}

// expire forgets slots that ended before a time, and sources without slots.
func (c *collector) expire(before time.Time, window time.Duration) {
	for source, b := range c.books {
		if b.expire(before, window); len(b) == 0 {
			delete(c.books, source)
		}
	}
	for key, z := range c.zones {
		z.book.expire(before, window)
		for slot := range z.covers {
			if z.book[slot] == nil {
				delete(z.covers, slot)
			}
		}
		if len(z.book) == 0 {
			delete(c.zones, key)
		}
	}
}

// direct returns the sum of the counts that instances sent themselves, and their number.
func (c *collector) direct(slot Slot) (map[string]int64, int) {
	sum, n := map[string]int64{}, 0
	for _, b := range c.books {
		p := b[slot]
		if p == nil {
			continue
		}
		n++
		for name, count := range p.counts {
			sum[name] += count
		}
	}
	return sum, n
}

// total returns the sum over the fleet: of each other zone the sums that cover most instances,
// and what the instances of the own zone sent themselves, or sums of the own zone that cover
// more. It returns the number of instances, too.
func (c *collector) total(slot Slot, own string) (map[string]int64, int) {
	sum, n := c.direct(slot)
	best := map[string]*zoneBook{}
	for key, z := range c.zones {
		if z.book[slot] == nil {
			continue
		}
		if old := best[key.zone]; old == nil || better(slot, z, old) {
			best[key.zone] = z
		}
	}
	if z := best[own]; z != nil && z.covers[slot] > n {
		sum, n = map[string]int64{}, 0
	} else {
		delete(best, own)
	}
	for _, z := range best {
		n += z.covers[slot]
		for name, count := range z.book[slot].counts {
			sum[name] += count
		}
	}
	return sum, n
}

// better reports whether the sums of one aggregator are preferred to those of another.
func better(slot Slot, z, old *zoneBook) bool {
	if z.covers[slot] != old.covers[slot] {
		return z.covers[slot] > old.covers[slot]
	}
	return z.book[slot].sum() > old.book[slot].sum()
}

func (p *page) sum() int64 {
	n := int64(0)
	for _, count := range p.counts {
		n += count
	}
	return n
}
