package scaling

import (
	"fmt"
	"io"
	"sort"
)

// Status is what operators see of the decisions. Pools is empty unless this instance decides.
type Status struct {
	Deciding bool
	Token    int64
	Pools    []Decision
	Recent   []Placed // latest orders that the platform answered
	Counts   Counts
}

// Status returns the latest decisions.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Deciding: s.held, Counts: s.counts, Recent: append([]Placed(nil), s.recent...)}
	if s.held {
		st.Token = s.token
	}
	for _, d := range s.decisions {
		st.Pools = append(st.Pools, d)
	}
	sort.Slice(st.Pools, func(i, j int) bool { return st.Pools[i].Pool < st.Pools[j].Pool })
	return st
}

// WriteMetrics writes the metrics. Numbers of upstreams are written only by the instance that
// decides, so that the sum over all instances is right.
func (s *Service) WriteMetrics(w io.Writer) {
	st := s.Status()
	deciding := 0
	if st.Deciding {
		deciding = 1
	}
	_, _ = fmt.Fprintf(w, "knapweedwell_scaling_deciding %d\n", deciding)
	for _, c := range []struct {
		result string
		n      int64
	}{{"accepted", st.Counts.Accepted}, {"refused", st.Counts.Refused}, {"failed", st.Counts.Failed}} {
		_, _ = fmt.Fprintf(w, "knapweedwell_scaling_orders_total{result=%q} %d\n", c.result, c.n)
	}
	_, _ = fmt.Fprintf(w, "knapweedwell_scaling_repeated_orders_total %d\n", st.Counts.Repeated)
	for _, d := range st.Pools {
		held := 0
		if d.Hold != "" {
			held = 1
		}
		_, _ = fmt.Fprintf(w, "knapweedwell_scaling_held{pool=%q} %d\n", d.Pool, held)
		_, _ = fmt.Fprintf(w, "knapweedwell_scaling_busy_upstreams{pool=%q} %g\n", d.Pool, d.Busy)
		_, _ = fmt.Fprintf(w, "knapweedwell_scaling_late_share{pool=%q} %g\n", d.Pool, d.Late)
		for _, z := range d.Zones {
			_, _ = fmt.Fprintf(w, "knapweedwell_scaling_needed_upstreams{pool=%q,zone=%q} %d\n", d.Pool, z.Zone, z.Need)
			for kind := range z.Present {
				labels := fmt.Sprintf("{pool=%q,zone=%q,kind=%q}", d.Pool, z.Zone, KindName(kind))
				_, _ = fmt.Fprintf(w, "knapweedwell_scaling_desired_upstreams%s %d\n", labels, z.Desired[kind])
				_, _ = fmt.Fprintf(w, "knapweedwell_scaling_present_upstreams%s %d\n", labels, z.Present[kind])
			}
		}
	}
}
