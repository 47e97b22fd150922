package pool

import (
	"sort"
	"time"
)

// UpstreamView is the state of one upstream as shown to operators.
type UpstreamView struct {
	Name      string
	Granted   int
	Limit     int
	Max       int
	Reported  int
	State     string
	TokenTime time.Duration
	Faults    int
}

// View is the state of a shard as shown to operators.
type View struct {
	Shard     string
	Revision  int64
	Waiting   map[string]int // number of waiting requests, by class
	Running   map[string]int // number of grants, by class
	Upstreams []UpstreamView
}

// View returns the state of the shard.
func (s *Shard) View(now time.Time) View {
	v := View{
		Shard:    s.Name,
		Revision: s.settings.Revision,
		Waiting:  map[string]int{},
		Running:  map[string]int{},
	}
	for _, r := range s.requests {
		v.Waiting[r.Class]++
	}
	for _, g := range s.grants {
		v.Running[g.Class]++
	}
	for _, name := range s.names {
		v.Upstreams = append(v.Upstreams, s.upstreams[name].view(now))
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].Name < v.Upstreams[j].Name })
	return v
}

func (u *upstream) view(now time.Time) UpstreamView {
	state := "live"
	switch {
	case u.Leaving || u.draining:
		state = "leaving"
	case now.Before(u.unhealthyUntil):
		state = "failing"
	}
	return UpstreamView{
		Name:      u.Name,
		Granted:   u.granted + u.beyondLimit,
		Limit:     u.limiter.Limit(),
		Max:       u.limiter.Max,
		Reported:  u.reported,
		State:     state,
		TokenTime: u.tokenTime,
		Faults:    u.faults,
	}
}

// Idle reports whether nothing waits and nothing is granted.
func (s *Shard) Idle() bool {
	return len(s.requests) == 0 && len(s.grants) == 0
}
