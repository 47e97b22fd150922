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

// attempt sends the request to the upstream of a grant and relays the answer.
func (r *requestState) attempt(ctx context.Context, g *grant) result {
	if reason := r.s.unusableReason(g); reason != "" {
		r.s.Owners.Withdraw(g.granter, g.shard, g.id)
		return unused{reason: reason, avoid: g.upstream}
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

// detach returns a context that is not cancelled when the caller disconnects, so
// that a request that must not be repeated is not interrupted for that reason.
// The context ends at the deadline of ctx, after detachedTimeout if ctx has no
// deadline, or when the service closes.
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

// unusableReason returns the reason why a grant must not be used any more, or an
// empty string.
func (s *Service) unusableReason(g *grant) string {
	if time.Since(g.received) > maxGrantAge {
		return "the grant is too old"
	}
	snap := s.Revisions.Current()
	u := snap.Config.Upstreams[g.upstream]
	if u == nil || u.Leaving || s.LeavingUpstreams()[g.upstream] {
		return "the upstream is leaving"
	}
	return ""
}

// finish reports the end of the grant to its owner and records the wasted tokens
// or the length of the answer.
func (r *requestState) finish(g *grant, res result) {
	report := g.report(r.s.Self)
	report.Finished = true
	switch res := res.(type) {
	case retryable:
		report.Fault = !res.preempted
		r.s.Metrics.ObserveWaste(r.req.Class, report.Tokens, res.preempted)
		r.cancelStream(g)
	case failed:
		r.s.Metrics.ObserveWaste(r.req.Class, report.Tokens, false)
		r.cancelStream(g)
	case succeeded:
		r.meanGap = g.meanGap()
		r.tokens = report.Tokens
		r.s.lengths.update(r.req.Class, report.Tokens)
	}
	r.s.Owners.Finish(g.granter, g.shard, report)
}

// cancelStream asks the engine in the background to stop a generation whose
// answer is no longer needed.
func (r *requestState) cancelStream(g *grant) {
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
func (r *requestState) send(ctx context.Context, g *grant) result {
	r.s.Check.Check(invariant.AtMostOnce, r.req.Idempotent || !r.forwarded,
		"request %s is not idempotent and was handed to an upstream before", r.req.ID)
	resp, err := r.s.Upstreams.Do(ctx, r.newCall(g))
	if err != nil {
		return r.sendFailed(ctx, g, err)
	}
	r.forwarded = true
	defer resp.Body.Close()
	if echo := resp.Header.Get(upstream.RequestIDHeader); echo != "" && echo != g.streamID {
		return retryable{reason: "the upstream answered another request", avoid: g.upstream}
	}
	if resp.StatusCode >= http.StatusInternalServerError && r.req.Kind == request.Chat {
		return retryable{reason: "the engine answered " + resp.Status, avoid: g.upstream}
	}
	if r.req.Stream && resp.StatusCode == http.StatusOK {
		return r.relayStream(ctx, g, resp)
	}
	return r.relayWhole(ctx, g, resp)
}

func (r *requestState) newCall(g *grant) upstream.Call {
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

func (r *requestState) sendFailed(ctx context.Context, g *grant, err error) result {
	if errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil {
		r.s.Trace.Record(r.req.ID, "%s cannot be reached", g.upstream)
		return retryable{reason: err.Error(), avoid: g.upstream}
	}
	r.forwarded = r.forwarded || !errors.Is(err, upstream.ErrNotSent)
	return r.classifyFailure(ctx, g, err)
}

// classifyFailure returns the result of an attempt that failed before its answer
// was complete.
func (r *requestState) classifyFailure(ctx context.Context, g *grant, err error) result {
	r.s.Trace.Record(r.req.ID, "%s broke off: %v", g.upstream, err)
	if errors.Is(context.Cause(ctx), errPreempted) {
		return retryable{reason: "preempted", preempted: true}
	}
	if ctx.Err() != nil {
		return failed{failure: request.Unknown("the deadline passed or the caller left while %s ran the request", g.upstream)}
	}
	if !r.req.Idempotent {
		return failed{failure: request.Unknown("the upstream did not give a whole answer: %v", err)}
	}
	return retryable{reason: err.Error(), avoid: g.upstream}
}

// relayWhole reads the complete answer before it sends any of it to the caller.
func (r *requestState) relayWhole(ctx context.Context, g *grant, resp *http.Response) result {
	first := time.Since(r.req.Arrived)
	body, err := upstream.ReadBody(resp)
	if err != nil {
		return r.classifyFailure(ctx, g, err)
	}
	if !g.start(ctx) {
		return r.classifyFailure(ctx, g, context.Cause(ctx))
	}
	r.firstToken = first
	if r.req.Kind == request.Chat {
		g.setTokens(completionTokens(body))
	}
	r.s.Check.Check(invariant.OwnAnswer, sameID(resp, g.streamID), "request %s got the answer of another", r.req.ID)
	r.s.Check.Check(invariant.WholeAnswer, resp.ContentLength < 0 || int64(len(body)) == resp.ContentLength,
		"request %s got %d of %d bytes", r.req.ID, len(body), resp.ContentLength)
	answer := Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	_ = r.sink.Whole(answer)
	return succeeded{}
}

func sameID(resp *http.Response, id string) bool {
	echo := resp.Header.Get(upstream.RequestIDHeader)
	return echo == "" || echo == id
}

// relayStream relays a streamed answer. If the stream breaks, it is resumed at
// its offset on the same engine, or the request is run again on another engine
// as long as that engine generates the text that the caller already has.
func (r *requestState) relayStream(ctx context.Context, g *grant, resp *http.Response) result {
	r.relay.restart()
	err := r.relayEvents(ctx, g, resp.Body)
	for n := 0; err != nil && n < maxResumes && canResume(ctx, err); n++ {
		r.s.Trace.Record(r.req.ID, "stream from %s broke after %d events; resuming", g.upstream, r.relay.sent)
		err = r.resume(ctx, g, err)
	}
	switch {
	case err == nil:
		return succeeded{}
	case errors.Is(err, errStreamDiffers):
		return failed{failure: request.Unknown("the stream broke and another engine generated something else")}
	case r.relay.sent == 0 || (ctx.Err() == nil && !errors.Is(err, errWriteToCaller)):
		return r.classifyFailure(ctx, g, err)
	}
	return failed{failure: request.Unknown("the stream broke: %v", err)}
}

// errWriteToCaller means that a write to the caller failed.
var errWriteToCaller = errors.New("the caller does not read")

// errStreamGone means that the engine no longer has the stream.
var errStreamGone = errors.New("the engine no longer has the stream")

// errNoFinish means that a stream sent its end mark without a finish reason.
var errNoFinish = errors.New("the stream ended without a finish reason")

func canResume(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errWriteToCaller) && !errors.Is(err, errStreamDiffers) && !errors.Is(err, errStreamGone)
}

func (r *requestState) resume(ctx context.Context, g *grant, cause error) error {
	select {
	case <-ctx.Done():
		return cause
	case <-time.After(resumeDelay):
	}
	resp, err := r.s.Upstreams.Resume(ctx, g.address, g.streamID, r.relay.received)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errStreamGone
	}
	return r.relayEvents(ctx, g, resp.Body)
}

// relayEvents relays events up to the end mark of the stream.
func (r *requestState) relayEvents(ctx context.Context, g *grant, body io.Reader) error {
	events := upstream.NewEventReader(body)
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if err := r.relayEvent(ctx, g, e); err != nil {
			return err
		}
		if e.Done() {
			return nil
		}
	}
}

// relayEvent relays one event unless the caller already has it.
func (r *requestState) relayEvent(ctx context.Context, g *grant, e upstream.Event) error {
	if e.Done() && !r.relay.complete() {
		return errNoFinish
	}
	if e.Done() {
		r.s.Check.Check(invariant.WholeAnswer, r.relay.complete(), "request %s ends after %d events without a finish", r.req.ID, r.relay.sent)
		return r.writeEvent(e)
	}
	received := r.relay.received
	fresh, err := r.relay.accept(e)
	if r.relay.received > received {
		g.recordToken(time.Now())
	}
	if err != nil || !fresh {
		return err
	}
	if r.relay.sent == 0 {
		if !g.start(ctx) {
			return context.Cause(ctx)
		}
		r.firstToken = time.Since(r.req.Arrived)
	}
	r.relay.sent++
	return r.writeEvent(e)
}

func (r *requestState) writeEvent(e upstream.Event) error {
	if err := r.sink.Event(e); err != nil {
		return errors.Wrap(errWriteToCaller, err.Error())
	}
	return nil
}
