package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadLifetime      = 400 * time.Millisecond // age up to which a load reported by an upstream is used
	slownessHalfLife  = 4 * time.Second        // time in which the logarithm of a slowness halves
	failureHalfLife   = 2 * time.Second        // time in which a share of failures halves
	slownessStep      = 0.2                    // weight of one observation of slowness
	failureStep       = 0.25                   // weight of one outcome
	maxSlowness       = 12                     // bound of a slowness, and of its inverse
	maxRank           = 10
	minRankRequests   = 100              // requests after which a rank that none of them had counts as unused
	rankLifetime      = 30 * time.Second // time for which a rank counts as used after a request
	lowerRankWorkPart = 0.3              // fraction of less urgent work that still delays a request
)

// state is the view of one incarnation of an upstream.
type state struct {
	born    int64
	hash    uint64 // xxHash of the upstream's ID
	usedAt  time.Time
	cache   cache
	running int          // requests sent by this instance that have not ended
	tokens  int          // tokens of those requests
	pending [maxRank]int // prompt tokens still to be read, by rank
	peers   map[string]Counts

	receivedAt time.Time // time at which the upstream last sent something

	reportedRunning, reportedWaiting int
	reportedAt                       time.Time

	logSlowness    float64 // natural logarithm of the ratio of observed to predicted times
	slownessAt     time.Time
	failureShare   float64
	failureShareAt time.Time
	ownGapRatio    gapRatio            // observed by this instance
	peerGapRatios  map[string]gapRatio // reported by peers, by their names
	meanGapRatio   float64             // mean of these ratios as last computed
	meanGapRatioAt time.Time

	bans        int // consecutive failures to connect
	bannedUntil time.Time
}

func newState(id string, born int64) *state {
	return &state{born: born, hash: xxhash.Sum64String(id), peers: map[string]Counts{}, peerGapRatios: map[string]gapRatio{}}
}

// Counts are the numbers of one instance's requests at an upstream.
type Counts struct {
	Running int
	Pending int // prompt tokens still to be read
	Tokens  int
	At      time.Time // time at which the counts were received

	age time.Duration
}

// peerCounts returns the sum of the peers' counts that are not older than
// peerLifetime, and deletes the others.
func (s *state) peerCounts(now time.Time) Counts {
	var sum Counts
	for name, c := range s.peers {
		age := now.Sub(c.At)
		if age > peerLifetime {
			delete(s.peers, name)
			continue
		}
		sum.Running += c.Running
		sum.Pending += c.Pending
		sum.Tokens += c.Tokens
		sum.age = max(sum.age, age)
	}
	return sum
}

// pendingFor returns the number of tokens that are read before those of a
// request of the rank.
func (s *state) pendingFor(rank int) int {
	n := 0.0
	for r, tokens := range s.pending {
		if r <= rank {
			n += float64(tokens)
		} else {
			n += lowerRankWorkPart * float64(tokens)
		}
	}
	return int(n)
}

func (s *state) loadFresh(now time.Time) bool {
	return now.Sub(s.reportedAt) < loadLifetime
}

// decay returns the fraction of a value that remains after a time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// slowness returns the ratio of the upstream's times to the predicted ones.
func (s *state) slowness(now time.Time) float64 {
	if s.logSlowness == 0 {
		return 1
	}
	return math.Exp(s.logSlowness * decay(now.Sub(s.slownessAt), slownessHalfLife))
}

func (s *state) observeSlowness(now time.Time, ratio float64) {
	bounded := math.Log(math.Min(math.Max(ratio, 1.0/maxSlowness), maxSlowness))
	old := s.logSlowness * decay(now.Sub(s.slownessAt), slownessHalfLife)
	s.logSlowness = old + slownessStep*(bounded-old)
	s.slownessAt = now
}

// failing returns the share of requests that the upstream is expected to fail.
func (s *state) failing(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * decay(now.Sub(s.failureShareAt), failureHalfLife)
}

func (s *state) observeOutcome(now time.Time, failed bool) {
	old := s.failing(now)
	target := 0.0
	if failed {
		target = 1
	}
	s.failureShare = old + failureStep*(target-old)
	s.failureShareAt = now
}

// ban excludes the upstream for a time that doubles with each consecutive
// failure, from firstBan to longestBan.
func (s *state) ban(now time.Time) {
	if now.Before(s.bannedUntil) {
		return
	}
	d := firstBan << min(s.bans, 6)
	s.bans++
	s.bannedUntil = now.Add(min(d, longestBan))
}

// clearBan records that the upstream answers again.
func (s *state) clearBan() {
	s.bans = 0
	s.bannedUntil = time.Time{}
}

// poolStats holds the estimates for a pool, made from all of its upstreams.
type poolStats struct {
	perToken    float64 // seconds to read one token of a prompt
	base        float64 // seconds to the first token of a prompt that the upstream holds
	serviceTime float64 // seconds for which a request occupies a slot

	requestedAt [maxRank]time.Time // time of the last request, by rank
	requests    int

	hasGap     bool
	logGap     float64   // weighted mean of the natural logarithms of the streams' median gaps in seconds
	recentGaps []float64 // longest gaps of the latest streams in seconds, in a ring
	oldestGap  int       // index of the oldest one once the ring is full
	sortedGaps []float64 // the same gaps in ascending order
}

const (
	initialPerTokenSeconds = 15e-6
	initialBaseSeconds     = 0.05
	initialServiceSeconds  = 0.1

	learnStep        = 0.05 // weight of one observation
	lowQuantile      = 0.35 // quantile of reading times that is taken as the undisturbed one
	longPromptTokens = 1500 // missing tokens from which a reading time is observed
)

func newPoolStats() *poolStats {
	return &poolStats{perToken: initialPerTokenSeconds, base: initialBaseSeconds, serviceTime: initialServiceSeconds}
}

// quantile moves an estimate towards the quantile q of the observations, by steps
// that are relative to the estimate (stochastic approximation).
func quantile(estimate, observed, q float64) float64 {
	if observed > estimate {
		return estimate * (1 + learnStep*q)
	}
	return estimate * (1 - learnStep*(1-q))
}

// observeFirstToken updates the reading times from the seconds to a first token.
// The argument alone is true if no other prompt was to be read before.
func (ps *poolStats) observeFirstToken(took float64, missing int, alone bool) {
	switch {
	case missing >= longPromptTokens && alone:
		ps.perToken = quantile(ps.perToken, math.Max(took-ps.base, 0)/float64(missing), lowQuantile)
	case missing < longPromptTokens:
		ps.base = quantile(ps.base, math.Max(took-ps.perToken*float64(missing), 0.001), lowQuantile)
	}
}

// observeServiceTime updates the service time from the seconds that a request
// took.
func (ps *poolStats) observeServiceTime(took float64) {
	ps.serviceTime += learnStep * (took - ps.serviceTime)
}

// observeRank records a request of the rank and reports whether there is no less
// urgent one: the rank is the lowest of the configuration, or no lower one was
// used within rankLifetime and there were minRankRequests requests.
func (ps *poolStats) observeRank(now time.Time, rank, lowest int) bool {
	rank = min(max(rank, 0), maxRank-1)
	ps.requestedAt[rank] = now
	ps.requests++
	if rank >= min(lowest, maxRank-1) {
		return true
	}
	for _, at := range ps.requestedAt[rank+1:] {
		if now.Sub(at) < rankLifetime {
			return false
		}
	}
	return ps.requests >= minRankRequests
}
