// Package dispatch carries one request from its arrival to the end of its
// answer: it claims the idempotency key, asks the shard's owner for a grant,
// sends the request to the upstream and relays the answer. The instance that
// holds the caller's connection is the only one that sends the request.
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
	"knapweedwell/trail"
	"knapweedwell/upstream"
)

const (
	grantAge        = time.Second            // grantAge is the age up to which an unused grant is used.
	maxAttempts     = 6                      // maxAttempts bounds the upstreams tried for one request.
	maxMoves        = 40                     // maxMoves bounds the owners asked for one grant.
	maxTried        = 4                      // maxTried bounds the shards asked for a free upstream.
	tryTimeout      = 300 * time.Millisecond // tryTimeout bounds a try at one shard.
	movePause       = 150 * time.Millisecond
	maxResumes      = 3
	resumePause     = 100 * time.Millisecond
	cancelTimeout   = time.Second
	detachedTimeout = 5 * time.Minute // detachedTimeout bounds a request without a deadline whose caller left.
	busyPause       = 200 * time.Millisecond
	defaultToken    = 256 // defaultToken is the expected answer length without any knowledge.
)

// Sink takes the answer of one request to its caller. Whole is called at most
// once and Event any number of times, never both.
type Sink struct {
	Whole func(a Answer) error
	Event func(e upstream.Event) error
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // Replayed tells that it was recorded for an earlier request.
}

// Service dispatches requests. The exported fields are set before Run.
type Service struct {
	Self       string
	Identity   string
	Zone       string
	Region     string
	Keeper     *revision.Keeper
	Owners     *owner.Service
	Claims     *claimstore.Desk
	Upstreams  *upstream.Client
	Check      *invariant.Checker
	Metrics    *metric.Registry
	Trail      *trail.Trail
	Log        logrus.FieldLogger
	Departing  func() map[string]bool
	Ended      func(identity string) bool // Ended reports whether an incarnation has ended.
	MaxRunning int                        // MaxRunning is the most requests held at once.

	table     *table
	admission admission
	lengths   lengths
	budget    budget
	group     background.Group
}

// Prepare sets up the table of grants. It is called before Run.
func (s *Service) Prepare() {
	s.table = &table{self: s.Self, owners: s.Owners, grants: map[string]*grant{}}
	s.Owners.Preempted = s.preempted
}

// Run starts the reports of grants in use.
func (s *Service) Run(*kernel.Kernel) error {
	s.group.Every(refreshPeriod, func(context.Context, time.Time) { s.table.refresh() })
	return nil
}

// Close stops the reports.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// Abort ends the requests that outlive their callers.
func (s *Service) Abort() {
	s.group.Abort()
}

// Running returns the number of grants in use.
func (s *Service) Running() int {
	return s.table.len()
}

func (s *Service) preempted(id string) {
	if g := s.table.get(id); g != nil && g.preempt() {
		s.Trail.Note(g.req.ID, "preempted on %s for a higher tier after %d tokens", g.upstream, g.count())
	}
}

// run is the state of one request under way.
type run struct {
	s         *Service
	req       *request.Request
	sink      Sink
	handed    bool // handed tells that bytes of the request may have reached an upstream.
	grants    int  // grants counts the grants so far.
	preempted int  // preempted counts the preemptions so far.
	avoid     string
	first     time.Duration // first is the time to the first token.
	meanGap   time.Duration
	tokens    int
	relay     relay
}

// Serve runs the request and relays its answer. A returned failure has not
// been sent to the caller yet.
func (s *Service) Serve(ctx context.Context, req *request.Request, sink Sink) *request.Failure {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	r := &run{s: s, req: req, sink: sink}
	ctx, leave, admitted := s.admission.enter(ctx, s.MaxRunning, r)
	defer leave()
	s.Trail.Note(req.ID, "arrived: class %s, organisation %s, target %s", req.Class, req.Organisation, req.Target)
	var f *request.Failure
	if admitted {
		f = r.claimed(ctx)
	} else {
		f = request.Refuse("this instance holds as many requests as it may").Unclaimed(req.Key)
	}
	r.end(f)
	return f
}

// end books the request's end.
func (r *run) end(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		r.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || !r.handed,
			"request %s was refused as not run after it was handed to an upstream", r.req.ID)
	}
	whole := time.Since(r.req.Arrived)
	sample := metric.Sample{
		Class:        r.req.Class,
		Organisation: r.req.Organisation,
		Result:       result,
		FirstToken:   r.first,
		MeanGap:      r.meanGap,
		Whole:        whole,
		Tokens:       r.tokens,
	}
	sample.Attained = f == nil && r.attained(sample)
	r.s.Metrics.Observe(sample)
	r.s.Trail.Note(r.req.ID, "ended: %s after %s", result, whole.Round(time.Millisecond))
	r.log(result, f, whole)
}

func (r *run) log(result string, f *request.Failure, whole time.Duration) {
	entry := r.s.Log.WithFields(logrus.Fields{
		"RequestID":    r.req.ID,
		"Class":        r.req.Class,
		"Organisation": r.req.Organisation,
		"Revision":     r.s.Keeper.Revision(),
		"Result":       result,
		"Millis":       whole.Milliseconds(),
	})
	if f != nil {
		entry = entry.WithField("Reason", f.Message)
	}
	entry.Info("request ended")
}

func (r *run) attained(m metric.Sample) bool {
	snap := r.s.Keeper.Current()
	if snap == nil {
		return false
	}
	c := snap.Config.Classes[r.req.Class]
	if c == nil {
		return false
	}
	return within(m.FirstToken, c.FirstToken) && within(m.MeanGap, c.BetweenToken) && within(m.Whole, c.Whole)
}

func within(seen, target time.Duration) bool {
	return target == 0 || seen <= target
}

// attempts tries upstreams until one answers or no further attempt is allowed.
func (r *run) attempts(ctx context.Context) *request.Failure {
	for n := 0; ; n++ {
		g, f := r.acquire(ctx)
		if f != nil {
			return r.exact(f)
		}
		res := r.attempt(ctx, g)
		switch res := res.(type) {
		case finished:
			return nil
		case ended:
			return r.exact(res.failure)
		case unused:
			r.avoid = res.avoid
			r.s.Trail.Note(r.req.ID, "grant not used: %s", res.reason)
			pause(ctx, movePause)
		case again:
			r.avoid = res.avoid
			if res.preempted {
				r.preempted++
			}
			if f := r.mayRetry(n, res); f != nil {
				return r.exact(f)
			}
		}
	}
}

// exact changes a refusal into what is still true once the request was handed
// to an upstream.
func (r *run) exact(f *request.Failure) *request.Failure {
	if f.Type != request.NotRun || !r.handed {
		return f
	}
	return request.Unknown("an upstream did not answer, and then: %s", f.Message)
}

// mayRetry returns the failure with which the request ends if it may not be
// tried again.
func (r *run) mayRetry(n int, res again) *request.Failure {
	switch {
	case r.handed && !r.req.Idempotent:
		return request.Unknown("the upstream did not answer: %s", res.reason)
	case res.preempted:
		return nil
	case n+1 >= maxAttempts:
		return request.Unavailable("%d upstreams failed; the last: %s", n+1, res.reason)
	case !r.s.budget.take(time.Now()):
		return request.Unavailable("the retry budget is spent; the last failure: %s", res.reason)
	}
	return nil
}

// finished is the result of an attempt that gave the caller a whole answer.
type finished struct{}

// ended is the result of an attempt after which the request has failed.
type ended struct {
	failure *request.Failure
}

// again is the result of an attempt after which another may be made.
type again struct {
	reason    string
	avoid     string
	preempted bool
}

// result is the result of one attempt.
type result interface {
	result()
}

// unused is the result of an attempt whose grant was given back unused.
type unused struct {
	reason string
	avoid  string
}

func (unused) result()   {}
func (finished) result() {}
func (ended) result()    {}
func (again) result()    {}
