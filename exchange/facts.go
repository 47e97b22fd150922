package exchange

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"knapweedwell/aggregate"
	"knapweedwell/member"
	"knapweedwell/quarantine"
)

const (
	// minShareInterval is the least time between two sends of facts after a change.
	minShareInterval = 100 * time.Millisecond
	// directSends is the number of times that a new fact is sent to each instance of a
	// small fleet by the one that learned it.
	directSends = 2
	// relaySends and relayTargets are the number of times that each instance of a large
	// fleet passes a new fact on, and to how many others each time.
	relaySends   = 4
	relayTargets = 2
	// compareRounds is the number of rounds between two comparisons of all facts, which
	// repair what lost datagrams have left out.
	compareRounds = 5
	// busyRounds is that number for busyTime after a fact was learned.
	busyRounds = 2
	busyTime   = 3 * time.Second
	// minReplyInterval is the least time between two replies to comparisons of a peer.
	minReplyInterval = 300 * time.Millisecond
	// directFactBytes and relayedFactBytes are the bytes of facts that an instance of a
	// small and a large fleet may send a second in the long run.
	directFactBytes  = 1000
	relayedFactBytes = 500
	// burstFactBytes is what it may send at once. Verdicts are sent even beyond it.
	burstFactBytes = 12000
	maxSentFacts   = 100 // in one datagram
	maxKnownFacts  = 4096
	// timeTolerance is the difference up to which the times of a fact from two instances
	// count as equal. It grows on the way between them.
	timeTolerance = 250 * time.Millisecond
	// verdictTolerance is that of the ends of verdicts. Several instances find the same one.
	verdictTolerance = time.Second
	// forgetFactAfter is how long a fact is remembered that this instance has not kept.
	forgetFactAfter = 10 * time.Second
	// staleTime is how long after a suspension received facts are dropped: they may have
	// waited in the socket and be older than they say.
	staleTime = 200 * time.Millisecond
)

// Facts holds the facts about prompt parts that instances share.
type Facts interface {
	Apply(now time.Time, facts []quarantine.Fact)
	Facts(now time.Time) []quarantine.Fact
	Generation() uint64
}

// factKey identifies the facts that replace one another.
type factKey struct {
	kind        byte
	part, crash uint64
}

// sharedFact is what this instance remembers of a fact.
type sharedFact struct {
	fact      quarantine.Fact
	at, until time.Time
	number    uint64    // rises from fact to fact
	sends     int       // number of times that it is still to be sent
	seen      time.Time // when this instance last had it
}

// sharing is the state of the exchange of facts.
type sharing struct {
	mu         sync.Mutex
	known      map[factKey]*sharedFact
	learned    uint64 // number of facts so far
	learnedAt  time.Time
	generation uint64 // of the facts of this instance when they were last recorded
	repliedAt  map[string]time.Time
	budget     *rate.Limiter
	changed    chan struct{}
}

// newSharing returns the state of an instance that has no facts.
func newSharing() *sharing {
	return &sharing{
		known: map[factKey]*sharedFact{}, repliedAt: map[string]time.Time{}, budget: rate.NewLimiter(directFactBytes, burstFactBytes), changed: make(chan struct{}, 1),
	}
}

// describeFact returns the key of a fact and its times.
func describeFact(f quarantine.Fact) (key factKey, at, until time.Time) {
	switch f := f.(type) {
	case quarantine.Implicated:
		return factKey{kind: implicatedKind, part: f.Trait, crash: f.Crash}, f.At, time.Time{}
	case quarantine.Answered:
		return factKey{kind: answeredKind, part: f.Trait}, f.At, time.Time{}
	case quarantine.Convicted:
		return factKey{kind: convictedKind, part: f.Trait}, f.At, f.Until
	case quarantine.Released:
		return factKey{kind: releasedKind, part: f.Trait}, f.At, time.Time{}
	}
	return factKey{}, time.Time{}, time.Time{}
}

// factsDigest returns a digest of facts that does not depend on their order and times.
func factsDigest(facts []quarantine.Fact) uint64 {
	digest := uint64(0)
	for _, f := range facts {
		digest ^= factHash(f)
	}
	return digest
}

// factHash returns a hash of a fact without its times.
func factHash(f quarantine.Fact) uint64 {
	key, _, _ := describeFact(f)
	if c, ok := f.(quarantine.Convicted); ok {
		key.crash = uint64(c.Crashes)
	}
	b := binary.LittleEndian.AppendUint64([]byte{key.kind}, key.part)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, key.crash))
}

// learn records a fact that is to be sent a number of times. It reports false if the
// fact is known with the same or later times.
func (sh *sharing) learn(now time.Time, f quarantine.Fact, sends int) bool {
	key, at, until := describeFact(f)
	old := sh.known[key]
	if old != nil {
		old.seen = now
		if !isLater(key, at.Sub(old.at), until.Sub(old.until)) {
			return false
		}
	}
	if len(sh.known) >= maxKnownFacts {
		sends = 0
	}
	sh.learned++
	sh.learnedAt = now
	sh.known[key] = &sharedFact{fact: f, at: at, until: until, number: sh.learned, sends: sends, seen: now}
	return true
}

// isLater reports whether a fact replaces a known one, by the differences of their times.
func isLater(key factKey, at, until time.Duration) bool {
	switch key.kind {
	case implicatedKind:
		return false
	case convictedKind:
		return until > verdictTolerance
	}
	return at > timeTolerance
}

// update records the facts of this instance and forgets those that it no longer has.
func (sh *sharing) update(now time.Time, facts []quarantine.Fact, sends int) {
	for _, f := range facts {
		sh.learn(now, f, sends)
	}
	for key, k := range sh.known {
		if now.Sub(k.seen) > forgetFactAfter {
			delete(sh.known, key)
		}
	}
	for name, at := range sh.repliedAt {
		if now.Sub(at) > forgetFactAfter {
			delete(sh.repliedAt, name)
		}
	}
}

// due returns the facts that are to be sent: the verdicts with their ends, and the evidence, at
// most maxSentFacts of each. Those that this instance holds come first, in their order, and then
// the others, the oldest first.
func (sh *sharing) due(own []quarantine.Fact) (verdicts, evidence []*sharedFact) {
	ranks := map[*sharedFact]int{}
	for i, f := range own {
		key, _, _ := describeFact(f)
		if k := sh.known[key]; k != nil {
			ranks[k] = i - len(own)
		}
	}
	first := func(facts []*sharedFact) []*sharedFact {
		slices.SortFunc(facts, func(a, b *sharedFact) int {
			return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a.number, b.number))
		})
		return facts[:min(len(facts), maxSentFacts)]
	}
	for _, k := range sh.known {
		switch {
		case k.sends <= 0:
		case isVerdict(k.fact):
			verdicts = append(verdicts, k)
		default:
			evidence = append(evidence, k)
		}
	}
	return first(verdicts), first(evidence)
}

// isVerdict reports whether a fact is a verdict or the end of one.
func isVerdict(f quarantine.Fact) bool {
	switch f.(type) {
	case quarantine.Convicted, quarantine.Released:
		return true
	}
	return false
}

// encodeShared encodes a message with facts.
func encodeShared(now time.Time, sender string, digest uint64, facts []*sharedFact) []byte {
	m := factsMessage{Sender: sender, Digest: digest}
	for _, k := range facts {
		m.Facts = append(m.Facts, k.fact)
	}
	return encodeFacts(now, m)
}

// markSent records that facts were sent once.
func markSent(facts []*sharedFact) {
	for _, k := range facts {
		k.sends--
	}
}

// Tell sends facts that this instance has applied itself to the others.
func (s *Service) Tell(facts []quarantine.Fact) {
	now := time.Now()
	sends, _ := s.factSends()
	s.sharing.mu.Lock()
	for _, f := range facts {
		s.sharing.learn(now, f, sends)
	}
	s.sharing.mu.Unlock()
	s.ShareFacts()
}

// factSends returns how often this instance sends a new fact, and how often one that it
// has from a peer.
func (s *Service) factSends() (own, relayed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.plan.Aggregated() {
		return relaySends, relaySends
	}
	return directSends, 0
}

// ShareFacts sends the facts that this instance has learned in the background at once.
func (s *Service) ShareFacts() {
	select {
	case s.sharing.changed <- struct{}{}:
	default:
	}
}

// roundFacts sends new facts in a round and compares all facts from time to time.
func (s *Service) roundFacts(now time.Time, plan aggregate.Plan, round int) {
	if s.Facts == nil {
		return
	}
	s.shareFacts(now, plan)
	if round%s.sharing.compareInterval(now) != 0 {
		return
	}
	facts := s.Facts.Facts(now)
	if len(facts) == 0 {
		return
	}
	data := encodeFacts(now, factsMessage{Sender: s.Self, Compare: compareDigest, Digest: factsDigest(facts)})
	for _, m := range s.factTargets(plan) {
		s.sendFacts(now, m, data)
	}
}

// shareFacts sends new facts: to all others in a small fleet, and to some others, which
// pass them on, in a large one.
func (s *Service) shareFacts(now time.Time, plan aggregate.Plan) {
	sh := s.sharing
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.recordOwn(now, plan)
	own := s.Facts.Facts(now)
	verdicts, evidence := sh.due(own)
	if len(verdicts)+len(evidence) == 0 {
		return
	}
	digest := factsDigest(own)
	targets := s.factTargets(plan)
	if len(verdicts) > 0 {
		data := encodeShared(now, s.Self, digest, verdicts)
		for _, to := range targets {
			s.send(to, data)
		}
		markSent(verdicts)
	}
	if len(evidence) == 0 {
		return
	}
	data := encodeShared(now, s.Self, digest, evidence)
	for _, to := range targets {
		if !s.sendFacts(now, to, data) {
			return
		}
	}
	markSent(evidence)
}

// recordOwn records what this instance has learned since the last time. The caller holds
// the lock of sharing.
func (s *Service) recordOwn(now time.Time, plan aggregate.Plan) {
	sh := s.sharing
	sends, limit := directSends, directFactBytes
	if plan.Aggregated() {
		sends, limit = relaySends, relayedFactBytes
	}
	sh.budget.SetLimitAt(now, rate.Limit(limit))
	if generation := s.Facts.Generation(); generation != sh.generation {
		sh.generation = generation
		sh.update(now, s.Facts.Facts(now), sends)
	}
}

// factTargets returns the instances to which facts are sent at once, in random order.
func (s *Service) factTargets(plan aggregate.Plan) []member.Member {
	if !plan.Aggregated() {
		targets := append([]member.Member(nil), plan.Direct...)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		return targets
	}
	var targets []member.Member
	for _, m := range s.Members() {
		if m.Name != s.Self && m.Exchange != "" && m.State != member.Gone {
			targets = append(targets, m)
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), relayTargets)]
}

// sendFacts sends a datagram with facts unless the bytes that may be sent are used up.
func (s *Service) sendFacts(now time.Time, to member.Member, data []byte) bool {
	if !s.sharing.budget.AllowN(now, len(data)) {
		return false
	}
	s.send(to, data)
	return true
}

// receiveFacts applies facts of a known instance and answers a comparison.
func (s *Service) receiveFacts(data []byte) error {
	now := time.Now()
	m, err := decodeFacts(now, data)
	if err != nil {
		return err
	}
	from, known := s.Member(m.Sender)
	if !known || from.Name == s.Self || s.suspendedRecently(now) {
		return nil
	}
	s.applyLimits(now, m.Limits)
	if s.Facts == nil || (len(m.Facts) == 0 && m.Compare == noComparison) {
		return nil
	}
	s.applyFacts(now, m.Facts)
	own := s.Facts.Facts(now)
	if m.Compare != noComparison && factsDigest(own) != m.Digest {
		s.replyFacts(now, from, m, own)
	}
	return nil
}

// suspendedRecently reports whether this process was suspended until recently.
func (s *Service) suspendedRecently(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.resumedAt) < staleTime || (!s.lastRound.IsZero() && now.Sub(s.lastRound) > suspensionTime)
}

// applyFacts applies the facts of a peer that this instance does not have. In a large
// fleet it passes them on.
func (s *Service) applyFacts(now time.Time, facts []quarantine.Fact) {
	sends, relayed := s.factSends()
	own := s.Facts.Facts(now)
	sh := s.sharing
	sh.mu.Lock()
	sh.update(now, own, sends)
	var fresh []quarantine.Fact
	for _, f := range facts {
		if sh.learn(now, f, relayed) {
			fresh = append(fresh, f)
		}
	}
	sh.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	s.Facts.Apply(now, fresh)
	s.ShareFacts()
}
