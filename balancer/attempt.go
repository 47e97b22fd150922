package balancer

import (
	"slices"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

// Attempt is one send of a request to an upstream, from Begin to End.
type Attempt struct {
	picker    *Picker
	pool      *route.Pool
	state     *state
	choice    Choice
	prompt    *request.Prompt
	rank      int
	tokens    int
	sentAt    time.Time
	answering bool // the first token or the answer was received
	heard     bool // the upstream has said that it runs
	gaps      gapStats

	shortestGap bool // as in the request
}

const (
	overdueFactor = 3                      // multiple of the predicted time
	overdueMargin = 400 * time.Millisecond // added to that multiple

	// The margins are added to the observed and the predicted time so that short
	// times give no extreme ratios.
	firstTokenMarginSeconds = 0.02
	serviceMarginSeconds    = 0.01
)

// overdue reports whether no first token was received within overdueFactor times
// the predicted time plus overdueMargin.
func (a *Attempt) overdue(now time.Time) bool {
	return !a.answering && now.Sub(a.sentAt) > overdueFactor*a.choice.Predicted+overdueMargin
}

// Silent reports whether the upstream is probably down or unreachable. Before the
// first token, the token is overdue and nothing was received from the upstream
// since the request was sent; after it, or after Heard, nothing was received for longer than gap.
func (a *Attempt) Silent(now time.Time, gap time.Duration) bool {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	if a.answering || a.heard {
		return now.Sub(a.state.receivedAt) > gap
	}
	return a.overdue(now) && a.state.receivedAt.Before(a.sentAt)
}

// Answering reports whether the first token or the answer was received.
func (a *Attempt) Answering() bool {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	return a.answering
}

// Heard records that the upstream has answered something else, so that it is not silent.
func (a *Attempt) Heard(now time.Time) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.receivedAt, a.heard = now, true
}

// Event records that events of the stream were received.
func (a *Attempt) Event(now time.Time) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.receivedAt = now
	a.gaps.event(now)
}

// Placement is a prompt part that was sent to an upstream. Placements, the parts
// in an upstream's cache and the answer of exchange's Picture.Recall are the same
// records. Package placement, which chooses upstreams, is unrelated to them.
type Placement struct {
	Upstream string
	Part     uint64
	Tokens   int
}

const maxReportedPlacements = 64 // placements in one report

// Begin records that a request is sent to the chosen upstream.
func (p *Picker) Begin(now time.Time, r Request, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, c.Upstream)
	a := &Attempt{picker: p, pool: r.Pool, state: s, choice: c, prompt: r.Prompt, rank: min(max(r.Rank, 0), rankCount-1), sentAt: now}
	s.running++
	if r.Pool.Engine == nil {
		return a
	}
	a.shortestGap = r.ShortestGap
	stats := p.poolStats(r.Pool.Name)
	stats.reservation.begin(r)
	stats.split.begin(now, r, c.Missing)
	a.tokens = r.Prompt.Tokens + r.Prompt.MaxOutputTokens
	s.tokens += a.tokens
	s.pending[a.rank] += c.Missing
	for i, part := range r.Prompt.Parts {
		cached := s.cache.parts[part.ID] != nil
		s.cache.add(part.ID, part.Tokens, r.Pool.Engine.MemoryTokens)
		if !cached && i < len(r.Prompt.Parts)-1 && len(p.placements) < maxReportedPlacements {
			p.placements = append(p.placements, Placement{Upstream: c.Upstream.ID, Part: part.ID, Tokens: part.Tokens})
		}
	}
	return a
}

// Load records the numbers of running and waiting requests that the upstream
// reported.
func (a *Attempt) Load(now time.Time, running, waiting int) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.reportedRunning, a.state.reportedWaiting, a.state.reportedAt = running, waiting, now
}

// First records the first token, or the answer of an upstream that is not an
// engine.
func (a *Attempt) First(now time.Time) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	if a.answering {
		return
	}
	a.answering = true
	a.state.receivedAt = now
	a.state.clearExclusion()
	elapsedSeconds := now.Sub(a.sentAt).Seconds() - a.picker.networkDelaySeconds(a.choice.Upstream.Zone)
	stats := a.picker.poolStats(a.pool.Name)
	if a.pool.Engine == nil {
		return
	}
	a.state.pending[a.rank] -= a.choice.Missing
	// The pool's times are those of a machine of the usual speed.
	stats.observeFirstToken(elapsedSeconds/a.choice.usualSlowdown(), a.choice.Missing, a.choice.Pending == 0)
	predictedSeconds := a.choice.Predicted.Seconds() + firstTokenMarginSeconds
	a.state.observeSlowness(now, (elapsedSeconds+firstTokenMarginSeconds)/predictedSeconds*a.state.slowness(now))
}

// observeWait records that a request has waited in vain for its first token: the upstream is
// at least so slow. A rejected request has not waited.
func (a *Attempt) observeWait(now time.Time, o Outcome) {
	waited := now.Sub(a.sentAt)
	if (o == Abandoned || o == Failed) && waited > a.choice.Predicted {
		a.state.observeSlowness(now, waited.Seconds()/(a.choice.Predicted.Seconds()+firstTokenMarginSeconds)*a.state.slowness(now))
	}
}

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served      Outcome = iota // the answer was received in full
	Rejected                   // the upstream stated that it did not run the request; treated as full
	Failed                     // the upstream failed the request
	Unreachable                // nothing could be sent, or the upstream was silent for too long
	Misplaced                  // another upstream has the address
	Abandoned                  // the caller or the router ended the request
)

// End records the end of the request.
func (a *Attempt) End(now time.Time, o Outcome) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	s := a.state
	s.running--
	s.tokens -= a.tokens
	if !a.answering && a.pool.Engine != nil {
		s.pending[a.rank] -= a.choice.Missing
		a.observeWait(now, o)
	}
	stats := a.picker.poolStats(a.pool.Name)
	if a.pool.Engine != nil {
		stats.reservation.end(a.shortestGap)
	}
	elapsedSeconds := now.Sub(a.sentAt).Seconds()
	switch o {
	case Served:
		s.receivedAt = now
		s.observeOutcome(now, false)
		s.clearExclusion()
		stats.observeServiceTime(elapsedSeconds / a.choice.usualSlowdown())
		stats.observeGaps(now, s, &a.gaps)
		stats.split.observeGaps(s, &a.gaps, stats.reservation.target, eventTokens(a.pool), a.choice.usualSlowdown())
		stats.reservation.observeGap(s, a.gaps.longest)
		if a.pool.Engine == nil {
			expected := stats.serviceSeconds * a.choice.usualSlowdown()
			s.observeSlowness(now, (elapsedSeconds+serviceMarginSeconds)/(expected+serviceMarginSeconds))
		}
	case Rejected:
		s.receivedAt = now
		s.reportedRunning, s.reportedWaiting, s.reportedAt = max(a.choice.Upstream.Slots, 1), 1, now
	case Failed:
		s.observeOutcome(now, true)
	case Unreachable:
		s.observeOutcome(now, true)
		s.exclude(now)
	case Misplaced:
		s.observeOutcome(now, true)
		s.exclude(now)
		s.cache.clear()
	case Abandoned:
	}
}

// Report describes an instance's requests at one upstream to its peers.
type Report struct {
	Upstream    string
	Counts      Counts
	HasGapRatio bool // LogGapRatio is valid
	// LogGapRatio is the natural logarithm of the ratio of the upstream's gap
	// between events to the mean gap of its pool.
	LogGapRatio float64
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
		reports = append(reports, Report{Upstream: id, Counts: c, HasGapRatio: now.Sub(s.ownGapRatio.at) < gapRatioReportLifetime, LogGapRatio: s.ownGapRatio.log})
	}
	placements := p.placements
	p.placements = nil
	return reports, placements
}

// ApplyReport applies the reports and placements of a peer. The reports replace its
// earlier ones. The function memory returns the memory of an upstream's engine in
// tokens, or false if it is not known.
func (p *Picker) ApplyReport(now time.Time, from string, reports []Report, placements []Placement, memory func(upstream string) (int, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.peerStates[from] {
		delete(s.peers, from)
	}
	reported := p.peerStates[from][:0]
	for _, r := range reports {
		if s := p.states[r.Upstream]; s != nil {
			r.Counts.ReceivedAt = now
			s.peers[from] = r.Counts
			reported = append(reported, s)
			if r.HasGapRatio {
				s.peerGapRatios[from] = gapRatio{log: r.LogGapRatio, at: now}
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

// CachedParts returns up to limit cached parts, the least recently used of each
// upstream first, so that adding them in this order gives the same caches.
func (p *Picker) CachedParts(limit int) []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	perUpstream := limit / max(len(p.states), 1)
	var placements []Placement
	for id, s := range p.states {
		var own []Placement
		for e := s.cache.recent.Front(); e != nil && len(own) < perUpstream; e = e.Next() {
			part := e.Value.(*cachedPart)
			own = append(own, Placement{Upstream: id, Part: part.id, Tokens: part.tokens})
		}
		slices.Reverse(own)
		placements = append(placements, own...)
	}
	return placements
}

// RestoreParts adds the cached parts that another instance reported to the caches of the
// upstreams. It is for upstreams without a state in this picker yet.
func (p *Picker) RestoreParts(now time.Time, upstreams []*route.Upstream, placements []Placement, memory func(upstream string) (int, bool)) {
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
