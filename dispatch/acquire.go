package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"

	"knapweedwell/invariant"
	"knapweedwell/member"
	"knapweedwell/owner"
	"knapweedwell/pool"
	"knapweedwell/request"
	"knapweedwell/revision"
)

// acquire asks the owners of the target's shards, nearest first, until one
// grants.
func (r *run) acquire(ctx context.Context) (*grant, *request.Failure) {
	snap := r.s.Keeper.Current()
	if snap == nil {
		return nil, request.Unavailable("this instance has no configuration yet")
	}
	r.s.Check.Check(invariant.WorkNeedConfig, snap.Revision > 0, "request %s is served without a configuration", r.req.ID)
	defer r.s.admission.waiting(r)()
	shards := r.s.route(snap, r.req)
	if g := r.tryAll(ctx, snap, shards); g != nil {
		return g, nil
	}
	var last *request.Failure
	for _, shard := range shards {
		g, f := r.ask(ctx, snap, shard, false)
		if g != nil {
			return g, nil
		}
		last = f
		if ctx.Err() != nil {
			return nil, request.Refuse("the deadline passed before an upstream was free")
		}
	}
	if last == nil {
		last = request.Unavailable("no upstream serves %q", r.req.Target)
	}
	return nil, last
}

// tryAll asks the shards, nearest first, for an upstream that is free at once,
// so that nobody waits in one region while another has free places.
func (r *run) tryAll(ctx context.Context, snap *revision.Snapshot, shards []string) *grant {
	if len(shards) < 2 {
		return nil
	}
	for _, shard := range shards[:min(len(shards), maxTried)] {
		if g, _ := r.ask(ctx, snap, shard, true); g != nil {
			return g
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// ask asks one shard's owner, and its next owner if that one moved or died. A
// try is not repeated.
func (r *run) ask(ctx context.Context, snap *revision.Snapshot, shard string, try bool) (*grant, *request.Failure) {
	moves := maxMoves
	if try {
		moves = 1
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryTimeout)
		defer cancel()
	}
	asked := ""
	for move := 0; move < moves; move++ {
		a := r.newAsk(snap)
		a.Try = try
		reply, by, err := r.s.Owners.Ask(ctx, shard, a, asked == r.s.ownerName(shard))
		asked = by.Name
		switch {
		case err == nil && reply.Granted:
			r.s.Trail.Note(r.req.ID, "granted %s by %s after %s", reply.Upstream, by.Name, reply.Waited.Round(time.Millisecond))
			return r.newGrant(a.ID, shard, by, reply), nil
		case err == nil && !reply.Moved:
			r.s.Trail.Note(r.req.ID, "refused by %s: %s", by.Name, reply.Reason)
			return nil, request.Refuse("%s", reply.Reason)
		}
		if ctx.Err() != nil {
			return nil, request.Refuse("the deadline passed before an upstream was free")
		}
		if err != nil {
			r.s.Owners.Doubt(by)
		}
		if try {
			break
		}
		r.s.Trail.Note(r.req.ID, "owner %s of shard %s moved or did not answer", by.Name, shard)
		pause(ctx, movePause)
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

// ownerName returns the name of the shard's present owner.
func (s *Service) ownerName(shard string) string {
	m, _ := s.Owners.Owner(shard)
	return m.Name
}

func (r *run) newAsk(snap *revision.Snapshot) pool.Ask {
	now := time.Now()
	expires := r.req.Arrived.Add(snap.Config.Classes[r.req.Class].QueueTimeout)
	if !r.req.Deadline.IsZero() && r.req.Deadline.Before(expires) {
		expires = r.req.Deadline
	}
	if expires.Before(now) {
		expires = now
	}
	return pool.Ask{
		ID:           uuid.NewString(),
		Holder:       r.s.Self,
		HolderZone:   r.s.Zone,
		Class:        r.req.Class,
		Organisation: r.req.Organisation,
		Rank:         r.req.Rank,
		Restartable:  r.req.Idempotent && r.preempted < pool.MaxPreemptions,
		Prefix:       r.req.Prefix,
		PromptTokens: r.req.PromptTokens,
		Cost:         r.s.lengths.expect(r.req),
		Arrived:      r.req.Arrived,
		Expires:      expires,
		Avoid:        r.avoid,
	}
}

func (r *run) newGrant(id, shard string, by member.Member, reply owner.Reply) *grant {
	r.grants++
	return &grant{
		streamID: r.req.ID + "." + strconv.Itoa(r.grants),
		id:       id,
		shard:    shard,
		by:       by,
		upstream: reply.Upstream,
		address:  reply.Address,
		received: time.Now(),
		req:      r.req,
	}
}
