package balancer

// Samples from which a mean of a pool counts as measured.
const (
	minReadSamples    = 30
	minReadsBelow     = 5 // samples below the mean, so that it has risen from its initial value
	minServiceSamples = 40
)

// Measured returns the time in which an engine of the pool reads a prompt token and the time of a
// request, as this instance has measured them; zero if it has too few samples.
func (p *Picker) Measured(pool string) (tokenSeconds, requestSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.pools[pool]
	if stats == nil {
		return 0, 0
	}
	if stats.readSamples >= minReadSamples && stats.readsBelow >= minReadsBelow {
		tokenSeconds = stats.perTokenSeconds
	}
	if stats.serviceSamples >= minServiceSamples {
		requestSeconds = stats.serviceSeconds
	}
	return tokenSeconds, requestSeconds
}

// countRead counts one sample of the time in which a prompt token is read.
func (ps *poolStats) countRead(observed float64) {
	ps.readSamples++
	if observed <= ps.perTokenSeconds {
		ps.readsBelow++
	}
}
