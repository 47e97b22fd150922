package tier

import "sort"

// share keeps the position of one class or organisation in a weighted round:
// the one with the least pass goes next, and its pass grows by cost/weight.
type share struct {
	weight float64
	pass   float64
}

func (s *share) charge(cost float64) {
	s.pass += cost / s.weight
}

// catchUp moves a share that was idle up to the round's present position.
func (s *share) catchUp(pass float64) {
	if s.pass < pass {
		s.pass = pass
	}
}

// orgFlow holds the on-time items of one organisation in one class.
type orgFlow struct {
	share
	name  string
	line  line
	index int // index is its place in the heap.
}

// classFlow holds the items of one class.
type classFlow struct {
	share
	name    string
	orgs    map[string]*orgFlow
	active  orgHeap // active holds the organisations with on-time items.
	orgPass float64
	onTime  int
	late    line
}

func (c *classFlow) waiting() int {
	return c.onTime + c.late.len()
}

// level holds the classes of one tier.
type level struct {
	rank    int
	classes map[string]*classFlow
	order   []*classFlow // order lists the classes by name.
	pass    float64
	waiting int
}

func newLevel(rank int) *level {
	return &level{rank: rank, classes: map[string]*classFlow{}}
}

func (l *level) class(name string, weight float64) *classFlow {
	c := l.classes[name]
	if c == nil {
		c = &classFlow{name: name, orgs: map[string]*orgFlow{}}
		l.classes[name] = c
		l.order = append(l.order, c)
		sort.Slice(l.order, func(i, j int) bool { return l.order[i].name < l.order[j].name })
	}
	c.weight = weight
	return c
}

func (c *classFlow) org(name string, weight float64) *orgFlow {
	o := c.orgs[name]
	if o == nil {
		o = &orgFlow{name: name}
		c.orgs[name] = o
	}
	o.weight = weight
	return o
}

// next returns the class whose turn it is among those for which has is true.
func (l *level) next(has func(*classFlow) bool) *classFlow {
	var best *classFlow
	for _, c := range l.order {
		if has(c) && (best == nil || c.pass < best.pass) {
			best = c
		}
	}
	return best
}

// largest returns the class with the most waiting items for its weight.
func (l *level) largest() *classFlow {
	var best *classFlow
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

// largest returns the organisation with the most on-time items for its weight.
func (c *classFlow) largest() *orgFlow {
	var best *orgFlow
	for _, o := range c.active {
		a := float64(o.line.len()) / o.weight
		if best == nil || a > float64(best.line.len())/best.weight || (a == float64(best.line.len())/best.weight && o.name < best.name) {
			best = o
		}
	}
	return best
}

// orgHeap orders organisations by pass, then name.
type orgHeap []*orgFlow

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
	o := x.(*orgFlow)
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop takes the last organisation.
func (h *orgHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
