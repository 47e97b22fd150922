package pick

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadLifetime  = 400 * time.Millisecond // loadLifetime is how long a load that an upstream reported is used.
	slowHalfLife  = 4 * time.Second        // slowHalfLife is how fast an upstream's slowness is forgotten.
	failHalfLife  = 2 * time.Second        // failHalfLife is how fast an upstream's failures are forgotten.
	slowStep      = 0.2                    // slowStep is the weight of one observation of slowness.
	failStep      = 0.25                   // failStep is the weight of one outcome.
	slowest       = 12                     // slowest bounds the slowness.
	maxRank       = 10
	manyAsks      = 100              // manyAsks is the requests after which a rank that none of them had counts as unused.
	rankMemory    = 30 * time.Second // rankMemory is how long a rank counts as asked for.
	lowerRankWork = 0.3              // lowerRankWork is the share of less urgent work that still delays a request.
)

// state is what is known of one incarnation of an upstream.
type state struct {
	born    int64
	hash    uint64 // hash is that of the upstream's ID.
	used    time.Time
	cache   cache
	running int          // running counts the requests sent from here.
	tokens  int          // tokens counts the tokens of those requests.
	pending [maxRank]int // pending counts the tokens still to be read, by rank.
	peers   map[string]Counts
	heard   time.Time // heard is when the upstream last sent something.

	headerRunning, headerWaiting int
	headerAt                     time.Time

	slow    float64 // slow is the logarithm of the ratio of seen to predicted times.
	slowAt  time.Time
	fail    float64 // fail is the share of failures.
	failAt  time.Time
	own     pace            // own is the pace that was seen here.
	paces   map[string]pace // paces are those that peers have seen.
	paced   float64         // paced is the pace as it was last worked out.
	pacedAt time.Time

	bans        int // bans counts the failures to connect in a row.
	bannedUntil time.Time
}

func newState(id string, born int64) *state {
	return &state{born: born, hash: xxhash.Sum64String(id), peers: map[string]Counts{}, paces: map[string]pace{}}
}

// Counts are what one instance knows of the requests that it has at an
// upstream.
type Counts struct {
	Running int
	Pending int // Pending counts the tokens still to be read.
	Tokens  int
	At      time.Time // At is when the counts came.

	age time.Duration
}

// peerCounts returns the sum of the peers' counts that are not too old.
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

// pendingFor returns the tokens that are read before those of a request of the
// rank.
func (s *state) pendingFor(rank int) int {
	n := 0.0
	for r, tokens := range s.pending {
		if r <= rank {
			n += float64(tokens)
		} else {
			n += lowerRankWork * float64(tokens)
		}
	}
	return int(n)
}

func (s *state) loadFresh(now time.Time) bool {
	return now.Sub(s.headerAt) < loadLifetime
}

// decay returns the share of a value that is left after a time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// slowness returns how much longer the upstream takes than predicted.
func (s *state) slowness(now time.Time) float64 {
	if s.slow == 0 {
		return 1
	}
	return math.Exp(s.slow * decay(now.Sub(s.slowAt), slowHalfLife))
}

func (s *state) observeSlowness(now time.Time, ratio float64) {
	bounded := math.Log(math.Min(math.Max(ratio, 1.0/slowest), slowest))
	old := s.slow * decay(now.Sub(s.slowAt), slowHalfLife)
	s.slow = old + slowStep*(bounded-old)
	s.slowAt = now
}

// failing returns the share of requests that the upstream is expected to fail.
func (s *state) failing(now time.Time) float64 {
	if s.fail == 0 {
		return 0
	}
	return s.fail * decay(now.Sub(s.failAt), failHalfLife)
}

func (s *state) observeOutcome(now time.Time, failed bool) {
	old := s.failing(now)
	target := 0.0
	if failed {
		target = 1
	}
	s.fail = old + failStep*(target-old)
	s.failAt = now
}

// ban avoids the upstream for a while, longer with each failure in a row.
func (s *state) ban(now time.Time) {
	if now.Before(s.bannedUntil) {
		return
	}
	d := firstBan << min(s.bans, 6)
	s.bans++
	s.bannedUntil = now.Add(min(d, longestBan))
}

// cleared notes that the upstream answers again.
func (s *state) cleared() {
	s.bans = 0
	s.bannedUntil = time.Time{}
}

// learned is what is learned of all upstreams of a pool.
type learned struct {
	perToken float64 // perToken is the seconds to read one token of a prompt.
	base     float64 // base is the seconds to the first token of a prompt that is known.
	hold     float64 // hold is the seconds that a request occupies a place.

	asked [maxRank]time.Time // asked is when a request of the rank last came.
	asks  int                // asks counts the requests.

	paced   bool
	paceLog float64   // paceLog is the logarithm of the seconds between events.
	recent  []float64 // recent holds the longest pauses of the latest streams in seconds, in a ring.
	next    int       // next is the oldest of them once the ring is full.
	sorted  []float64 // sorted holds the same by length.
}

// Values before anything is learned.
const (
	firstPerToken = 15e-6
	firstBase     = 0.05
	firstHold     = 0.1
	learnStep     = 0.05
	lowQuantile   = 0.35 // lowQuantile is the quantile of reading times that is taken as the undisturbed one.
	longPrompt    = 1500 // longPrompt is the tokens from which a reading time is learned.
)

func newLearned() *learned {
	return &learned{perToken: firstPerToken, base: firstBase, hold: firstHold}
}

// quantile moves an estimate towards a quantile of what is seen, by steps that
// are relative to the estimate (stochastic approximation).
func quantile(estimate, seen, q float64) float64 {
	if seen > estimate {
		return estimate * (1 + learnStep*q)
	}
	return estimate * (1 - learnStep*(1-q))
}

// first learns from the time to a first token.
func (l *learned) first(took float64, missing int, alone bool) {
	switch {
	case missing >= longPrompt && alone:
		l.perToken = quantile(l.perToken, math.Max(took-l.base, 0)/float64(missing), lowQuantile)
	case missing < longPrompt:
		l.base = quantile(l.base, math.Max(took-l.perToken*float64(missing), 0.001), lowQuantile)
	}
}

// ended learns from the time that a request took.
func (l *learned) ended(took float64) {
	l.hold += learnStep * (took - l.hold)
}

// least notes a request of the rank and reports whether there is none that is
// less urgent: by the configuration, or since none came among many requests.
func (l *learned) least(now time.Time, rank, lowest int) bool {
	rank = min(max(rank, 0), maxRank-1)
	l.asked[rank] = now
	l.asks++
	if rank >= min(lowest, maxRank-1) {
		return true
	}
	for _, at := range l.asked[rank+1:] {
		if now.Sub(at) < rankMemory {
			return false
		}
	}
	return l.asks >= manyAsks
}
