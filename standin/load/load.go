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

// Generator sends the requests of a scenario. The exported fields are set
// before Run.
type Generator struct {
	Scenario *Scenario
	Address  string // Address is the caller address of any instance.
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)

	client  *http.Client
	mu      sync.Mutex
	book    *Book
	known   map[string]Addresses // known maps targets to their address answers.
	expires map[string]time.Time
}

// Addresses is an address answer.
type Addresses struct {
	Addresses       []string
	LifetimeSeconds int
	Ticket          string
}

// Run sends all requests and waits for their ends.
func (g *Generator) Run(ctx context.Context) *Book {
	g.client = &http.Client{Transport: &http.Transport{DialContext: g.Dial, MaxIdleConnsPerHost: 256}}
	g.book = newBook(g.Scenario)
	g.known = map[string]Addresses{}
	g.expires = map[string]time.Time{}
	var wait sync.WaitGroup
	for i, s := range g.Scenario.Streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			g.stream(ctx, s, rand.New(rand.NewPCG(g.Scenario.Seed, uint64(i))))
		}()
	}
	wait.Wait()
	g.client.CloseIdleConnections()
	return g.book
}

// stream sends the requests of one class, with exponential gaps.
func (g *Generator) stream(ctx context.Context, s Stream, rnd *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	begin := time.Now()
	for n := 0; ; n++ {
		age := time.Since(begin)
		rate := s.Rate
		if age >= s.BurstFrom && age < s.BurstTo {
			rate *= s.Burst
		}
		gap := time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if age+gap > g.Scenario.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		body := s.body(n, heavy(rnd, s.Tokens))
		wait.Add(1)
		go func() {
			defer wait.Done()
			g.one(ctx, s, body)
		}()
	}
}

// heavy returns a length with the given median and a Pareto tail.
func heavy(rnd *rand.Rand, median int) int {
	return min(int(float64(median)/2*math.Pow(1-rnd.Float64(), -0.5))+median/4+1, median*20)
}

func (s *Stream) body(n, tokens int) []byte {
	if s.Service != "" {
		return []byte(fmt.Sprintf(`{"Booking":"%s-%d"}`, s.Class, n))
	}
	prompt := strings.Repeat("history ", s.Prompt/8)
	text := fmt.Sprintf("%s class %s request %d tokens=%d", prompt, s.Class, n, tokens)
	return []byte(fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, s.Model, s.Streamed, text))
}

// addresses returns the addresses for a target, asked for again once the last
// answer has expired, and a ticket if one is wanted.
func (g *Generator) addresses(ctx context.Context, s Stream) (Addresses, error) {
	target := s.Model + s.Service
	g.mu.Lock()
	a, fresh := g.known[target], time.Now().Before(g.expires[target])
	g.mu.Unlock()
	if fresh && s.Service == "" {
		return a, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address+"/v1/addresses?model="+target, nil)
	if err != nil {
		return a, errors.Wrap(err, "build address request")
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return a, errors.Wrap(err, "ask for addresses")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Addresses) == 0 {
		return a, errors.New("no addresses")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known[target] = a
	g.expires[target] = time.Now().Add(time.Duration(a.LifetimeSeconds) * time.Second)
	return a, nil
}

// one sends one request and books its end.
func (g *Generator) one(ctx context.Context, s Stream, body []byte) {
	begin := time.Now()
	r := Result{Class: s.Class}
	defer func() {
		r.Whole = time.Since(begin)
		g.book.add(s, r)
	}()
	a, err := g.addresses(ctx, s)
	if err != nil {
		r.End = "unreachable"
		return
	}
	req, err := g.request(ctx, s, a, body)
	if err != nil {
		r.End = "unreachable"
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		r.End = "unreachable"
		return
	}
	defer resp.Body.Close()
	r.read(resp, s, begin)
}

func (g *Generator) request(ctx context.Context, s Stream, a Addresses, body []byte) (*http.Request, error) {
	path := "/v1/chat/completions"
	if s.Service != "" {
		path = "/v1/services/" + s.Service + "/book"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addresses[0]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("Knapweedwell-Class", s.Class)
	if s.Service != "" {
		req.Header.Set("Idempotency-Key", a.Ticket)
	}
	return req, nil
}

// read reads an answer to its end.
func (r *Result) read(resp *http.Response, s Stream, begin time.Time) {
	if resp.StatusCode != http.StatusOK {
		r.End = failureType(resp.Body)
		return
	}
	if s.Service != "" || !s.Streamed {
		body, err := io.ReadAll(resp.Body)
		r.First = time.Since(begin)
		r.Tokens = bytes.Count(body, []byte(" w"))
		r.End = endOf(err == nil)
		return
	}
	r.readStream(resp.Body, begin)
}

func endOf(whole bool) string {
	if whole {
		return "ok"
	}
	return "cut"
}

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

func (r *Result) readStream(body io.Reader, begin time.Time) {
	r.End = "cut"
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "event: error":
			r.End = "outcome_unknown"
			return
		case line == "data: [DONE]":
			r.End = "ok"
			return
		case strings.Contains(line, `"content":"w`):
			r.Tokens++
			if r.First == 0 {
				r.First = time.Since(begin)
			}
			r.last = time.Since(begin)
		}
	}
}
