package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadLifetime       = 400 * time.Millisecond // age up to which a load reported by an upstream is used
	slownessHalfLife   = 4 * time.Second        // time in which the logarithm of a slowness halves
	failureHalfLife    = 2 * time.Second        // time in which a share of failures halves
	slownessStep       = 0.2                    // weight of one observation of slowness
	failureStep        = 0.25                   // weight of one outcome
	maxSlowness        = 12                     // bound of a slowness, and of its inverse
	rankCount          = 10                     // a less urgent rank counts as the last
	minRankRequests    = 100                    // requests of a pool from which a rank without requests counts as unused
	rankLifetime       = 30 * time.Second       // time for which a rank counts as used after a request
	lowerRankWorkShare = 0.3                    // fraction of less urgent work that still delays a request
)

// state is the view of one incarnation of an upstream.
type state struct {
	born    int64
	hash    uint64 // xxHash of the upstream's ID
	usedAt  time.Time
	cache   cache
	running int               // requests sent by this instance that have not ended
	tokens  int               // tokens of those requests
	pending [rankCount]int    // prompt tokens still to be read, by rank
	peers   map[string]Counts // reported by peers, by their names

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

	exclusions    int // consecutive exclusions
	excludedUntil time.Time

	pausedUntil time.Time // the upstream wants no request before

	speed    speed   // as stated in answers
	splitKey float64 // position in the order of the split
	distance distance
}

func newState(id string, born int64, all *cachedParts) *state {
	return &state{born: born, cache: cache{all: all}, hash: xxhash.Sum64String(id), peers: map[string]Counts{}, peerGapRatios: map[string]gapRatio{}, splitKey: math.Inf(1)}
}

// Counts are the numbers of one instance's requests at an upstream.
type Counts struct {
	Running    int
	Pending    int // prompt tokens still to be read
	Tokens     int
	ReceivedAt time.Time // time at which the counts were received

	age time.Duration // age of the oldest counts in a sum
}

// peerCounts returns the sum of the peers' counts that are not older than
// peerLifetime, and deletes the others.
func (s *state) peerCounts(now time.Time) Counts {
	var sum Counts
	for name, c := range s.peers {
		age := now.Sub(c.ReceivedAt)
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
// request of the rank. Tokens of less urgent ranks count lowerRankWorkShare each.
func (s *state) pendingFor(rank int) int {
	n := 0.0
	for r, tokens := range s.pending {
		if r <= rank {
			n += float64(tokens)
		} else {
			n += lowerRankWorkShare * float64(tokens)
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

// decayedFailureShare returns the share of requests that the upstream is expected
// to fail.
func (s *state) decayedFailureShare(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * decay(now.Sub(s.failureShareAt), failureHalfLife)
}

func (s *state) observeOutcome(now time.Time, failed bool) {
	old := s.decayedFailureShare(now)
	target := 0.0
	if failed {
		target = 1
	}
	s.failureShare = old + failureStep*(target-old)
	s.failureShareAt = now
}

// exclude excludes the upstream after a failure, unless it is excluded already.
// The time doubles with each consecutive exclusion, from firstExclusion to
// longestExclusion.
func (s *state) exclude(now time.Time) {
	if now.Before(s.excludedUntil) {
		return
	}
	d := firstExclusion << min(s.exclusions, maxExclusionDoublings)
	s.exclusions++
	s.excludedUntil = now.Add(min(d, longestExclusion))
}

// clearExclusion ends the exclusion of an upstream that answers again.
func (s *state) clearExclusion() {
	s.exclusions = 0
	s.excludedUntil = time.Time{}
}

// poolStats holds the estimates for a pool, made from all of its upstreams.
type poolStats struct {
	perTokenSeconds float64 // time to read one token of a prompt
	baseSeconds     float64 // time to the first token of a prompt that the upstream holds
	serviceSeconds  float64 // time for which a request occupies a slot

	requestedAt [rankCount]time.Time // time of the last request, by rank
	requests    int

	reservation reservation
	speeds      speedStats
	split       split
	zones       [2]zoneShares // by kind
	hot         [2]hotParts   // by kind

	readSamples, readsBelow, serviceSamples int // see Measured

	hasGap           bool
	logGap           float64   // weighted mean of the natural logarithms of the streams' median gaps in seconds
	recentGapSeconds []float64 // longest gaps of the most recent streams, in a ring
	oldestGap        int       // index of the oldest one once the ring is full
	sortedGapSeconds []float64 // the same gaps in ascending order
}

const (
	initialPerTokenSeconds = 15e-6
	initialBaseSeconds     = 0.05
	initialServiceSeconds  = 0.1
	minBaseSeconds         = 0.001 // bound of an observed base time

	learnStep        = 0.05 // weight of one observation
	lowQuantile      = 0.35 // quantile of reading times that is taken as the undisturbed one
	longPromptTokens = 1500 // missing tokens from which perTokenSeconds is updated, not baseSeconds
)

func newPoolStats() *poolStats {
	return &poolStats{
		perTokenSeconds: initialPerTokenSeconds, baseSeconds: initialBaseSeconds, serviceSeconds: initialServiceSeconds,
		reservation: reservation{missed: initialMissedShare}, split: split{missed: initialMissedShare, stepTime: initialStepSeconds},
	}
}

// updateQuantile moves an estimate towards the quantile q of the observations, by
// steps that are relative to the estimate (stochastic approximation).
func updateQuantile(estimate, observed, q float64) float64 {
	if observed > estimate {
		return estimate * (1 + learnStep*q)
	}
	return estimate * (1 - learnStep*(1-q))
}

// observeFirstToken updates the reading times from the time to a first token.
// The argument alone is true if no other prompt was to be read before.
func (ps *poolStats) observeFirstToken(elapsedSeconds float64, missing int, alone bool) {
	switch {
	case missing >= longPromptTokens && alone:
		observed := math.Max(elapsedSeconds-ps.baseSeconds, 0) / float64(missing)
		ps.countRead(observed)
		ps.perTokenSeconds = updateQuantile(ps.perTokenSeconds, observed, lowQuantile)
	case missing < longPromptTokens:
		ps.baseSeconds = updateQuantile(ps.baseSeconds, math.Max(elapsedSeconds-ps.perTokenSeconds*float64(missing), minBaseSeconds), lowQuantile)
	}
}

// observeServiceTime updates the service time from that of one request.
func (ps *poolStats) observeServiceTime(elapsedSeconds float64) {
	ps.serviceSamples++
	ps.serviceSeconds += learnStep * (elapsedSeconds - ps.serviceSeconds)
}

// observeRank records a request of the rank and reports whether there is no less
// urgent rank: none is configured for the pool, or none was used within
// rankLifetime and there were at least minRankRequests requests.
func (ps *poolStats) observeRank(now time.Time, rank, lowest int) bool {
	rank = min(max(rank, 0), rankCount-1)
	ps.requestedAt[rank] = now
	ps.requests++
	if rank >= min(lowest, rankCount-1) {
		return true
	}
	for _, at := range ps.requestedAt[rank+1:] {
		if now.Sub(at) < rankLifetime {
			return false
		}
	}
	return ps.requests >= minRankRequests
}
