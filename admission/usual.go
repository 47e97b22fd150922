package admission

import (
	"math"
	"time"
)

const (
	usualTime     = time.Minute     // time in which the mean of the usual load follows
	presentTime   = 2 * time.Second // time in which the mean of the present load follows
	minUsualTime  = 20 * time.Second
	excessFactor  = 4    // multiple of the usual load from which it is excessive
	allowedFactor = 2    // multiple of the usual load that an organisation is still served
	growthFactor  = 1.5  // multiple of the usual load that an excessive load counts as, so that it becomes usual in minutes
	maxCredit     = 2    // seconds of its allowed load that an organisation may send at once
	maxKnown      = 1024 // organisations; further ones have no usual load
)

// load is the load of one organisation in tokens a second.
type load struct {
	since, at      time.Time
	usual, present float64
	credit         float64 // tokens that are served although the load is excessive
}

// usualLoad knows the usual load of each organisation, to find those that send many times as
// much while a pool is short of room.
type usualLoad struct {
	loads map[string]*load
}

// observe records a request that has arrived.
func (u *usualLoad) observe(now time.Time, organisation string, tokens int) {
	l := u.loads[organisation]
	if l == nil {
		if organisation == "" || len(u.loads) >= maxKnown {
			return
		}
		if u.loads == nil {
			u.loads = map[string]*load{}
		}
		l = &load{since: now, at: now}
		u.loads[organisation] = l
	}
	elapsed := now.Sub(l.at).Seconds()
	l.at = now
	l.credit = min(l.credit+elapsed*allowedFactor*l.usual, maxCredit*allowedFactor*l.usual)
	counted := float64(tokens)
	if l.excessive(now) {
		counted *= growthFactor * l.usual / l.present
	}
	l.usual = l.usual*math.Exp(-elapsed/l.horizon(now)) + counted/l.horizon(now)
	l.present = l.present*math.Exp(-elapsed/presentTime.Seconds()) + float64(tokens)/presentTime.Seconds()
}

// horizon returns the seconds over which the usual load is a mean: since the organisation is
// known, within its bounds.
func (l *load) horizon(now time.Time) float64 {
	return min(max(now.Sub(l.since).Seconds(), presentTime.Seconds()), usualTime.Seconds())
}

func (l *load) excessive(now time.Time) bool {
	return now.Sub(l.since) > minUsualTime && l.present > excessFactor*l.usual
}

// excessive reports whether the organisation sends many times its usual load and has used up
// what it is served of it.
func (u *usualLoad) excessive(organisation string, tokens int) bool {
	l := u.loads[organisation]
	return l != nil && l.excessive(l.at) && l.credit < float64(tokens)
}

// admit records that a request is served.
func (u *usualLoad) admit(organisation string, tokens int) {
	if l := u.loads[organisation]; l != nil {
		l.credit -= float64(tokens)
		l.credit = max(l.credit, -maxCredit*allowedFactor*l.usual)
	}
}
