package route

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRankOf checks that requests are ordered first by organisation, then by route.
func TestRankOf(t *testing.T) {
	urgent, usual, none := &Organisation{Rank: 0, HasRank: true}, &Organisation{Rank: 4, HasRank: true}, &Organisation{}
	first, second := &Route{Rank: 0}, &Route{Rank: 7}
	table := &Table{Routes: []*Route{second, first}, Keys: map[string]*Organisation{"a": urgent, "b": usual, "c": none}}
	table.Index()
	assert.Equal(t, table.RankOf(first, urgent), 0)
	assert.Equal(t, table.RankOf(second, urgent), 1)
	assert.Equal(t, table.RankOf(first, usual), 2)
	assert.Equal(t, table.RankOf(second, usual), 3)
	assert.Equal(t, table.RankOf(second, none), 3)
	assert.Equal(t, table.RankOf(first, nil), 2)
}

// TestManyRanks checks that the order is kept if there are more combinations than
// ranks.
func TestManyRanks(t *testing.T) {
	table := &Table{Keys: map[string]*Organisation{}}
	var organisations []*Organisation
	for i := range 7 {
		o := &Organisation{Rank: i, HasRank: true}
		table.Keys[string(rune('a'+i))] = o
		organisations = append(organisations, o)
		table.Routes = append(table.Routes, &Route{Rank: i})
	}
	table.Index()
	last := -1
	for _, o := range organisations {
		for _, r := range table.Routes {
			rank := table.RankOf(r, o)
			assert.Assert(t, rank >= last && rank < MaxRanks)
			last = rank
		}
	}
	assert.Equal(t, last, MaxRanks-1)
}

// TestLowestRank checks that the lowest rank of a pool is the least urgent one of
// all organisations that may call it.
func TestLowestRank(t *testing.T) {
	urgent, usual := &Organisation{Rank: 0, HasRank: true}, &Organisation{Rank: 4, HasRank: true}
	newRoute := func(pool string, rank int) *Route { return &Route{Rank: rank, Targets: []Target{{Pool: pool}}} }
	table := &Table{
		RequiresKey: true, Keys: map[string]*Organisation{"a": urgent, "b": usual},
		Routes: []*Route{newRoute("model", 0), newRoute("model", 2), newRoute("calls", 1)},
	}
	table.Index()
	assert.Equal(t, table.LowestRank("model"), table.RankOf(table.Routes[1], usual))
	assert.Equal(t, table.LowestRank("calls"), table.RankOf(table.Routes[2], usual))
	assert.Assert(t, table.LowestRank("calls") < table.LowestRank("model"))
}

// TestHasShortestGap checks which routes have the shortest target for the gap between
// events of a pool.
func TestHasShortestGap(t *testing.T) {
	newRoute := func(gap time.Duration, pools ...string) *Route {
		r := &Route{GapAim: gap}
		for _, p := range pools {
			r.Targets = append(r.Targets, Target{Pool: p})
		}
		return r
	}
	quick, slow, none, alone := newRoute(150*time.Millisecond, "model"), newRoute(600*time.Millisecond, "model", "other"), newRoute(0, "model"), newRoute(100*time.Millisecond, "single")
	table := &Table{Routes: []*Route{quick, slow, none, alone}}
	table.Index()
	assert.Assert(t, table.HasShortestGap(quick, "model"))
	assert.Assert(t, !table.HasShortestGap(slow, "model"))
	assert.Assert(t, !table.HasShortestGap(none, "model"))
	assert.Assert(t, !table.HasShortestGap(slow, "other"), "a pool with one target has no shortest one")
	assert.Assert(t, !table.HasShortestGap(alone, "single"))
}

// BenchmarkIndex prepares a table of 5,000 routes and 490 organisations with two keys each.
func BenchmarkIndex(b *testing.B) {
	table := &Table{Keys: map[string]*Organisation{}}
	for i := range 5000 {
		table.Routes = append(table.Routes, &Route{Host: "h", Prefix: "/a/", Rank: i % 7, Targets: []Target{{Pool: "p"}}})
	}
	for i := range 490 {
		o := &Organisation{Rank: i % 7, HasRank: true}
		table.Keys[strconv.Itoa(i)], table.Keys["second of "+strconv.Itoa(i)] = o, o
	}
	for b.Loop() {
		table.Index()
	}
}
