package pick

import (
	"slices"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

// Lease is a request that was sent to an upstream, from Begin to End.
type Lease struct {
	picker  *Picker
	pool    *route.Pool
	state   *state
	choice  Choice
	prompt  *request.Prompt
	rank    int
	tokens  int
	began   time.Time
	started bool // the first token was received
	gaps    gapStats
}

const (
	overdueFactor = 3                      // multiple of the predicted time
	overdueMargin = 400 * time.Millisecond // added to that multiple
)

// overdue reports whether no first token was received within overdueFactor times
// the predicted time and overdueMargin.
func (l *Lease) overdue(now time.Time) bool {
	return !l.started && now.Sub(l.began) > overdueFactor*l.choice.Predicted+overdueMargin
}

// Silent reports whether the upstream is probably down or unreachable. Before the
// first token, the token is overdue and nothing was received from the upstream
// since the request was sent; after it, nothing was received for longer than gap.
func (l *Lease) Silent(now time.Time, gap time.Duration) bool {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	if l.started {
		return now.Sub(l.state.receivedAt) > gap
	}
	return l.overdue(now) && l.state.receivedAt.Before(l.began)
}

// Event records that events of the stream were received.
func (l *Lease) Event(now time.Time) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	l.state.receivedAt = now
	l.gaps.event(now)
}

// Placement records that an upstream reads a prompt part.
type Placement struct {
	Upstream string
	Part     uint64
	Tokens   int
}

const maxReportedPlacements = 64 // placements in one report

// Begin records that a request is sent to the chosen upstream.
func (p *Picker) Begin(now time.Time, a Ask, c Choice) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, c.Upstream)
	l := &Lease{picker: p, pool: a.Pool, state: s, choice: c, prompt: a.Prompt, rank: min(max(a.Rank, 0), maxRank-1), began: now}
	s.running++
	if a.Pool.Engine == nil {
		return l
	}
	l.tokens = a.Prompt.Tokens + a.Prompt.MaxOutput
	s.tokens += l.tokens
	s.pending[l.rank] += c.Missing
	for i, part := range a.Prompt.Parts {
		cached := s.cache.parts[part.ID] != nil
		s.cache.add(part.ID, part.Tokens, a.Pool.Engine.MemoryTokens)
		if !cached && i < len(a.Prompt.Parts)-1 && len(p.placements) < maxReportedPlacements {
			p.placements = append(p.placements, Placement{Upstream: c.Upstream.ID, Part: part.ID, Tokens: part.Tokens})
		}
	}
	return l
}

// Load records the numbers of running and waiting requests that the upstream
// reported.
func (l *Lease) Load(now time.Time, running, waiting int) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	l.state.reportedRunning, l.state.reportedWaiting, l.state.reportedAt = running, waiting, now
}

// First records the first token, or the answer of an upstream that is not an
// engine.
func (l *Lease) First(now time.Time) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	if l.started {
		return
	}
	l.started = true
	l.state.receivedAt = now
	l.state.clearBan()
	took := now.Sub(l.began).Seconds() - l.picker.networkDelay(l.choice.Upstream.Zone)
	stats := l.picker.poolStats(l.pool.Name)
	if l.pool.Engine == nil {
		return
	}
	l.state.pending[l.rank] -= l.choice.Missing
	stats.observeFirstToken(took, l.choice.Missing, l.choice.Pending == 0)
	predicted := l.choice.Predicted.Seconds() + 0.02
	l.state.observeSlowness(now, (took+0.02)/predicted*l.state.slowness(now))
}

// Outcome is the way in which a lease ended.
type Outcome int

// The outcomes of a lease.
const (
	Served      Outcome = iota // the answer was received in full
	Rejected                   // the upstream refused the request because it is full
	Failed                     // the upstream failed the request
	Unreachable                // no connection could be made
	Misplaced                  // another upstream has the address
	Left                       // the caller or the router ended the request
)

// End records the end of the request.
func (l *Lease) End(now time.Time, o Outcome) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	s := l.state
	s.running--
	s.tokens -= l.tokens
	if !l.started && l.pool.Engine != nil {
		s.pending[l.rank] -= l.choice.Missing
	}
	stats := l.picker.poolStats(l.pool.Name)
	took := now.Sub(l.began).Seconds()
	switch o {
	case Served:
		s.receivedAt = now
		s.observeOutcome(now, false)
		s.clearBan()
		stats.observeServiceTime(took)
		stats.observeGaps(now, s, &l.gaps)
		if l.pool.Engine == nil {
			s.observeSlowness(now, (took+0.01)/(stats.serviceTime+0.01))
		}
	case Rejected:
		s.receivedAt = now
		s.reportedRunning, s.reportedWaiting, s.reportedAt = max(l.choice.Upstream.Slots, 1), 1, now
	case Failed:
		s.observeOutcome(now, true)
	case Unreachable:
		s.observeOutcome(now, true)
		s.ban(now)
	case Misplaced:
		s.observeOutcome(now, true)
		s.ban(now)
		s.cache.clear()
	case Left:
	}
}

// Report describes an instance's requests at one upstream to its peers.
type Report struct {
	Upstream string
	Counts   Counts
	Paced    bool    // Pace is valid
	Pace     float64 // natural logarithm of the ratio of its gap between events to the mean gap of its pool
}

// Reports returns a report for each upstream with running requests, and the
// placements since the last call.
func (p *Picker) Reports(now time.Time) ([]Report, []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []Report
	for id, s := range p.states {
		if s.running == 0 {
			continue
		}
		c := Counts{Running: s.running, Tokens: s.tokens}
		for _, tokens := range s.pending {
			c.Pending += tokens
		}
		reports = append(reports, Report{Upstream: id, Counts: c, Paced: now.Sub(s.ownGapRatio.at) < gapRatioReportLifetime, Pace: s.ownGapRatio.log})
	}
	placements := p.placements
	p.placements = nil
	return reports, placements
}

// Told applies the reports and placements of a peer. The reports replace its
// earlier ones. The function memory returns the memory of an upstream's engine in
// tokens, or false if it is not known.
func (p *Picker) Told(now time.Time, from string, reports []Report, placements []Placement, memory func(upstream string) (int, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.peerStates[from] {
		delete(s.peers, from)
	}
	reported := p.peerStates[from][:0]
	for _, r := range reports {
		if s := p.states[r.Upstream]; s != nil {
			r.Counts.At = now
			s.peers[from] = r.Counts
			reported = append(reported, s)
			if r.Paced {
				s.peerGapRatios[from] = gapRatio{log: r.Pace, at: now}
			}
		}
	}
	p.peerStates[from] = reported
	for _, pl := range placements {
		s := p.states[pl.Upstream]
		if m, ok := memory(pl.Upstream); s != nil && ok {
			s.cache.add(pl.Part, pl.Tokens, m)
		}
	}
}

// Remembered returns up to limit cached parts, the least recently used of each
// upstream first, so that adding them in this order gives the same caches.
func (p *Picker) Remembered(limit int) []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	perUpstream := limit / max(len(p.states), 1)
	var placements []Placement
	for id, s := range p.states {
		var own []Placement
		for e := s.cache.recent.Front(); e != nil && len(own) < perUpstream; e = e.Next() {
			part := e.Value.(cachedPart)
			own = append(own, Placement{Upstream: id, Part: part.id, Tokens: part.tokens})
		}
		slices.Reverse(own)
		placements = append(placements, own...)
	}
	return placements
}

// Recall adds the cached parts that another instance reported to the caches of the
// upstreams. It is for upstreams without a state in this picker yet.
func (p *Picker) Recall(now time.Time, upstreams []*route.Upstream, placements []Placement, memory func(upstream string) (int, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*state{}
	for _, u := range upstreams {
		known[u.ID] = p.state(now, u)
	}
	for _, pl := range placements {
		s := known[pl.Upstream]
		if m, ok := memory(pl.Upstream); s != nil && ok {
			s.cache.add(pl.Part, pl.Tokens, m)
		}
	}
}
