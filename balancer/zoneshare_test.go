package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingShare guards against a share that rises without gain or beyond the room of the
// other zone, that ends at the first small loss, or that stays when it loses.
func TestLeavingShare(t *testing.T) {
	busy, idle := ZoneLoad{Running: 600, Slots: 640, WaitSeconds: 0.5}, ZoneLoad{Running: 60, Slots: 640}
	for _, c := range []struct {
		name        string
		in          ZoneInput
		least, most float64
	}{
		{"gain", ZoneInput{Home: busy, Away: idle, Senders: 1}, 0.01, 0.1},
		{"gain, for longer", ZoneInput{Home: busy, Away: idle, Senders: 1, Elapsed: time.Second}, 0.1, 0.3},
		{"equal load", ZoneInput{Home: busy, Away: busy, Senders: 1}, 0, 0},
		{"costs more than it gains", ZoneInput{Home: busy, Away: idle, Senders: 1, ExtraSeconds: 0.6}, 0, 0},
		{"small gain, no share yet", ZoneInput{Home: busy, Away: idle, Senders: 1, ExtraSeconds: 0.49}, 0, 0},
		{"small gain, share in force", ZoneInput{Home: busy, Away: idle, Senders: 1, ExtraSeconds: 0.49, Share: 0.2}, 0.2, 0.2},
		{"loss", ZoneInput{Home: busy, Away: idle, Senders: 1, ExtraSeconds: 0.6, Share: 0.2}, 0.15, 0.199},
		{"no room there", ZoneInput{Home: busy, Away: ZoneLoad{Running: 400, Slots: 640}, Senders: 1, Share: 0.2}, 0.15, 0.199},
		{"other zone gone", ZoneInput{Home: busy, Senders: 1, Share: 0.2}, 0.15, 0.199},
		{"senseless share", ZoneInput{Home: busy, Away: idle, Senders: 0, Share: 7}, 0, maxZoneShare},
	} {
		if c.in.Elapsed == 0 {
			c.in.Elapsed = zonePeriod
		}
		share := LeavingShare(c.in)
		assert.Check(t, share >= c.least && share <= c.most, "%s: %v", c.name, share)
	}
}

// TestLeavingAmount plays a zone that has lost half of its slots beside one with room. It
// guards against a share that swings, and against one that leaves the load uneven.
func TestLeavingAmount(t *testing.T) {
	const homeDemand, awayDemand = 500.0, 150.0
	load := func(running, slots float64) ZoneLoad {
		return ZoneLoad{Running: running, Slots: slots, WaitSeconds: 0.1 * running / slots / max(1.3-running/slots, 0.05)}
	}
	share, turns, rising := 0.0, 0, true
	for range 300 {
		moved := share * homeDemand
		next := LeavingShare(ZoneInput{
			Home: load(homeDemand-moved, 480), Away: load(awayDemand+moved, 960), Senders: 2, ExtraSeconds: 0.01,
			Share: share, Elapsed: zonePeriod,
		})
		if next != share && next > share != rising {
			rising = !rising
			turns++
		}
		share = next
	}
	home, away := (1-share)*homeDemand/480, (awayDemand+share*homeDemand)/960
	t.Logf("share %.3f, filled %.2f and %.2f, %d turns", share, home, away, turns)
	assert.Assert(t, turns <= 1, "%d turns", turns)
	assert.Assert(t, share > 0.1 && away <= home && away <= zoneRoom, "share %v, filled %.2f and %.2f", share, home, away)
}

// TestStaysInZone guards against leaving the zone at random while its own upstreams are as
// good, and against staying there when they are gone.
func TestStaysInZone(t *testing.T) {
	for _, strict := range []bool{false, true} {
		now := time.Unix(1000, 0)
		p, us := newPicker(), upstreams(40)
		p.Strict, p.ZoneCost = strict, 20*time.Millisecond
		p.Regions["y"] = "r"
		for i, u := range us {
			if i%2 == 0 {
				u.Zone = "y"
			}
			p.state(now, u).cache.add(6, 6300, 100000)
		}
		p.Connected(us[0], time.Millisecond)
		left := 0
		for n := range 200 {
			now = now.Add(10 * time.Millisecond)
			// The own zone is a little busier, by less than a step that reads.
			for _, u := range us {
				if u.Zone == p.Zone {
					p.state(now, u).peers["peer"] = Counts{Running: u.Slots / 2, ReceivedAt: now}
				}
			}
			r := longRequest(uint64(n))
			r.Bytes = 60_000
			c, ok := p.Choose(now, us, r)
			assert.Assert(t, ok)
			a := p.Begin(now, r, c)
			a.First(now.Add(c.Predicted))
			a.End(now.Add(c.Predicted), Abandoned)
			if c.Upstream.Zone != p.Zone {
				left++
			}
		}
		t.Logf("strict %v: %d of 200 left the zone", strict, left)
		assert.Equal(t, left > 20, !strict)
		for _, u := range us {
			if u.Zone == p.Zone {
				p.state(now, u).excludedUntil = now.Add(time.Minute)
			}
		}
		c, ok := p.Choose(now, us, longRequest(300))
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.Zone, "y")
	}
}

// TestBytesCost guards against a cost that does not follow the settings and the bytes.
func TestBytesCost(t *testing.T) {
	p := newPicker()
	p.ZoneCost, p.RegionCost = 20*time.Millisecond, 100*time.Millisecond
	assert.Equal(t, p.bytesCost(sameZone, 1<<20), 0.0)
	assert.Equal(t, p.bytesCost(sameRegion, 1<<20), 0.02)
	assert.Equal(t, p.bytesCost(otherRegion, 1<<19), 0.05)
}
