package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/upstream"
)

// TestDisplacedReason guards against a displaced request that is told that its deadline
// passed.
func TestDisplacedReason(t *testing.T) {
	displaced, displace := context.WithCancelCause(t.Context())
	displace(errDisplaced)
	late, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, c := range []struct {
		ctx  context.Context
		want string
	}{
		{displaced, "a request of a higher tier took the place at this instance"},
		{late, "the deadline passed before an upstream was free"},
		{left, "the caller left before an upstream was free"},
	} {
		f := refuseEnded(c.ctx)
		assert.Equal(t, f.Type, request.NotRun)
		assert.Equal(t, f.Message, c.want)
	}
}

// TestWholeAnswerTokens guards against a race of the count of a whole answer's tokens
// with a report of the grant.
func TestWholeAnswerTokens(t *testing.T) {
	r := newRequestState(1)
	r.s = &Service{}
	r.req.Kind = request.Chat
	r.sink.Whole = func(Answer) error { return nil }
	g := &grant{req: r.req}
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 1000 {
			g.report("a")
		}
	})
	const answer = `{"usage":{"completion_tokens":7}}`
	body := io.NopCloser(strings.NewReader(answer))
	res := r.relayWhole(t.Context(), g, &http.Response{StatusCode: http.StatusOK, Body: body, ContentLength: int64(len(answer))})
	wg.Wait()
	assert.Equal(t, res, result(succeeded{}))
	assert.Equal(t, g.tokenCount(), 7)
}

// TestRepeatedEventCountsOnce guards against tokens of a repeated event that are counted
// again.
func TestRepeatedEventCountsOnce(t *testing.T) {
	r := newRequestState(1)
	r.s = &Service{}
	r.sink.Event = func(upstream.Event) error { return nil }
	g := &grant{req: r.req}
	for _, id := range []string{"0", "1", "0", "1", "2"} {
		assert.NilError(t, r.relayEvent(t.Context(), g, newChunk(id, "a")))
	}
	assert.Equal(t, r.relay.sent, 3)
	assert.Equal(t, g.tokenCount(), 3)
}
