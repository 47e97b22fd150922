package admission

import (
	"cmp"
	"slices"
	"sync"
)

// Queue orders the requests that wait for room at the upstreams of a pool: the most urgent
// first, of equally urgent ones the first to arrive. It answers short peaks at services with
// few slots, whose own refusals would cost a request its time. The zero value is ready for use.
type Queue struct {
	mu      sync.Mutex
	pools   map[string][]*Ticket
	entered uint64
}

// Ticket is the place of a request in the queue.
type Ticket struct {
	// Freed receives when room was freed and the request is the first of its pool.
	Freed chan struct{}

	pool   string
	rank   int
	number uint64
}

// Enter adds a request.
func (q *Queue) Enter(pool string, rank int) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pools == nil {
		q.pools = map[string][]*Ticket{}
	}
	q.entered++
	t := &Ticket{Freed: make(chan struct{}, 1), pool: pool, rank: rank, number: q.entered}
	at, _ := slices.BinarySearchFunc(q.pools[pool], t, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
	})
	q.pools[pool] = slices.Insert(q.pools[pool], at, t)
	return t
}

// Leave removes a request, and lets the next one try.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.pools[t.pool]
	if i := slices.Index(waiting, t); i >= 0 {
		q.pools[t.pool] = slices.Delete(waiting, i, i+1)
	}
	if len(q.pools[t.pool]) == 0 {
		delete(q.pools, t.pool)
	}
	q.wake(t.pool)
}

// Release lets the first request of a pool try: room was freed.
func (q *Queue) Release(pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(pool)
}

// wake wakes the first request of a pool. The caller holds q.mu.
func (q *Queue) wake(pool string) {
	if waiting := q.pools[pool]; len(waiting) > 0 {
		select {
		case waiting[0].Freed <- struct{}{}:
		default:
		}
	}
}

// MayTake reports whether a request may take scarce room: none before it waits. The ticket is
// nil for a request that does not wait.
func (q *Queue) MayTake(pool string, rank int, t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.pools[pool]
	return len(waiting) == 0 || waiting[0] == t || (t == nil && waiting[0].rank > rank)
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, waiting := range q.pools {
		n += len(waiting)
	}
	return n
}
