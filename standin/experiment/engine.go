package experiment

import (
	"time"

	"knapweedwell/pool"
)

const maxPrefixes = 64 // prefixes in the cache of an engine

// request is one simulated request.
type request struct {
	class     *Class
	org       string
	prefix    uint64
	length    int // tokens of the complete answer
	instance  int // index of the instance that receives it
	arrived   time.Time
	attemptID string // pool.GrantRequest.ID of the current attempt
	attempts  int
	preempted int       // number of preemptions
	first     time.Time // time of the first token of the current attempt
	last      time.Time // time of the last token so far of the current attempt
}

// sequence is one attempt of a request at an engine.
type sequence struct {
	req       *request
	grant     pool.Grant
	shard     int           // index of the shard that granted it
	ready     time.Time     // end of the prefill
	generated int           // tokens so far
	started   bool          // whether the caller has received a token
	gaps      int           // gaps between tokens since the last report
	gapSum    time.Duration // sum of these gaps
	lastToken time.Time
}

// engine simulates a model engine with continuous batching and a prefix cache.
type engine struct {
	name     string
	sc       *Scenario
	queue    []*sequence
	batch    []*sequence
	prefixes []uint64 // cache, most recently used first
	stepping bool     // whether a step is in progress
	factor   float64  // multiplies the duration of a step
	down     bool
	reported int // number of sequences at the most recent load report
}

// running returns the number of sequences in the queue and in the batch.
func (e *engine) running() int {
	return len(e.queue) + len(e.batch)
}

// admit moves sequences from the queue to the batch until the batch is full.
func (e *engine) admit(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.sc.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.ready = now.Add(e.prefill(s.req))
		e.batch = append(e.batch, s)
	}
}

// prefill returns the prefill time of the prompt, which is a tenth if its
// prefix is cached. It makes the prefix the most recently used one.
func (e *engine) prefill(r *request) time.Duration {
	t := e.sc.PrefillPerToken * time.Duration(r.class.PromptTokens)
	for i, p := range e.prefixes {
		if p == r.prefix {
			copy(e.prefixes[1:i+1], e.prefixes[:i])
			e.prefixes[0] = p
			return t / 10
		}
	}
	e.prefixes = append([]uint64{r.prefix}, e.prefixes...)
	if len(e.prefixes) > maxPrefixes {
		e.prefixes = e.prefixes[:maxPrefixes]
	}
	return t
}

// stepTime returns the duration of the next step.
func (e *engine) stepTime() time.Duration {
	t := e.sc.StepBase + e.sc.StepPerSequence*time.Duration(len(e.batch))
	return time.Duration(float64(t) * e.factor)
}

// generate adds a token to each sequence of the batch whose prefill has ended,
// and removes and returns the complete ones.
func (e *engine) generate(now time.Time) []*sequence {
	var done []*sequence
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !now.Before(s.ready) {
			s.addToken(now)
		}
		if s.generated >= s.req.length {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	e.batch = kept
	return done
}

// addToken adds a token to the sequence.
func (s *sequence) addToken(now time.Time) {
	s.generated++
	if !s.lastToken.IsZero() {
		s.gaps++
		s.gapSum += now.Sub(s.lastToken)
	}
	s.lastToken = now
	if s.generated == 1 {
		s.req.first = now
		s.started = s.req.class.Streamed
	}
	s.req.last = now
}

// report returns the progress for the shard: all tokens so far, and the gaps
// since the last report.
func (s *sequence) report(finished bool) pool.Report {
	r := pool.Report{Grant: s.grant.ID, Holder: s.grant.Holder, Tokens: s.generated, Gaps: s.gaps, Finished: finished, Started: s.started}
	if s.gaps > 0 {
		r.MeanGap = s.gapSum / time.Duration(s.gaps)
	}
	s.gaps, s.gapSum = 0, 0
	return r
}

// remove removes and returns the sequence of a grant, or nil if there is none.
func (e *engine) remove(grantID string) *sequence {
	for _, list := range []*[]*sequence{&e.queue, &e.batch} {
		for i, s := range *list {
			if s.grant.ID == grantID {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return s
			}
		}
	}
	return nil
}
