package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"knapweedwell/member"
)

const (
	answerStep   = 0.1 // weight of one answer in the mean time of a route's answers
	meanStep     = 0.02
	refusalLogs  = 20 // refusals logged in a second; all are counted
	refusalBurst = 50
	startTime    = 3 * time.Second // after the start, in which the counts of peers may be missing
	maxPools     = 1024            // pools and routes whose state is kept
)

// Control holds what one instance needs to decide on its requests. The exported fields are set
// before the first call.
type Control struct {
	Room  Room
	Queue Queue
	Log   logrus.FieldLogger

	seed    uint64
	started time.Time
	logged  *rate.Limiter

	mu      sync.Mutex
	gates   map[string]*Gate         // by pool
	answers map[string]time.Duration // mean time from the first event to the end, by route
	needs   map[string]float64       // mean of what a request needs, by pool

	refused  [causeCount]atomic.Int64
	held     atomic.Int64 // requests that were held back
	queued   atomic.Int64 // requests that waited for room
	holding  atomic.Int64 // requests that are held back now
	defaults atomic.Int64 // requests whose token counts were replaced
}

// NewControl returns the control of an instance.
func NewControl(now time.Time, self string, members func() []member.Member, log logrus.FieldLogger) *Control {
	return &Control{
		Room: Room{Self: self, Members: members}, Log: log, seed: xxhash.Sum64String(self), started: now,
		logged: rate.NewLimiter(refusalLogs, refusalBurst),
		gates:  map[string]*Gate{}, answers: map[string]time.Duration{}, needs: map[string]float64{},
	}
}

// Gate returns the gate of a pool.
func (c *Control) Gate(pool string) *Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[pool]
	if g == nil {
		if len(c.gates) >= maxPools {
			clear(c.gates)
		}
		g = &Gate{Seed: c.seed}
		c.gates[pool] = g
	}
	return g
}

// ObserveAnswer records how long an answer took from its first event to its end.
func (c *Control) ObserveAnswer(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.answers[route]
	switch {
	case known:
		c.answers[route] = mean + time.Duration(answerStep*float64(took-mean))
	case len(c.answers) < maxPools:
		c.answers[route] = took
	}
}

// AnswerTime returns the mean time of a route's answers from the first event to the end.
func (c *Control) AnswerTime(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[route]
}

// ObserveNeed records what a request for a pool needs of an upstream.
func (c *Control) ObserveNeed(pool string, need int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.needs[pool]
	switch {
	case known:
		c.needs[pool] = mean + meanStep*(float64(need)-mean)
	case len(c.needs) < maxPools:
		c.needs[pool] = float64(need)
	}
}

// ReportedHeld returns what an upstream of a pool holds by the number of requests that it
// reported: for a short time after the start of this instance, when the counts of its peers may
// be missing, their number times the mean of what requests need; zero later.
func (c *Control) ReportedHeld(now time.Time, pool string, requests int) int {
	if now.Sub(c.started) > startTime {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.needs[pool] * float64(requests))
}

// Hold counts a request that is held back, until the returned function is called. The request
// is new the first time.
func (c *Control) Hold(first bool) (done func()) {
	if first {
		c.held.Add(1)
	}
	c.holding.Add(1)
	return func() { c.holding.Add(-1) }
}

// Queued counts a request that waits for room.
func (c *Control) Queued() { c.queued.Add(1) }

// Defaulted counts a request whose token counts were replaced.
func (c *Control) Defaulted() { c.defaults.Add(1) }

// Refused counts a refusal and logs it with what it was decided on, at most refusalLogs a
// second.
func (c *Control) Refused(now time.Time, cause Cause, fields logrus.Fields) {
	for i, known := range Causes {
		if known == cause {
			c.refused[i].Add(1)
		}
	}
	if c.logged.AllowN(now, 1) {
		c.Log.WithFields(fields).WithField("Cause", cause).Info("request refused for lack of room")
	}
}

// RefusedCount returns the number of refusals for a cause.
func (c *Control) RefusedCount(cause Cause) int64 {
	for i, known := range Causes {
		if known == cause {
			return c.refused[i].Load()
		}
	}
	return 0
}

// Counts are the numbers of requests that waited or were changed.
type Counts struct {
	Held, Holding, Queued, Waiting, Defaulted int64
}

// Counts returns the present counts.
func (c *Control) Counts() Counts {
	return Counts{
		Held: c.held.Load(), Holding: c.holding.Load(), Queued: c.queued.Load(), Waiting: int64(c.Queue.Waiting()), Defaulted: c.defaults.Load(),
	}
}
