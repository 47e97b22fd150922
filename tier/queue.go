package tier

import (
	"container/heap"
	"sort"
	"time"
)

// Class describes one class to a queue.
type Class struct {
	Name   string
	Rank   int
	Weight float64
	Floor  float64
}

// Queue orders the waiting items of one shard. Configure sets the classes and the
// weights of organisations before the first Push. A weight that is missing or not
// positive counts as one.
type Queue struct {
	levels       map[int]*level
	ranks        []int // in ascending order
	items        map[string]*Item
	late         map[string]bool // IDs of the late items
	classes      map[string]Class
	weights      map[string]float64 // weights by organisation
	floors       []*floor           // in the order of class names
	floorByClass map[string]*floor
	expiry       expiryHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		levels:       map[int]*level{},
		items:        map[string]*Item{},
		late:         map[string]bool{},
		classes:      map[string]Class{},
		weights:      map[string]float64{},
		floorByClass: map[string]*floor{},
	}
}

// Configure sets the classes and the weights of organisations. Items that already
// wait keep their tier, class and order.
func (q *Queue) Configure(classes []Class, weights map[string]float64) {
	q.classes = map[string]Class{}
	q.weights = weights
	q.floors = nil
	old := q.floorByClass
	q.floorByClass = map[string]*floor{}
	for _, c := range classes {
		q.classes[c.Name] = c
		f := old[c.Name]
		if f == nil {
			f = &floor{class: c.Name}
		}
		f.rank, f.share = c.Rank, c.Floor
		q.floorByClass[c.Name] = f
		q.floors = append(q.floors, f)
	}
	sort.Slice(q.floors, func(i, j int) bool { return q.floors[i].class < q.floors[j].class })
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.items)
}

// Has reports whether the item waits.
func (q *Queue) Has(id string) bool {
	return q.items[id] != nil
}

// Waiting returns the number of waiting items of a class.
func (q *Queue) Waiting(class string) int {
	n := 0
	for _, l := range q.levels {
		if c := l.classes[class]; c != nil {
			n += c.waiting()
		}
	}
	return n
}

// WaitingUpTo returns the number of waiting items of the rank and all higher
// tiers.
func (q *Queue) WaitingUpTo(rank int) int {
	n := 0
	for _, r := range q.ranks {
		if r <= rank {
			n += q.levels[r].waiting
		}
	}
	return n
}

// HighestRank returns the rank of the highest tier with waiting items, or zero if
// there is none.
func (q *Queue) HighestRank() int {
	for _, rank := range q.ranks {
		if q.levels[rank].waiting > 0 {
			return rank
		}
	}
	return 0
}

// LowestRank returns the rank of the lowest tier with waiting items, or zero if
// there is none.
func (q *Queue) LowestRank() int {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		if q.levels[q.ranks[i]].waiting > 0 {
			return q.ranks[i]
		}
	}
	return 0
}

func (q *Queue) level(rank int) *level {
	l := q.levels[rank]
	if l == nil {
		l = newLevel(rank)
		q.levels[rank] = l
		q.ranks = append(q.ranks, rank)
		sort.Ints(q.ranks)
	}
	return l
}

func (q *Queue) weight(org string) float64 {
	if w := q.weights[org]; w > 0 {
		return w
	}
	return 1
}

// Push adds an item. It panics if an item with the same ID already waits.
func (q *Queue) Push(it *Item) {
	if q.items[it.ID] != nil {
		panic("tier: item " + it.ID + " pushed twice")
	}
	l := q.level(it.Rank)
	w := q.classes[it.Class].Weight
	if w <= 0 {
		w = 1
	}
	c := l.class(it.Class, w)
	if c.waiting() == 0 {
		c.catchUp(l.pass)
	}
	o := c.org(it.Organisation, q.weight(it.Organisation))
	if o.items.len() == 0 {
		o.catchUp(c.orgPass)
		heap.Push(&c.active, o)
	}
	o.items.push(it)
	c.onTime++
	l.waiting++
	q.items[it.ID] = it
	heap.Push(&q.expiry, it)
	q.RecordDemand(it.Class)
}

// RecordDemand records that a class has demand, also if its request was not
// admitted.
func (q *Queue) RecordDemand(class string) {
	if f := q.floorByClass[class]; f != nil {
		f.demand = true
	}
}

// Remove removes an item and returns it, or nil if it does not wait.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	l := q.levels[it.Rank]
	c := l.classes[it.Class]
	if q.late[id] {
		c.late.remove(it)
	} else {
		q.removeOnTime(c, it)
	}
	q.deleteEntry(l, it)
	return it
}

func (q *Queue) removeOnTime(c *classQueue, it *Item) {
	o := c.orgs[it.Organisation]
	o.items.remove(it)
	c.onTime--
	if o.items.len() > 0 {
		return
	}
	heap.Remove(&c.active, o.index)
}

func (q *Queue) deleteEntry(l *level, it *Item) {
	delete(q.items, it.ID)
	delete(q.late, it.ID)
	l.waiting--
}

// Next returns the item that is dispatched next, without removing it, and whether
// it is dispatched for its class's floor. The item is nil if none waits.
func (q *Queue) Next(now time.Time) (*Item, bool) {
	if it := q.floorItem(); it != nil {
		return it, true
	}
	return q.Head(now), false
}

// floorItem returns the first item of the waiting class with the most credit due,
// or nil if no waiting class has a floor dispatch due.
func (q *Queue) floorItem() *Item {
	var best *floor
	for _, f := range q.floors {
		if f.due() && (best == nil || f.credit > best.credit) && q.Waiting(f.class) > 0 {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return q.firstOfClass(best.class)
}

func (q *Queue) firstOfClass(class string) *Item {
	for _, rank := range q.ranks {
		c := q.levels[rank].classes[class]
		if c == nil || c.waiting() == 0 {
			continue
		}
		if c.onTime > 0 {
			return c.active[0].items.first()
		}
		return c.late.first()
	}
	return nil
}

// Head returns the first item in regular order: of the highest tier, items that are
// on time before late ones. It returns nil if none waits. Items that it finds to be
// late are moved to the late items of their class.
func (q *Queue) Head(now time.Time) *Item {
	rank := q.HighestRank()
	if rank == 0 {
		return nil
	}
	l := q.levels[rank]
	for {
		c := l.next(func(c *classQueue) bool { return c.onTime > 0 })
		if c == nil {
			return l.next(func(c *classQueue) bool { return c.late.len() > 0 }).late.first()
		}
		it := c.active[0].items.first()
		if now.Before(it.Due) {
			return it
		}
		q.removeOnTime(c, it)
		c.late.push(it)
		q.late[it.ID] = true
	}
}

// Dispatch removes the item, charges its class and organisation and updates the
// floors.
func (q *Queue) Dispatch(it *Item) {
	l := q.levels[it.Rank]
	c := l.classes[it.Class]
	l.pass = c.pass
	c.charge(it.Cost)
	if o := c.orgs[it.Organisation]; o != nil && !q.late[it.ID] {
		c.orgPass = o.pass
		o.charge(it.Cost)
		heap.Fix(&c.active, o.index)
	}
	q.Remove(it.ID)
	q.recordDispatch(it.Class)
}

// recordDispatch updates all floors for one dispatch of the class.
func (q *Queue) recordDispatch(class string) {
	for _, f := range q.floors {
		waits := q.Waiting(f.class) > 0
		if f.class == class {
			f.spend()
			f.demand = waits
			continue
		}
		f.accrue()
		if waits {
			f.passedOver++
		} else {
			f.passedOver = 0
		}
	}
}

// FloorDue reports whether the class has a floor dispatch due.
func (q *Queue) FloorDue(class string) bool {
	f := q.floorByClass[class]
	return f != nil && f.due()
}

// RecordFloorDispatch records a dispatch of the class for its floor that did
// not pass through the queue.
func (q *Queue) RecordFloorDispatch(class string) {
	q.recordDispatch(class)
}

// Starved returns a waiting class that was passed over more often than its floor
// allows, or the empty string.
func (q *Queue) Starved() string {
	for _, f := range q.floors {
		if f.passedOver > f.maxPassedOver(len(q.floors)) {
			return f.class
		}
	}
	return ""
}

// Victim returns the item that is shed first. It is of the lowest waiting tier and
// there of the class with the most waiting items for its weight. If items of this
// class are late, it is the late one with the latest Due; otherwise the one with the
// latest Due of the organisation with the most items for its weight. It returns nil
// if none waits.
func (q *Queue) Victim() *Item {
	rank := q.LowestRank()
	if rank == 0 {
		return nil
	}
	c := q.levels[rank].largestBacklog()
	if c.late.len() > 0 {
		return c.late.last()
	}
	return c.largestBacklog().items.last()
}

// Expired removes and returns the items whose Expires is not after now.
func (q *Queue) Expired(now time.Time) []*Item {
	var out []*Item
	for len(q.expiry) > 0 {
		it := q.expiry[0]
		removed := q.items[it.ID] != it
		if !removed && now.Before(it.Expires) {
			break
		}
		heap.Pop(&q.expiry)
		if !removed {
			q.Remove(it.ID)
			out = append(out, it)
		}
	}
	return out
}

// expiryHeap orders items by Expires. Items that were removed from the queue
// stay in the heap until they expire.
type expiryHeap []*Item

// Len returns the number of items.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by Expires.
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

// Swap exchanges two items.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an item.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Item)) }

// Pop removes and returns the last item.
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
