package exchange

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedwell/member"
	"knapweedwell/quarantine"
)

// replyFacts takes the next step of a comparison with a peer whose facts differ.
func (s *Service) replyFacts(now time.Time, to member.Member, m factsMessage, own []quarantine.Fact) {
	sh := s.sharing
	sh.mu.Lock()
	defer sh.mu.Unlock()
	reply := factsMessage{Sender: s.Self, Digest: factsDigest(own)}
	if m.Compare == compareDigest {
		if now.Sub(sh.repliedAt[to.Name]) < minReplyInterval {
			return
		}
		sh.repliedAt[to.Name] = now
		reply.Compare, reply.Has = compareHas, fingerprints(reply.Digest, own)
		s.sendFacts(now, to, encodeFacts(now, reply))
		return
	}
	facts, unknown := missingFacts(m.Digest, own, m.Has)
	if m.Compare == compareHas && unknown {
		reply.Compare, reply.Has = compareLacking, fingerprints(reply.Digest, own)
	}
	for first := true; first || len(facts) > 0; first = false {
		n := min(len(facts), maxSentFacts)
		reply.Facts, facts = facts[:n], facts[n:]
		if !s.sendFacts(now, to, encodeFacts(now, reply)) {
			return
		}
		reply.Compare, reply.Has = noComparison, nil
	}
}

// fingerprints returns short hashes of facts that depend on the digest, so that two facts
// with equal ones differ the next time.
func fingerprints(digest uint64, facts []quarantine.Fact) []uint16 {
	prints := make([]uint16, len(facts))
	for i, f := range facts {
		prints[i] = fingerprint(digest, f)
	}
	return prints
}

func fingerprint(digest uint64, f quarantine.Fact) uint16 {
	b := binary.LittleEndian.AppendUint64(nil, digest)
	return uint16(xxhash.Sum64(binary.LittleEndian.AppendUint64(b, factHash(f))))
}

// missingFacts returns the facts whose fingerprints are not among those of a peer, and
// whether the peer has others.
func missingFacts(digest uint64, facts []quarantine.Fact, has []uint16) (missing []quarantine.Fact, unknown bool) {
	theirs := map[uint16]bool{}
	for _, h := range has {
		theirs[h] = true
	}
	known := 0
	for _, f := range facts {
		if theirs[fingerprint(digest, f)] {
			known++
		} else {
			missing = append(missing, f)
		}
	}
	return missing, known < len(theirs)
}

// compareInterval returns the number of rounds between two comparisons.
func (sh *sharing) compareInterval(now time.Time) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if now.Sub(sh.learnedAt) < busyTime {
		return busyRounds
	}
	return compareRounds
}
