package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// maxWaitFactor bounds how far observed waits raise the predicted ones.
	maxWaitFactor = 8.0
	// waitFactorShare is the weight of one observation in the mean of their logarithms.
	waitFactorShare = 0.2
	// waitFactorTime is the time in which the mean falls to 1/e without observations.
	waitFactorTime = 10 * time.Second
	// minPredictedWait replaces shorter predictions, whose ratios say little.
	minPredictedWait = 200 * time.Millisecond
)

// waitFactors holds, by pool, how much longer the requests of the lowest rank wait for their
// first event than was predicted when they were sent, because more urgent ones arrive after
// them and overtake them.
type waitFactors struct {
	mu    sync.Mutex
	pools map[string]*waitFactor
}

// waitFactor is a mean of the logarithms of observed ratios, which falls with time.
type waitFactor struct {
	mean float64
	at   time.Time
}

// observe records that a request of the lowest rank of a pool has waited for a time, and how
// long was predicted.
func (f *waitFactors) observe(now time.Time, pool string, predicted, waited time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pools == nil {
		f.pools = map[string]*waitFactor{}
	}
	p := f.pools[pool]
	if p == nil {
		p = &waitFactor{at: now}
		f.pools[pool] = p
	}
	ratio := waited.Seconds() / max(predicted, minPredictedWait).Seconds()
	p.fall(now)
	p.mean += waitFactorShare * (math.Log(min(max(ratio, 1), maxWaitFactor)) - p.mean)
}

// factor returns the factor by which predicted waits of the lowest rank are to be raised.
func (f *waitFactors) factor(now time.Time, pool string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[pool]
	if p == nil {
		return 1
	}
	p.fall(now)
	return math.Exp(p.mean)
}

// fall lets the mean fall since the last time.
func (p *waitFactor) fall(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		p.mean *= math.Exp(-d.Seconds() / waitFactorTime.Seconds())
		p.at = now
	}
}
