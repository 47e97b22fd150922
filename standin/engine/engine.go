// Package engine is a stand-in for a model engine with continuous batching, a
// prefix cache, priorities, streams that can be resumed and cancelled, and a
// delayed load report. docs/STANDINS.md documents its protocol.
package engine

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Engine is a simulated model engine. The exported fields are set before Run.
type Engine struct {
	Name            string
	MaxBatch        int           // maximum number of sequences in one step
	StepBase        time.Duration // constant part of the duration of a step
	StepPerSequence time.Duration // added to the duration of a step for each sequence
	PrefillPerToken time.Duration // prefill time of one prompt token
	LoadLag         time.Duration // maximum age of the load report

	mu         sync.Mutex
	streams    map[string]*stream // streams by ID, also ended ones that can be resumed
	queue      []*stream
	batch      []*stream
	prefixes   map[uint64]bool // hashes of the cached prefixes
	faults     Faults
	stats      Stats
	reported   Load // most recent load report
	reportedAt time.Time
	wake       chan struct{} // signals a request to an idle engine
}

// Faults holds the faults that are injected. DropAfter and DropEnd also abort
// the connections of answers that are not streamed.
type Faults struct {
	SlowFactor float64 // multiplies the duration of a step; zero means one
	DropAfter  int     // number of events after which each connection is aborted; zero means never
	DropEnd    bool    // aborts connections before the end mark
	Draining   bool    // reported with the load; requests are still accepted
	Failing    bool    // answers all chat requests with status 500
	WrongID    bool    // answers with the ID of another request
}

// Load is the load report: the number of sequences in the batch and in the
// queue, and whether the engine is draining.
type Load struct {
	Running  int
	Waiting  int
	Draining bool
}

// Stats holds the engine's counters.
type Stats struct {
	Runs      int64 // accepted requests
	Tokens    int64 // all generated tokens
	Cancelled int64 // tokens of cancelled streams
	AfterLeft int64 // requests received while draining
}

const (
	resumeWindow = 20 * time.Second      // time for which a finished stream can be resumed
	orphanWindow = 3 * time.Second       // time for which a stream without a reader continues
	idleStep     = 50 * time.Millisecond // wait between steps with an empty batch
	maxPrefixes  = 256                   // the cache is cleared when it is full
)

// stream is one answer that the engine generates for any number of readers.
type stream struct {
	id           string
	rank         int
	seed         uint64 // hash of the request body, which determines the tokens
	length       int    // tokens of the complete answer
	promptTokens int    // prompt length
	prefix       uint64 // hash of the start of the request body
	arrived      time.Time
	ready        time.Time // end of the prefill
	generated    int       // tokens so far
	done         bool
	cancel       bool      // ends the stream before its length
	readers      int       // connections that read the stream
	unreadSince  time.Time // time at which a reader most recently disconnected
	finished     time.Time
	changed      chan struct{} // closed on the next token and at the end
}

// notify wakes the readers that wait for a change of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run generates tokens until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := e.step()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-e.wakeIfIdle(wait):
		}
	}
}

// wakeIfIdle returns the channel that a new request signals if the engine is
// idle, and nil if a step is in progress.
func (e *Engine) wakeIfIdle(wait time.Duration) chan struct{} {
	if wait == idleStep {
		return e.wake
	}
	return nil
}

// step generates one token for each sequence of the batch and returns the
// duration of the step, or idleStep if the batch is empty.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.sweep(now)
	e.admit(now)
	if len(e.batch) == 0 {
		return idleStep
	}
	for _, s := range e.batch {
		e.generate(now, s)
	}
	slow := e.faults.SlowFactor
	if slow == 0 {
		slow = 1
	}
	return time.Duration(float64(e.StepBase+e.StepPerSequence*time.Duration(len(e.batch))) * slow)
}

// sweep cancels the streams of the batch that have had no reader for
// orphanWindow, ends cancelled streams and removes ended ones from the batch.
// It deletes the streams that can no longer be resumed.
func (e *Engine) sweep(now time.Time) {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if s.readers == 0 && now.Sub(s.unreadSince) > orphanWindow {
			s.cancel = true
		}
		if s.cancel && !s.done {
			e.stats.Cancelled += int64(s.generated)
			s.finish(now)
		}
		if !s.done {
			kept = append(kept, s)
		}
	}
	e.batch = kept
	for id, s := range e.streams {
		if s.done && now.Sub(s.finished) > resumeWindow {
			delete(e.streams, id)
		}
	}
}

// finish marks the stream as ended. A cancelled stream ends before its length.
func (s *stream) finish(now time.Time) {
	s.done = true
	s.finished = now
	s.notify()
}

// admit moves streams from the queue to the batch, in the order of their ranks,
// until the batch is full.
func (e *Engine) admit(now time.Time) {
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].rank < e.queue[j].rank })
	for len(e.queue) > 0 && len(e.batch) < e.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.cancel {
			s.finish(now)
			continue
		}
		s.ready = now.Add(e.prefill(s))
		e.batch = append(e.batch, s)
	}
}

// prefill returns the prefill time of the prompt, which is a tenth if its
// prefix is cached. It caches the prefix.
func (e *Engine) prefill(s *stream) time.Duration {
	t := e.PrefillPerToken * time.Duration(s.promptTokens)
	if e.prefixes[s.prefix] {
		return t / 10
	}
	if len(e.prefixes) >= maxPrefixes {
		e.prefixes = map[uint64]bool{}
	}
	e.prefixes[s.prefix] = true
	return t
}

// generate adds a token to a stream whose prefill has ended.
func (e *Engine) generate(now time.Time, s *stream) {
	if now.Before(s.ready) || s.done {
		return
	}
	s.generated++
	e.stats.Tokens++
	if s.generated >= s.length {
		s.finish(now)
		return
	}
	s.notify()
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// load returns the load report, which is renewed once it is LoadLag old.
// Draining is always current.
func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportedAt) >= e.LoadLag {
		e.reported = Load{Running: len(e.batch), Waiting: len(e.queue)}
		e.reportedAt = now
	}
	l := e.reported
	l.Draining = e.faults.Draining
	return l
}

// enqueue accepts a stream. A running stream with the same ID is cancelled.
func (e *Engine) enqueue(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.streams[s.id]; old != nil && !old.done {
		old.cancel = true
	}
	if e.faults.Draining {
		e.stats.AfterLeft++
	}
	e.stats.Runs++
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// New returns an engine with default speeds.
func New(name string) *Engine {
	return &Engine{
		Name:            name,
		MaxBatch:        8,
		StepBase:        20 * time.Millisecond,
		StepPerSequence: 2 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		LoadLag:         500 * time.Millisecond,
		streams:         map[string]*stream{},
		prefixes:        map[uint64]bool{},
		wake:            make(chan struct{}, 1),
	}
}
