// Package dispatch processes a request from its arrival to the end of its
// answer: it claims the idempotency key, requests a grant from the shard's
// owner, sends the request to the upstream and relays the answer. Only the
// instance that holds the caller's connection sends the request.
//
// It is used for the chat interface, with packages owner, pool and placement. An
// instance that serves routes uses packages edge, forward and balancer instead.
package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/claimstore"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/metric"
	"knapweedwell/owner"
	"knapweedwell/request"
	"knapweedwell/revision"
	"knapweedwell/trace"
	"knapweedwell/upstream"
)

const (
	maxGrantAge      = time.Second            // an older grant is withdrawn unused
	maxAttempts      = 6                      // upstreams tried per request
	maxOwnerAttempts = 40                     // requests to the owners of one shard per grant
	maxTryShards     = 4                      // shards tried for a free upstream
	tryTimeout       = 300 * time.Millisecond // per shard
	grantRetryDelay  = 150 * time.Millisecond
	maxResumes       = 3
	resumeDelay      = 100 * time.Millisecond
	cancelTimeout    = time.Second
	// detachedTimeout limits a request without a deadline that continues after its
	// caller has disconnected.
	detachedTimeout     = 5 * time.Minute
	claimPollPeriod     = 200 * time.Millisecond
	defaultAnswerTokens = 256 // expected answer length before any was observed
)

// Sink sends the answer of one request to its caller. For one request, either
// Whole is called at most once or Event any number of times.
type Sink struct {
	Whole func(a Answer) error
	Event func(e upstream.Event) error
}

// Answer is a complete answer that is not streamed.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // the answer was recorded for an earlier request
}

// Service dispatches requests. The exported fields are set before Run.
type Service struct {
	Self             string
	Identity         string
	Zone             string
	Region           string
	Revisions        *revision.Manager
	Owners           *owner.Service
	Claims           *claimstore.Service
	Upstreams        *upstream.Client
	Check            *invariant.Checker
	Metrics          *metric.Registry
	Trace            *trace.Recorder
	Log              logrus.FieldLogger
	LeavingUpstreams func() map[string]bool
	Ended            func(identity string) bool // reports whether an incarnation has ended
	MaxRunning       int                        // limit of concurrent requests

	table     *grantTable
	admission admission
	lengths   answerLengths
	retries   retryLimiter
	group     background.Group
}

// Prepare creates the table of grants and registers the handler of preemptions.
// It must be called before Run.
func (s *Service) Prepare() {
	s.table = &grantTable{self: s.Self, owners: s.Owners, grants: map[string]*grant{}}
	s.Owners.Preempted = s.preempted
}

// Run starts the periodic reports of grants in use to the owners.
func (s *Service) Run(*kernel.Kernel) error {
	s.group.Every(refreshPeriod, func(context.Context, time.Time) { s.table.refresh() })
	return nil
}

// Close stops the reports of grants in use, cancels the requests that continue
// without their callers, and waits for the goroutines of the service.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// Abort stops and cancels what Close does, but does not wait.
func (s *Service) Abort() {
	s.group.Abort()
}

// Running returns the number of grants in use.
func (s *Service) Running() int {
	return s.table.len()
}

func (s *Service) preempted(id string) {
	if g := s.table.get(id); g != nil && g.preempt() {
		s.Trace.Record(g.req.ID, "preempted on %s for a higher tier after %d tokens", g.upstream, g.tokenCount())
	}
}

// requestState is the state of one request in progress.
type requestState struct {
	s           *Service
	req         *request.Request
	sink        Sink
	forwarded   bool          // bytes of the request may have reached an upstream
	grants      int           // received so far
	preemptions int           // so far
	avoid       string        // upstream to avoid in the next attempt; empty if none
	firstToken  time.Duration // from arrival
	meanGap     time.Duration // between the tokens of the answer
	tokens      int           // of the answer
	relay       relay
}

// Serve runs the request and relays its answer. A returned failure has not
// been sent to the caller yet.
func (s *Service) Serve(ctx context.Context, req *request.Request, sink Sink) *request.Failure {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	r := &requestState{s: s, req: req, sink: sink}
	ctx, release, admitted := s.admission.admit(ctx, s.MaxRunning, r)
	defer release()
	s.Trace.Record(req.ID, "arrived: class %s, organisation %s, target %s", req.Class, req.Organisation, req.Target)
	var f *request.Failure
	if admitted {
		f = r.withClaim(ctx)
	} else {
		f = request.Refuse("this instance holds as many requests as it may").BeforeClaim(req.IdempotencyKey)
	}
	r.recordEnd(f)
	return f
}

// recordEnd records the end of the request in the metrics, the trace and the
// log.
func (r *requestState) recordEnd(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		r.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || !r.forwarded,
			"request %s was refused as not run after it was handed to an upstream", r.req.ID)
	}
	elapsed := time.Since(r.req.Arrived)
	sample := metric.Sample{
		Class:        r.req.Class,
		Organisation: r.req.Organisation,
		Result:       result,
		FirstToken:   r.firstToken,
		MeanGap:      r.meanGap,
		Whole:        elapsed,
		Tokens:       r.tokens,
	}
	sample.Attained = f == nil && r.attained(sample)
	r.s.Metrics.Observe(sample)
	r.s.Trace.Record(r.req.ID, "ended: %s after %s", result, elapsed.Round(time.Millisecond))
	r.logEnd(result, f, elapsed)
}

func (r *requestState) logEnd(result string, f *request.Failure, elapsed time.Duration) {
	entry := r.s.Log.WithFields(logrus.Fields{
		"RequestID":    r.req.ID,
		"Class":        r.req.Class,
		"Organisation": r.req.Organisation,
		"Revision":     r.s.Revisions.Revision(),
		"Result":       result,
		"Millis":       elapsed.Milliseconds(),
	})
	if f != nil {
		entry = entry.WithField("Reason", f.Message)
	}
	entry.Info("request ended")
}

// attained reports whether the answer met the targets of its class.
func (r *requestState) attained(sample metric.Sample) bool {
	snap := r.s.Revisions.Current()
	if snap == nil {
		return false
	}
	c := snap.Config.Classes[r.req.Class]
	if c == nil {
		return false
	}
	return withinTarget(sample.FirstToken, c.FirstToken) && withinTarget(sample.MeanGap, c.BetweenToken) && withinTarget(sample.Whole, c.Whole)
}

func withinTarget(measured, target time.Duration) bool {
	return target == 0 || measured <= target
}

// attempts tries upstreams until one answers or no further attempt is allowed.
func (r *requestState) attempts(ctx context.Context) *request.Failure {
	for n := 0; ; n++ {
		g, f := r.acquire(ctx)
		if f != nil {
			return r.withUnknownOutcome(f)
		}
		res := r.attempt(ctx, g)
		switch res := res.(type) {
		case succeeded:
			return nil
		case failed:
			return r.withUnknownOutcome(res.failure)
		case unused:
			r.avoid = res.avoid
			r.s.Trace.Record(r.req.ID, "grant not used: %s", res.reason)
			pause(ctx, grantRetryDelay)
		case retryable:
			r.avoid = res.avoid
			if res.preempted {
				r.preemptions++
			}
			if f := r.checkRetry(n, res); f != nil {
				return r.withUnknownOutcome(f)
			}
		}
	}
}

// withUnknownOutcome replaces a failure of type NotRun by one of unknown outcome
// if an upstream may have received the request, because it may have run there.
func (r *requestState) withUnknownOutcome(f *request.Failure) *request.Failure {
	if f.Type != request.NotRun || !r.forwarded {
		return f
	}
	return request.Unknown("an upstream did not answer, and then: %s", f.Message)
}

// checkRetry returns nil if another attempt is allowed, and otherwise the
// failure that ends the request.
func (r *requestState) checkRetry(n int, res retryable) *request.Failure {
	switch {
	case r.forwarded && !r.req.Idempotent:
		return request.Unknown("the upstream did not answer: %s", res.reason)
	case res.preempted:
		return nil
	case n+1 >= maxAttempts:
		return request.Unavailable("%d upstreams failed; the last: %s", n+1, res.reason)
	case !r.s.retries.take(time.Now()):
		return request.Unavailable("the retry budget is spent; the last failure: %s", res.reason)
	}
	return nil
}

// succeeded is the result of an attempt that sent the caller a complete answer.
type succeeded struct{}

// failed is the result of an attempt that ends the request with a failure.
type failed struct {
	failure *request.Failure
}

// retryable is the result of an attempt after which another one may be made.
type retryable struct {
	reason    string
	avoid     string
	preempted bool
}

// result is the result of one attempt.
type result interface {
	result()
}

// unused is the result of an attempt that withdrew its grant unused.
type unused struct {
	reason string
	avoid  string
}

func (unused) result()    {}
func (succeeded) result() {}
func (failed) result()    {}
func (retryable) result() {}
