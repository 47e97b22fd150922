package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"knapweedwell/standin/platform"
)

const (
	startupWait        = 5 * time.Second // for all instances to start
	configChangePeriod = 2 * time.Second
	runCheckPeriod     = 5 * time.Second
	lateRunWait        = 3 * time.Second // from the last answer, for refused requests that run late
)

// Run runs a soak and returns its report, which lists the broken promises. It
// returns an error if the soak could not be run.
func Run(o Options) (Report, error) {
	tb, err := newTestbed(o)
	if err != nil {
		if tb != nil {
			tb.close()
		}
		return Report{}, err
	}
	defer tb.close()
	time.Sleep(startupWait)
	tb.started = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	defer cancel()
	observeCtx, stopObserving := context.WithCancel(context.Background())
	var disturbances, observers sync.WaitGroup
	for i := range o.Series {
		inj := &injector{testbed: tb, rng: rand.New(rand.NewPCG(o.Seed, uint64(10+i))), ctx: ctx}
		tb.spawn(&disturbances, inj.run)
	}
	tb.spawn(&disturbances, func() { tb.changePeriodically(ctx) })
	tb.spawn(&disturbances, func() { tb.cutWatchesPeriodically(ctx, rand.New(rand.NewPCG(o.Seed, 3))) })
	tb.spawn(&observers, func() { tb.sendLoad(observeCtx) })
	tb.spawn(&observers, func() { tb.watchVersions(observeCtx) })
	tb.spawn(&observers, func() { tb.checkRunsPeriodically(observeCtx) })
	disturbances.Wait()
	tb.clearFaults()
	tb.tracef("all faults are cleared")
	tb.checkRecovery()
	stopObserving()
	observers.Wait()
	time.Sleep(lateRunWait)
	tb.checkRuns()
	tb.checkOverdue()
	tb.checkLogs()
	return tb.report(), nil
}

// spawn runs f in a goroutine that the wait group counts.
func (tb *testbed) spawn(wg *sync.WaitGroup, f func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		f()
	}()
}

// changePeriodically changes the configuration until the context ends.
func (tb *testbed) changePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, configChangePeriod)
		tb.changeConfiguration(ctx)
	}
}

// checkRunsPeriodically checks the runs of requests until the context ends.
func (tb *testbed) checkRunsPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, runCheckPeriod)
		tb.checkRuns()
	}
}

// clearFaults ends all faults and starts the instances that are down.
func (tb *testbed) clearFaults() {
	tb.store.SetFaults(platform.Faults{})
	for _, n := range tb.nodes {
		for _, p := range []*Proxy{n.store, n.peers, n.callers} {
			p.Set(ProxyFaults{})
		}
		n.datagrams.Cut(false)
		if err := n.start(); err != nil {
			tb.reportViolation("no unexpected exits", "%s cannot be started: %v", n.name, err)
		}
	}
	for _, u := range tb.upstreams {
		u.proxy.Set(ProxyFaults{})
		u.current().SetFaults(normalDelays)
		tb.writeEntry(u, "ready")
	}
}

// checkOverdue checks that at most half of the requests that were not answered
// within their timeout were overdue by more than answerSlack.
func (tb *testbed) checkOverdue() {
	tb.mu.Lock()
	late, all := tb.overdue, tb.checks[inTime]
	tb.mu.Unlock()
	if all >= minOverdue && 2*late > all {
		tb.reportViolation(inTime, "%d of %d requests that exceeded their timeout were still unanswered %s later", late, all, answerSlack)
	}
}
