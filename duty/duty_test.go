package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/platform"
	standin "knapweedwell/standin/platform"
)

const (
	// startLimit is the time in which the first holder acts: it waits out a lease that another
	// instance may have.
	startLimit = testLease + 1500*time.Millisecond
	// killLimit is the time in which a successor acts after a holder has ended: the lease and
	// about a second.
	killLimit = testLease + 1500*time.Millisecond
	// stopLimit is that after a release.
	stopLimit = 1500 * time.Millisecond
)

// simulate runs a case with n candidates on a virtual clock.
func simulate(t *testing.T, n int, f func(fl *testFleet)) {
	t.Helper()
	simulateStore(t, standin.New, n, f)
}

// simulateStore runs a case with the store that a function returns.
func simulateStore(t *testing.T, store func() *standin.Server, n int, f func(fl *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newTestFleet(t, store(), n)
		defer fl.close()
		f(fl)
	})
}

// TestOneHolder guards against two holders, and against a holder that changes without cause.
func TestOneHolder(t *testing.T) {
	simulate(t, 3, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		_, token, _ := h.Held()
		fl.pass(30 * time.Second)
		assert.Equal(t, fl.holder(), h)
		_, now, _ := h.Held()
		assert.Equal(t, now, token)
	})
}

// TestCost guards against calls beyond one write in a third of the lease and one read a second
// of each candidate.
func TestCost(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		fl.await(nil, startLimit)
		before := fl.store.Calls()
		time.Sleep(60 * time.Second)
		after := fl.store.Calls()
		assert.Assert(t, after["PUT"]-before["PUT"] <= 61, "%d writes in a minute", after["PUT"]-before["PUT"])
		assert.Assert(t, after["GET"]-before["GET"] <= 61, "%d reads in a minute", after["GET"]-before["GET"])
	})
}

// TestKill guards against duties that nobody performs after the end of the holder, and against a
// successor that acts while the holder's lease lasts.
func TestKill(t *testing.T) {
	simulate(t, 3, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		fl.pass(5 * time.Second)
		_, token, _ := h.Held()
		renewed := h.State().Age
		assert.NilError(t, h.Close())
		next, took := fl.await(h, killLimit)
		assert.Assert(t, took >= testLease-renewed, "a successor acted after %s", took)
		_, second, _ := next.Held()
		assert.Assert(t, second > token)
	})
}

// TestRelease guards against a planned stop after which the successor waits for the end of the
// lease, and against an instance that takes a lease back at once.
func TestRelease(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		h.Release(context.Background())
		_, _, ok := h.Held()
		assert.Assert(t, !ok)
		next, _ := fl.await(h, stopLimit)
		assert.NilError(t, next.Close())
		fl.pass(2 * testLease)
		assert.Assert(t, fl.holder() == nil, "an instance that leaves took the lease")
	})
}

// TestRestoredCopy guards against a token that is not above those of the time that a copy of the
// store has lost, whatever the copy says of the lease, and against a successor beside a holder
// that goes on.
func TestRestoredCopy(t *testing.T) {
	const inEra = 1<<eraShift | 1
	for _, c := range []struct {
		name string
		copy any // lease in the copy, nil if there is none
	}{
		{"nothing", nil},
		{"unreadable", "x"},
		{"released", record{Holder: "entry-9@1", Token: inEra, Nonce: "n", Released: true}},
		{"of another", record{Holder: "entry-9@1", Token: inEra, Nonce: "n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, 3, func(fl *testFleet) {
				if c.copy != nil {
					fl.store.Put(platform.DutyKind, platform.LeaseName, c.copy)
				}
				time.Sleep(time.Millisecond)
				saved := time.Now()
				h, _ := fl.await(nil, startLimit)
				_, token, _ := h.Held()
				fl.pass(8 * time.Second)
				fl.store.Restore(time.Since(saved), -1)
				fl.pass(2 * time.Second)
				_, second, ok := h.Held()
				assert.Assert(t, ok, "the holder did not go on")
				assert.Assert(t, eraOf(second) > eraOf(token), "token %d follows %d", second, token)
				fl.pass(2 * testLease)
				_, third, _ := fl.holder().Held()
				assert.Equal(t, third, second)
			})
		})
	}
}

// TestHolderInAnyFirstEra guards against duties that nobody holds because the era of the store is none
// that a token can hold, and against a token that does not rise with the next era.
func TestHolderInAnyFirstEra(t *testing.T) {
	for _, first := range []int64{0, 1, 7, 1<<31 + 5, 1 << 41} {
		store := func() *standin.Server { return standin.NewInEra(first) }
		simulateStore(t, store, 3, func(fl *testFleet) {
			saved := time.Now()
			h, _ := fl.await(nil, startLimit)
			_, token, _ := h.Held()
			fl.pass(8 * time.Second)
			fl.store.Restore(time.Since(saved), -1)
			fl.pass(2 * time.Second)
			_, second, ok := h.Held()
			assert.Assert(t, ok, "the holder did not go on after first era %d", first)
			assert.Assert(t, second > token && eraOf(second) > eraOf(token), "token %d follows %d", second, token)
		})
	}
}

// TestRestoredCopyAfterKill guards against a successor whose token is not above that of a holder
// of which the copy knows nothing.
func TestRestoredCopyAfterKill(t *testing.T) {
	simulate(t, 3, func(fl *testFleet) {
		saved := time.Now()
		h, _ := fl.await(nil, startLimit)
		_, token, _ := h.Held()
		fl.pass(5 * time.Second)
		assert.NilError(t, h.Close())
		fl.store.Restore(time.Since(saved), -1)
		next, _ := fl.await(h, killLimit+time.Second)
		_, second, _ := next.Held()
		assert.Assert(t, eraOf(second) > eraOf(token))
	})
}

// TestFrozenHolder guards against a holder that acts on a lease whose time has passed while its
// machine was suspended, which its monotonic clock does not count.
func TestFrozenHolder(t *testing.T) {
	simulate(t, 1, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		ctx, token, _ := h.Held()
		before := len(fl.api.Calls())
		h.frozen.Add(int64(testLease))
		_, _, ok := h.Held()
		assert.Assert(t, !ok)
		err := h.api.Order(ctx, platform.Duty{Holder: h.Self, Token: token}, platform.UpstreamOrder{Pool: "p", Zone: "z"})
		assert.Assert(t, err != nil)
		assert.Equal(t, len(fl.api.Calls()), before)
	})
}

// TestCallEndsBeforeLease guards against a call that is still under way when the lease ends.
func TestCallEndsBeforeLease(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		fl.pass(2 * time.Second)
		ctx, _, _ := h.Held()
		left := testLease - h.State().Age
		h.noStore.Store(true)
		start := time.Now()
		<-ctx.Done()
		assert.Assert(t, time.Since(start) <= left-500*time.Millisecond+10*time.Millisecond, "ended after %s of %s", time.Since(start), left)
		fl.await(h, killLimit)
	})
}

// TestCutOffHolder guards against a holder that acts without the store, and one that takes the
// lease again within its length.
func TestCutOffHolder(t *testing.T) {
	simulate(t, 3, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		h.noStore.Store(true)
		next, _ := fl.await(h, killLimit)
		h.noStore.Store(false)
		assert.NilError(t, next.Close())
		fl.await(next, killLimit)
	})
}

// TestStoreDown guards against calls without a lease while the store answers nobody.
func TestStoreDown(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		fl.await(nil, startLimit)
		fl.store.SetFaults(standin.Faults{Outage: true})
		fl.pass(testLease)
		before := len(fl.api.Calls())
		fl.pass(10 * time.Second)
		assert.Equal(t, len(fl.api.Calls()), before)
		fl.store.SetFaults(standin.Faults{})
		fl.await(nil, killLimit)
	})
}

// TestLostAnswers guards against a holder that gives up or fences itself because the answer to
// its renewal was lost.
func TestLostAnswers(t *testing.T) {
	for _, f := range []standin.Faults{{LoseAnswers: 1}, {LateWrites: 1}} {
		simulate(t, 2, func(fl *testFleet) {
			h, _ := fl.await(nil, startLimit)
			_, token, _ := h.Held()
			for range 4 {
				fl.store.SetFaults(f)
				fl.pass(6 * time.Second)
			}
			_, now, _ := h.Held()
			assert.Equal(t, now, token)
		})
	}
}

// TestLateTakeover guards against a candidate that counts the lease from when its write was
// noticed instead of from when it was sent.
func TestLateTakeover(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		fl.store.SetFaults(standin.Faults{LateWrites: 2})
		fl.await(nil, 3*startLimit)
		fl.pass(10 * time.Second)
	})
}

// TestAPIUnreachable guards against a holder that keeps the lease although it alone cannot reach
// the platform's API, and against a lease that wanders while nobody can.
func TestAPIUnreachable(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		h.noAPI.Store(true)
		next, _ := fl.await(h, 2*testLease+stopLimit)
		next.noAPI.Store(true)
		before := next.events.Load() + h.events.Load()
		fl.pass(time.Minute)
		assert.Assert(t, next.events.Load()+h.events.Load()-before <= 6, "the lease changed %d times", next.events.Load()+h.events.Load()-before)
	})
}

// TestIdleHolder guards against a holder that gets no counts because it follows the store no
// longer.
func TestIdleHolder(t *testing.T) {
	simulate(t, 2, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		h.idle.Store(true)
		fl.await(h, testLease+stopLimit)
	})
}

// TestUnreadableLease guards against a lease that nobody takes, or whose token is not above
// earlier ones, because its object cannot be decoded.
func TestUnreadableLease(t *testing.T) {
	for _, value := range []any{"x", map[string]any{"Holder": 4}, map[string]any{}} {
		simulate(t, 2, func(fl *testFleet) {
			h, _ := fl.await(nil, startLimit)
			_, token, _ := h.Held()
			fl.store.Put(platform.DutyKind, platform.LeaseName, value)
			fl.pass(2 * time.Second)
			next, _ := fl.await(nil, 2*killLimit)
			_, second, _ := next.Held()
			assert.Assert(t, second > token, "token %d follows %d", second, token)
		})
	}
}

// TestClose guards against a context of calls that outlives the Service.
func TestClose(t *testing.T) {
	simulate(t, 1, func(fl *testFleet) {
		h, _ := fl.await(nil, startLimit)
		ctx, _, _ := h.Held()
		assert.NilError(t, h.Close())
		assert.Assert(t, ctx.Err() == context.Canceled)
	})
}

// TestLeaseCountsFromSend guards against a lease that counts from when the store's answer, or a
// later read, showed the write, while a candidate may have seen it long before.
func TestLeaseCountsFromSend(t *testing.T) {
	at := func(d time.Duration) Instant { return Instant{Awake: time.Unix(100, 0).Add(d), Elapsed: d} }
	l := newLease(testLease)
	l.sent("n", at(0))
	r := record{Holder: "entry-1@1", Token: 1<<eraShift | 5, Nonce: "n"}
	l.see(sighting{era: 1, revision: 7, store: 7, record: r, readable: true, at: at(2500 * time.Millisecond)})
	assert.Assert(t, l.valid(at(2900*time.Millisecond), 0))
	assert.Assert(t, !l.valid(at(3*time.Second), 0))
}

// TestReleaseOfEarlierEra guards against a candidate that takes the lease at once because a copy of
// the store holds an old release: the present holder may not have noticed the new era.
func TestReleaseOfEarlierEra(t *testing.T) {
	at := func(d time.Duration) Instant { return Instant{Awake: time.Unix(100, 0).Add(d), Elapsed: d} }
	for _, c := range []struct {
		era  int64
		free time.Duration // since the read
	}{
		{1, 0},
		{2, testLease + testLease/marginShare},
	} {
		l := newLease(testLease)
		r := record{Holder: "entry-9@1", Token: 1<<eraShift | 5, Nonce: "n", Released: true}
		l.see(sighting{era: c.era, revision: 7, store: 7, record: r, readable: true, at: at(0)})
		if c.free > 0 {
			assert.Assert(t, !l.mayTake(at(c.free-time.Millisecond)))
		}
		assert.Assert(t, l.mayTake(at(c.free+time.Millisecond)))
	}
}
