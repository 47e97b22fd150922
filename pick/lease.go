package pick

import (
	"slices"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

// Lease is one request that was sent to an upstream, until its end.
type Lease struct {
	picker  *Picker
	pool    *route.Pool
	state   *state
	choice  Choice
	prompt  *request.Prompt
	rank    int
	tokens  int
	begun   time.Time
	started bool // started tells that the first token came.
	pauses  pauses
}

const (
	overdueFactor = 3                      // overdueFactor is how many times the predicted wait may pass before a request is overdue.
	overdueMargin = 400 * time.Millisecond // overdueMargin is added to that.
)

// overdue reports whether the first token should have come long ago.
func (l *Lease) overdue(now time.Time) bool {
	return !l.started && now.Sub(l.begun) > overdueFactor*l.choice.Predicted+overdueMargin
}

// Silent reports whether the upstream is likely not to run or not to be reached:
// the first token is overdue and nothing was heard of the upstream since the
// request was sent, or nothing for the time in which an event should have come.
func (l *Lease) Silent(now time.Time, gap time.Duration) bool {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	if l.started {
		return now.Sub(l.state.heard) > gap
	}
	return l.overdue(now) && l.state.heard.Before(l.begun)
}

// Event notes that the upstream sent events of the stream.
func (l *Lease) Event(now time.Time) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	l.state.heard = now
	l.pauses.event(now)
}

// Placement tells that an upstream reads a part.
type Placement struct {
	Upstream string
	Part     uint64
	Tokens   int
}

const maxPlaced = 64 // maxPlaced bounds the placements told in one report.

// Begin notes that a request goes to the chosen upstream.
func (p *Picker) Begin(now time.Time, a Ask, c Choice) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, c.Upstream)
	l := &Lease{picker: p, pool: a.Pool, state: s, choice: c, prompt: a.Prompt, rank: min(max(a.Rank, 0), maxRank-1), begun: now}
	s.running++
	if a.Pool.Engine == nil {
		return l
	}
	l.tokens = a.Prompt.Tokens + a.Prompt.MaxOutput
	s.tokens += l.tokens
	s.pending[l.rank] += c.Missing
	for i, part := range a.Prompt.Parts {
		known := s.cache.parts[part.ID] != nil
		s.cache.add(part.ID, part.Tokens, a.Pool.Engine.MemoryTokens)
		if !known && i < len(a.Prompt.Parts)-1 && len(p.placed) < maxPlaced {
			p.placed = append(p.placed, Placement{Upstream: c.Upstream.ID, Part: part.ID, Tokens: part.Tokens})
		}
	}
	return l
}

// Load notes what an upstream said of the requests that it has.
func (l *Lease) Load(now time.Time, running, waiting int) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	l.state.headerRunning, l.state.headerWaiting, l.state.headerAt = running, waiting, now
}

// First notes the first token, or the answer of a plain service.
func (l *Lease) First(now time.Time) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	if l.started {
		return
	}
	l.started = true
	l.state.heard = now
	l.state.cleared()
	took := now.Sub(l.begun).Seconds() - l.picker.distance(l.choice.Upstream.Zone)
	le := l.picker.pool(l.pool.Name)
	if l.pool.Engine == nil {
		return
	}
	l.state.pending[l.rank] -= l.choice.Missing
	le.first(took, l.choice.Missing, l.choice.Pending == 0)
	predicted := l.choice.Predicted.Seconds() + 0.02
	l.state.observeSlowness(now, (took+0.02)/predicted*l.state.slowness(now))
}

// Outcome is how a lease ended.
type Outcome int

// The outcomes of a lease.
const (
	Served      Outcome = iota // Served means a whole answer.
	Rejected                   // Rejected means that the upstream refused the request because it is full.
	Failed                     // Failed means that the upstream failed the request.
	Unreachable                // Unreachable means that no connection could be made.
	Misplaced                  // Misplaced means that another upstream has the address.
	Left                       // Left means that the caller or the router ended the request.
)

// End notes the end of the request.
func (l *Lease) End(now time.Time, o Outcome) {
	l.picker.mu.Lock()
	defer l.picker.mu.Unlock()
	s := l.state
	s.running--
	s.tokens -= l.tokens
	if !l.started && l.pool.Engine != nil {
		s.pending[l.rank] -= l.choice.Missing
	}
	le := l.picker.pool(l.pool.Name)
	took := now.Sub(l.begun).Seconds()
	switch o {
	case Served:
		s.heard = now
		s.observeOutcome(now, false)
		s.cleared()
		le.ended(took)
		le.streamed(now, s, &l.pauses)
		if l.pool.Engine == nil {
			s.observeSlowness(now, (took+0.01)/(le.hold+0.01))
		}
	case Rejected:
		s.heard = now
		s.headerRunning, s.headerWaiting, s.headerAt = max(l.choice.Upstream.Slots, 1), 1, now
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

// Report is what an instance tells its peers of its requests at one upstream.
type Report struct {
	Upstream string
	Counts   Counts
	Paced    bool    // Paced tells that the instance has seen the upstream's pace.
	Pace     float64 // Pace is the logarithm of its time for an event against other upstreams.
}

// Reports returns what has to be told, and the placements since the last call.
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
		reports = append(reports, Report{Upstream: id, Counts: c, Paced: now.Sub(s.own.at) < paceLifetime, Pace: s.own.log})
	}
	placed := p.placed
	p.placed = nil
	return reports, placed
}

// Told takes in what a peer told.
func (p *Picker) Told(now time.Time, from string, reports []Report, placed []Placement, memory func(upstream string) (int, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.counted[from] {
		delete(s.peers, from)
	}
	counted := p.counted[from][:0]
	for _, r := range reports {
		if s := p.states[r.Upstream]; s != nil {
			r.Counts.At = now
			s.peers[from] = r.Counts
			counted = append(counted, s)
			if r.Paced {
				s.paces[from] = pace{log: r.Pace, at: now}
			}
		}
	}
	p.counted[from] = counted
	for _, pl := range placed {
		s := p.states[pl.Upstream]
		if m, ok := memory(pl.Upstream); s != nil && ok {
			s.cache.add(pl.Part, pl.Tokens, m)
		}
	}
}

// Remembered returns up to limit parts that are believed to lie at upstreams,
// the least lately used of each upstream first, so that taking them in again in
// this order gives the same picture.
func (p *Picker) Remembered(limit int) []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	each := limit / max(len(p.states), 1)
	var placed []Placement
	for id, s := range p.states {
		var own []Placement
		for e := s.cache.recent.Front(); e != nil && len(own) < each; e = e.Next() {
			h := e.Value.(held)
			own = append(own, Placement{Upstream: id, Part: h.id, Tokens: h.tokens})
		}
		slices.Reverse(own)
		placed = append(placed, own...)
	}
	return placed
}

// Recall takes over what another instance remembers of upstreams that are not
// known here yet.
func (p *Picker) Recall(now time.Time, upstreams []*route.Upstream, placed []Placement, memory func(upstream string) (int, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*state{}
	for _, u := range upstreams {
		known[u.ID] = p.state(now, u)
	}
	for _, pl := range placed {
		s := known[pl.Upstream]
		if m, ok := memory(pl.Upstream); s != nil && ok {
			s.cache.add(pl.Part, pl.Tokens, m)
		}
	}
}
