package picture

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/member"
	"knapweedwell/pick"
	"knapweedwell/route"
)

const (
	recallMethod  = "Picture.Recall"
	recallTimeout = time.Second
	recallPause   = 200 * time.Millisecond
	recallTries   = 15
	maxRecalled   = 4000 // maxRecalled bounds the parts in one answer.
)

// Prepare registers the handler. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.Peers.Handle(recallMethod, func(context.Context, string, json.RawMessage) (any, error) {
		return s.Picker.Remembered(maxRecalled), nil
	})
}

// recall asks an instance that runs already where prompt parts lie, so that a
// restarted one does not let them be read again.
func (s *Service) recall(ctx context.Context) {
	for range recallTries {
		select {
		case <-ctx.Done():
			return
		case <-time.After(recallPause):
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
		elders := olderHalf(live)
		m := elders[rand.IntN(len(elders))]
		placed, err := s.ask(ctx, m.Peer)
		if err != nil {
			s.Log.WithFields(logrus.Fields{"Peer": m.Name, "Error": err.Error()}).Warn("where prompt parts lie was not learned")
			continue
		}
		var upstreams []*route.Upstream
		for _, u := range r.Entries {
			upstreams = append(upstreams, u)
		}
		s.Picker.Recall(time.Now(), upstreams, placed, s.Memory)
		s.Log.WithFields(logrus.Fields{"Peer": m.Name, "Parts": len(placed)}).Info("where prompt parts lie was learned from a peer")
		return
	}
}

// olderHalf returns the members that started first, half of all: those that
// started together with this instance have learned little yet.
func olderHalf(members []member.Member) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return members[:(len(members)+1)/2]
}

func (s *Service) ask(ctx context.Context, address string) ([]pick.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var placed []pick.Placement
	err := s.Peers.Call(ctx, address, recallMethod, nil, &placed)
	return placed, err
}
