package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/member"
	"knapweedwell/owner"
	"knapweedwell/pool"
	"knapweedwell/request"
)

// refreshPeriod is the time between two reports of grants in use.
const refreshPeriod = 500 * time.Millisecond

// errPreempted is the cause with which a preempted attempt is cancelled.
var errPreempted = errors.New("preempted for a higher tier")

// grant is a grant in use by this instance.
type grant struct {
	id       string
	shard    string
	granter  member.Member // owner that issued the grant
	streamID string        // request ID of this attempt at the upstream
	upstream string
	address  string
	received time.Time
	req      *request.Request
	cancel   context.CancelCauseFunc

	mu           sync.Mutex
	started      bool // a byte of the answer may have reached the caller
	tokens       int
	lastToken    time.Time
	answerGaps   int           // gaps between the tokens of the answer so far
	answerGapSum time.Duration // sum of these gaps
	newGapSum    time.Duration // since the last report
	newGaps      int           // since the last report
}

// recordToken records one token of the answer and the gap before it.
func (g *grant) recordToken(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens++
	if !g.lastToken.IsZero() {
		gap := now.Sub(g.lastToken)
		g.answerGaps++
		g.answerGapSum += gap
		g.newGaps++
		g.newGapSum += gap
	}
	g.lastToken = now
}

// setTokens sets the number of tokens of a whole answer.
func (g *grant) setTokens(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = n
}

// meanGap returns the mean gap between the tokens of the answer so far, zero
// before the second token.
func (g *grant) meanGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answerGaps == 0 {
		return 0
	}
	return g.answerGapSum / time.Duration(g.answerGaps)
}

func (g *grant) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// start marks that the answer begins to reach the caller; the attempt cannot be
// preempted from then on. It returns false if the attempt is already cancelled.
func (g *grant) start(ctx context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	g.started = true
	return true
}

// preempt cancels the attempt unless its answer has begun to reach the caller,
// and reports whether it did.
func (g *grant) preempt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started {
		return false
	}
	g.cancel(errPreempted)
	return true
}

// report returns the tokens of the grant so far and the gaps since the last
// report, and begins a new count of gaps.
func (g *grant) report(holder string) pool.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := pool.Report{Grant: g.id, Holder: holder, Tokens: g.tokens, Gaps: g.newGaps, Started: g.started}
	if g.newGaps > 0 {
		r.MeanGap = g.newGapSum / time.Duration(g.newGaps)
	}
	g.newGaps, g.newGapSum = 0, 0
	return r
}

// grantTable holds the grants in use by this instance.
type grantTable struct {
	self   string
	owners *owner.Service

	mu     sync.Mutex
	grants map[string]*grant
}

func (t *grantTable) add(g *grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants[g.id] = g
}

func (t *grantTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.grants, id)
}

func (t *grantTable) get(id string) *grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[id]
}

func (t *grantTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.grants)
}

// refresh reports all grants in use to the owners of their shards.
func (t *grantTable) refresh() {
	t.mu.Lock()
	byShard := map[string][]*grant{}
	for _, g := range t.grants {
		byShard[g.shard] = append(byShard[g.shard], g)
	}
	t.mu.Unlock()
	for shard, grants := range byShard {
		held := make([]pool.HeldGrant, len(grants))
		for i, g := range grants {
			held[i] = g.heldGrant(t.self)
		}
		t.owners.Refresh(shard, held)
	}
}

func (g *grant) heldGrant(self string) pool.HeldGrant {
	r := g.report(self)
	return pool.HeldGrant{
		Report:      r,
		Upstream:    g.upstream,
		Class:       g.req.Class,
		Rank:        g.req.Rank,
		Restartable: g.req.Idempotent && !r.Started,
	}
}
