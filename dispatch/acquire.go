package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"knapweedwell/invariant"
	"knapweedwell/member"
	"knapweedwell/owner"
	"knapweedwell/pool"
	"knapweedwell/request"
	"knapweedwell/revision"
)

// acquire requests a grant from the owners of the target's shards, nearest
// first, until one of them grants an upstream. If none does, it returns the
// last failure.
func (r *requestState) acquire(ctx context.Context) (*grant, *request.Failure) {
	snap := r.s.Revisions.Current()
	if snap == nil {
		return nil, request.Unavailable("this instance has no configuration yet")
	}
	r.s.Check.Check(invariant.WorkNeedsConfiguration, snap.Revision > 0, "request %s is served without a configuration", r.req.ID)
	defer r.s.admission.markWaiting(r)()
	shards := r.s.shardsToAsk(snap, r.req)
	if g := r.tryShards(ctx, snap, shards); g != nil {
		return g, nil
	}
	var last *request.Failure
	for _, shard := range shards {
		g, f := r.requestGrant(ctx, snap, shard, false)
		if g != nil {
			return g, nil
		}
		last = f
		if ctx.Err() != nil {
			return nil, refuseEnded(ctx)
		}
	}
	if last == nil {
		last = request.Unavailable("no upstream serves %q", r.req.Target)
	}
	return nil, last
}

// tryShards requests a grant without queueing from at most maxTryShards shards,
// nearest first, so that a request does not wait in one region while another
// has free upstreams. It returns nil if no upstream is free or if there are
// fewer than two shards.
func (r *requestState) tryShards(ctx context.Context, snap *revision.Snapshot, shards []string) *grant {
	if len(shards) < 2 {
		return nil
	}
	for _, shard := range shards[:min(len(shards), maxTryShards)] {
		if g, _ := r.requestGrant(ctx, snap, shard, true); g != nil {
			return g
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// requestGrant requests a grant from the owner of one shard. If the shard has
// moved or the owner does not answer, it retries with the owner that is then
// current, up to maxOwnerAttempts requests in all. With try set it sends one
// request that does not queue, limited to tryTimeout.
func (r *requestState) requestGrant(ctx context.Context, snap *revision.Snapshot, shard string, try bool) (*grant, *request.Failure) {
	limit := maxOwnerAttempts
	if try {
		limit = 1
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryTimeout)
		defer cancel()
	}
	previous := ""
	for n := 0; n < limit; n++ {
		req := r.newGrantRequest(snap)
		req.Try = try
		// The same owner was asked before and replied Moved or nothing, so it decides
		// although its view names another one.
		insist := previous == r.s.ownerName(shard)
		reply, shardOwner, err := r.s.Owners.RequestGrant(ctx, shard, req, insist)
		previous = shardOwner.Name
		switch {
		case err == nil && reply.Granted:
			r.s.Trace.Record(r.req.ID, "granted %s by %s after %s", reply.Upstream, shardOwner.Name, reply.Waited.Round(time.Millisecond))
			return r.newGrant(req.ID, shard, shardOwner, reply), nil
		case err == nil && !reply.Moved:
			r.s.Trace.Record(r.req.ID, "refused by %s: %s", shardOwner.Name, reply.Reason)
			return nil, request.Refuse("%s", reply.Reason)
		}
		if ctx.Err() != nil {
			return nil, refuseEnded(ctx)
		}
		if err != nil {
			r.s.Owners.MarkSuspect(shardOwner)
		}
		if try {
			break
		}
		r.s.Trace.Record(r.req.ID, "owner %s of shard %s moved or did not answer", shardOwner.Name, shard)
		pause(ctx, grantRetryDelay)
	}
	return nil, request.Unavailable("no owner of shard %s answers", shard)
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ownerName returns the name of the shard's current owner.
func (s *Service) ownerName(shard string) string {
	m, _ := s.Owners.Owner(shard)
	return m.Name
}

func (r *requestState) newGrantRequest(snap *revision.Snapshot) pool.GrantRequest {
	now := time.Now()
	expires := r.req.Arrived.Add(snap.Config.Classes[r.req.Class].QueueTimeout)
	if !r.req.Deadline.IsZero() && r.req.Deadline.Before(expires) {
		expires = r.req.Deadline
	}
	if expires.Before(now) {
		expires = now
	}
	return pool.GrantRequest{
		ID:           uuid.NewString(),
		Holder:       r.s.Self,
		HolderZone:   r.s.Zone,
		Class:        r.req.Class,
		Organisation: r.req.Organisation,
		Rank:         r.req.Rank,
		Restartable:  r.req.Idempotent && r.preemptions < pool.MaxPreemptions,
		Prefix:       r.req.PrefixHash,
		PromptTokens: r.req.PromptTokens,
		Cost:         r.s.lengths.expected(r.req),
		Arrived:      r.req.Arrived,
		Expires:      expires,
		Avoid:        r.avoid,
	}
}

func (r *requestState) newGrant(id, shard string, granter member.Member, reply owner.Reply) *grant {
	r.grants++
	return &grant{
		streamID: r.req.ID + "." + strconv.Itoa(r.grants),
		id:       id,
		shard:    shard,
		granter:  granter,
		upstream: reply.Upstream,
		address:  reply.Address,
		received: time.Now(),
		req:      r.req,
	}
}

// refuseEnded returns the refusal of a request whose context ended before an upstream
// was free.
func refuseEnded(ctx context.Context) *request.Failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDisplaced):
		return request.Refuse("a request of a higher tier took the place at this instance")
	case errors.Is(cause, context.DeadlineExceeded):
		return request.Refuse("the deadline passed before an upstream was free")
	}
	return request.Refuse("the caller left before an upstream was free")
}
