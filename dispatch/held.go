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

// grant is a grant in use here.
type grant struct {
	id       string
	shard    string
	by       member.Member // by is the owner that gave it.
	streamID string        // streamID names this attempt to the upstream.
	upstream string
	address  string
	received time.Time
	req      *request.Request
	cancel   context.CancelCauseFunc

	mu       sync.Mutex
	started  bool // started tells that a byte has reached the caller.
	tokens   int
	last     time.Time
	gaps     int
	gapTotal time.Duration
	gapSum   time.Duration // gapSum is the sum of gaps since the last report.
	gapCount int           // gapCount is the number of gaps since the last report.
}

// token books one token of the answer.
func (g *grant) token(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens++
	if !g.last.IsZero() {
		gap := now.Sub(g.last)
		g.gaps++
		g.gapTotal += gap
		g.gapCount++
		g.gapSum += gap
	}
	g.last = now
}

// meanGap returns the mean gap of the whole answer so far.
func (g *grant) meanGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gaps == 0 {
		return 0
	}
	return g.gapTotal / time.Duration(g.gaps)
}

func (g *grant) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// start marks that the answer reaches the caller. It returns false if the
// attempt was preempted before.
func (g *grant) start(ctx context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	g.started = true
	return true
}

// preempt cancels the attempt unless its answer already reaches the caller.
func (g *grant) preempt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started {
		return false
	}
	g.cancel(errPreempted)
	return true
}

// report returns what happened since the last report.
func (g *grant) report(holder string) pool.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := pool.Report{Grant: g.id, Holder: holder, Tokens: g.tokens, Gaps: g.gapCount, Started: g.started}
	if g.gapCount > 0 {
		r.MeanGap = g.gapSum / time.Duration(g.gapCount)
	}
	g.gapCount, g.gapSum = 0, 0
	return r
}

// table holds the grants in use here.
type table struct {
	self   string
	owners *owner.Service

	mu     sync.Mutex
	grants map[string]*grant
}

func (t *table) add(g *grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants[g.id] = g
}

func (t *table) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.grants, id)
}

func (t *table) get(id string) *grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[id]
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.grants)
}

// refresh reports all grants in use to the owners of their shards.
func (t *table) refresh() {
	t.mu.Lock()
	byShard := map[string][]*grant{}
	for _, g := range t.grants {
		byShard[g.shard] = append(byShard[g.shard], g)
	}
	t.mu.Unlock()
	for shard, gs := range byShard {
		helds := make([]pool.Held, len(gs))
		for i, g := range gs {
			helds[i] = g.held(t.self)
		}
		t.owners.Refresh(shard, helds)
	}
}

func (g *grant) held(self string) pool.Held {
	r := g.report(self)
	return pool.Held{
		Report:      r,
		Upstream:    g.upstream,
		Class:       g.req.Class,
		Rank:        g.req.Rank,
		Restartable: g.req.Idempotent && !r.Started,
	}
}
