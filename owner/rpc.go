package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/member"
	"knapweedwell/pool"
)

// RequestGrant requests a grant from the shard's owner and waits for the reply.
// It also returns that owner. With insist set, the owner decides even if its
// own view names another one: it was asked before and replied Moved or nothing.
func (s *Service) RequestGrant(ctx context.Context, shard string, req pool.GrantRequest, insist bool) (Reply, member.Member, error) {
	m, ok := s.Owner(shard)
	if !ok {
		return Reply{}, m, errors.Errorf("no live owner for shard %q", shard)
	}
	if m.Name == s.Self {
		r, err := s.requestLocal(ctx, shard, req)
		return r, m, err
	}
	var r Reply
	err := s.Peers.Call(ctx, m.Peer, requestGrantMethod, newWireGrantRequest(time.Now(), shard, req, insist), &r)
	if err != nil {
		s.Withdraw(m, shard, req.ID)
	}
	return r, m, err
}

// MarkSuspect marks an instance as suspect after a call to it has failed.
func (s *Service) MarkSuspect(m member.Member) {
	s.Heartbeats.With(func(v *member.View) { v.MarkSuspect(time.Now(), m.Name) })
}

// Withdraw withdraws a grant request or an unused grant.
func (s *Service) Withdraw(m member.Member, shard, id string) {
	if m.Name == s.Self {
		s.withdraw(shard, id)
		return
	}
	s.notify(m.Peer, withdrawMethod, wireID{Shard: shard, ID: id})
}

// Finish reports the end of a grant to the owner that issued it and to the
// shard's current owner.
func (s *Service) Finish(granter member.Member, shard string, r pool.Report) {
	current, ok := s.Owner(shard)
	s.sendFinish(granter, shard, r)
	if ok && current.Name != granter.Name {
		s.sendFinish(current, shard, r)
	}
}

func (s *Service) sendFinish(m member.Member, shard string, r pool.Report) {
	if m.Name == s.Self {
		s.finish(shard, r)
		return
	}
	s.notify(m.Peer, finishMethod, wireFinish{Shard: shard, Report: r})
}

// Refresh reports the grants in use to the shard's current owner.
func (s *Service) Refresh(shard string, held []pool.HeldGrant) {
	m, ok := s.Owner(shard)
	switch {
	case !ok:
	case m.Name == s.Self:
		s.refresh(shard, held)
	default:
		s.notify(m.Peer, refreshMethod, wireRefresh{Shard: shard, Helds: held})
	}
}

func (s *Service) serveGrantRequest(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var w wireGrantRequest
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	if m, ok := s.Owner(w.Shard); !w.Insist && (!ok || m.Name != s.Self) {
		return Reply{Moved: true}, nil
	}
	return s.requestLocal(ctx, w.Shard, w.grantRequest(time.Now()))
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
