package forward

import (
	"context"
	"net/http"
	"strings"
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

// findTraits returns the traits by which the request is known again if it crashes upstreams:
// the parts of its prompt, and itself with its query and without.
func (rs *requestState) findTraits() []quarantine.Trait {
	caller := rs.headers.Key
	if rs.organisation != nil {
		caller = rs.organisation.Name
	}
	target := rs.r.RequestURI
	path, query, _ := strings.Cut(target, "?")
	fingerprints := []uint64{quarantine.Fingerprint(rs.r.Method, path, caller, rs.body)}
	if query != "" {
		fingerprints = append(fingerprints, quarantine.Fingerprint(rs.r.Method, target, caller, rs.body))
	}
	return quarantine.Traits(&rs.headers.Prompt, fingerprints...)
}

// withheld means that the request was not sent because of a trait of it.
type withheld struct {
	refusal *quarantine.Refusal
}

func (withheld) result() {}

// withhold returns the failure of a request that is not sent because of a trait of it.
func (rs *requestState) withhold(r *quarantine.Refusal) *request.Failure {
	rs.refusal = r
	what, state := "prompt part", "tried by another request"
	if r.Trait.Whole {
		what = "request"
	}
	if r.Quarantined {
		state = "quarantined"
	}
	const text = "%s %s is %s after %d crashes of upstreams"
	name := quarantine.TraitName(r.Trait.ID)
	if rs.runs > 0 {
		return rs.giveUp(text, what, name, state, r.Crashes)
	}
	return request.Unavailable(text, what, name, state, r.Crashes).WithRetryAfter(r.RetryAfter)
}

// withdraw returns what became of a send that was interrupted because of a trait of the
// request, or the result itself.
func (t *transfer) withdraw(res result) result {
	if _, ok := res.(broken); !ok || !t.watched.Withdrawn() {
		return res
	}
	if r := t.rs.s.Quarantine.Check(time.Now(), t.rs.traits); r != nil {
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
		if t.silent.Load() {
			return quarantine.Silent
		}
		if !t.rs.callerGone && t.ctx.Err() == nil && t.conn.ClosedByUpstream() {
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
