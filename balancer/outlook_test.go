package balancer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

var outlookStart = time.Unix(1000, 0)

// plainService returns the upstreams of a plain service in the zones by turns.
func plainService(n, slots int, zones ...string) (*route.Pool, []*route.Upstream) {
	var upstreams []*route.Upstream
	for i := range n {
		upstreams = append(upstreams, &route.Upstream{ID: fmt.Sprint("u-", i), Pool: "calls", Zone: zones[i%len(zones)], Slots: slots})
	}
	return &route.Pool{Name: "calls"}, upstreams
}

// TestSpreadOverInstances guards against instances that all choose the same upstream of a plain service
// because none knows of the requests of the others yet.
func TestSpreadOverInstances(t *testing.T) {
	const instances, upstreams, slots = 91, 6, 6
	chosen := map[string]int{}
	pool, us := plainService(upstreams, slots, "a")
	for range instances {
		p := New("a", map[string]string{"a": "r"})
		c, ok := p.ChooseSpread(outlookStart, us, Request{Pool: pool, Prompt: &request.Prompt{}})
		assert.Assert(t, ok)
		chosen[c.Upstream.ID]++
	}
	for id, n := range chosen {
		assert.Assert(t, n <= 3*instances/upstreams, "%d of %d instances chose %s", n, instances, id)
	}
	assert.Equal(t, len(chosen), upstreams)
}

// TestSpreadAvoids guards against a draw that returns an upstream which the request avoids,
// that is paused or that cannot be reached while another one can, and against one that leaves
// the region while there is room.
func TestSpreadAvoids(t *testing.T) {
	pool, us := plainService(6, 2, "near", "near", "far")
	p := New("near", map[string]string{"near": "r0", "far": "r1"})
	r := Request{Pool: pool, Prompt: &request.Prompt{}, Avoid: map[string]bool{"u-0": true}}
	p.state(outlookStart, us[1]).exclude(outlookStart)
	for range 100 {
		c, ok := p.ChooseSpread(outlookStart, us, r)
		assert.Assert(t, ok)
		assert.Assert(t, c.Upstream.ID == "u-3" || c.Upstream.ID == "u-4", "%s", c.Upstream.ID)
	}
	r.Avoid = map[string]bool{"u-0": true, "u-2": true, "u-3": true, "u-4": true, "u-5": true}
	c, ok := p.ChooseSpread(outlookStart, us, r)
	assert.Assert(t, ok && c.Upstream.ID == "u-1", "the excluded upstream is the only one left")
	r.Avoid["u-1"] = true
	_, ok = p.ChooseSpread(outlookStart, us, r)
	assert.Assert(t, !ok)
}

// TestKnownLoad guards against counts of peers that are left out or too old, and against a
// report of a plain service that is used although most of its requests have ended.
func TestKnownLoad(t *testing.T) {
	pool, us := plainService(1, 6, "a")
	p := New("a", map[string]string{"a": "r"})
	c, _ := p.Choose(outlookStart, us, Request{Pool: pool, Prompt: &request.Prompt{}})
	a := p.Begin(outlookStart, Request{Pool: pool, Prompt: &request.Prompt{}}, c)
	p.ApplyReport(outlookStart, "entry-2", []Report{{Upstream: "u-0", Counts: Counts{Running: 3, Tokens: 700}}}, nil, func(string) (int, bool) { return 0, false })
	a.Load(outlookStart, 4, 1)
	peers, reported := p.KnownLoad(outlookStart.Add(10*time.Millisecond), us[0], true)
	assert.Equal(t, peers.Running, 3)
	assert.Equal(t, peers.Tokens, 700)
	assert.Equal(t, reported, 5)
	_, reported = p.KnownLoad(outlookStart.Add(300*time.Millisecond), us[0], true)
	assert.Equal(t, reported, 0)
	peers, _ = p.KnownLoad(outlookStart.Add(2*peerLifetime), us[0], true)
	assert.Equal(t, peers.Running, 0)
}

// TestOutlook guards against an outlook that misses a free slot or the upstream with the
// shortest time, or that counts upstreams which may not get the request.
func TestOutlook(t *testing.T) {
	pool := &route.Pool{Name: "model", Engine: &route.Engine{Slots: 1}}
	var us []*route.Upstream
	for i := range 3 {
		us = append(us, &route.Upstream{ID: fmt.Sprint("u-", i), Pool: "model", Zone: "a", Slots: 1})
	}
	p := New("a", map[string]string{"a": "r"})
	r := Request{Pool: pool, Prompt: &request.Prompt{Tokens: 10000, Parts: []request.Part{{ID: 1, Tokens: 10000}}}}
	idle, _ := p.Choose(outlookStart, us, r)
	assert.Assert(t, idle.Outlook.FreeSlot && idle.Outlook.Wait == 0)
	for _, u := range us[:2] {
		c, _ := p.Choose(outlookStart, []*route.Upstream{u}, r)
		p.Begin(outlookStart, r, c)
	}
	r.Prompt = &request.Prompt{Tokens: 10000, Parts: []request.Part{{ID: 2, Tokens: 10000}}}
	c, _ := p.Choose(outlookStart, us, r)
	assert.Assert(t, c.Outlook.FreeSlot && c.Outlook.Wait == 0 && c.Outlook.Predicted == idle.Outlook.Predicted)
	r.Avoid = map[string]bool{"u-2": true}
	c, _ = p.Choose(outlookStart, us, r)
	assert.Assert(t, !c.Outlook.FreeSlot && c.Outlook.Wait > 0)
	p.state(outlookStart, us[2]).exclude(outlookStart)
	r.Avoid = nil
	c, _ = p.Choose(outlookStart, us, r)
	assert.Assert(t, !c.Outlook.FreeSlot && c.Outlook.Wait > 0, "the excluded upstream counts")
}

// BenchmarkKnownLoad reads the known load of one upstream with the counts of 33 peers.
func BenchmarkKnownLoad(b *testing.B) {
	_, us := plainService(1, 6, "a")
	p := New("a", map[string]string{"a": "r"})
	p.KnownLoad(outlookStart, us[0], true)
	for i := range 33 {
		p.ApplyReport(outlookStart, fmt.Sprint("entry-", i), []Report{{Upstream: "u-0", Counts: Counts{Running: 1}}}, nil, func(string) (int, bool) { return 0, false })
	}
	b.ReportAllocs()
	for b.Loop() {
		p.KnownLoad(outlookStart, us[0], true)
	}
}
