package balancer

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

// heapBytes returns the bytes that are in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fillCaches sends a picker's upstreams requests of many parts each, of which no two are alike.
func fillCaches(p *Picker, now time.Time, upstreams []*route.Upstream, requests, parts, tokens int) {
	pool := &route.Pool{Name: "model", Engine: &route.Engine{MemoryTokens: 843594}}
	next := uint64(1) << 40
	for i := range requests {
		prompt := &request.Prompt{Tokens: parts * tokens}
		for range parts {
			prompt.Parts = append(prompt.Parts, request.Part{ID: next, Tokens: tokens})
			next++
		}
		a := p.Begin(now, Request{Pool: pool, Prompt: prompt}, Choice{Upstream: upstreams[i%len(upstreams)]})
		a.End(now, Abandoned)
	}
}

// TestManySmallParts guards against memory that grows with each small prompt part ever seen, because the
// caches of upstreams were bounded by the tokens of their parts only, and against large parts that make
// room for them.
func TestManySmallParts(t *testing.T) {
	for _, tokens := range []int{0, 1, 4} {
		t.Run(fmt.Sprint(tokens, " tokens"), func(t *testing.T) {
			var upstreams []*route.Upstream
			for i := range 18 {
				upstreams = append(upstreams, &route.Upstream{ID: fmt.Sprint("u", i), Slots: 8})
			}
			p, now := New("z", nil), time.Unix(1000, 0)
			before := heapBytes()
			for _, u := range upstreams {
				p.state(now, u).cache.add(1, 2000, 843594)
			}
			fillCaches(p, now, upstreams, 20000, 60, tokens)
			grown := heapBytes() - before
			t.Logf("%d parts, %d evicted, %d bytes each", p.cachedParts.count, p.cachedParts.evicted, grown/int64(p.cachedParts.count))
			assert.Assert(t, p.cachedParts.count <= maxCachedParts)
			assert.Assert(t, grown <= maxCachedParts*cachedPartBytes, "%d bytes", grown)
			for _, u := range upstreams {
				assert.Assert(t, p.state(now, u).cache.holds([]request.Part{{ID: 1}}), "a large part made room for small ones")
			}
		})
	}
}

// TestCachedPartsOfGoneUpstreams guards against parts that count for good though their upstream has
// restarted, was not a candidate for long, or has lost its cache.
func TestCachedPartsOfGoneUpstreams(t *testing.T) {
	p, now := New("z", nil), time.Unix(1000, 0)
	u := &route.Upstream{ID: "u", Slots: 8, Born: 1}
	add := func() {
		for id := range uint64(100) {
			p.state(now, u).cache.add(id, 50, 1000)
		}
		assert.Equal(t, p.cachedParts.count, 15, "three quarters of the memory hold 15 parts")
	}
	add()
	p.state(now, u).cache.clear()
	assert.Equal(t, p.cachedParts.count, 0)
	add()
	u = &route.Upstream{ID: "u", Slots: 8, Born: 2}
	p.state(now, u)
	assert.Equal(t, p.cachedParts.count, 0)
	add()
	p.sweep(now.Add(2 * stateLifetime))
	assert.Equal(t, len(p.states), 0)
	assert.Equal(t, p.cachedParts.count, 0)
}

// TestPartsOfAnySize guards against the number of tokens of a part, as another instance reports it, that
// makes the process end or the sum of a cache negative.
func TestPartsOfAnySize(t *testing.T) {
	p, now := New("z", nil), time.Unix(1000, 0)
	u := &route.Upstream{ID: "u", Slots: 8}
	for id, tokens := range []int{math.MinInt, -1, 0, math.MaxInt, math.MaxInt} {
		c := &p.state(now, u).cache
		c.add(uint64(id), tokens, 1000)
		assert.Assert(t, c.tokens >= 0, "%d tokens after one of %d", c.tokens, tokens)
	}
}
