package balancer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

// TestReservedCount guards against reserving upstreams where none are needed or where the
// other side would be left without room, and against following small changes.
func TestReservedCount(t *testing.T) {
	load := SplitLoad{
		Upstreams: 90, Slots: 64, ShortStreams: 160, ShortRead: 140_000, ShortPrompts: 126, OtherRead: 600_000,
		TokenSeconds: 20e-6, StepSeconds: 0.005, Missed: 0.2,
	}
	for _, c := range []struct {
		name        string
		change      func(l *SplitLoad)
		least, most int
	}{
		{"room for both", func(*SplitLoad) {}, 15, 40},
		{"few gaps too long", func(l *SplitLoad) { l.Missed = 0.03 }, 0, 0},
		{"few gaps too long because of the split", func(l *SplitLoad) { l.Missed, l.Reserved = 0.03, 23 }, 15, 40},
		{"no stream with the target", func(l *SplitLoad) { l.ShortStreams = 0 }, 0, 0},
		{"small pool", func(l *SplitLoad) { l.Upstreams = 3 }, 0, 0},
		{"many streams", func(l *SplitLoad) { l.ShortStreams = 2000 }, 40, 59},
		{"no room for the prompts", func(l *SplitLoad) { l.OtherRead = 3_500_000 }, 0, 0},
		{"upstreams lost", func(l *SplitLoad) { l.Upstreams, l.Reserved = 40, 45 }, 4, 26},
		{"too few left for the prompts", func(l *SplitLoad) { l.Upstreams, l.Reserved = 20, 45 }, 0, 0},
		{"no slots stated", func(l *SplitLoad) { l.Slots = 0 }, 0, 0},
	} {
		l := load
		c.change(&l)
		n := ReservedCount(l)
		assert.Check(t, n >= c.least && n <= c.most, "%s: %d", c.name, n)
	}
	wanted := ReservedCount(load)
	for _, inForce := range []int{wanted - 1, wanted + 1} {
		l := load
		l.Reserved = inForce
		assert.Check(t, ReservedCount(l) == inForce, "one more or less must not be followed")
	}
}

// TestToleratedSteps checks the figures of two deployments: at the usual speed the steps of
// one event may all read, at a machine that is slower by a third one of them must not.
func TestToleratedSteps(t *testing.T) {
	for _, c := range []struct {
		target   time.Duration
		slowdown float64
		least    float64
		most     float64
	}{
		{200 * time.Millisecond, 1, 4, 4},
		{200 * time.Millisecond, 1.34, 3, 3.99},
		{200 * time.Millisecond, 3, 0, 1.99},
		{200 * time.Millisecond, 20, 0, 0},
	} {
		n := ToleratedSteps(c.target, 4, 0.00518*c.slowdown, 2000/49600.0*c.slowdown)
		assert.Check(t, n >= c.least && n <= c.most, "%v at %v: %v", c.target, c.slowdown, n)
	}
}

// splitPicker returns a picker with a pool of n upstreams in two zones that is split.
func splitPicker(t *testing.T, now time.Time, n int) (*Picker, []*route.Upstream) {
	t.Helper()
	p, us := newPicker(), upstreams(n)
	p.Strict = true
	for i, u := range us {
		if i%2 == 0 {
			u.Zone = "y"
		}
	}
	_, ok := p.Choose(now, us, shortRequest(1))
	assert.Assert(t, ok)
	assert.Assert(t, p.poolStats(model.Name).split.load.Reserved > 0)
	return p, us
}

func shortRequest(own uint64) Request {
	return Request{Pool: model, GapAim: 200 * time.Millisecond, ShortestGap: true, Prompt: &request.Prompt{
		Parts: []request.Part{{ID: 5, Tokens: 350}, {ID: 1<<40 + own, Tokens: 1110}}, Tokens: 1460, MaxOutputTokens: 172,
	}}
}

func longRequest(own uint64) Request {
	return Request{Pool: model, GapAim: 800 * time.Millisecond, Prompt: &request.Prompt{
		Parts: []request.Part{{ID: 6, Tokens: 6300}, {ID: 2<<40 + own, Tokens: 2890}}, Tokens: 9190, MaxOutputTokens: 52,
	}}
}

func reservedIDs(p *Picker, now time.Time, us []*route.Upstream) []string {
	var ids []string
	for _, u := range us {
		if p.poolStats(model.Name).split.holds(p.state(now, u)) {
			ids = append(ids, u.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestSplitAgrees guards against instances that reserve different upstreams at the same load,
// and against a zone without any of them.
func TestSplitAgrees(t *testing.T) {
	now := time.Unix(1000, 0)
	p, us := splitPicker(t, now, 40)
	other, _ := splitPicker(t, now, 40)
	reversed := slices.Clone(us)
	slices.Reverse(reversed)
	for range splitOrderLifetime {
		other.Choose(now, reversed, shortRequest(1))
	}
	ids := reservedIDs(p, now, us)
	assert.Equal(t, len(ids), p.poolStats(model.Name).split.load.Reserved)
	assert.DeepEqual(t, ids, reservedIDs(other, now, us))
	zones := map[string]int{}
	for _, u := range us {
		if slices.Contains(ids, u.ID) {
			zones[u.Zone]++
		}
	}
	assert.Assert(t, zones["y"] > 0 && zones["z"] > 0, "%v", zones)
}

// TestSplitSides guards against long prompts at reserved upstreams and streams with the
// shortest target elsewhere while both sides have room, against a side that keeps requests
// although it is full or gone, and against a split that outlives its upstreams.
func TestSplitSides(t *testing.T) {
	now := time.Unix(1000, 0)
	p, us := splitPicker(t, now, 40)
	var reserved, others []*route.Upstream
	ids := reservedIDs(p, now, us)
	for _, u := range us {
		if slices.Contains(ids, u.ID) {
			reserved = append(reserved, u)
		} else {
			others = append(others, u)
		}
	}
	isReserved := func(r Request) bool {
		c, ok := p.Choose(now, us, r)
		assert.Assert(t, ok)
		return slices.Contains(reserved, c.Upstream)
	}
	for n := range uint64(10) {
		assert.Assert(t, isReserved(shortRequest(n)))
		assert.Assert(t, !isReserved(longRequest(n)))
	}
	// A part that a reserved upstream holds must not draw long prompts to it.
	p.state(now, reserved[0]).cache.add(6, 6300, 100000)
	assert.Assert(t, !isReserved(longRequest(20)))
	for _, u := range reserved {
		p.state(now, u).peers["peer"] = Counts{Running: 3 * u.Slots, ReceivedAt: now}
	}
	assert.Assert(t, !isReserved(shortRequest(21)), "all reserved upstreams are full")
	for _, u := range reserved {
		delete(p.state(now, u).peers, "peer")
	}
	for _, u := range others {
		p.state(now, u).excludedUntil = now.Add(time.Second)
	}
	assert.Assert(t, isReserved(longRequest(22)), "the other side is gone")
	c, ok := p.Choose(now, others, shortRequest(23))
	assert.Assert(t, ok && c.Upstream != nil, "the reserved side has ended")
	assert.Assert(t, len(reservedIDs(p, now, others)) > 0, "the split must follow from the upstreams that remain")
}

// TestPacing guards against several prompts that are read at one upstream one after the other
// while others are idle: each stream there gets no token for as long.
func TestPacing(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		make func(uint64) Request
		n    int
	}{{"short", shortRequest, 5}, {"long", longRequest, 4}} {
		p, us := splitPicker(t, now, 40)
		// All upstreams hold the shared parts.
		for _, u := range us {
			p.state(now, u).cache.add(5, 350, 100000)
			p.state(now, u).cache.add(6, 6300, 100000)
		}
		seen := map[string]bool{}
		for n := range c.n {
			r := c.make(uint64(n))
			choice, ok := p.Choose(now, us, r)
			assert.Assert(t, ok)
			p.Begin(now, r, choice)
			seen[choice.Upstream.ID] = true
		}
		assert.Equal(t, len(seen), c.n, c.name)
	}
}

// TestSplitSwitch guards against a strict split of a pool without the feature and without a
// stated speed, and against none where an upstream has stated its speed.
func TestSplitSwitch(t *testing.T) {
	now, us, p := time.Unix(1000, 0), upstreams(40), newPicker()
	c, _ := p.Choose(now, us, shortRequest(1))
	assert.Equal(t, p.poolStats(model.Name).split.load.Reserved, 0)
	p.Begin(now, shortRequest(1), c).Slowdown(now, 1)
	p.Choose(now, us, shortRequest(2))
	assert.Assert(t, p.poolStats(model.Name).split.load.Reserved > 0)
	strict := newPicker()
	strict.Strict = true
	assert.Assert(t, playChoices(newPicker()) != playChoices(strict), "the script of TestChoicesUnchanged must show a strict split")
}
