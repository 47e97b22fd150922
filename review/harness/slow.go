package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	promptTime   = 600 * time.Millisecond // to the first event of a prompt of 33,000 tokens, 54.6 a millisecond
	eventTime    = 30 * time.Millisecond
	slowFactor   = 5 // x of srv_slow
	slowTime     = 6500 * time.Millisecond
	modelRunners = 7 // one is slow: share .16
	learnTime    = 20 * time.Second
	overlapLimit = 400 * time.Millisecond
	planTimeout  = 12 * time.Second
)

// span is the time in which a runner worked on a request.
type span struct {
	from, to time.Time
}

// steadyRunner serves streams and goes on with them when the connection closes, as some runners
// do.
type steadyRunner struct {
	id string

	mu     sync.Mutex
	factor time.Duration // by which its work takes longer
	spans  map[string]span
}

// ServeHTTP serves one request, or the report.
func (s *steadyRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Knapweedwell-Expected-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/report" {
		_, _ = io.WriteString(w, `{"queued":0,"active":1}`)
		return
	}
	id := r.Header.Get("X-Knapweedwell-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	factor := s.factor
	s.mu.Unlock()
	from := time.Now()
	time.Sleep(factor * promptTime)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Knapweedwell-Request-Id", id)
	h.Set("X-Knapweedwell-Response-Signature", "3e1b.07."+id)
	controller := http.NewResponseController(w)
	for n := last + 1; n <= 4*streamEvents; n++ {
		_, _ = io.WriteString(w, event(n))
		_ = controller.Flush()
		time.Sleep(factor * eventTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans[id] = span{from, time.Now()}
}

func (s *steadyRunner) setFactor(f time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = f
}

// served returns the number of requests that the runner has ended.
func (s *steadyRunner) served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.spans)
}

// runSlow makes one runner slow for some seconds and looks for streams on which two runners work
// at once. It is no case of the report, but an entry that was tried.
func runSlow(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{
		"name": "plan-model", "health_path": "/health", "max_connections": 360,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 681116, "stride": 3},
	}}
	var runners []*steadyRunner
	for n := range modelRunners {
		s := &steadyRunner{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), factor: 1, spans: map[string]span{}}
		if err := w.addUpstream("plan-model", s.id, s); err != nil {
			return false, err
		}
		runners = append(runners, s)
	}
	route := routeOf("/lohu930/", "stream", "plan-model", planTimeout)
	route["resumable"], route["gap_target_ms"], route["sticky"], route["target_latency_ms"] = true, 800, true, 2000
	w.configure([]map[string]any{route}, services, []string{oldKey})
	if err := w.startFleet(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(learnTime + slowTime)
	for c, i := range w.instances {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := sendPrompt(i, fmt.Sprintf("%x:19900,%x:13100", 1000*c+n+1, 500000+1000*c+n))
				w.mu.Lock()
				w.sent = append(w.sent, sent{answer: a, to: i.name})
				w.mu.Unlock()
			}
		})
	}
	time.Sleep(learnTime)
	busiest := runners[0]
	for _, s := range runners {
		if s.served() > busiest.served() {
			busiest = s
		}
	}
	if trouble {
		busiest.setFactor(slowFactor)
		w.logf("runner %s is slow", busiest.id)
	}
	time.Sleep(slowTime)
	busiest.setFactor(1)
	wg.Wait()
	time.Sleep(slowFactor * (promptTime + 4*streamEvents*eventTime)) // until all have ended
	return judgeSlow(w, runners), nil
}

// sendPrompt sends a request for a stream with the given parts of its prompt.
func sendPrompt(to *instance, parts string) answer {
	return sendWith(to, http.MethodPost, "/lohu930/2f", oldKey, planTimeout, nil, map[string]string{
		"X-Knapweedwell-Model": "m", "X-Knapweedwell-Token-Usage": "33000,120", "X-Knapweedwell-Prompt-Prefix": parts,
	})
}

// judgeSlow reports whether a runner still worked on a request for longer than the limit after
// another one had begun with it.
func judgeSlow(w *world, runners []*steadyRunner) bool {
	broken := 0
	for _, s := range w.sent {
		var runs []span
		for _, r := range runners {
			if run, ok := r.spans[s.id]; ok {
				runs = append(runs, run)
				w.logf("caller: %s sent to %s; runner %s worked on it from %v to %v", s.id, s.to, r.id, run.from.Sub(s.sentAt), run.to.Sub(s.sentAt))
			}
		}
		for _, first := range runs {
			for _, second := range runs {
				if second.from.After(first.from) && first.to.Sub(second.from) > overlapLimit {
					broken++
				}
			}
		}
	}
	w.logf("%d of %d streams on which two runners worked at once", broken, len(w.sent))
	return broken > 0
}
