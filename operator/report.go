package operator

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"knapweedwell/invariant"
	"knapweedwell/member"
	"knapweedwell/metric"
	"knapweedwell/pool"
	"knapweedwell/trail"
)

const (
	reportMethod  = "Operator.Report"
	explainMethod = "Operator.Explain"
	gatherTimeout = 1500 * time.Millisecond
)

// Report is the state of one instance.
type Report struct {
	Member     member.Member
	State      string
	Revision   int64
	Age        time.Duration // Age is the time since the revision came into force there.
	CutOff     bool
	Running    int
	Tickets    int
	Shards     []pool.View
	Totals     []metric.Totals
	Invariants []invariant.Count
	Reached    bool
}

// Explanation is what an instance remembers of a request.
type Explanation struct {
	Instance string
	Lines    []trail.Line
}

// own returns this instance's report.
func (s *Server) own() Report {
	var self member.Member
	s.Beats.With(func(v *member.View) { self = v.Self })
	r := Report{
		Member:     self,
		State:      self.State.String(),
		Revision:   s.Keeper.Revision(),
		CutOff:     s.Keeper.CutOff(),
		Running:    s.Dispatch.Running(),
		Tickets:    s.Claims.Tickets(),
		Shards:     s.Owners.Views(),
		Totals:     s.Metrics.Totals(),
		Invariants: s.Check.Counts(),
		Reached:    true,
	}
	if snap := s.Keeper.Current(); snap != nil {
		r.Age = time.Since(snap.Since)
	}
	return r
}

// Prepare registers the handlers. It is called before the peer node runs.
func (s *Server) Prepare() {
	s.Peers.Handle(reportMethod, func(context.Context, string, json.RawMessage) (any, error) {
		return s.own(), nil
	})
	s.Peers.Handle(explainMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var id string
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, err
		}
		return Explanation{Instance: s.Self, Lines: s.Trail.Lines(id)}, nil
	})
}

// gather returns the reports of all instances. One that does not answer is
// reported as this instance knows it.
func (s *Server) gather(ctx context.Context) []Report {
	members := s.Beats.Members()
	reports := make([]Report, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Add(1)
		go func() {
			defer wait.Done()
			reports[i] = s.reportOf(ctx, m)
		}()
	}
	wait.Wait()
	return reports
}

func (s *Server) reportOf(ctx context.Context, m member.Member) Report {
	if m.Name == s.Self {
		return s.own()
	}
	unreached := Report{Member: m, State: m.State.String(), Revision: m.Revision}
	if m.State == member.Gone {
		return unreached
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var r Report
	if err := s.Peers.Call(ctx, m.Peer, reportMethod, nil, &r); err != nil {
		return unreached
	}
	return r
}

// explain asks all instances what they remember of a request.
func (s *Server) explain(ctx context.Context, id string) []Explanation {
	var mu sync.Mutex
	var found []Explanation
	var wait sync.WaitGroup
	for _, m := range s.Beats.Members() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			e := s.explainBy(ctx, m, id)
			mu.Lock()
			defer mu.Unlock()
			if len(e.Lines) > 0 {
				found = append(found, e)
			}
		}()
	}
	wait.Wait()
	sort.Slice(found, func(i, j int) bool { return found[i].Lines[0].At.Before(found[j].Lines[0].At) })
	return found
}

func (s *Server) explainBy(ctx context.Context, m member.Member, id string) Explanation {
	if m.Name == s.Self {
		return Explanation{Instance: s.Self, Lines: s.Trail.Lines(id)}
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var e Explanation
	_ = s.Peers.Call(ctx, m.Peer, explainMethod, id, &e)
	return e
}
