package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"knapweedwell/follow"
	"knapweedwell/member"
)

const (
	factsMethod          = "Quarantine.Fetch"
	factsTimeout         = 900 * time.Millisecond
	factsFetchInterval   = 200 * time.Millisecond
	maxFactsFetches      = 15
	peerSilenceTimeout   = 2 * time.Second // time without a datagram from which no peer is heard
	maxFactsPeersPerCall = 2               // peers that are asked in one fetch
)

// ErrNoPeer means that no other instance is live.
var ErrNoPeer = errors.New("no other instance is live")

// prepareFacts registers the handler of Quarantine.Fetch.
func (s *Service) prepareFacts() {
	s.sharing = newSharing()
	s.Peers.Handle(factsMethod, func(context.Context, string, json.RawMessage) (any, error) {
		if s.Facts == nil {
			return nil, errors.New("this instance has no facts")
		}
		now := time.Now()
		return encodeFacts(now, factsMessage{Sender: s.Self, Facts: s.Facts.Facts(now)}), nil
	})
}

// shareChanges sends facts when this instance has learned some, until the context ends.
func (s *Service) shareChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sharing.changed:
		}
		s.mu.Lock()
		plan := s.fleet.plan
		s.mu.Unlock()
		s.shareFacts(time.Now(), plan)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minShareInterval):
		}
	}
}

// FetchFacts fetches the facts of an instance that has been live for longer than others.
// It returns ErrNoPeer if none is live.
func (s *Service) FetchFacts(ctx context.Context) error {
	var live []member.Member
	for _, m := range s.Members() {
		if m.Name != s.Self && (m.State == member.Live || m.State == member.Leaving) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return ErrNoPeer
	}
	older := olderHalf(live)
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	var err error
	for _, m := range older[:min(len(older), maxFactsPeersPerCall)] {
		if err = s.fetchFactsOf(ctx, m); err == nil {
			return nil
		}
	}
	return err
}

// fetchFactsOf fetches the facts of one instance.
func (s *Service) fetchFactsOf(ctx context.Context, m member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	var data []byte
	err := follow.CallPeer(ctx, s.Peers, m.Peer, factsMethod, nil, &data)
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) && rpc.Code == jsonrpc2.CodeMethodNotFound {
		return nil // an earlier build, which has no facts
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f, err := decodeFacts(now, data)
	if err != nil {
		return err
	}
	s.applyFacts(now, f.Facts)
	return nil
}

// HearsPeers reports whether a datagram of another instance was received recently.
func (s *Service) HearsPeers() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, last := range s.reports {
		if now.Sub(last.at) < peerSilenceTimeout {
			return true
		}
	}
	return false
}

// Isolated reports whether no other instance is heard though some are known to run.
func (s *Service) Isolated() bool {
	if time.Since(s.started) < peerSilenceTimeout || s.HearsPeers() {
		return false
	}
	for _, m := range s.Members() {
		if m.Name != s.Self && m.State != member.Gone {
			return true
		}
	}
	return false
}

// checkFacts fetches the facts again if this process was suspended before a round, or
// hears its peers again.
func (s *Service) checkFacts(now time.Time) {
	if s.Facts == nil {
		return
	}
	hears := s.HearsPeers()
	s.mu.Lock()
	again := hears && !s.heard && now.Sub(s.started) > peerSilenceTimeout
	s.heard = hears
	resumed := now.Equal(s.resumedAt)
	s.mu.Unlock()
	if again || resumed {
		s.refreshFacts()
	}
}

// refreshFacts fetches the facts in the background, one fetch at a time.
func (s *Service) refreshFacts() {
	if !s.refreshing.CompareAndSwap(false, true) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		defer s.refreshing.Store(false)
		for range maxFactsFetches {
			err := s.FetchFacts(ctx)
			if err == nil || errors.Is(err, ErrNoPeer) {
				return
			}
			s.Log.WithFields(logrus.Fields{"Error": err.Error()}).Warn("facts about prompt parts were not fetched from a peer")
			select {
			case <-ctx.Done():
				return
			case <-time.After(factsFetchInterval):
			}
		}
	})
}
