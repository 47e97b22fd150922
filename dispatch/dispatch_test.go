package dispatch

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/upstream"
)

func newRequestState(rank int) *requestState {
	return &requestState{req: &request.Request{Rank: rank}}
}

// TestAdmission checks that at the limit a request displaces a waiting one of a
// lower tier, the lowest tier first, and no other.
func TestAdmission(t *testing.T) {
	var a admission
	ctx := context.Background()
	low, lowest, running := newRequestState(2), newRequestState(3), newRequestState(3)
	lowCtx, _, ok := a.admit(ctx, 3, low)
	assert.Assert(t, ok)
	lowestCtx, _, ok := a.admit(ctx, 3, lowest)
	assert.Assert(t, ok)
	runningCtx, _, ok := a.admit(ctx, 3, running)
	assert.Assert(t, ok)
	a.markWaiting(low)
	a.markWaiting(lowest)

	_, _, ok = a.admit(ctx, 3, newRequestState(3))
	assert.Assert(t, !ok, "a request displaced one of its own tier")
	top := newRequestState(1)
	_, release, ok := a.admit(ctx, 3, top)
	assert.Assert(t, ok)
	assert.Equal(t, context.Cause(lowestCtx), errDisplaced)
	assert.NilError(t, lowCtx.Err())
	_, _, ok = a.admit(ctx, 3, newRequestState(1))
	assert.Assert(t, ok)
	assert.Equal(t, context.Cause(lowCtx), errDisplaced)
	_, _, ok = a.admit(ctx, 3, newRequestState(1))
	assert.Assert(t, !ok, "a request displaced one that does not wait")
	assert.NilError(t, runningCtx.Err())
	release()
	_, _, ok = a.admit(ctx, 3, newRequestState(3))
	assert.Assert(t, ok)
}

func newChunk(id, text string) upstream.Event {
	return upstream.Event{ID: id, Data: []byte(`{"choices":[{"delta":{"content":"` + text + `"}}]}`)}
}

// TestRelay checks, after a stream breaks, which events of the next attempt are
// new to the caller and which attempts are rejected.
func TestRelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		second []upstream.Event // events after the break, from another engine
		fresh  []bool
		err    error
	}{
		{"the same text", []upstream.Event{newChunk("0", "a"), newChunk("1", "b"), newChunk("2", "c")}, []bool{false, false, true}, nil},
		{"without offsets", []upstream.Event{newChunk("", "a"), newChunk("", "b"), newChunk("", "c")}, []bool{false, false, true}, nil},
		{"another text", []upstream.Event{newChunk("0", "a"), newChunk("1", "x")}, []bool{false, false}, errStreamDiffers},
		{"a gap", []upstream.Event{newChunk("0", "a"), newChunk("2", "c")}, []bool{false, false}, errMissingEvents},
		{"a repeat", []upstream.Event{newChunk("0", "a"), newChunk("0", "a"), newChunk("1", "b"), newChunk("2", "c")}, []bool{false, false, false, true}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r relay
			r.restart()
			for _, e := range []upstream.Event{newChunk("0", "a"), newChunk("1", "b")} {
				fresh, err := r.accept(e)
				assert.Assert(t, fresh)
				assert.NilError(t, err)
				r.sent++
			}
			r.restart()
			for i, e := range c.second {
				fresh, err := r.accept(e)
				assert.Equal(t, fresh, c.fresh[i], "event %d", i)
				if i == len(c.second)-1 {
					assert.Assert(t, errors.Is(err, c.err), "%v", err)
				}
			}
		})
	}
}
