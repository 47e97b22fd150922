package simulation

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"knapweedwell/setting"
	"knapweedwell/standin/dutyapi"
)

const dutyAddress = "10.0.0.113:80"

// simulateDuties runs a case with n instances that have duties. The platform's API checks its
// rules.
func simulateDuties(t *testing.T, n int, zones []string, f func(sim *routeSimulation, api *dutyapi.Server)) {
	simulateZones(t, 0, zones, func(sim *routeSimulation) {
		api := &dutyapi.Server{PerSecond: 50}
		sim.serve(dutyAddress, api)
		sim.duties = &setting.Duties{
			Address: dutyAddress, Names: []string{setting.UsageDuty, setting.ScalingDuty}, CallsPerSecond: 50, Lease: 3 * time.Second,
			UsageWindow: 5 * time.Second, UsageTolerance: 0.05, UsageDeadline: 10 * time.Second,
			OrderUpstreams: true,
		}
		for i := range n {
			sim.startInstance(i)
		}
		time.Sleep(10 * time.Second)
		f(sim, api)
		for _, b := range api.Breaches() {
			t.Error(b)
		}
	})
}

// traffic sends a request to each instance in turn for a time and returns how many ran in each
// window.
func (sim *routeSimulation) traffic(d time.Duration, instances int) map[int64]int64 {
	ran := map[int64]int64{}
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		id := fmt.Sprintf("u-%d-%d", start.UnixNano(), n)
		window := time.Now().Unix() / 5
		if resp := sim.send(request{instance: n % instances, path: "/read/x", id: id, timeout: 2 * time.Second}); resp.status == 200 {
			ran[window]++
		}
		time.Sleep(90 * time.Millisecond)
	}
	return ran
}

// expectWindows checks that the whole windows of the traffic were reported within the tolerance,
// but for those that are excused.
func expectWindows(t *testing.T, ran map[int64]int64, api *dutyapi.Server, first, last int64) {
	t.Helper()
	got := api.Windows()
	for window := first; window <= last; window++ {
		counts, ok := got[window]
		if want := ran[window]; !ok {
			t.Errorf("window %d was not reported", window)
		} else if diff := max(counts["a"]-want, want-counts["a"]); float64(diff) > 0.05*float64(want) {
			t.Errorf("window %d was reported as %v, expected %d", window, counts, want)
		}
	}
}

// TestUsageReported guards against windows that are missing, wrong or late, in a fleet whose
// instances send to all others and in one that aggregates.
func TestUsageReported(t *testing.T) {
	for _, n := range []int{3, 40} {
		t.Run(itoa(n), func(t *testing.T) {
			simulateDuties(t, n, []string{"z0", "z1", "z2"}, func(sim *routeSimulation, api *dutyapi.Server) {
				first := time.Now().Unix()/5 + 1
				ran := sim.traffic(25*time.Second, n)
				last := time.Now().Unix()/5 - 1
				time.Sleep(10 * time.Second)
				expectWindows(t, ran, api, first, last)
				for _, c := range api.Calls() {
					if c.Path == "/usage" && c.Window >= first && c.At.Sub(time.Unix((c.Window+1)*5, 0)) > 5*time.Second {
						t.Errorf("window %d was reported %s after its end", c.Window, c.At.Sub(time.Unix((c.Window+1)*5, 0)))
					}
				}
			})
		})
	}
}

// TestUsageAfterKill guards against windows that are lost or change because the holder ended.
func TestUsageAfterKill(t *testing.T) {
	simulateDuties(t, 4, []string{"z0"}, func(sim *routeSimulation, api *dutyapi.Server) {
		first := time.Now().Unix()/5 + 1
		ran := sim.traffic(12*time.Second, 4)
		sim.closeHolder()
		time.Sleep(20 * time.Second)
		expectWindows(t, ran, api, first, first+1)
	})
}

// closeHolder ends the holder of the duties at once.
func (sim *routeSimulation) closeHolder() {
	for n, i := range sim.instances {
		if i == nil {
			continue
		}
		if _, _, ok := i.Duties.Held(); ok {
			_ = i.Close()
			sim.instances[n] = nil
			return
		}
	}
	sim.t.Fatal("no instance holds the duties")
}

// TestUsageAfterRestore guards against a window that is reported with other counts because the
// store has lost what was decided, and against windows that are no longer reported.
func TestUsageAfterRestore(t *testing.T) {
	for _, kill := range []bool{false, true} {
		simulateDuties(t, 4, []string{"z0"}, func(sim *routeSimulation, api *dutyapi.Server) {
			sim.traffic(12*time.Second, 4)
			if kill {
				sim.closeHolder()
			}
			sim.store.Restore(9*time.Second, 0)
			time.Sleep(15 * time.Second)
			first := time.Now().Unix()/5 + 1
			time.Sleep(20 * time.Second)
			for window := first; window < first+2; window++ {
				if _, ok := api.Windows()[window]; !ok {
					t.Errorf("window %d after the store's return was not reported", window)
				}
			}
		})
	}
}

// TestUsageAPIDown guards against windows that are lost or sent with other counts because the
// platform's API did not answer, or answered 429, for some seconds.
func TestUsageAPIDown(t *testing.T) {
	for _, f := range []dutyapi.Faults{{Down: true}, {Limited: true}, {Slow: 3 * time.Second}} {
		simulateDuties(t, 3, []string{"z0"}, func(sim *routeSimulation, api *dutyapi.Server) {
			first := time.Now().Unix()/5 + 1
			ran := sim.traffic(7*time.Second, 3)
			api.SetFaults(f)
			maps.Copy(ran, sim.traffic(8*time.Second, 3))
			api.SetFaults(dutyapi.Faults{})
			time.Sleep(12 * time.Second)
			got := api.Windows()
			for window := first; window < first+2; window++ {
				if _, ok := got[window]; !ok {
					t.Errorf("%+v: window %d was not reported", f, window)
				}
			}
		})
	}
}

// TestDemand guards against a holder that orders upstreams by the demand of a part of the fleet.
func TestDemand(t *testing.T) {
	for _, n := range []int{3, 40} {
		simulateDuties(t, n, []string{"z0", "z1", "z2"}, func(sim *routeSimulation, _ *dutyapi.Server) {
			ran := int64(0)
			for _, count := range sim.traffic(20*time.Second, n) {
				ran += count
			}
			held := false
			for _, i := range sim.instances {
				if _, _, ok := i.Duties.Held(); !ok {
					continue
				}
				held = true
				samples := i.Usage.Demand(time.Now())["calls"]
				if len(samples) < 15 {
					t.Fatalf("%d instances: %d samples, expected at least 15", n, len(samples))
				}
				last, begun := samples[len(samples)-1], 0.0
				for _, s := range samples[len(samples)-10:] {
					begun += s.Begun
				}
				if mean := float64(ran) / 20; begun/10 < 0.9*mean || begun/10 > 1.1*mean {
					t.Errorf("%d instances: %.1f requests a second, expected %.1f", n, begun/10, mean)
				}
				if last.Coverage < 0.95 || last.Age > 4*time.Second || !last.At.Equal(time.Now().Add(-last.Age)) {
					t.Errorf("%d instances: last sample %+v", n, last)
				}
			}
			if !held {
				t.Errorf("%d instances: none holds the duties", n)
			}
		})
	}
}

// TestNoDutiesWithoutSetting guards against calls and datagrams of a deployment without duties.
func TestNoDutiesWithoutSetting(t *testing.T) {
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		sim.traffic(3*time.Second, 2)
		if sim.instances[0].Duties != nil || sim.instances[0].Usage != nil {
			t.Error("duties run without their section")
		}
	})
}
