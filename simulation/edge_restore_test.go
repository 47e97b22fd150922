package simulation

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/edge"
	adapter "knapweedwell/platform"
	"knapweedwell/standin/platform"
)

// raiseRevision makes n changes in the store that concern no instance.
func (sim *routeSimulation) raiseRevision(n int) {
	for i := range n {
		sim.store.Put("other", "object", i)
	}
}

// accepted reports whether all instances use an upstream.
func (sim *routeSimulation) accepted(id string) bool {
	return !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool { return !i.Roster.Current().Accepts(id) })
}

// rejected reports whether no instance uses an upstream.
func (sim *routeSimulation) rejected(id string) bool {
	return !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool { return i.Roster.Current().Accepts(id) })
}

// TestRestoredStoreChangesUpstreams guards against instances that miss changes of upstreams
// for good after the store came back from a copy.
func TestRestoredStoreChangesUpstreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		raised int // changes in the store's outage after it was restored
	}{{"lower revision", 0}, {"revision given out again", 90}} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 4, func(sim *routeSimulation) {
				time.Sleep(time.Second)
				sim.raiseRevision(60)
				sim.putEntryBorn("calls-2", "calls", "ready", 1, 9)
				time.Sleep(2 * time.Second)
				sim.store.SetFaults(platform.Faults{Outage: true})
				sim.store.Restore(2500*time.Millisecond, 0)
				time.Sleep(500 * time.Millisecond)
				sim.startRunner("calls-new", "calls")
				sim.store.Delete("servers", "calls-0")
				sim.raiseRevision(c.raised)
				sim.store.SetFaults(platform.Faults{})
				sim.eventually(4*time.Second, "the new upstream is used and the one that is gone is not", func() bool {
					return sim.accepted("calls-new") && sim.rejected("calls-0")
				})
				sim.store.Delete("servers", "calls-1")
				sim.eventually(time.Second, "a later change is learned", func() bool { return sim.rejected("calls-1") })
			})
		})
	}
}

// TestRestoredStoreRevivesNoUpstream guards against new work for upstreams that leave or are
// gone and that an old copy of the store lists as ready.
func TestRestoredStoreRevivesNoUpstream(t *testing.T) {
	simulateRoutes(t, 4, func(sim *routeSimulation) {
		time.Sleep(time.Second)
		sim.putEntry("calls-0", "calls", "draining")
		sim.store.Delete("servers", "calls-1")
		time.Sleep(time.Second)
		sim.store.Restore(1500*time.Millisecond, -1)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for _, id := range []string{"calls-0", "calls-1"} {
				if !sim.rejected(id) {
					t.Fatalf("%s is used again", id)
				}
			}
		}
		if !sim.accepted("calls-2") {
			t.Error("calls-2 is not used")
		}
		sim.store.Put("servers", "calls-1", map[string]any{
			"service": "calls", "address": sim.hosts["calls-1"] + ":80", "zone": "z0", "version": "v2", "slots": 8, "state": "ready", "born": 2,
		})
		sim.eventually(time.Second, "the next incarnation is used", func() bool { return sim.accepted("calls-1") })
	})
}

// TestRestoreAfterRelease guards against new work for an upstream whose entry was removed, after
// so many others have left that their old entries look like expired ones.
func TestRestoreAfterRelease(t *testing.T) {
	simulateRoutes(t, 4, func(sim *routeSimulation) {
		time.Sleep(time.Second)
		old := []string{"calls-0", "calls-1", "calls-2"}
		for n, id := range old {
			sim.startRunner("calls-next-"+itoa(n), "calls")
			if n < len(old)-1 {
				sim.putEntry(id, "calls", "draining")
			}
			time.Sleep(500 * time.Millisecond)
			sim.store.Delete("servers", id)
		}
		time.Sleep(time.Second)
		sim.store.Restore(3500*time.Millisecond, -1)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for _, id := range old {
				if !sim.rejected(id) {
					t.Fatalf("%s is used again", id)
				}
			}
		}
	})
}

// TestRestoredStoreListsInstance guards against an instance that started in the seconds which
// the store has lost and that is not listed any more.
func TestRestoredStoreListsInstance(t *testing.T) {
	simulateRoutes(t, 3, func(sim *routeSimulation) {
		time.Sleep(time.Second)
		sim.startInstance(3)
		time.Sleep(3 * time.Second)
		sim.store.Restore(3500*time.Millisecond, 0)
		client := adapter.New(platformAddress, sim.network.dialer("10.9.0.2"))
		defer func() { _ = client.Close() }()
		listed := func() bool {
			l, err := client.List(context.Background(), "instances")
			return err == nil && slices.ContainsFunc(l.Objects, func(o adapter.Object) bool { return o.Name == "entry-4" })
		}
		if listed() {
			t.Fatal("the copy holds the instance already")
		}
		sim.eventually(5*time.Second, "the instance is listed again", listed)
	})
}

// TestFailureInShortOutageIsForgotten guards against configurations that come late because
// each instance that reaches the store failed once in a short outage and never tried again,
// while those that follow the store are turned away.
func TestFailureInShortOutageIsForgotten(t *testing.T) {
	const limit = 2500 * time.Millisecond
	simulateRoutes(t, 6, func(sim *routeSimulation) {
		names := map[uint64]string{}
		var order []uint64
		for i, in := range sim.instances {
			h := xxhash.Sum64String(in.Settings.Name)
			names[h] = strings.TrimSuffix(sim.instances[i].Settings.Caller, ":1")
			order = append(order, h)
		}
		slices.Sort(order)
		away := map[string]bool{names[order[0]]: true, names[order[1]]: true}
		sim.store.SetFaults(platform.Faults{Outage: true, TurnedAway: away})
		time.Sleep(3 * time.Second)
		sim.store.SetFaults(platform.Faults{TurnedAway: away})
		sim.writeRoutes()
		sim.eventually(limit, "the configuration is in force", func() bool {
			return !slices.ContainsFunc(sim.instances, func(i *edge.Instance) bool { return i.Routing.Version() < sim.routesVersion })
		})
	})
}
