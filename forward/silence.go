package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/httpwire"
	"knapweedwell/platform"
	"knapweedwell/route"
)

const (
	// A stream is resumed elsewhere after a silence of silenceFactor times the
	// route's target for the gap between events, but not before minSilence.
	silenceFactor      = 4
	minSilence         = time.Second
	silenceCheckPeriod = 100 * time.Millisecond
	askTimeout         = 400 * time.Millisecond // for the answer of an upstream that is asked whether it runs
)

var errOtherUpstream = errors.New("another upstream has the address")

// watchSilence interrupts the connection once the upstream is down or unreachable, if the
// request may run again and can be sent elsewhere. The returned function stops the check and
// waits for its end.
func (t *transfer) watchSilence() func() {
	if !t.rs.mayRetryAfterRun() {
		return func() {}
	}
	maxSilence := max(silenceFactor*t.rs.route.GapAim, minSilence)
	ctx, cancel := context.WithCancel(t.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(silenceCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if t.interruptIfDown(ctx, maxSilence) {
					return
				}
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// interruptIfDown interrupts the connection if the upstream is silent and does not say that it runs: a
// stream may begin late or pause for long, and would run twice. A call that may be repeated is
// interrupted without a question until its answer has begun. It reports whether it interrupted.
func (t *transfer) interruptIfDown(ctx context.Context, maxSilence time.Duration) bool {
	if t.rs.stream.unnumbered.Load() || !t.attempt.Silent(time.Now().Add(askTimeout), maxSilence) || !t.rs.canSendElsewhere(time.Now()) {
		return false
	}
	if (t.rs.route.Stream || t.attempt.Answering()) && t.rs.s.isRunning(ctx, t.rs.choice.Upstream) {
		t.attempt.Heard(time.Now())
		t.rs.s.Log.WithFields(logrus.Fields{"Upstream": t.rs.choice.Upstream.ID, "RequestID": t.rs.headers.ID}).Info("silent upstream says that it runs")
		return false
	}
	now := time.Now()
	if ctx.Err() != nil || !t.attempt.Silent(now, maxSilence) || !t.rs.reserveRetry(now) {
		return false
	}
	t.silent.Store(true)
	t.conn.Interrupt()
	return true
}

// isRunning reports whether an upstream answers when it is asked for its report, and has not started
// again as far as is known. Several questions to one upstream at a time are one.
func (s *Server) isRunning(ctx context.Context, u *route.Upstream) bool {
	if listed := s.Roster().Entries[u.ID]; listed != nil && listed.Born != u.Born {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case r := <-s.questions.DoChan(u.ID, func() (any, error) { return nil, s.ask(u) }):
		return r.Err == nil
	}
}

// ask asks an upstream for its report over a new connection. It returns an error unless the
// upstream answers within askTimeout, with whatever text.
func (s *Server) ask(u *route.Upstream) error {
	ctx, cancel := context.WithTimeout(s.ended, askTimeout)
	defer cancel()
	conn, err := s.Connections.Connect(ctx, u.ID, u.Address, "")
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Interrupt)()
	report := &httpwire.Request{Method: http.MethodGet, Target: platform.ReportTarget, Host: u.Address, Header: platform.ReportHeaders(u.ID)}
	if err := conn.Send(report); err != nil {
		return err
	}
	resp, err := conn.ReadResponse(http.MethodGet)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return errOtherUpstream
	}
	return nil
}
