package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
)

// chaos is one series of faults. Several run at once.
type chaos struct {
	world *world
	rnd   *rand.Rand
	ctx   context.Context
}

const (
	shortestPause = 100 * time.Millisecond // shortestPause and longestPause bound the time that something is down.
	longestPause  = 1500 * time.Millisecond
	longestRest   = 6 * time.Second // longestRest bounds the time between two faults of a series.
	shortestFault = 300 * time.Millisecond
	longestFault  = 6 * time.Second
	lapseReturn   = 1500 * time.Millisecond // lapseReturn is how long after an outage lapsed entries are back.
	watchedLeave  = 2 * time.Second         // watchedLeave is how long a leaving upstream is watched for new work.
	mostEntries   = 3                       // mostEntries bounds the upstreams harmed by one fault.
)

// fault is one kind of fault.
type fault struct {
	name   string
	weight int // weight is how often it comes against the others.
	bring  func(c *chaos)
}

// faults are all kinds.
var faults = []fault{
	{"kill", 2, (*chaos).kill},
	{"kill many", 1, (*chaos).killMany},
	{"planned stop", 2, (*chaos).stop},
	{"rolling stop", 1, (*chaos).roll},
	{"pause", 1, (*chaos).pause},
	{"reload", 1, (*chaos).reload},
	{"isolation", 1, (*chaos).isolate},
	{"store cut off", 1, func(c *chaos) { c.link(c.node(), func(n *node) *Link { return n.store }) }},
	{"peers cut off", 1, func(c *chaos) { c.link(c.node(), func(n *node) *Link { return n.peers }) }},
	{"callers harmed", 1, func(c *chaos) { c.link(c.node(), func(n *node) *Link { return n.callers }) }},
	{"datagrams cut off", 1, (*chaos).datagrams},
	{"store fault", 4, (*chaos).store},
	{"history dropped", 1, func(c *chaos) { c.world.store.Compact() }},
	{"upstream fault", 5, (*chaos).runner},
	{"upstream link", 1, (*chaos).upstreamLink},
	{"upstream leaves", 1, (*chaos).leave},
	{"upstream crashes", 1, (*chaos).crash},
}

// draw returns a kind of fault by weight.
func (c *chaos) draw() fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	at := c.rnd.IntN(total)
	for _, f := range faults {
		if at -= f.weight; at < 0 {
			return f
		}
	}
	panic("the weights of the faults do not add up")
}

// run brings about one fault after the other until the context ends.
func (c *chaos) run() {
	for {
		c.wait(shortestPause, longestRest)
		if c.ctx.Err() != nil {
			return
		}
		f := c.draw()
		c.world.mu.Lock()
		c.world.faults[f.name]++
		c.world.mu.Unlock()
		f.bring(c)
	}
}

func (c *chaos) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rnd.Int64N(int64(most-least)))
}

// wait waits for a random time.
func (c *chaos) wait(least, most time.Duration) {
	sleep(c.ctx, c.between(least, most))
}

// last waits for the random time that a fault lasts.
func (c *chaos) last() {
	c.wait(shortestFault, longestFault)
}

func (c *chaos) node() *node {
	return c.world.nodes[c.rnd.IntN(len(c.world.nodes))]
}

func (c *chaos) upstream() *upstream {
	return c.world.upstreams[c.rnd.IntN(len(c.world.upstreams))]
}

func (c *chaos) say(format string, args ...any) {
	c.world.say(format, args...)
}

// restart starts a node that is down.
func (c *chaos) restart(n *node) {
	if err := n.start(); err != nil {
		c.world.broken("own ends", "%s cannot be started: %v", n.name, err)
	}
}

func (c *chaos) kill() {
	n := c.node()
	c.say("kill %s", n.name)
	defer n.harm()()
	n.kill()
	c.wait(shortestFault, longestFault)
	c.restart(n)
}

// killMany kills most or all nodes at the same moment.
func (c *chaos) killMany() {
	share := []float64{0.6, 1}[c.rnd.IntN(2)]
	var hit []*node
	for _, n := range c.world.nodes {
		if c.rnd.Float64() < share {
			hit = append(hit, n)
			defer n.harm()()
		}
	}
	c.say("kill %d nodes", len(hit))
	for _, n := range hit {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range hit {
		n.kill()
	}
	c.wait(shortestFault, longestPause)
	for _, n := range hit {
		c.restart(n)
	}
}

func (c *chaos) stop() {
	n := c.node()
	c.say("stop %s", n.name)
	c.stopAndStart(n)
}

func (c *chaos) stopAndStart(n *node) {
	since := time.Now()
	ended := n.stop()
	c.world.checked(stopsInTime)
	if !ended && n.unharmed(since.Add(-contactTime)) {
		c.world.broken(stopsInTime, "%s still ran %s after its stop signal", n.name, gracePeriod)
	}
	c.wait(shortestPause, longestPause)
	c.restart(n)
}

func (c *chaos) roll() {
	c.say("rolling stop")
	for _, n := range c.world.nodes {
		if c.ctx.Err() != nil {
			return
		}
		c.stopAndStart(n)
	}
}

func (c *chaos) pause() {
	n := c.node()
	defer n.harm()()
	c.say("pause %s", n.name)
	n.signal(syscall.SIGSTOP)
	c.last()
	n.signal(syscall.SIGCONT)
}

func (c *chaos) reload() {
	n := c.node()
	c.say("reload %s", n.name)
	n.signal(syscall.SIGHUP)
}

// isolate cuts a node off from the store and the others, or only what comes to
// it.
func (c *chaos) isolate() {
	n := c.node()
	defer n.harm()()
	f := LinkFaults{CutIn: true, CutOut: c.rnd.IntN(2) == 0}
	c.say("isolate %s %+v", n.name, f)
	for _, l := range []*Link{n.store, n.peers} {
		l.Set(f)
		defer l.Set(LinkFaults{})
	}
	n.news.Cut(true)
	defer n.news.Cut(false)
	c.last()
}

// link harms one link of a node in one of the ways there are.
func (c *chaos) link(n *node, of func(n *node) *Link) {
	defer n.harm()()
	c.harmLink(n.name, of(n))
}

func (c *chaos) harmLink(name string, l *Link) {
	defer l.Set(LinkFaults{})
	switch c.rnd.IntN(6) {
	case 0:
		c.say("reset connections of %s", name)
		l.Reset(c.rnd, 0.6)
	case 1:
		c.say("silence connections of %s", name)
		l.Silence(c.rnd, 0.8)
	case 2:
		c.say("cut what comes to %s", name)
		l.Set(LinkFaults{CutIn: true})
	case 3:
		c.say("cut what comes from %s", name)
		l.Set(LinkFaults{CutOut: true})
	case 4:
		c.say("refuse connections to %s", name)
		l.Set(LinkFaults{Refuse: true})
	case 5:
		d := c.between(10*time.Millisecond, 300*time.Millisecond)
		c.say("delay %s by %s", name, d)
		l.Set(LinkFaults{Delay: d})
	}
	c.last()
}

func (c *chaos) datagrams() {
	n := c.node()
	defer n.harm()()
	c.say("cut datagrams to %s", n.name)
	n.news.Cut(true)
	defer n.news.Cut(false)
	c.last()
}

// store brings about a fault of the store. In some outages entries lapse.
func (c *chaos) store() {
	w := c.world
	var f platform.Faults
	switch c.rnd.IntN(6) {
	case 0:
		f.Outage = true
	case 1:
		f.Silent = true
	case 2:
		f.Slow = c.between(50*time.Millisecond, time.Second)
	case 3:
		f.LoseAnswers = 1 + c.rnd.IntN(4)
	case 4:
		f.LateWrites = 1 + c.rnd.IntN(3)
	case 5:
		f.DeafWatches = true
	}
	c.say("store: %+v", f)
	w.mu.Lock()
	w.storeFaults++
	w.storeCalm = time.Time{}
	w.mu.Unlock()
	w.store.Set(f)
	c.last()
	var lapsed []*upstream
	if (f.Outage || f.Silent) && c.rnd.IntN(2) == 0 {
		lapsed = w.lapse()
	}
	w.mu.Lock()
	w.storeFaults--
	last := w.storeFaults == 0
	if last {
		w.storeCalm = time.Now()
	}
	w.mu.Unlock()
	if last {
		w.store.Set(platform.Faults{})
	}
	if lapsed != nil {
		sleep(c.ctx, lapseReturn)
		w.relist(lapsed)
	}
}

// runner lets some upstreams fail.
func (c *chaos) runner() {
	f := []runner.Faults{
		{Full: true},
		{Failing: true},
		{Unsigned: true},
		{Twice: true},
		{Silent: true},
		{DropAnswer: true},
		{BreakAfter: 1 + c.rnd.IntN(8)},
		{Delay: c.between(100*time.Millisecond, 4*time.Second)},
		{Pause: c.between(20*time.Millisecond, 500*time.Millisecond)},
	}[c.rnd.IntN(9)]
	if f.Delay == 0 {
		f.Delay = usual.Delay
	}
	if f.Pause == 0 {
		f.Pause = usual.Pause
	}
	var hit []*runner.Runner
	for range 1 + c.rnd.IntN(mostEntries) {
		u := c.upstream()
		defer u.harm()()
		r := u.current()
		hit = append(hit, r)
		c.say("upstream %s: %+v", r.ID, f)
		r.Set(f)
	}
	c.last()
	for _, r := range hit {
		r.Set(usual)
	}
}

func (c *chaos) upstreamLink() {
	u := c.upstream()
	defer u.harm()()
	c.harmLink(u.current().ID, u.link)
}

// leave lets an upstream leave as planned and checks that calm nodes send it
// nothing once the bound has passed.
func (c *chaos) leave() {
	u, w := c.upstream(), c.world
	if !u.occupy() {
		return
	}
	defer u.release()
	r := u.current()
	c.say("upstream %s leaves", r.ID)
	w.announce(u, "draining")
	acknowledged := time.Now()
	since := acknowledged.Add(-contactTime)
	sleep(c.ctx, drainBound)
	from := time.Now()
	sleep(c.ctx, watchedLeave)
	for _, s := range r.After(from) {
		w.mu.Lock()
		sent := w.sent[s]
		w.mu.Unlock()
		if sent.node != nil && sent.node.serving(since) && w.storeCalmSince(since) {
			w.broken(leavesAlone, "%s got request %s of %s more than %s after it began to leave", r.ID, s, sent.node.name, drainBound)
		}
	}
	w.checked(leavesAlone)
	w.store.Delete("servers", r.ID)
	defer u.harm()()
	c.wait(shortestPause, longestPause)
	u.renew()
	w.announce(u, "ready")
}

// crash lets an upstream end without a word and start again under another ID
// while its entry stays for a while.
func (c *chaos) crash() {
	u, w := c.upstream(), c.world
	if !u.occupy() {
		return
	}
	defer u.release()
	defer u.harm()()
	old := u.current()
	c.say("upstream %s crashes", old.ID)
	u.link.Set(LinkFaults{Refuse: true})
	u.link.Reset(c.rnd, 1)
	c.last()
	u.renew()
	u.link.Set(LinkFaults{})
	w.announce(u, "ready")
	c.wait(shortestPause, longestPause)
	w.store.Delete("servers", old.ID)
}
