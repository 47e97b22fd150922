package exchange

import "knapweedwell/balancer"

const (
	maxHeldPlacements   = 4096 // placements that are held to be sent to peers
	maxSentPlacements   = 60   // placements in one report
	maxDigestPlacements = 400  // placements in one digest
)

// placementLog holds the most recent placements and how many of them each peer was
// sent. Its zero value is empty.
type placementLog struct {
	held      []balancer.Placement // the oldest first
	discarded int                  // number of placements that are no longer held
	sentUpTo  map[string]int       // number of placements sent to each peer or discarded before, by its name
}

// add adds placements and discards the oldest beyond maxHeldPlacements.
func (l *placementLog) add(placements []balancer.Placement) {
	l.held = append(l.held, placements...)
	if over := len(l.held) - maxHeldPlacements; over > 0 {
		l.held = append([]balancer.Placement(nil), l.held[over:]...)
		l.discarded += over
	}
}

// unsent returns up to limit of the next placements that were not sent to a peer yet
// and counts them as sent.
func (l *placementLog) unsent(peer string, limit int) []balancer.Placement {
	if l.sentUpTo == nil {
		l.sentUpTo = map[string]int{}
	}
	from := max(l.sentUpTo[peer]-l.discarded, 0)
	placements := l.held[from:]
	placements = placements[:min(len(placements), limit)]
	l.sentUpTo[peer] = l.discarded + from + len(placements)
	return placements
}
