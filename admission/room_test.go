package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/member"
	"knapweedwell/request"
	"knapweedwell/route"
)

// newRooms returns the rooms of instances that know each other.
func newRooms(n int) []*Room {
	var members []member.Member
	rooms := make([]*Room, n)
	for i := range rooms {
		members = append(members, member.Member{Name: fmt.Sprint("entry-", i), State: member.Live})
		rooms[i] = &Room{Self: members[i].Name, Members: func() []member.Member { return members }}
	}
	return rooms
}

// TestTwoChooseTheSame guards against an upstream that crashes because two instances choose it
// within 100 ms, when neither knows of the other's request yet. The loads, sizes and times are
// random; counts arrive after up to 300 ms.
func TestTwoChooseTheSame(t *testing.T) {
	const capacity = 467889
	rapid.Check(t, func(t *rapid.T) {
		rooms := newRooms(2)
		u := &route.Upstream{ID: fmt.Sprint("u-", rapid.IntRange(0, 20).Draw(t, "upstream"))}
		type change struct {
			at       time.Time
			instance int
			need     int
		}
		var changes []change // positive when taken, negative when released
		now := gateStart
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			age := time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond
			total, peers := 0, 0
			for _, c := range changes {
				total += c.need
				if c.instance != i && !c.at.After(now.Add(-age)) {
					peers += c.need
				}
			}
			need := rapid.SampledFrom([]int{1500, 9200, 17200, 60000, 200000}).Draw(t, "need")
			if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
				for _, c := range changes {
					if c.need > 0 && c.instance == i {
						rooms[i].Release(u, c.need)
						changes = append(changes, change{now, i, -c.need})
						break
					}
				}
				continue
			}
			if rooms[i].Take(now, u, Load{Capacity: capacity, Peers: peers}, need) {
				changes = append(changes, change{now, i, need})
				if total+need > capacity {
					t.Fatalf("%d tokens of %d are held", total+need, capacity)
				}
			}
		}
	})
}

// TestRoomIsUsed guards against room that stays unused: a pool is filled to nine tenths before
// requests have to wait, whatever the number of instances.
func TestRoomIsUsed(t *testing.T) {
	for _, n := range []int{1, 2, 24, 91} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			const capacity, upstreams, need = 467889, 20, 17200
			rooms, held := newRooms(n), make([]int, upstreams)
			reported := make([][]int, upstreams)
			own := make([][]int, upstreams)
			for u := range held {
				reported[u], own[u] = make([]int, n), make([]int, n)
			}
			now := gateStart
			for step := range 1200 {
				now = now.Add(100 * time.Millisecond)
				if step%4 == 0 {
					for u := range own {
						copy(reported[u], own[u])
					}
				}
				for i, r := range rooms {
					u := (step*7 + i*3) % upstreams
					peers := 0
					for j, n := range reported[u] {
						if j != i {
							peers += n
						}
					}
					if r.Take(now, &route.Upstream{ID: fmt.Sprint("u-", u)}, Load{Capacity: capacity, Peers: peers}, need) {
						held[u] += need
						own[u][i] += need
					}
				}
			}
			sum := 0
			for u, h := range held {
				assert.Assert(t, h <= capacity, "%d tokens of %d are held at upstream %d", h, capacity, u)
				sum += h
			}
			t.Logf("%.3f of the room is used", float64(sum)/capacity/upstreams)
			assert.Assert(t, float64(sum) >= 0.9*capacity*upstreams, "%d tokens are held of %d", sum, capacity*upstreams)
		})
	}
}

// TestRestartedUpstream guards against counts of an upstream's earlier incarnation that keep
// requests from the new one, or that are given back to it.
func TestRestartedUpstream(t *testing.T) {
	r := newRooms(1)[0]
	first, second := &route.Upstream{ID: "u", Born: 1}, &route.Upstream{ID: "u", Born: 2}
	l := Load{Capacity: 100}
	assert.Assert(t, r.Take(gateStart, first, l, 90))
	assert.Assert(t, !r.Take(gateStart, first, l, 20))
	assert.Assert(t, r.Take(gateStart, second, l, 90))
	r.Release(first, 90)
	assert.Assert(t, !r.Take(gateStart, second, l, 20))
	r.Release(second, 90)
	assert.Assert(t, r.Take(gateStart, second, l, 20))
	assert.Assert(t, !r.Take(gateStart, second, Load{Capacity: 100, Reported: 95}, 20), "the reported load is ignored")
}

// TestQueueOrder guards against a request that takes room before a more urgent one, or before
// an equally urgent one that has waited longer.
func TestQueueOrder(t *testing.T) {
	q := &Queue{}
	late, early, urgent := q.Enter("p", 2), q.Enter("p", 2), q.Enter("p", 0)
	late, early = early, late
	expect := func(first *Ticket) {
		t.Helper()
		for _, x := range []*Ticket{late, early, urgent} {
			assert.Equal(t, q.MayTake("p", 2, x), x == first)
		}
	}
	expect(urgent)
	assert.Assert(t, !q.MayTake("p", 2, nil) && !q.MayTake("p", 0, nil))
	q.Leave(urgent)
	expect(early)
	assert.Assert(t, q.MayTake("p", 1, nil) && !q.MayTake("p", 2, nil))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	select {
	case <-early.Freed:
	case <-ctx.Done():
		t.Fatal("the next request was not woken")
	}
	q.Leave(early)
	q.Leave(late)
	assert.Equal(t, q.Waiting(), 0)
	assert.Assert(t, q.MayTake("p", 9, nil))
}

// TestTokens guards against counts that make a request look smaller than it is, or overflow.
func TestTokens(t *testing.T) {
	const huge = 1 << 62
	for _, c := range []struct {
		prompt      request.Prompt
		hint, bytes int
		tokens, out int
	}{
		{prompt: request.Prompt{Tokens: 1460, MaxOutputTokens: 80}, tokens: 1460, out: 80},
		{prompt: request.Prompt{Tokens: 10, MaxOutputTokens: 80, Parts: []request.Part{{Tokens: 800}, {Tokens: 410}}}, tokens: 1210, out: 80},
		{prompt: request.Prompt{Tokens: -5, MaxOutputTokens: -1}, hint: 44, bytes: 4000, tokens: 1001, out: 352},
		{bytes: 0, tokens: 1, out: defaultOutputTokens},
		{prompt: request.Prompt{Tokens: huge, MaxOutputTokens: huge, Parts: []request.Part{{Tokens: huge}, {Tokens: huge}}}, hint: huge, tokens: maxTokensCount, out: maxTokensCount},
		{prompt: request.Prompt{Tokens: 7}, hint: huge, tokens: 7, out: maxTokensCount},
	} {
		p := WithTokens(c.prompt, c.hint, c.bytes)
		assert.Equal(t, p.Tokens, c.tokens)
		assert.Equal(t, p.MaxOutputTokens, c.out)
		assert.Assert(t, Held(&p) > 0)
	}
}

// BenchmarkTake takes and gives back room at an upstream that is nearly full, in a fleet of 91.
func BenchmarkTake(b *testing.B) {
	r, u := newRooms(91)[0], &route.Upstream{ID: "u"}
	now := gateStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if r.Take(now, u, Load{Capacity: 467889, Peers: 360000}, 9000) {
			r.Release(u, 9000)
		}
	}
}
