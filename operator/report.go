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
	"knapweedwell/trace"
)

const (
	reportMethod  = "Operator.Report"
	explainMethod = "Operator.Explain"
	peerTimeout   = 1500 * time.Millisecond
)

// Report is the state of one instance. If the instance was not reached, only
// Member, State and Revision are set.
type Report struct {
	Member     member.Member
	State      string
	Revision   int64
	Age        time.Duration // time since the revision came into force on the instance
	CutOff     bool          // whether the instance is isolated; see revision.Manager.Isolated
	Running    int
	Tickets    int
	Shards     []pool.View
	Totals     []metric.Totals
	Invariants []invariant.Count
	Reached    bool
}

// Explanation holds the events that one instance recorded for a request.
type Explanation struct {
	Instance string
	Lines    []trace.Line
}

// ownReport returns the report of this instance.
func (s *Server) ownReport() Report {
	var self member.Member
	s.Heartbeats.With(func(v *member.View) { self = v.Self })
	r := Report{
		Member:     self,
		State:      self.State.String(),
		Revision:   s.Revisions.Revision(),
		CutOff:     s.Revisions.Isolated(),
		Running:    s.Dispatch.Running(),
		Tickets:    s.Claims.TicketCount(),
		Shards:     s.Owners.Views(),
		Totals:     s.Metrics.Totals(),
		Invariants: s.Check.Counts(),
		Reached:    true,
	}
	if snap := s.Revisions.Current(); snap != nil {
		r.Age = time.Since(snap.Since)
	}
	return r
}

// Prepare registers the handlers for calls of other instances. It is called
// before the peer node runs.
func (s *Server) Prepare() {
	s.Peers.Handle(reportMethod, func(context.Context, string, json.RawMessage) (any, error) {
		return s.ownReport(), nil
	})
	s.Peers.Handle(explainMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var id string
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, err
		}
		return Explanation{Instance: s.Self, Lines: s.Trace.Lines(id)}, nil
	})
}

// collectReports returns the reports of all instances. For an instance that does
// not answer, the report holds the member entry that this instance has of it.
func (s *Server) collectReports(ctx context.Context) []Report {
	members := s.Heartbeats.Members()
	reports := make([]Report, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reports[i] = s.reportOf(ctx, m)
		}()
	}
	wg.Wait()
	return reports
}

func (s *Server) reportOf(ctx context.Context, m member.Member) Report {
	if m.Name == s.Self {
		return s.ownReport()
	}
	unreached := Report{Member: m, State: m.State.String(), Revision: m.Revision}
	if m.State == member.Gone {
		return unreached
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var r Report
	if err := s.Peers.Call(ctx, m.Peer, reportMethod, nil, &r); err != nil {
		return unreached
	}
	return r
}

// collectExplanations returns the events that the instances recorded for a
// request, by the time of the first event. Instances that do not answer or have
// no event are left out.
func (s *Server) collectExplanations(ctx context.Context, id string) []Explanation {
	var mu sync.Mutex
	var found []Explanation
	var wg sync.WaitGroup
	for _, m := range s.Heartbeats.Members() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := s.explanationOf(ctx, m, id)
			mu.Lock()
			defer mu.Unlock()
			if len(e.Lines) > 0 {
				found = append(found, e)
			}
		}()
	}
	wg.Wait()
	sort.Slice(found, func(i, j int) bool { return found[i].Lines[0].At.Before(found[j].Lines[0].At) })
	return found
}

func (s *Server) explanationOf(ctx context.Context, m member.Member, id string) Explanation {
	if m.Name == s.Self {
		return Explanation{Instance: s.Self, Lines: s.Trace.Lines(id)}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var e Explanation
	_ = s.Peers.Call(ctx, m.Peer, explainMethod, id, &e)
	return e
}
