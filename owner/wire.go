package owner

import (
	"time"

	"knapweedwell/pool"
)

// wireGrantRequest is a grant request as it is sent to an owner. Times are sent
// as durations, because the clocks of instances differ.
type wireGrantRequest struct {
	Shard        string
	ID           string
	Holder       string
	HolderZone   string
	Class        string
	Organisation string
	Rank         int
	Restartable  bool
	Prefix       uint64
	PromptTokens int
	Cost         float64
	Age          time.Duration // since Arrived
	Left         time.Duration // until Expires
	Avoid        string
	Try          bool
	Insist       bool // the receiver decides even if its view names another owner
}

func newWireGrantRequest(now time.Time, shard string, req pool.GrantRequest, insist bool) wireGrantRequest {
	return wireGrantRequest{
		Shard:        shard,
		ID:           req.ID,
		Holder:       req.Holder,
		HolderZone:   req.HolderZone,
		Class:        req.Class,
		Organisation: req.Organisation,
		Rank:         req.Rank,
		Restartable:  req.Restartable,
		Prefix:       req.Prefix,
		PromptTokens: req.PromptTokens,
		Cost:         req.Cost,
		Age:          now.Sub(req.Arrived),
		Left:         req.Expires.Sub(now),
		Avoid:        req.Avoid,
		Try:          req.Try,
		Insist:       insist,
	}
}

func (w *wireGrantRequest) grantRequest(now time.Time) pool.GrantRequest {
	return pool.GrantRequest{
		ID:           w.ID,
		Holder:       w.Holder,
		HolderZone:   w.HolderZone,
		Class:        w.Class,
		Organisation: w.Organisation,
		Rank:         w.Rank,
		Restartable:  w.Restartable,
		Prefix:       w.Prefix,
		PromptTokens: w.PromptTokens,
		Cost:         w.Cost,
		Arrived:      now.Add(-w.Age),
		Expires:      now.Add(w.Left),
		Avoid:        w.Avoid,
		Try:          w.Try,
	}
}

// Reply is an owner's reply to a grant request.
type Reply struct {
	Granted  bool
	Moved    bool // another instance owns the shard
	Upstream string
	Address  string
	Reason   pool.Reason
	Waited   time.Duration
}

// wireID identifies a grant request or a grant of a shard.
type wireID struct {
	Shard string
	ID    string
}

// wireFinish is the last report of a grant.
type wireFinish struct {
	Shard  string
	Report pool.Report
}

// wireRefresh reports all grants that a holder has in use in a shard.
type wireRefresh struct {
	Shard string
	Helds []pool.HeldGrant
}
