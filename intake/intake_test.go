package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// TestLargestGivesWay guards against a budget in which small unfinished heads give way to
// larger ones, or that is exceeded, or that takes bytes from a request that is being served.
func TestLargestGivesWay(t *testing.T) {
	b := &Budget{Limit: 100 << 10, Drops: &Drops{}}
	var dropped []string
	holding := func(name string) *Holding {
		return &Holding{Budget: b, Drop: func() { dropped = append(dropped, name) }}
	}
	served, large, small, late := holding("served"), holding("large"), holding("small"), holding("late")
	assert.Assert(t, served.Resize(50<<10) && served.Pin())
	assert.Assert(t, large.Resize(40<<10))
	assert.Assert(t, small.Resize(10<<10))
	assert.Assert(t, late.Resize(20<<10))
	assert.DeepEqual(t, dropped, []string{"large"})
	assert.Assert(t, !large.Resize(1), "a connection that gave way goes on")
	assert.Equal(t, b.Used(), int64(80<<10))
	assert.Assert(t, !late.Resize(45<<10), "the largest does not give way itself")
	assert.DeepEqual(t, dropped, []string{"large"})
	assert.Equal(t, b.Used(), int64(60<<10))
	assert.Equal(t, b.Drops.Count(NoBytes), int64(2))
	next := holding("next")
	assert.Assert(t, next.Resize(40<<10))
	late = holding("late")
	assert.Assert(t, late.Resize(10<<10), "the bytes are still taken")
	assert.DeepEqual(t, dropped, []string{"large", "next"})
	assert.Assert(t, !holding("last").Resize(5<<10), "memory that is still in use was given away")
	large.Free()
	next.Free()
	last := holding("last")
	assert.Assert(t, last.Resize(5<<10))
	last.Free()
	late.Free()
	small.Free()
	served.Free()
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, !served.Resize(101<<10), "more than the limit was taken")
}

// TestWhoGivesWay guards against a port on which a request in progress gives way, or ordinary
// idle callers do while there are connections that have never sent a request.
func TestWhoGivesWay(t *testing.T) {
	p := &Port{Limit: 4, Drops: &Drops{}}
	var closed []string
	now := time.Now()
	take := func(name string) *Place { return p.Take(now, func() { closed = append(closed, name) }) }
	take("silent")
	idle, served, body := take("idle"), take("served"), take("body")
	idle.Set(now, Idle)
	served.Set(now, Serving)
	body.Set(now, Receiving)
	now = now.Add(minReceiving)
	assert.Assert(t, take("first") != nil)
	assert.Assert(t, take("second") != nil)
	assert.Assert(t, take("third") != nil)
	assert.DeepEqual(t, closed, []string{"silent", "idle", "body"})
	assert.Assert(t, take("fourth") == nil, "a connection gave way before it could send a request")
	now = now.Add(minWaiting)
	assert.Assert(t, take("fifth") != nil)
	assert.DeepEqual(t, closed, []string{"silent", "idle", "body", "first"})
	assert.Equal(t, p.Open(), 4)
	idle.Set(now, Serving)
	idle.Leave()
	assert.Equal(t, p.Open(), 4, "a place was given up twice")
	served.Leave()
	assert.Equal(t, p.Open(), 3)
	assert.Equal(t, p.Drops.Count(NoPlace), int64(1))
}

// TestDropsLogIsBounded guards against a crowd that fills the log.
func TestDropsLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		d := &Drops{Log: log}
		const seconds = 3
		for range seconds * 1000 {
			d.Add(Malformed)
			time.Sleep(time.Millisecond)
		}
		n := len(hook.AllEntries())
		assert.Assert(t, n > 0 && n <= seconds+1, "%d lines", n)
		assert.Equal(t, d.Count(Malformed), int64(seconds*1000))
	})
}
