package ratelimit

// Wait records that a request of the rank waits for an upstream of the pool. Less urgent
// ones get no right to send until the returned function is called.
func (l *Limits) Wait(pool string, rank int) (done func()) {
	rank = boundedRank(rank)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = map[string]*[rankCount]int{}
	}
	counts := l.waiting[pool]
	if counts == nil {
		counts = &[rankCount]int{}
		l.waiting[pool] = counts
	}
	counts[rank]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		counts[rank]--
	}
}

// precededByWaiting reports whether a more urgent request waits for the pool. The caller
// holds l.mu.
func (l *Limits) precededByWaiting(pool string, rank int) bool {
	counts := l.waiting[pool]
	if counts == nil {
		return false
	}
	for _, n := range counts[:boundedRank(rank)] {
		if n > 0 {
			return true
		}
	}
	return false
}

func boundedRank(rank int) int {
	return min(max(rank, 0), rankCount-1)
}
