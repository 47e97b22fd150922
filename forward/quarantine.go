package forward

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/quarantine"
	"knapweedwell/request"
	"knapweedwell/route"
)

const (
	probeDelay   = 30 * time.Millisecond // time in which the listener of a crashed upstream closes
	probeTimeout = 500 * time.Millisecond
	maxProbes    = 3 // attempts to find out whether an upstream has crashed
)

// withheld means that the request was not sent because of a part of its prompt.
type withheld struct {
	refusal *quarantine.Refusal
}

func (withheld) result() {}

// withhold returns the failure of a request that is not sent because of a part of its
// prompt.
func (rs *requestState) withhold(r *quarantine.Refusal) *request.Failure {
	rs.refusal = r
	text := "prompt part %s is tried by another request after %d crashes of upstreams"
	if r.Quarantined {
		text = "prompt part %s is quarantined after %d crashes of upstreams"
	}
	if rs.runs > 0 {
		return rs.giveUp(text, quarantine.PartName(r.Part), r.Crashes)
	}
	return request.Unavailable(text, quarantine.PartName(r.Part), r.Crashes).WithRetryAfter(r.RetryAfter)
}

// withdraw returns what became of a send that was interrupted because of a part of the
// prompt, or the result itself.
func (t *transfer) withdraw(res result) result {
	if _, ok := res.(broken); !ok || !t.watched.Withdrawn() {
		return res
	}
	if r := t.rs.s.Quarantine.Check(time.Now(), t.rs.headers.Prompt.Shared()); r != nil {
		return withheld{refusal: r}
	}
	return res
}

// endWatch tells the quarantine how the send ended, and finds out whether an upstream
// that broke it off has crashed.
func (t *transfer) endWatch(res result) {
	if t.watched.End(time.Now(), t.watchOutcome(res)) {
		t.rs.s.probe(t.rs.choice.Upstream)
	}
	if t.watched.Withdrawn() {
		t.keep = false
	}
}

// watchOutcome returns the outcome of the send as the quarantine records it.
func (t *transfer) watchOutcome(res result) quarantine.Outcome {
	switch res.(type) {
	case served:
		if t.resp.StatusCode < http.StatusMultipleChoices {
			return quarantine.Served
		}
	case broken:
		if !t.silent.Load() && !t.rs.callerGone && t.ctx.Err() == nil && t.conn.ClosedByUpstream() {
			return quarantine.Broken
		}
	}
	return quarantine.Other
}

// reportRefused tells the quarantine if an upstream refused a connection.
func (s *Server) reportRefused(u *route.Upstream, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.Quarantine.Crashed(time.Now(), u)
	}
}

// probe finds out in the background whether an upstream has crashed. An upstream that
// cannot be reached may still run.
func (s *Server) probe(u *route.Upstream) {
	s.probes.Go(func(ctx context.Context) {
		for range maxProbes {
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeDelay):
			}
			if s.probeOnce(ctx, u) {
				return
			}
		}
		s.Log.WithFields(logrus.Fields{"Upstream": u.ID}).Info("it is not known whether the upstream has crashed")
	})
}

// probeOnce reports whether it found out what became of the upstream.
func (s *Server) probeOnce(ctx context.Context, u *route.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := s.Connections.Dial(ctx, "tcp", u.Address)
	if err == nil {
		_ = conn.Close()
	}
	listed := s.Roster().Entries[u.ID]
	restarted := listed != nil && listed.Born != u.Born
	switch {
	case restarted || errors.Is(err, syscall.ECONNREFUSED):
		s.Quarantine.Crashed(time.Now(), u)
	case err == nil:
		s.Quarantine.Survived(u)
	default:
		return false
	}
	return true
}
