package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Generator sends the requests of a scenario to the instances that own their
// targets. The exported fields are set before Run.
type Generator struct {
	Scenario *Scenario
	Address  string // caller address of any instance
	// Dial opens connections. If it is nil, the default dialer does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client  *http.Client
	mu      sync.Mutex
	results *Results
	cached  map[string]Addresses // address answers by target
	expires map[string]time.Time // expiry times of these answers
}

// Addresses is an address answer. Ticket is the idempotency key of one service
// call.
type Addresses struct {
	Addresses       []string
	LifetimeSeconds int
	Ticket          string
}

// Run sends all requests of the scenario, waits until they have ended and
// returns the results. If ctx is done, it stops sending and cancels the requests
// in progress.
func (g *Generator) Run(ctx context.Context) *Results {
	g.client = &http.Client{Transport: &http.Transport{DialContext: g.Dial, MaxIdleConnsPerHost: 256}}
	g.results = newResults(g.Scenario)
	g.cached = map[string]Addresses{}
	g.expires = map[string]time.Time{}
	var wg sync.WaitGroup
	for i, l := range g.Scenario.Loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.generate(ctx, l, rand.New(rand.NewPCG(g.Scenario.Seed, uint64(i))))
		}()
	}
	wg.Wait()
	g.client.CloseIdleConnections()
	return g.results
}

// generate sends the requests of one class, with exponentially distributed gaps,
// and waits until they have ended.
func (g *Generator) generate(ctx context.Context, l ClassLoad, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for n := 0; ; n++ {
		age := time.Since(start)
		rate := l.Rate
		if age >= l.BurstFrom && age < l.BurstTo {
			rate *= l.Burst
		}
		gap := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if age+gap > g.Scenario.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		body := l.body(n, answerLength(rng, l.Tokens))
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.send(ctx, l, body)
		}()
	}
}

// answerLength returns a random answer length in tokens with about the given
// median and a Pareto tail of shape 2, bounded by 20 times the median.
func answerLength(rng *rand.Rand, median int) int {
	return min(int(float64(median)/2*math.Pow(1-rng.Float64(), -0.5))+median/4+1, median*20)
}

// body returns the body of the n-th request: a booking for a service, otherwise
// a chat request whose prompt sets the length of the answer in tokens.
func (l *ClassLoad) body(n, tokens int) []byte {
	if l.Service != "" {
		return []byte(fmt.Sprintf(`{"Booking":"%s-%d"}`, l.Class, n))
	}
	prompt := strings.Repeat("history ", l.PromptBytes/8)
	text := fmt.Sprintf("%s class %s request %d tokens=%d", prompt, l.Class, n, tokens)
	return []byte(fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, l.Model, l.Streamed, text))
}

// addresses returns the addresses of the load's target. It requests them again
// once the cached address answer has expired, and for each service call, which
// needs a ticket of its own.
func (g *Generator) addresses(ctx context.Context, l ClassLoad) (Addresses, error) {
	target := l.Model + l.Service
	g.mu.Lock()
	a, fresh := g.cached[target], time.Now().Before(g.expires[target])
	g.mu.Unlock()
	if fresh && l.Service == "" {
		return a, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address+"/v1/addresses?model="+target, nil)
	if err != nil {
		return a, errors.Wrap(err, "build address request")
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return a, errors.Wrap(err, "request addresses")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Addresses) == 0 {
		return a, errors.Errorf("addresses of %q: expected a JSON object with at least one address", target)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cached[target] = a
	g.expires[target] = time.Now().Add(time.Duration(a.LifetimeSeconds) * time.Second)
	return a, nil
}

// send sends one request and records its result.
func (g *Generator) send(ctx context.Context, l ClassLoad, body []byte) {
	start := time.Now()
	r := Result{Class: l.Class}
	defer func() {
		r.Whole = time.Since(start)
		g.results.add(l, r)
	}()
	a, err := g.addresses(ctx, l)
	if err != nil {
		r.Outcome = "unreachable"
		return
	}
	req, err := g.request(ctx, l, a, body)
	if err != nil {
		r.Outcome = "unreachable"
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		r.Outcome = "unreachable"
		return
	}
	defer resp.Body.Close()
	r.read(resp, l, start)
}

// request returns the HTTP request for the first of the addresses.
func (g *Generator) request(ctx context.Context, l ClassLoad, a Addresses, body []byte) (*http.Request, error) {
	path := "/v1/chat/completions"
	if l.Service != "" {
		path = "/v1/services/" + l.Service + "/book"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addresses[0]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+l.Key)
	req.Header.Set("Knapweedwell-Class", l.Class)
	if l.Service != "" {
		req.Header.Set("Idempotency-Key", a.Ticket)
	}
	return req, nil
}

// read reads an answer to its end and sets the outcome, times and tokens.
func (r *Result) read(resp *http.Response, l ClassLoad, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		r.Outcome = failureType(resp.Body)
		return
	}
	if l.Service != "" || !l.Streamed {
		body, err := io.ReadAll(resp.Body)
		r.FirstToken = time.Since(start)
		r.Tokens = completionTokens(body)
		r.Outcome = outcome(err == nil)
		return
	}
	r.readStream(resp.Body, start)
}

// completionTokens returns the number of tokens that a whole answer states, zero if it
// states none.
func completionTokens(body []byte) int {
	var a struct {
		Usage struct {
			Tokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0
	}
	return a.Usage.Tokens
}

// outcome returns the outcome of an answer that is not streamed.
func outcome(complete bool) string {
	if complete {
		return "ok"
	}
	return "cut"
}

// failureType returns the type in an error body, or "failed" if it has none.
func failureType(body io.Reader) string {
	var f struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&f); err != nil || f.Error.Type == "" {
		return "failed"
	}
	return f.Error.Type
}

// readStream reads a stream of events up to its end mark or an error event. A
// stream without either has the outcome "cut".
func (r *Result) readStream(body io.Reader, start time.Time) {
	r.Outcome = "cut"
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "event: error":
			r.Outcome = "outcome_unknown"
			return
		case line == "data: [DONE]":
			r.Outcome = "ok"
			return
		case strings.Contains(line, `"content":"w`):
			r.Tokens++
			if r.FirstToken == 0 {
				r.FirstToken = time.Since(start)
			}
			r.last = time.Since(start)
		}
	}
}
