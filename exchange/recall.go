package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/balancer"
	"knapweedwell/member"
	"knapweedwell/route"
)

const (
	recallMethod      = "Picture.Recall" // stays, because instances of other builds use it
	recallTimeout     = time.Second
	recallInterval    = 200 * time.Millisecond
	maxRecallAttempts = 15
	maxRecalledParts  = 4000 // parts in one answer
)

// Prepare registers the handlers of Picture.Recall and Quarantine.Fetch. It is called
// before the peer node runs.
func (s *Service) Prepare() {
	s.prepareFacts()
	s.Peers.Handle(recallMethod, func(context.Context, string, json.RawMessage) (any, error) {
		return s.Picker.CachedParts(maxRecalledParts), nil
	})
}

// fetchPlacements asks an instance that already runs which prompt parts are at
// which upstreams. Without this, upstreams read the parts again after a restart
// of this instance.
func (s *Service) fetchPlacements(ctx context.Context) {
	for range maxRecallAttempts {
		select {
		case <-ctx.Done():
			return
		case <-time.After(recallInterval):
		}
		var live []member.Member
		for _, m := range s.Members() {
			if m.Name != s.Self && (m.State == member.Live || m.State == member.Leaving) {
				live = append(live, m)
			}
		}
		r := s.Roster()
		if len(live) == 0 || r == nil {
			continue
		}
		older := olderHalf(live)
		m := older[rand.IntN(len(older))]
		placements, err := s.requestPlacements(ctx, m.Peer)
		if err != nil {
			s.Log.WithFields(logrus.Fields{"Peer": m.Name, "Error": err.Error()}).Warn("placements of prompt parts were not fetched from a peer")
			continue
		}
		var upstreams []*route.Upstream
		for _, u := range r.Entries {
			upstreams = append(upstreams, u)
		}
		s.Picker.RestoreParts(time.Now(), upstreams, placements, s.EngineMemory)
		s.Log.WithFields(logrus.Fields{"Peer": m.Name, "Parts": len(placements)}).Info("placements of prompt parts fetched from a peer")
		return
	}
}

// olderHalf returns the half of the members that started first, rounded up.
// Those that started together with this instance have recorded few placements
// yet.
func olderHalf(members []member.Member) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return members[:(len(members)+1)/2]
}

func (s *Service) requestPlacements(ctx context.Context, address string) ([]balancer.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var placements []balancer.Placement
	err := s.Peers.Call(ctx, address, recallMethod, nil, &placements)
	return placements, err
}
