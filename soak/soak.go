package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"knapweedwell/standin/platform"
)

const (
	startWait    = 5 * time.Second // startWait is the time that a fleet has to start.
	changePeriod = 2 * time.Second // changePeriod is the pause between two changes of the configuration.
	sweepPeriod  = 5 * time.Second // sweepPeriod is the time between two checks of what ran.
	lateRefusal  = 3 * time.Second // lateRefusal is how long after the last answer a refused request might still run.
)

// Run runs a soak. The error says that it could not be run; broken promises are
// in the report.
func Run(o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		if w != nil {
			w.close()
		}
		return Report{}, err
	}
	defer w.close()
	time.Sleep(startWait)
	w.begun = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	defer cancel()
	callers, stopCallers := context.WithCancel(context.Background())
	var faulty, calls sync.WaitGroup
	for i := range o.Series {
		c := &chaos{world: w, rnd: rand.New(rand.NewPCG(o.Seed, uint64(10+i))), ctx: ctx}
		w.start(&faulty, c.run)
	}
	w.start(&faulty, func() { w.operate(ctx) })
	w.start(&calls, func() { w.demand(callers) })
	w.start(&calls, func() { w.watchVersions(callers) })
	w.start(&calls, func() { w.sweep(callers) })
	faulty.Wait()
	w.heal()
	w.say("all faults are over")
	w.recovered()
	stopCallers()
	calls.Wait()
	time.Sleep(lateRefusal)
	w.checkRuns()
	w.checkOverdue()
	w.checkLogs()
	return w.report(), nil
}

func (w *world) start(wait *sync.WaitGroup, f func()) {
	wait.Add(1)
	go func() {
		defer wait.Done()
		f()
	}()
}

// operate changes the configuration from time to time.
func (w *world) operate(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, changePeriod)
		w.change(ctx)
	}
}

// sweep checks from time to time what ran.
func (w *world) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepPeriod)
		w.checkRuns()
	}
}

// heal ends all faults and starts what is down.
func (w *world) heal() {
	w.store.Set(platform.Faults{})
	for _, n := range w.nodes {
		for _, l := range []*Link{n.store, n.peers, n.callers} {
			l.Set(LinkFaults{})
		}
		n.news.Cut(false)
		if err := n.start(); err != nil {
			w.broken("own ends", "%s cannot be started: %v", n.name, err)
		}
	}
	for _, u := range w.upstreams {
		u.link.Set(LinkFaults{})
		u.current().Set(usual)
		w.announce(u, "ready")
	}
}

// checkOverdue checks that at most half of the requests which had no answer by
// their time got it long after.
func (w *world) checkOverdue() {
	w.mu.Lock()
	late, all := w.overdue, w.checks[inTime]
	w.mu.Unlock()
	if all >= leastOverdue && 2*late > all {
		w.broken(inTime, "%d of %d requests that were not answered by their time had no answer %s later", late, all, answerSlack)
	}
}
