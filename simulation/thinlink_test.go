package simulation

import (
	"time"
)

// setRate limits the link of a host, in bytes a second in each direction.
func (n *network) setRate(h string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[h] = rate
}

// isThin reports whether a link of the two hosts is limited. Writers then do not wait: a
// goroutine that waits for the lock of one of them would stop the virtual clock.
func (n *network) isThin(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rates[a] > 0 || n.rates[b] > 0
}

// transmit returns when bytes that are sent now have passed the links of both hosts,
// without the latency.
func (n *network) transmit(from, to string, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.occupy(link{from, "*"}, n.rates[from], time.Now(), size)
	return n.occupy(link{"*", to}, n.rates[to], sent, size)
}

// occupy returns the end of a transmission over one direction of a link, after those
// before it. The caller holds n.mu.
func (n *network) occupy(l link, rate float64, start time.Time, size int) time.Time {
	if rate == 0 {
		return start
	}
	if until := n.busyUntil[l]; until.After(start) {
		start = until
	}
	end := start.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	n.busyUntil[l] = end
	return end
}
