package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/member"
	"knapweedwell/pool"
)

// Ask asks the shard's owner for a grant and waits for its reply.
func (s *Service) Ask(ctx context.Context, shard string, a pool.Ask, insist bool) (Reply, member.Member, error) {
	m, ok := s.Owner(shard)
	if !ok {
		return Reply{}, m, errors.New("no live instance owns the shard")
	}
	if m.Name == s.Self {
		r, err := s.decide(ctx, shard, a)
		return r, m, err
	}
	var r Reply
	err := s.Peers.Call(ctx, m.Peer, askMethod, newWireAsk(time.Now(), shard, a, insist), &r)
	if err != nil {
		s.Withdraw(m, shard, a.ID)
	}
	return r, m, err
}

// Doubt makes an instance suspect because a call to it failed.
func (s *Service) Doubt(m member.Member) {
	s.Beats.With(func(v *member.View) { v.Doubt(time.Now(), m.Name) })
}

// Withdraw takes back an ask or an unused grant.
func (s *Service) Withdraw(m member.Member, shard, id string) {
	if m.Name == s.Self {
		s.withdraw(shard, id)
		return
	}
	s.notify(m.Peer, withdrawMethod, wireID{Shard: shard, ID: id})
}

// Finish reports the end of a grant to the owner that gave it and to the
// present one.
func (s *Service) Finish(by member.Member, shard string, r pool.Report) {
	now, ok := s.Owner(shard)
	s.sendFinish(by, shard, r)
	if ok && now.Name != by.Name {
		s.sendFinish(now, shard, r)
	}
}

func (s *Service) sendFinish(m member.Member, shard string, r pool.Report) {
	if m.Name == s.Self {
		s.finish(shard, r)
		return
	}
	s.notify(m.Peer, finishMethod, wireFinish{Shard: shard, Report: r})
}

// Refresh reports the grants in use to the shard's present owner.
func (s *Service) Refresh(shard string, helds []pool.Held) {
	m, ok := s.Owner(shard)
	switch {
	case !ok:
	case m.Name == s.Self:
		s.refresh(shard, helds)
	default:
		s.notify(m.Peer, refreshMethod, wireRefresh{Shard: shard, Helds: helds})
	}
}

func (s *Service) serveAsk(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireAsk
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	if m, ok := s.Owner(w.Shard); !w.Insist && (!ok || m.Name != s.Self) {
		return Reply{Moved: true}, nil
	}
	return s.decide(ctx, w.Shard, w.ask(time.Now()))
}

func (s *Service) serveWithdraw(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireID
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	s.withdraw(w.Shard, w.ID)
	return nil, nil
}

func (s *Service) serveFinish(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireFinish
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	s.finish(w.Shard, w.Report)
	return nil, nil
}

func (s *Service) serveRefresh(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireRefresh
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	s.refresh(w.Shard, w.Helds)
	return nil, nil
}

func (s *Service) servePreempt(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireID
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	s.Preempted(w.ID)
	return nil, nil
}
