package tier

import "sort"

// stride is the position of one class or organisation in stride scheduling
// (Waldspurger and Weihl, 1995): the one with the lowest pass goes next, and its
// pass grows by cost/weight.
type stride struct {
	weight float64
	pass   float64
}

func (s *stride) charge(cost float64) {
	s.pass += cost / s.weight
}

// catchUp raises the pass after an idle time to the current pass of the others.
func (s *stride) catchUp(pass float64) {
	if s.pass < pass {
		s.pass = pass
	}
}

// orgQueue is the queue of the on-time items of one organisation in one class.
type orgQueue struct {
	stride
	name  string
	items itemList
	index int // index in the heap
}

// classQueue is the queue of one class.
type classQueue struct {
	stride
	name    string
	orgs    map[string]*orgQueue
	active  orgHeap // organisations with on-time items
	orgPass float64 // pass at the most recent dispatch of an on-time item
	onTime  int     // number of on-time items
	late    itemList
}

func (c *classQueue) waiting() int {
	return c.onTime + c.late.len()
}

// level is the queue of one tier.
type level struct {
	rank    int
	classes map[string]*classQueue
	order   []*classQueue // classes in the order of their names
	pass    float64       // pass at the most recent dispatch
	waiting int
}

func newLevel(rank int) *level {
	return &level{rank: rank, classes: map[string]*classQueue{}}
}

func (l *level) class(name string, weight float64) *classQueue {
	c := l.classes[name]
	if c == nil {
		c = &classQueue{name: name, orgs: map[string]*orgQueue{}}
		l.classes[name] = c
		l.order = append(l.order, c)
		sort.Slice(l.order, func(i, j int) bool { return l.order[i].name < l.order[j].name })
	}
	c.weight = weight
	return c
}

func (c *classQueue) org(name string, weight float64) *orgQueue {
	o := c.orgs[name]
	if o == nil {
		o = &orgQueue{name: name}
		c.orgs[name] = o
	}
	o.weight = weight
	return o
}

// next returns the class with the lowest pass among those that are eligible, or
// nil if there are none.
func (l *level) next(eligible func(*classQueue) bool) *classQueue {
	var best *classQueue
	for _, c := range l.order {
		if eligible(c) && (best == nil || c.pass < best.pass) {
			best = c
		}
	}
	return best
}

// largestBacklog returns the class with the most waiting items for its weight, or
// nil if none waits.
func (l *level) largestBacklog() *classQueue {
	var best *classQueue
	for _, c := range l.order {
		if c.waiting() == 0 {
			continue
		}
		if best == nil || float64(c.waiting())/c.weight > float64(best.waiting())/best.weight {
			best = c
		}
	}
	return best
}

// largestBacklog returns the organisation with the most on-time items for its
// weight, the first name among equals, or nil if there are none.
func (c *classQueue) largestBacklog() *orgQueue {
	var best *orgQueue
	for _, o := range c.active {
		backlog := float64(o.items.len()) / o.weight
		if best == nil || backlog > float64(best.items.len())/best.weight || (backlog == float64(best.items.len())/best.weight && o.name < best.name) {
			best = o
		}
	}
	return best
}

// orgHeap orders organisations by pass, then name.
type orgHeap []*orgQueue

// Len returns the number of organisations.
func (h orgHeap) Len() int { return len(h) }

// Less orders by pass, then name.
func (h orgHeap) Less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	return h[i].name < h[j].name
}

// Swap exchanges two organisations.
func (h orgHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an organisation.
func (h *orgHeap) Push(x any) {
	o := x.(*orgQueue)
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop removes and returns the last organisation.
func (h *orgHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
