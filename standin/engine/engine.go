// Package engine is a stand-in for a model engine with continuous batching, a
// prefix cache, priorities, streams that can be resumed and cancelled, and a
// load report that lags. docs/STANDINS.md documents its protocol.
package engine

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Engine is the stand-in. The exported fields are set before Run.
type Engine struct {
	Name          string
	MaxBatch      int           // MaxBatch is the most sequences in one step.
	StepBase      time.Duration // StepBase is the time of a step with an empty batch.
	StepPerSeq    time.Duration // StepPerSeq is added for each sequence.
	PrefillPerTok time.Duration // PrefillPerTok is the time to read one prompt token.
	LoadLag       time.Duration // LoadLag is the age of the load report.

	mu       sync.Mutex
	streams  map[string]*stream
	queue    []*stream
	batch    []*stream
	prefixes map[uint64]bool
	faults   Faults
	stats    Stats
	shown    Load
	shownAt  time.Time
	wake     chan struct{}
}

// Faults are the faults in force.
type Faults struct {
	SlowFactor float64 // SlowFactor multiplies the time of a step; zero means one.
	DropAfter  int     // DropAfter breaks each connection after so many events; zero means never.
	DropEnd    bool    // DropEnd breaks connections before the end mark.
	Draining   bool
	Failing    bool // Failing answers all requests with status 500.
	WrongID    bool // WrongID answers with the ID of another request.
}

// Load is the load report.
type Load struct {
	Running  int
	Waiting  int
	Draining bool
}

// Stats are the engine's counters.
type Stats struct {
	Runs      int64
	Tokens    int64 // Tokens counts all generated tokens.
	Cancelled int64 // Cancelled counts the tokens of cancelled streams.
	AfterLeft int64 // AfterLeft counts requests that came while draining.
}

const (
	resumeWindow = 20 * time.Second // resumeWindow is how long an ended stream can be resumed.
	orphanWindow = 3 * time.Second  // orphanWindow is how long a stream runs on without a reader.
	idleStep     = 50 * time.Millisecond
	maxPrefixes  = 256
)

// stream is one generation.
type stream struct {
	id       string
	rank     int
	seed     uint64
	length   int
	prompt   int
	prefix   uint64
	arrived  time.Time
	ready    time.Time // ready is when the prompt has been read.
	made     int       // made is the number of tokens so far.
	done     bool
	cancel   bool
	readers  int
	unread   time.Time // unread is when the last reader left.
	finished time.Time
	changed  chan struct{}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run generates until the context ends.
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

func (e *Engine) wakeIfIdle(wait time.Duration) chan struct{} {
	if wait == idleStep {
		return e.wake
	}
	return nil
}

// step generates one token for each sequence of the batch and returns the time
// that the step takes.
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
	return time.Duration(float64(e.StepBase+e.StepPerSeq*time.Duration(len(e.batch))) * slow)
}

// sweep drops ended and abandoned streams.
func (e *Engine) sweep(now time.Time) {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if s.readers == 0 && now.Sub(s.unread) > orphanWindow {
			s.cancel = true
		}
		if s.cancel && !s.done {
			e.stats.Cancelled += int64(s.made)
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

func (s *stream) finish(now time.Time) {
	s.done = true
	s.finished = now
	s.notify()
}

// admit moves the first waiting streams into the batch.
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

// prefill returns the time to read the prompt, a tenth if its start is cached.
func (e *Engine) prefill(s *stream) time.Duration {
	t := e.PrefillPerTok * time.Duration(s.prompt)
	if e.prefixes[s.prefix] {
		return t / 10
	}
	if len(e.prefixes) >= maxPrefixes {
		e.prefixes = map[uint64]bool{}
	}
	e.prefixes[s.prefix] = true
	return t
}

func (e *Engine) generate(now time.Time, s *stream) {
	if now.Before(s.ready) || s.done {
		return
	}
	s.made++
	e.stats.Tokens++
	if s.made >= s.length {
		s.finish(now)
		return
	}
	s.notify()
}

// Set puts faults in force.
func (e *Engine) Set(f Faults) {
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

// load returns the load report, which lags.
func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.shownAt) >= e.LoadLag {
		e.shown = Load{Running: len(e.batch), Waiting: len(e.queue)}
		e.shownAt = now
	}
	l := e.shown
	l.Draining = e.faults.Draining
	return l
}

// begin enters a generation. One with the same ID is cancelled.
func (e *Engine) begin(s *stream) {
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

// New returns an engine with usual speeds.
func New(name string) *Engine {
	return &Engine{
		Name:          name,
		MaxBatch:      8,
		StepBase:      20 * time.Millisecond,
		StepPerSeq:    2 * time.Millisecond,
		PrefillPerTok: 100 * time.Microsecond,
		LoadLag:       500 * time.Millisecond,
		streams:       map[string]*stream{},
		prefixes:      map[uint64]bool{},
		wake:          make(chan struct{}, 1),
	}
}
