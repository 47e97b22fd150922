package experiment

import (
	"time"

	"knapweedwell/pool"
)

const prefixMemory = 64 // prefixMemory is the number of prefixes that an engine caches.

// request is one request of the experiment.
type request struct {
	class     *Class
	org       string
	prefix    uint64
	length    int
	instance  int
	arrived   time.Time
	ask       string // ask is the ID of the present attempt.
	tries     int
	preempted int // preempted counts its preemptions.
	first     time.Time
	last      time.Time
}

// sequence is one request running on an engine.
type sequence struct {
	req      *request
	grant    pool.Grant
	shard    int
	ready    time.Time // ready is when the prompt has been read.
	made     int
	started  bool // started tells that the caller has seen a token.
	gaps     int  // gaps counts since the last report.
	gapSum   time.Duration
	lastMade time.Time
}

// engine models continuous batching with a prefix cache.
type engine struct {
	name     string
	sc       *Scenario
	queue    []*sequence
	batch    []*sequence
	prefixes []uint64
	stepping bool
	factor   float64
	down     bool
	shown    int
}

func (e *engine) running() int {
	return len(e.queue) + len(e.batch)
}

// admit fills the batch from the queue.
func (e *engine) admit(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.sc.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.ready = now.Add(e.prefill(s.req))
		e.batch = append(e.batch, s)
	}
}

// prefill returns the time to read the prompt: a tenth if its start is cached.
func (e *engine) prefill(r *request) time.Duration {
	t := e.sc.Prefill * time.Duration(r.class.Prompt)
	for i, p := range e.prefixes {
		if p == r.prefix {
			copy(e.prefixes[1:i+1], e.prefixes[:i])
			e.prefixes[0] = p
			return t / 10
		}
	}
	e.prefixes = append([]uint64{r.prefix}, e.prefixes...)
	if len(e.prefixes) > prefixMemory {
		e.prefixes = e.prefixes[:prefixMemory]
	}
	return t
}

// stepTime returns the time of the next step.
func (e *engine) stepTime() time.Duration {
	t := e.sc.StepBase + e.sc.StepPerSeq*time.Duration(len(e.batch))
	return time.Duration(float64(t) * e.factor)
}

// generate makes one token of each sequence and returns those that are done.
func (e *engine) generate(now time.Time) []*sequence {
	var done []*sequence
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !now.Before(s.ready) {
			s.token(now)
		}
		if s.made >= s.req.length {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	e.batch = kept
	return done
}

func (s *sequence) token(now time.Time) {
	s.made++
	if !s.lastMade.IsZero() {
		s.gaps++
		s.gapSum += now.Sub(s.lastMade)
	}
	s.lastMade = now
	if s.made == 1 {
		s.req.first = now
		s.started = s.req.class.Streamed
	}
	s.req.last = now
}

// report returns what happened since the last report.
func (s *sequence) report(finished bool) pool.Report {
	r := pool.Report{Grant: s.grant.ID, Holder: s.grant.Holder, Tokens: s.made, Gaps: s.gaps, Finished: finished, Started: s.started}
	if s.gaps > 0 {
		r.MeanGap = s.gapSum / time.Duration(s.gaps)
	}
	s.gaps, s.gapSum = 0, 0
	return r
}

// take removes the sequence of a grant.
func (e *engine) take(grant string) *sequence {
	for _, list := range []*[]*sequence{&e.queue, &e.batch} {
		for i, s := range *list {
			if s.grant.ID == grant {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return s
			}
		}
	}
	return nil
}
