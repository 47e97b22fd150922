package pool

import (
	"time"

	"knapweedwell/limit"
)

// Policy selects how a shard orders its requests.
type Policy string

// The policies of a shard.
const (
	Tiered        Policy = "tiered"         // Tiered orders by tier, fairness and slack.
	FIFO          Policy = "fifo"           // FIFO orders by arrival and takes upstreams in turn.
	LeastReported Policy = "least-reported" // LeastReported orders by arrival and takes the least reported load.
)

// Class is what a shard knows of a request class.
type Class struct {
	Name         string
	Rank         int
	Preempts     bool
	Weight       float64
	Floor        float64
	Target       time.Duration // Target is the wait after which a request is late.
	BetweenToken time.Duration
	QueueTimeout time.Duration
}

// Settings are the parts of the configuration that a shard depends on.
type Settings struct {
	Revision      int64
	Classes       []Class
	Organisations map[string]float64 // Organisations maps names to weights.
	Upstreams     []UpstreamSettings
	QueueLimit    int
}

// UpstreamSettings describe one upstream of the shard.
type UpstreamSettings struct {
	Name        string
	Address     string
	Zone        string
	Concurrency int
	Leaving     bool
}

// Ask is one request for a grant.
type Ask struct {
	ID           string // ID is unique to this attempt of this request.
	Holder       string // Holder is the instance that holds the caller's connection.
	HolderZone   string
	Class        string
	Organisation string
	Rank         int
	Restartable  bool // Restartable tells that it may be preempted and run again.
	Prefix       uint64
	PromptTokens int
	Cost         float64
	Arrived      time.Time
	Expires      time.Time
	Avoid        string // Avoid names an upstream that just failed the request.
	Try          bool   // Try asks to be granted at once or refused as Busy, without a place in the queue.
}

// Grant is the right to dispatch one request to one upstream.
type Grant struct {
	ID          string // ID is the ID of the ask.
	Holder      string
	Upstream    string
	Class       string
	Rank        int
	Restartable bool
	Floor       bool // Floor tells that it was granted for the class's floor.
	Granted     time.Time
	Held        time.Time // Held is when its holder last reported it.
	Tokens      int
	Preempting  bool
}

// Decision is what a shard decided.
type Decision interface {
	decision()
}

// Granted grants an ask.
type Granted struct {
	Ask     Ask
	Grant   Grant
	Address string
	Waited  time.Duration
}

// Shed refuses an ask. Nothing of it was run.
type Shed struct {
	Ask    Ask
	Reason Reason
}

// Preempt tells the holder of a grant to cut its request and ask again.
type Preempt struct {
	Grant Grant
	For   string // For is the ID of the ask that needs the place.
}

func (Granted) decision() {}
func (Shed) decision()    {}
func (Preempt) decision() {}

// Reason tells why an ask was refused.
type Reason string

// The reasons for refusing an ask.
const (
	QueueFull   Reason = "queue is full and no lower tier waits in it"
	Displaced   Reason = "a higher tier took the place in the full queue"
	Waited      Reason = "the wait in the queue reached its limit"
	Busy        Reason = "no upstream is free at once"
	NoUpstream  Reason = "no live upstream"
	UnknownWork Reason = "the class is not configured"
)

// Report is what the holder of a grant saw of its request.
type Report struct {
	Grant    string
	Holder   string
	Tokens   int           // Tokens is the number of tokens so far.
	Gaps     int           // Gaps is the number of gaps since the last report.
	MeanGap  time.Duration // MeanGap is the mean of these gaps.
	Finished bool
	Fault    bool // Fault tells that the upstream failed the request.
	Started  bool // Started tells that the first token came: it can no longer be restarted.
}

// Held is what a holder's refresh says of one grant, enough to adopt it.
type Held struct {
	Report
	Upstream    string
	Class       string
	Rank        int
	Restartable bool
}

// upstream is the state of one upstream.
type upstream struct {
	UpstreamSettings
	limiter   limit.Limiter
	granted   int       // granted counts the grants in use, without floor grants.
	floor     int       // floor counts the floor grants in use.
	reported  int       // reported is the load in the last report.
	heard     time.Time // heard is when the last report came.
	foreign   int       // foreign is the reported load that was not granted here.
	draining  bool
	unhealthy time.Time // unhealthy is the time until which it gets no work.
	faults    int
	tokenTime time.Duration
	prefixes  map[uint64]time.Time
}

// staying reports whether the upstream is known not to be leaving: with a limit,
// its last report must not be older than that.
func (u *upstream) staying(now time.Time, limit time.Duration) bool {
	return !u.Leaving && !u.draining && (limit == 0 || now.Sub(u.heard) <= limit)
}

// open reports whether the upstream may get new work.
func (u *upstream) open(now time.Time, limit time.Duration) bool {
	return u.staying(now, limit) && !now.Before(u.unhealthy)
}

func (u *upstream) free() bool {
	return u.granted+u.foreign < u.limiter.Limit()
}
