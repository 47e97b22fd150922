package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"knapweedwell/standin/runner"
)

// injector injects one series of faults, one after the other. Several injectors
// run at once.
type injector struct {
	testbed *testbed
	rng     *rand.Rand
	ctx     context.Context
}

const (
	// minPause and maxPause bound the downtime of a node or upstream. minPause is also
	// the shortest time between two faults of a series, maxFaultGap the longest.
	minPause           = 100 * time.Millisecond
	maxPause           = 1500 * time.Millisecond
	maxFaultGap        = 6 * time.Second
	minFaultDuration   = 300 * time.Millisecond
	maxFaultDuration   = 6 * time.Second
	entryRestoreDelay  = 1500 * time.Millisecond // from the end of a fault of the store until removed entries are written again
	leaveWatchTime     = 2 * time.Second         // during which new requests to a leaving upstream are violations
	maxFaultyUpstreams = 3                       // affected by one fault
	maxRestoredAge     = 10 * time.Second        // of the copy from which the store comes back
)

// fault is one kind of fault, with the function that injects it once.
type fault struct {
	name   string
	weight int // relative frequency
	inject func(inj *injector)
}

// faults are all kinds of fault.
var faults = []fault{
	{"kill", 2, (*injector).kill},
	{"kill many", 1, (*injector).killMany},
	{"planned stop", 2, (*injector).plannedStop},
	{"rolling stop", 1, (*injector).rollingStop},
	{"pause", 1, (*injector).pause},
	{"reload", 1, (*injector).reload},
	{"isolation", 1, (*injector).isolate},
	{"store link", 1, func(inj *injector) { inj.nodeProxy(inj.randomNode(), func(n *node) *Proxy { return n.store }) }},
	{"peer link", 1, func(inj *injector) { inj.nodeProxy(inj.randomNode(), func(n *node) *Proxy { return n.peers }) }},
	{"caller link", 1, func(inj *injector) { inj.nodeProxy(inj.randomNode(), func(n *node) *Proxy { return n.callers }) }},
	{"datagrams dropped", 1, (*injector).dropDatagrams},
	{"store fault", 4, (*injector).storeFault},
	{"store restored", 2, (*injector).restoreStore},
	{"history compacted", 1, func(inj *injector) { inj.testbed.store.Compact() }},
	{"upstream fault", 5, (*injector).upstreamFault},
	{"upstream link", 1, (*injector).upstreamProxy},
	{"upstream leaves", 1, (*injector).upstreamLeave},
	{"upstream crashes", 1, (*injector).upstreamCrash},
}

// pickFault returns a random kind of fault, by weight.
func (inj *injector) pickFault() fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	remaining := inj.rng.IntN(total)
	for _, f := range faults {
		if remaining -= f.weight; remaining < 0 {
			return f
		}
	}
	panic("the weights of the faults do not cover the random number")
}

// run injects one fault after the other until the context ends.
func (inj *injector) run() {
	for {
		inj.sleepRandom(minPause, maxFaultGap)
		if inj.ctx.Err() != nil {
			return
		}
		f := inj.pickFault()
		inj.testbed.mu.Lock()
		inj.testbed.faults[f.name]++
		inj.testbed.mu.Unlock()
		inj.tracef("fault: %s", f.name)
		f.inject(inj)
	}
}

// randomDuration returns a random duration from the minimum up to, but not
// including, the maximum.
func (inj *injector) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(inj.rng.Int64N(int64(maximum-minimum)))
}

// sleepRandom waits for a random time between the bounds, or until the context
// ends.
func (inj *injector) sleepRandom(minimum, maximum time.Duration) {
	sleep(inj.ctx, inj.randomDuration(minimum, maximum))
}

// sleepFaultDuration waits for the random duration of a fault, or until the
// context ends.
func (inj *injector) sleepFaultDuration() {
	inj.sleepRandom(minFaultDuration, maxFaultDuration)
}

func (inj *injector) randomNode() *node {
	return inj.testbed.nodes[inj.rng.IntN(len(inj.testbed.nodes))]
}

func (inj *injector) randomUpstream() *upstream {
	return inj.testbed.upstreams[inj.rng.IntN(len(inj.testbed.upstreams))]
}

func (inj *injector) tracef(format string, args ...any) {
	inj.testbed.tracef(format, args...)
}

// restart starts a node whose process has exited.
func (inj *injector) restart(n *node) {
	if err := n.start(); err != nil {
		inj.testbed.reportViolation("no unexpected exits", "%s cannot be started: %v", n.name, err)
	}
}

// kill kills a node and starts it again after the duration of a fault.
func (inj *injector) kill() {
	n := inj.randomNode()
	inj.tracef("kill %s", n.name)
	defer n.beginFault()()
	n.kill()
	inj.sleepRandom(minFaultDuration, maxFaultDuration)
	inj.restart(n)
}

// killMany kills most or all nodes at the same time.
func (inj *injector) killMany() {
	share := []float64{0.6, 1}[inj.rng.IntN(2)]
	var targets []*node
	for _, n := range inj.testbed.nodes {
		if inj.rng.Float64() < share {
			targets = append(targets, n)
			defer n.beginFault()()
		}
	}
	inj.tracef("kill %d instances", len(targets))
	for _, n := range targets {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range targets {
		n.kill()
	}
	inj.sleepRandom(minFaultDuration, maxPause)
	for _, n := range targets {
		inj.restart(n)
	}
}

// plannedStop stops a node with a stop signal and starts it again.
func (inj *injector) plannedStop() {
	n := inj.randomNode()
	inj.tracef("stop %s", n.name)
	inj.stopAndRestart(n)
}

// stopAndRestart stops a node, checks that it exits within the grace period unless
// a fault affected it, and starts it again after a random pause.
func (inj *injector) stopAndRestart(n *node) {
	since := time.Now()
	exited := n.stop()
	inj.testbed.countCheck(stopsInTime)
	if !exited && n.faultFreeSince(since.Add(-settleTime)) {
		inj.testbed.reportViolation(stopsInTime, "%s was still running %s after its stop signal", n.name, gracePeriod)
	}
	inj.sleepRandom(minPause, maxPause)
	inj.restart(n)
}

// rollingStop stops and restarts all nodes, one after the other.
func (inj *injector) rollingStop() {
	inj.tracef("rolling stop")
	for _, n := range inj.testbed.nodes {
		if inj.ctx.Err() != nil {
			return
		}
		inj.stopAndRestart(n)
	}
}

// pause suspends the process of a node for the duration of a fault.
func (inj *injector) pause() {
	n := inj.randomNode()
	defer n.beginFault()()
	inj.tracef("pause %s", n.name)
	n.signal(syscall.SIGSTOP)
	inj.sleepFaultDuration()
	n.signal(syscall.SIGCONT)
}

// reload sends a node the reload signal.
func (inj *injector) reload() {
	n := inj.randomNode()
	inj.tracef("reload %s", n.name)
	n.signal(syscall.SIGHUP)
}

// isolate cuts a node off from the store and the other instances: it drops the
// datagrams to the node, and holds back the data to the store and to the node's
// peer address, and at random also the data from them.
func (inj *injector) isolate() {
	n := inj.randomNode()
	defer n.beginFault()()
	f := ProxyFaults{CutIn: true, CutOut: inj.rng.IntN(2) == 0}
	inj.tracef("isolate %s %+v", n.name, f)
	for _, p := range []*Proxy{n.store, n.peers} {
		p.Set(f)
		defer p.Set(ProxyFaults{})
	}
	n.datagrams.Cut(true)
	defer n.datagrams.Cut(false)
	inj.sleepFaultDuration()
}

// nodeProxy injects a random fault into the proxy of a node that proxyOf returns.
func (inj *injector) nodeProxy(n *node, proxyOf func(n *node) *Proxy) {
	defer n.beginFault()()
	inj.disturbProxy(n.name, proxyOf(n))
}

// disturbProxy injects a random fault into a proxy for the duration of a fault. The
// name is that of the instance or upstream behind the proxy.
func (inj *injector) disturbProxy(name string, p *Proxy) {
	defer p.Set(ProxyFaults{})
	switch inj.rng.IntN(6) {
	case 0:
		inj.tracef("reset connections of %s", name)
		p.Reset(inj.rng, 0.6)
	case 1:
		inj.tracef("silence connections of %s", name)
		p.Silence(inj.rng, 0.8)
	case 2:
		inj.tracef("hold back data to %s", name)
		p.Set(ProxyFaults{CutIn: true})
	case 3:
		inj.tracef("hold back data from %s", name)
		p.Set(ProxyFaults{CutOut: true})
	case 4:
		inj.tracef("refuse connections to %s", name)
		p.Set(ProxyFaults{Refuse: true})
	case 5:
		d := inj.randomDuration(10*time.Millisecond, 300*time.Millisecond)
		inj.tracef("delay %s by %s", name, d)
		p.Set(ProxyFaults{Delay: d})
	}
	inj.sleepFaultDuration()
}

// dropDatagrams drops the datagrams to a node for the duration of a fault.
func (inj *injector) dropDatagrams() {
	n := inj.randomNode()
	defer n.beginFault()()
	inj.tracef("drop datagrams to %s", n.name)
	n.datagrams.Cut(true)
	defer n.datagrams.Cut(false)
	inj.sleepFaultDuration()
}

// upstreamFault injects the same random fault into one or more upstreams.
func (inj *injector) upstreamFault() {
	f := []runner.Faults{
		{Full: true},
		{Failing: true},
		{Unsigned: true},
		{Twice: true},
		{Silent: true},
		{DropAnswer: true},
		{BreakAfter: 1 + inj.rng.IntN(8)},
		{Delay: inj.randomDuration(100*time.Millisecond, 4*time.Second)},
		{Pause: inj.randomDuration(20*time.Millisecond, 500*time.Millisecond)},
	}[inj.rng.IntN(9)]
	if f.Delay == 0 {
		f.Delay = normalDelays.Delay
	}
	if f.Pause == 0 {
		f.Pause = normalDelays.Pause
	}
	var targets []*runner.Runner
	for range 1 + inj.rng.IntN(maxFaultyUpstreams) {
		u := inj.randomUpstream()
		defer u.beginFault()()
		r := u.current()
		targets = append(targets, r)
		inj.tracef("upstream %s: %+v", r.ID, f)
		r.SetFaults(f)
	}
	inj.sleepFaultDuration()
	for _, r := range targets {
		r.SetFaults(normalDelays)
	}
}

// upstreamProxy injects a random fault into the proxy of an upstream.
func (inj *injector) upstreamProxy() {
	u := inj.randomUpstream()
	defer u.beginFault()()
	inj.disturbProxy(u.current().ID, u.proxy)
}

// upstreamLeave drains an upstream, or removes its entry while it serves on, and checks that
// instances without faults send it no requests once drainBound has passed. The upstream then
// restarts.
func (inj *injector) upstreamLeave() {
	u, tb := inj.randomUpstream(), inj.testbed
	if !u.reserve() {
		return
	}
	defer u.release()
	r := u.current()
	if (slices.Index(tb.upstreams, u)+len(u.incarnations()))%2 == 0 {
		inj.tracef("entry of upstream %s is removed", r.ID)
		tb.store.Delete("servers", r.ID)
	} else {
		inj.tracef("upstream %s leaves", r.ID)
		tb.writeEntry(u, "draining")
	}
	acknowledged := time.Now()
	since := acknowledged.Add(-settleTime)
	sleep(inj.ctx, drainBound)
	watchStart := time.Now()
	sleep(inj.ctx, leaveWatchTime)
	for _, id := range r.ReceivedAfter(watchStart) {
		tb.mu.Lock()
		sent := tb.sent[id]
		tb.mu.Unlock()
		if sent.node != nil && sent.node.servingSince(since) && tb.storeHealthySince(since) {
			tb.reportViolation(noWorkWhenLeaving, "%s received request %s from %s more than %s after it began to leave", r.ID, id, sent.node.name, drainBound)
		}
	}
	tb.countCheck(noWorkWhenLeaving)
	tb.store.Delete("servers", r.ID)
	defer u.beginFault()()
	inj.sleepRandom(minPause, maxPause)
	u.restart()
	tb.writeEntry(u, "ready")
}

// upstreamCrash resets the connections of an upstream and refuses new ones, as after
// a crash without notice, and restarts the upstream under another ID. The entry of
// the old ID stays in the store until some time after the restart.
func (inj *injector) upstreamCrash() {
	u, tb := inj.randomUpstream(), inj.testbed
	if !u.reserve() {
		return
	}
	defer u.release()
	defer u.beginFault()()
	old := u.current()
	inj.tracef("upstream %s crashes", old.ID)
	u.proxy.Set(ProxyFaults{Refuse: true})
	u.proxy.Reset(inj.rng, 1)
	inj.sleepFaultDuration()
	u.restart()
	u.proxy.Set(ProxyFaults{})
	tb.writeEntry(u, "ready")
	inj.sleepRandom(minPause, maxPause)
	tb.store.Delete("servers", old.ID)
}
