package soak

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"knapweedwell/standin/platform"
)

const (
	leavingSeed      = 50
	outageLength     = 1500 * time.Millisecond
	outagePause      = 5700 * time.Millisecond // from the store's return to the cut
	cutLength        = 4500 * time.Millisecond
	leavingDelay     = 100 * time.Millisecond // from the cut to the removal of the entries
	leavingBound     = 2500 * time.Millisecond
	leavingUpstreams = 4 // of 12
	cutFollowers     = 2
)

// TestManyLeaveWhileFollowersAreCutOff guards against upstreams that get new work long after their
// entries were removed, because a third of all left while the instances that follow the store were
// cut off from it. The instances are processes of their own.
func TestManyLeaveWhileFollowersAreCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tb, err := newTestbed(Options{
		Seed: leavingSeed, Instances: 6, Upstreams: 6, Rate: 200, Program: buildDaemon(t), Dir: t.TempDir(), Out: t.Output(),
	})
	assert.NilError(t, err)
	defer tb.close()
	time.Sleep(startupWait)
	ctx, cancel := context.WithCancel(t.Context())
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		tb.sendLoad(ctx)
	}()
	for _, outage := range []bool{false, true} {
		if outage {
			tb.store.SetFaults(platform.Faults{Outage: true})
			time.Sleep(outageLength)
			tb.store.SetFaults(platform.Faults{})
		}
		time.Sleep(outagePause)
		tb.leaveWhileCutOff(t)
		time.Sleep(outagePause)
	}
	cancel()
	<-sent
}

// leaveWhileCutOff cuts the instances that follow the store off from it, and removes the entries of
// a third of the upstreams, which are back in the end under new IDs. It fails the test if an instance
// that was not cut off sends them requests for too long.
func (tb *testbed) leaveWhileCutOff(t *testing.T) {
	t.Helper()
	order := slices.SortedFunc(slices.Values(tb.nodes), func(a, b *node) int {
		return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
	})
	followers := order[:cutFollowers]
	for _, n := range followers {
		n.store.Set(ProxyFaults{CutIn: true, CutOut: true})
	}
	cutAt := time.Now()
	time.Sleep(leavingDelay)
	left := tb.upstreams[len(tb.upstreams)/2-leavingUpstreams/2:][:leavingUpstreams]
	for _, u := range left {
		tb.store.Delete("servers", u.current().ID)
	}
	bound := time.Now().Add(leavingBound)
	time.Sleep(time.Until(cutAt.Add(cutLength)))
	for _, n := range followers {
		n.store.Set(ProxyFaults{})
	}
	late := map[string]int{}
	for _, u := range left {
		for _, id := range u.current().ReceivedAfter(bound) {
			tb.mu.Lock()
			n := tb.sent[id].node
			tb.mu.Unlock()
			if n != nil && !slices.Contains(followers, n) {
				late[n.name]++
			}
		}
		u.restart()
		tb.writeEntry(u, "ready")
	}
	if len(late) > 0 {
		t.Errorf("requests that reached upstreams over %s after the removal of their entries, by instance: %v", leavingBound, late)
	}
}
