package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/invariant"
	"knapweedwell/request"
	"knapweedwell/upstream"
)

// attempt uses one grant: it sends the request to the upstream and relays the
// answer.
func (r *run) attempt(ctx context.Context, g *grant) result {
	if why := r.s.stale(g); why != "" {
		r.s.Owners.Withdraw(g.by, g.shard, g.id)
		return unused{reason: why, avoid: g.upstream}
	}
	if !r.req.Idempotent {
		var stop context.CancelFunc
		ctx, stop = r.s.detach(ctx)
		defer stop()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.cancel = cancel
	g.started = r.relay.sent > 0
	r.s.table.add(g)
	res := r.send(ctx, g)
	r.s.table.remove(g.id)
	r.finish(g, res)
	return res
}

// detach returns a context that outlives the caller but neither the deadline
// nor this service: a request that must not be repeated is not cut off because
// its caller left.
func (s *Service) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(detachedTimeout)
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(s.group.Context(), cancel)
	return detached, func() {
		stop()
		cancel()
	}
}

// stale tells why a grant must not be used any more, or nothing.
func (s *Service) stale(g *grant) string {
	if time.Since(g.received) > grantAge {
		return "the grant is too old"
	}
	snap := s.Keeper.Current()
	u := snap.Config.Upstreams[g.upstream]
	if u == nil || u.Leaving || s.Departing()[g.upstream] {
		return "the upstream is leaving"
	}
	return ""
}

// finish reports the end of the grant.
func (r *run) finish(g *grant, res result) {
	report := g.report(r.s.Self)
	report.Finished = true
	switch res := res.(type) {
	case again:
		report.Fault = !res.preempted
		r.s.Metrics.Waste(r.req.Class, report.Tokens, res.preempted)
		r.cancelStream(g)
	case ended:
		r.s.Metrics.Waste(r.req.Class, report.Tokens, false)
		r.cancelStream(g)
	case finished:
		r.meanGap = g.meanGap()
		r.tokens = report.Tokens
		r.s.lengths.learn(r.req.Class, report.Tokens)
	}
	r.s.Owners.Finish(g.by, g.shard, report)
}

// cancelStream asks the engine in the background to end a generation that
// nobody waits for.
func (r *run) cancelStream(g *grant) {
	if r.req.Kind != request.Chat {
		return
	}
	r.s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		_ = r.s.Upstreams.Cancel(ctx, g.address, g.streamID)
	})
}

// send sends the request and relays the answer.
func (r *run) send(ctx context.Context, g *grant) result {
	r.s.Check.Check(invariant.AtMostOnce, r.req.Idempotent || !r.handed,
		"request %s is not idempotent and was handed to an upstream before", r.req.ID)
	resp, err := r.s.Upstreams.Do(ctx, r.call(g))
	if err != nil {
		return r.sendFailed(ctx, g, err)
	}
	r.handed = true
	defer resp.Body.Close()
	if echo := resp.Header.Get(upstream.RequestIDHeader); echo != "" && echo != g.streamID {
		return again{reason: "the upstream answered another request", avoid: g.upstream}
	}
	if resp.StatusCode >= http.StatusInternalServerError && r.req.Kind == request.Chat {
		return again{reason: "the engine answered " + resp.Status, avoid: g.upstream}
	}
	if r.req.Stream && resp.StatusCode == http.StatusOK {
		return r.stream(ctx, g, resp)
	}
	return r.whole(ctx, g, resp)
}

func (r *run) call(g *grant) upstream.Call {
	return upstream.Call{
		ID:          g.streamID,
		Address:     g.address,
		Method:      r.req.Method,
		Path:        r.req.Path,
		ContentType: r.req.ContentType,
		Body:        r.req.Body,
		Rank:        r.req.Rank,
		Idempotent:  r.req.Idempotent,
	}
}

func (r *run) sendFailed(ctx context.Context, g *grant, err error) result {
	if errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil {
		r.s.Trail.Note(r.req.ID, "%s cannot be reached", g.upstream)
		return again{reason: err.Error(), avoid: g.upstream}
	}
	r.handed = r.handed || !errors.Is(err, upstream.ErrNotSent)
	return r.broken(ctx, g, err)
}

// broken classifies an attempt that failed before the caller saw any of it.
func (r *run) broken(ctx context.Context, g *grant, err error) result {
	r.s.Trail.Note(r.req.ID, "%s broke off: %v", g.upstream, err)
	if errors.Is(context.Cause(ctx), errPreempted) {
		return again{reason: "preempted", preempted: true}
	}
	if ctx.Err() != nil {
		return ended{failure: request.Unknown("the deadline passed or the caller left while %s ran the request", g.upstream)}
	}
	if !r.req.Idempotent {
		return ended{failure: request.Unknown("the upstream did not give a whole answer: %v", err)}
	}
	return again{reason: err.Error(), avoid: g.upstream}
}

// whole reads the whole answer before any of it goes to the caller.
func (r *run) whole(ctx context.Context, g *grant, resp *http.Response) result {
	first := time.Since(r.req.Arrived)
	body, err := upstream.Whole(resp)
	if err != nil {
		return r.broken(ctx, g, err)
	}
	if !g.start(ctx) {
		return r.broken(ctx, g, context.Cause(ctx))
	}
	r.first = first
	if r.req.Kind == request.Chat {
		g.tokens = usage(body)
	}
	r.s.Check.Check(invariant.OwnAnswer, sameID(resp, g.streamID), "request %s got the answer of another", r.req.ID)
	r.s.Check.Check(invariant.WholeAnswer, resp.ContentLength < 0 || int64(len(body)) == resp.ContentLength,
		"request %s got %d of %d bytes", r.req.ID, len(body), resp.ContentLength)
	answer := Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	_ = r.sink.Whole(answer)
	return finished{}
}

func sameID(resp *http.Response, id string) bool {
	echo := resp.Header.Get(upstream.RequestIDHeader)
	return echo == "" || echo == id
}

// stream relays a streamed answer. If it breaks, it is continued at its offset
// on the same engine, or run again on another one as long as what that one
// generates is what the caller already has.
func (r *run) stream(ctx context.Context, g *grant, resp *http.Response) result {
	r.relay.begin()
	err := r.pump(ctx, g, resp.Body)
	for n := 0; err != nil && n < maxResumes && resumable(ctx, err); n++ {
		r.s.Trail.Note(r.req.ID, "stream from %s broke after %d events; resuming", g.upstream, r.relay.sent)
		err = r.resume(ctx, g, err)
	}
	switch {
	case err == nil:
		return finished{}
	case errors.Is(err, errDiffers):
		return ended{failure: request.Unknown("the stream broke and another engine generated something else")}
	case r.relay.sent == 0 || (ctx.Err() == nil && !errors.Is(err, errCaller)):
		return r.broken(ctx, g, err)
	}
	return ended{failure: request.Unknown("the stream broke: %v", err)}
}

// errCaller marks a failed write to the caller.
var errCaller = errors.New("the caller does not read")

// errGone means that the engine no longer has the stream.
var errGone = errors.New("the engine no longer has the stream")

// errNoFinish means that a stream was marked as ended before it was finished.
var errNoFinish = errors.New("the stream ended without a finish reason")

func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errCaller) && !errors.Is(err, errDiffers) && !errors.Is(err, errGone)
}

func (r *run) resume(ctx context.Context, g *grant, cause error) error {
	select {
	case <-ctx.Done():
		return cause
	case <-time.After(resumePause):
	}
	resp, err := r.s.Upstreams.Resume(ctx, g.address, g.streamID, r.relay.seen)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errGone
	}
	return r.pump(ctx, g, resp.Body)
}

// pump relays events until the stream is done.
func (r *run) pump(ctx context.Context, g *grant, body io.Reader) error {
	events := upstream.NewEventReader(body)
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if err := r.event(ctx, g, e); err != nil {
			return err
		}
		if e.Done() {
			return nil
		}
	}
}

// event relays one event unless the caller already has it.
func (r *run) event(ctx context.Context, g *grant, e upstream.Event) error {
	if e.Done() && !r.relay.complete() {
		return errNoFinish
	}
	if e.Done() {
		r.s.Check.Check(invariant.WholeAnswer, r.relay.complete(), "request %s ends after %d events without a finish", r.req.ID, r.relay.sent)
		return r.write(e)
	}
	g.token(time.Now())
	fresh, err := r.relay.accept(e)
	if err != nil || !fresh {
		return err
	}
	if r.relay.sent == 0 {
		if !g.start(ctx) {
			return context.Cause(ctx)
		}
		r.first = time.Since(r.req.Arrived)
	}
	r.relay.sent++
	return r.write(e)
}

func (r *run) write(e upstream.Event) error {
	if err := r.sink.Event(e); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}
