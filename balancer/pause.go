package balancer

import (
	"time"

	"knapweedwell/route"
)

// maxPause bounds the pause of an upstream, so that a senseless value does not keep it
// out of use for good.
const maxPause = 5 * time.Minute

// Pause records that the upstream wants no further request from this instance for the
// given time. It reports whether the upstream was not paused before.
func (a *Attempt) Pause(now time.Time, d time.Duration) bool {
	p := a.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := !now.Before(a.state.pausedUntil)
	if until := now.Add(min(d, maxPause)); until.After(a.state.pausedUntil) {
		a.state.pausedUntil = until
	}
	if a.state.pausedUntil.After(p.lastPauseEnd) {
		p.lastPauseEnd = a.state.pausedUntil
	}
	return fresh
}

// Paused reports whether the upstream wants no request at present.
func (a *Attempt) Paused(now time.Time) bool {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	return now.Before(a.state.pausedUntil)
}

// PauseLeft returns the time until the first pause of a candidate ends. It reports
// false if there is no candidate or one that is not paused.
func (p *Picker) PauseLeft(now time.Time, candidates []*route.Upstream) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := maxPause
	for _, u := range candidates {
		until := p.state(now, u).pausedUntil
		if !now.Before(until) {
			return 0, false
		}
		left = min(left, until.Sub(now))
	}
	return left, len(candidates) > 0
}

// unpaused returns the candidates that are not paused. The caller holds p.mu.
func (p *Picker) unpaused(now time.Time, candidates []*route.Upstream) []*route.Upstream {
	if !now.Before(p.lastPauseEnd) {
		return candidates
	}
	var usable []*route.Upstream
	for _, u := range candidates {
		if !now.Before(p.state(now, u).pausedUntil) {
			usable = append(usable, u)
		}
	}
	return usable
}
