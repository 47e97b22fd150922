package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"knapweedwell/standin/platform"
)

// restoreStore lets the store come back from a copy, after an outage or at once. The owners of
// objects write again what they wrote.
func (inj *injector) restoreStore() {
	tb := inj.testbed
	age := inj.randomDuration(time.Second, maxRestoredAge)
	inj.tracef("store comes back from a copy of %s ago", age)
	inj.beginStoreFault()
	if inj.rng.IntN(2) == 0 {
		tb.store.SetFaults(platform.Faults{Outage: true})
		inj.sleepFaultDuration()
	}
	tb.store.Restore(age, inj.randomDuration(time.Millisecond, entryRestoreDelay))
	sleep(inj.ctx, entryRestoreDelay)
	inj.endStoreFault()
}

// storeFault injects a random fault into the store. During some outages it also
// removes entries of upstreams, which it writes again afterwards.
func (inj *injector) storeFault() {
	tb := inj.testbed
	var f platform.Faults
	switch inj.rng.IntN(6) {
	case 0:
		f.Outage = true
	case 1:
		f.Silent = true
	case 2:
		f.Slow = inj.randomDuration(50*time.Millisecond, time.Second)
	case 3:
		f.LoseAnswers = 1 + inj.rng.IntN(4)
	case 4:
		f.LateWrites = 1 + inj.rng.IntN(3)
	case 5:
		f.DeafWatches = true
	}
	inj.tracef("store: %+v", f)
	inj.beginStoreFault()
	tb.store.SetFaults(f)
	inj.sleepFaultDuration()
	var removed []*upstream
	if (f.Outage || f.Silent) && inj.rng.IntN(2) == 0 {
		removed = tb.removeEntries()
	}
	inj.endStoreFault()
	if removed != nil {
		sleep(inj.ctx, entryRestoreDelay)
		tb.restoreEntries(removed)
	}
}

const (
	minWatchTime = 200 * time.Millisecond // between two moments at which waiting watches are cut off
	maxWatchTime = 4 * time.Second
)

// cutWatchesPeriodically cuts off the waiting watches of the store until the context ends. All
// calls are answered meanwhile, so that this excuses nothing.
func (tb *testbed) cutWatchesPeriodically(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, minWatchTime+time.Duration(rng.Int64N(int64(maxWatchTime-minWatchTime))))
		tb.store.CutWatches()
	}
}

// beginStoreFault records that the store has a fault.
func (inj *injector) beginStoreFault() {
	tb := inj.testbed
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.activeStoreFaults++
	tb.storeHealthyFrom = time.Time{}
}

// endStoreFault ends a fault of the store, and all of them with the last one.
func (inj *injector) endStoreFault() {
	tb := inj.testbed
	tb.mu.Lock()
	tb.activeStoreFaults--
	faultFree := tb.activeStoreFaults == 0
	if faultFree {
		tb.storeHealthyFrom = time.Now()
	}
	tb.mu.Unlock()
	if faultFree {
		tb.store.SetFaults(platform.Faults{})
	}
}
