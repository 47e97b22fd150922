package claimstore

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/claim"
	"knapweedwell/heartbeat"
	"knapweedwell/member"
	"knapweedwell/peer"
)

// newTestService starts a service with a peer node of its own. The function adopt, if
// any, replaces the handler of handovers.
func newTestService(t *testing.T, name string, adopt func(s *Service) peer.Handler) *Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &peer.Node{Name: name, Address: "127.0.0.1:0", Key: "k", Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log}
	self := member.Member{Name: name, Incarnation: 1, State: member.Live}
	s := &Service{Identity: self.Identity(), Peers: n, Heartbeats: &heartbeat.Service{Self: self, Peers: n, Log: log}, Log: log}
	s.Heartbeats.Prepare()
	s.Prepare()
	if adopt != nil {
		n.Handle(adoptMethod, adopt(s))
	}
	assert.NilError(t, n.Run(nil))
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, n.Close())
	})
	return s
}

// asMember returns the member of a service.
func (s *Service) asMember() member.Member {
	m := s.Heartbeats.Self
	m.Peer = s.Peers.Address
	return m
}

// loseAnswers returns a handler of handovers that adopts the tables but does not answer
// the first calls.
func loseAnswers(count int64) func(s *Service) peer.Handler {
	return func(s *Service) peer.Handler {
		var calls atomic.Int64
		return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
			lost := calls.Add(1) <= count
			result, err := s.serveAdopt(ctx, from, params)
			if lost {
				time.Sleep(peerTimeout + 200*time.Millisecond)
			}
			return result, err
		}
	}
}

// adoptedTables returns the number of tables that a service has taken over.
func (s *Service) adoptedTables() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.adopted)
}

// TestOneSuccessorAfterLostAnswer guards against two instances that decide on the same
// tickets after the answer to a handover was lost.
func TestOneSuccessorAfterLostAnswer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		lost      int64
		successor string
	}{
		{"the first answer", 1, "first@1"},
		{"all answers", maxAdoptCalls, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			leaving := newTestService(t, "leaving", nil)
			first := newTestService(t, "first", loseAnswers(c.lost))
			second := newTestService(t, "second", nil)
			got := leaving.HandOver(t.Context(), []member.Member{first.asMember(), second.asMember()})
			assert.Equal(t, got, c.successor)
			assert.Equal(t, first.adoptedTables(), 1)
			assert.Equal(t, second.adoptedTables(), 0)
		})
	}
}

// TestHandOverToNext hands over to an instance that refuses, to one that is not running
// and to one that accepts.
func TestHandOverToNext(t *testing.T) {
	leaving, refusing, next := newTestService(t, "leaving", nil), newTestService(t, "refusing", nil), newTestService(t, "next", nil)
	assert.Equal(t, refusing.HandOver(t.Context(), nil), "")
	gone := member.Member{Name: "gone", Peer: "127.0.0.1:1"}
	got := leaving.HandOver(t.Context(), []member.Member{refusing.asMember(), gone, next.asMember()})
	assert.Equal(t, got, next.Identity)
	assert.Equal(t, refusing.adoptedTables(), 0)
	assert.Equal(t, next.adoptedTables(), 1)
}

// TestOutcomeDuringHandOver guards against the loss of an outcome, or of a release, that
// comes after the tables were sealed and before they are taken over.
func TestOutcomeDuringHandOver(t *testing.T) {
	leaving := newTestService(t, "leaving", nil)
	done := claim.Claim{Key: leaving.Issue(), Nonce: "1", Holder: leaving.Identity}
	unused := claim.Claim{Key: leaving.Issue(), Nonce: "2", Holder: leaving.Identity}
	ctx := t.Context()
	assert.Equal(t, leaving.Take(ctx, done), claim.Acquired{})
	assert.Equal(t, leaving.Take(ctx, unused), claim.Acquired{})
	successor := newTestService(t, "successor", func(s *Service) peer.Handler {
		return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
			leaving.Finish(done, claim.Outcome{Status: 200})
			leaving.Release(unused)
			time.Sleep(100 * time.Millisecond)
			return s.serveAdopt(ctx, from, params)
		}
	})
	assert.Equal(t, leaving.HandOver(ctx, []member.Member{successor.asMember()}), successor.Identity)
	assert.NilError(t, leaving.Close())
	repeated := done
	repeated.Nonce = "3"
	decision, ok := successor.Take(ctx, repeated).(claim.Done)
	assert.Assert(t, ok, "the outcome was lost")
	assert.Equal(t, decision.Outcome.Status, 200)
	repeated = unused
	repeated.Nonce = "4"
	assert.Equal(t, successor.Take(ctx, repeated), claim.Acquired{})
}
