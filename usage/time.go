package usage

import (
	"slices"
	"time"
)

const (
	maxStep     = 50 * time.Millisecond // correction of true time in one round
	peerTimeAge = 5 * time.Second       // for which the time that a peer stated counts
)

// clock is true time as this instance knows it: its wall clock at the start, the time
// elapsed since, and a correction towards the median of its peers. It serves fleets in which
// the clocks of fewer than half of the instances are wrong.
type clock struct {
	base  time.Time // true time at the elapsed time zero
	peers map[string]difference
}

// difference is that of a peer's time to the own one, before corrections.
type difference struct {
	ahead time.Duration // of the peer's time to elapsed time, since the start of 1970
	at    time.Duration // elapsed time when it was received
}

func (c *clock) at(elapsed time.Duration) time.Time {
	return c.base.Add(elapsed)
}

// heard records the time that a peer states.
func (c *clock) heard(elapsed time.Duration, peer string, milli int64) {
	c.peers[peer] = difference{ahead: time.UnixMilli(milli).Sub(time.Unix(0, 0)) - elapsed, at: elapsed}
}

// correct moves the time towards the median of the peers' times and the own one, by one step
// at most, and returns how far it was off.
func (c *clock) correct(elapsed time.Duration) time.Duration {
	own := c.base.Sub(time.Unix(0, 0))
	all := []time.Duration{own}
	for peer, d := range c.peers {
		if elapsed-d.at > peerTimeAge {
			delete(c.peers, peer)
			continue
		}
		all = append(all, d.ahead)
	}
	if len(all) < 3 {
		return 0
	}
	slices.Sort(all)
	off := all[len(all)/2] - own
	c.base = c.base.Add(min(max(off, -maxStep), maxStep))
	return off
}
