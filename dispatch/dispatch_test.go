package dispatch

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/upstream"
)

func newRun(rank int) *run {
	return &run{req: &request.Request{Rank: rank}}
}

// TestAdmission fills an instance: a request takes the place of a waiting one
// of a lower tier, the lowest first, and of nothing else.
func TestAdmission(t *testing.T) {
	var a admission
	ctx := context.Background()
	low, lowest, running := newRun(2), newRun(3), newRun(3)
	lowCtx, _, ok := a.enter(ctx, 3, low)
	assert.Assert(t, ok)
	lowestCtx, _, ok := a.enter(ctx, 3, lowest)
	assert.Assert(t, ok)
	runningCtx, _, ok := a.enter(ctx, 3, running)
	assert.Assert(t, ok)
	a.waiting(low)
	a.waiting(lowest)

	_, _, ok = a.enter(ctx, 3, newRun(3))
	assert.Assert(t, !ok, "an equal tier takes no place")
	top := newRun(1)
	_, leave, ok := a.enter(ctx, 3, top)
	assert.Assert(t, ok)
	assert.Equal(t, context.Cause(lowestCtx), errDisplaced)
	assert.NilError(t, lowCtx.Err())
	_, _, ok = a.enter(ctx, 3, newRun(1))
	assert.Assert(t, ok)
	assert.Equal(t, context.Cause(lowCtx), errDisplaced)
	_, _, ok = a.enter(ctx, 3, newRun(1))
	assert.Assert(t, !ok, "a request that no longer waits keeps its place")
	assert.NilError(t, runningCtx.Err())
	leave()
	_, _, ok = a.enter(ctx, 3, newRun(3))
	assert.Assert(t, ok)
}

func chunkOf(id, text string) upstream.Event {
	return upstream.Event{ID: id, Data: []byte(`{"choices":[{"delta":{"content":"` + text + `"}}]}`)}
}

// TestRelay follows streams that break and go on.
func TestRelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		second []upstream.Event // second is what comes after the break, on a new engine.
		fresh  []bool
		err    error
	}{
		{"the same text", []upstream.Event{chunkOf("0", "a"), chunkOf("1", "b"), chunkOf("2", "c")}, []bool{false, false, true}, nil},
		{"without offsets", []upstream.Event{chunkOf("", "a"), chunkOf("", "b"), chunkOf("", "c")}, []bool{false, false, true}, nil},
		{"another text", []upstream.Event{chunkOf("0", "a"), chunkOf("1", "x")}, []bool{false, false}, errDiffers},
		{"a gap", []upstream.Event{chunkOf("0", "a"), chunkOf("2", "c")}, []bool{false, false}, errGap},
		{"a repeat", []upstream.Event{chunkOf("0", "a"), chunkOf("0", "a"), chunkOf("1", "b"), chunkOf("2", "c")}, []bool{false, false, false, true}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var y relay
			y.begin()
			for _, e := range []upstream.Event{chunkOf("0", "a"), chunkOf("1", "b")} {
				fresh, err := y.accept(e)
				assert.Assert(t, fresh)
				assert.NilError(t, err)
				y.sent++
			}
			y.begin()
			for i, e := range c.second {
				fresh, err := y.accept(e)
				assert.Equal(t, fresh, c.fresh[i], "event %d", i)
				if i == len(c.second)-1 {
					assert.Assert(t, errors.Is(err, c.err), "%v", err)
				}
			}
		})
	}
}
