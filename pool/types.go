package pool

import (
	"time"

	"knapweedwell/limit"
)

// Policy selects how a shard orders its requests.
type Policy string

// The policies of a shard.
const (
	Tiered        Policy = "tiered"         // by tier, then fairness, then by the time from which each request is late
	FIFO          Policy = "fifo"           // by arrival; upstreams in round-robin order
	LeastReported Policy = "least-reported" // by arrival; the upstream with the least reported load
)

// Class describes a request class to a shard.
type Class struct {
	Name         string
	Rank         int // rank of the tier; 1 is the highest
	Preempts     bool
	Weight       float64       // relative share within the tier
	Floor        float64       // least share of dispatches, as a fraction
	Target       time.Duration // wait after which a request is late
	BetweenToken time.Duration // target for the time between tokens; zero if none
	QueueTimeout time.Duration
}

// Settings are the parts of the configuration that a shard depends on.
type Settings struct {
	Revision      int64
	Classes       []Class
	Organisations map[string]float64 // weights by name
	Upstreams     []UpstreamSettings
	QueueLimit    int
}

// UpstreamSettings describes one upstream of the shard.
type UpstreamSettings struct {
	Name        string
	Address     string
	Zone        string
	Concurrency int
	Leaving     bool
}

// GrantRequest is one request for a grant.
type GrantRequest struct {
	ID           string // unique to this grant request
	Holder       string // instance that holds the caller's connection
	HolderZone   string
	Class        string
	Organisation string
	Rank         int
	Restartable  bool   // it may be preempted and run again
	Prefix       uint64 // hash of the start of a chat request's body; zero if none
	PromptTokens int
	Cost         float64 // expected work in tokens
	Arrived      time.Time
	Expires      time.Time
	Avoid        string // name of an upstream that just failed the request
	// Try means that a request that cannot be granted at once is refused as Busy and
	// not queued.
	Try bool
}

// Grant is the right to dispatch one request to one upstream.
type Grant struct {
	ID          string // ID of the request
	Holder      string
	Upstream    string
	Class       string
	Rank        int
	Restartable bool
	BeyondLimit bool // granted for the class's floor without the queue; not counted against the upstream's limit
	GrantedAt   time.Time
	ReportedAt  time.Time // time of its holder's last report
	Tokens      int       // tokens received by that report
	Preempting  bool      // a preemption is in progress
}

// Decision is a Granted, a Shed or a Preempt.
type Decision interface {
	decision()
}

// Granted grants a request.
type Granted struct {
	Request GrantRequest
	Grant   Grant
	Address string
	Waited  time.Duration
}

// Shed refuses a request. No part of it was run.
type Shed struct {
	Request GrantRequest
	Reason  Reason
}

// Preempt instructs the holder of a grant to cancel its request and request a
// new one.
type Preempt struct {
	Grant Grant
	For   string // ID of the request that needs the slot
}

func (Granted) decision() {}
func (Shed) decision()    {}
func (Preempt) decision() {}

// Reason is the reason for refusing a request.
type Reason string

// The reasons for refusing a request.
const (
	QueueFull    Reason = "queue is full and no lower tier waits in it"
	Displaced    Reason = "a higher tier took the place in the full queue"
	WaitExpired  Reason = "the wait in the queue reached its limit"
	Busy         Reason = "no upstream is free at once"
	NoUpstream   Reason = "no live upstream"
	UnknownClass Reason = "the class is not configured"
)

// Report is the state of a request as the holder of its grant reports it.
type Report struct {
	Grant    string
	Holder   string
	Tokens   int           // tokens received so far
	Gaps     int           // gaps between tokens since the last report
	MeanGap  time.Duration // mean of these gaps
	Finished bool
	Fault    bool // the upstream failed the request
	Started  bool // part of the answer may have reached the caller, so the request can no longer be restarted
}

// HeldGrant describes one grant in a holder's refresh, with all that is needed to
// adopt it.
type HeldGrant struct {
	Report
	Upstream    string
	Class       string
	Rank        int
	Restartable bool
}

// upstream is the state of one upstream.
type upstream struct {
	UpstreamSettings
	limiter        limit.Limiter
	granted        int       // grants in use that count against the limit
	beyondLimit    int       // grants in use for the floors of classes, not counted against the limit
	reported       int       // requests running by the last load report
	reportedAt     time.Time // time of the last load report
	foreign        int       // reported requests beyond the grants, less foreignMargin
	draining       bool
	unhealthyUntil time.Time            // it gets no work before this time
	faults         int                  // failures since the last request that ended without one
	tokenTime      time.Duration        // weighted mean of the time between tokens; zero if unknown
	prefixes       map[uint64]time.Time // times of the last grants, by prefix
}

// inService reports whether the upstream is known not to be leaving or draining.
// Unless maxReportAge is zero, its last load report must not be older.
func (u *upstream) inService(now time.Time, maxReportAge time.Duration) bool {
	return !u.Leaving && !u.draining && (maxReportAge == 0 || now.Sub(u.reportedAt) <= maxReportAge)
}

// available reports whether the upstream may get new work.
func (u *upstream) available(now time.Time, maxReportAge time.Duration) bool {
	return u.inService(now, maxReportAge) && !now.Before(u.unhealthyUntil)
}

func (u *upstream) hasFreeSlot() bool {
	return u.granted+u.foreign < u.limiter.Limit()
}
