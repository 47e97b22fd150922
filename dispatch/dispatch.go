// Package dispatch carries one request from its arrival to the end of its
// answer: it claims the idempotency key, asks the shard's owner for a grant,
// sends the request to the upstream and relays the answer. The instance that
// holds the caller's connection is the only one that sends the request.
package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/claim"
	"knapweedwell/claimstore"
	"knapweedwell/invariant"
	"knapweedwell/journal"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/metric"
	"knapweedwell/owner"
	"knapweedwell/pool"
	"knapweedwell/request"
	"knapweedwell/revision"
	"knapweedwell/upstream"
)

const (
	grantAge        = time.Second // grantAge is the age up to which an unused grant is used.
	maxAttempts     = 6           // maxAttempts bounds the upstreams tried for one request.
	maxMoves        = 40          // maxMoves bounds the owners asked for one grant.
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
	Journal    *journal.Journal
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
		s.Journal.Note(g.req.ID, "preempted on %s for a higher tier after %d tokens", g.upstream, g.count())
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
	s.Journal.Note(req.ID, "arrived: class %s, organisation %s, target %s", req.Class, req.Organisation, req.Target)
	var f *request.Failure
	if admitted {
		f = r.claimed(ctx)
	} else {
		f = request.Refuse("this instance holds as many requests as it may")
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
	r.s.Journal.Note(r.req.ID, "ended: %s after %s", result, whole.Round(time.Millisecond))
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

// claimed runs the request under a claim if it has a key and must not be
// repeated.
func (r *run) claimed(ctx context.Context) *request.Failure {
	if r.req.Idempotent || r.req.Key == "" {
		return r.attempts(ctx)
	}
	c := claim.Claim{
		Organisation: r.req.Organisation,
		Key:          r.req.Key,
		Nonce:        uuid.NewString(),
		Holder:       r.s.Identity,
		Digest:       claim.Digest([]byte(r.req.Method), []byte(r.req.Target), []byte(r.req.Path), r.req.Body),
	}
	for {
		switch a := r.s.Claims.Take(ctx, c).(type) {
		case claim.Yours:
			return r.holding(ctx, c)
		case claim.Done:
			return r.replay(a.Outcome)
		case claim.Mismatch:
			return request.Malformed([]request.Finding{{Place: "header Idempotency-Key", Message: "the key was used with another request"}})
		case claim.Unsure:
			return r.unsure(a)
		case claim.Busy:
			if f := r.wait(ctx, a); f != nil {
				return f
			}
		}
	}
}

func (r *run) unsure(a claim.Unsure) *request.Failure {
	f := request.Unknown("this attempt was not run, but an earlier one with the key may have been: %s", a.Reason)
	f.Status = 503
	f.RetryAfter = time.Second
	return f
}

// wait pauses while another attempt with the key runs.
func (r *run) wait(ctx context.Context, b claim.Busy) *request.Failure {
	if r.s.Ended(b.Holder) {
		return request.Unknown("the instance that ran the request with this key has ended")
	}
	select {
	case <-ctx.Done():
		return request.Unknown("the request with this key is still running")
	case <-time.After(busyPause):
		return nil
	}
}

// replay answers with a recorded outcome.
func (r *run) replay(o claim.Outcome) *request.Failure {
	r.s.Journal.Note(r.req.ID, "answered from the record of an earlier request with its key")
	if o.Failure != nil {
		return o.Failure
	}
	_ = r.sink.Whole(Answer{Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: true})
	return nil
}

// holding runs the request while the claim is held, then records its outcome
// or gives the claim back.
func (r *run) holding(ctx context.Context, c claim.Claim) *request.Failure {
	inner := r.sink.Whole
	var got *claim.Outcome
	r.sink.Whole = func(a Answer) error {
		got = &claim.Outcome{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
		return inner(a)
	}
	f := r.attempts(ctx)
	switch {
	case !r.handed:
		r.s.Claims.Release(c)
	case got != nil:
		r.s.Claims.Finish(c, *got)
	default:
		r.s.Claims.Finish(c, claim.Outcome{Failure: f})
	}
	return f
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
			r.s.Journal.Note(r.req.ID, "grant not used: %s", res.reason)
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

// acquire asks the owners of the target's shards, nearest first, until one
// grants.
func (r *run) acquire(ctx context.Context) (*grant, *request.Failure) {
	snap := r.s.Keeper.Current()
	if snap == nil {
		return nil, request.Unavailable("this instance has no configuration yet")
	}
	r.s.Check.Check(invariant.WorkNeedConfig, snap.Revision > 0, "request %s is served without a configuration", r.req.ID)
	defer r.s.admission.waiting(r)()
	var last *request.Failure
	for _, shard := range r.s.route(snap, r.req) {
		g, f := r.ask(ctx, snap, shard)
		if g != nil {
			return g, nil
		}
		last = f
		if ctx.Err() != nil {
			return nil, request.Refuse("the deadline passed before an upstream was free")
		}
	}
	if last == nil {
		last = request.Unavailable("no upstream serves %q", r.req.Target)
	}
	return nil, last
}

// ask asks one shard's owner, and its next owner if that one moved or died.
func (r *run) ask(ctx context.Context, snap *revision.Snapshot, shard string) (*grant, *request.Failure) {
	asked := ""
	for move := 0; move < maxMoves; move++ {
		a := r.newAsk(snap)
		reply, by, err := r.s.Owners.Ask(ctx, shard, a, asked == r.s.ownerName(shard))
		asked = by.Name
		switch {
		case err == nil && reply.Granted:
			r.s.Journal.Note(r.req.ID, "granted %s by %s after %s", reply.Upstream, by.Name, reply.Waited.Round(time.Millisecond))
			return r.newGrant(a.ID, shard, by, reply), nil
		case err == nil && !reply.Moved:
			r.s.Journal.Note(r.req.ID, "refused by %s: %s", by.Name, reply.Reason)
			return nil, request.Refuse("%s", reply.Reason)
		}
		if ctx.Err() != nil {
			return nil, request.Refuse("the deadline passed before an upstream was free")
		}
		if err != nil {
			r.s.Owners.Doubt(by)
		}
		r.s.Journal.Note(r.req.ID, "owner %s of shard %s moved or did not answer", by.Name, shard)
		pause(ctx, movePause)
	}
	return nil, request.Unavailable("no owner of shard %s answers", shard)
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ownerName returns the name of the shard's present owner.
func (s *Service) ownerName(shard string) string {
	m, _ := s.Owners.Owner(shard)
	return m.Name
}

func (r *run) newAsk(snap *revision.Snapshot) pool.Ask {
	now := time.Now()
	expires := r.req.Arrived.Add(snap.Config.Classes[r.req.Class].QueueTimeout)
	if !r.req.Deadline.IsZero() && r.req.Deadline.Before(expires) {
		expires = r.req.Deadline
	}
	if expires.Before(now) {
		expires = now
	}
	return pool.Ask{
		ID:           uuid.NewString(),
		Holder:       r.s.Self,
		HolderZone:   r.s.Zone,
		Class:        r.req.Class,
		Organisation: r.req.Organisation,
		Rank:         r.req.Rank,
		Restartable:  r.req.Idempotent && r.preempted < pool.MaxPreemptions,
		Prefix:       r.req.Prefix,
		PromptTokens: r.req.PromptTokens,
		Cost:         r.s.lengths.expect(r.req),
		Arrived:      r.req.Arrived,
		Expires:      expires,
		Avoid:        r.avoid,
	}
}

func (r *run) newGrant(id, shard string, by member.Member, reply owner.Reply) *grant {
	r.grants++
	return &grant{
		streamID: r.req.ID + "." + strconv.Itoa(r.grants),
		id:       id,
		shard:    shard,
		by:       by,
		upstream: reply.Upstream,
		address:  reply.Address,
		received: time.Now(),
		req:      r.req,
	}
}
