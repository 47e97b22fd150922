package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestFairnessUnderOverload guards against sessions and prompt sizes that get no
// service under overload. For a minute it sends twice as many prompts as the
// engines can prefill in time; a refused request is retried once, after its
// Retry-After. The share of served requests of each session must be at least a
// quarter of that of all requests, and that of the largest tenth at least half,
// as the platform's documentation requires for organisations and sizes.
func TestFairnessUnderOverload(t *testing.T) {
	const sessions, small, large = 12, 6000, 40000
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		sim.setFaults("model", runner.Faults{Delay: time.Second})
		var mu sync.Mutex
		var wg sync.WaitGroup
		sent, served := map[string]int{}, map[string]int{}
		sendOnce := func(id string, n, session, tokens int, remaining time.Duration) response {
			return sim.send(request{instance: n % 2, path: "/talk/x?events=1", id: id, header: map[string]string{
				"X-Knapweedwell-Token-Usage":   fmt.Sprintf("%d,10", tokens+2000),
				"X-Knapweedwell-Prompt-Prefix": fmt.Sprintf("%x:2000,%x:%d", 1+session, 1000+n, tokens),
				"X-Knapweedwell-Deadline-Ms":   strconv.FormatInt(remaining.Milliseconds(), 10),
			}})
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for n := range 600 {
			session := rng.IntN(sessions)
			size, tokens := "small", small
			if n%10 == 0 {
				size, tokens = "large", large
			}
			names := []string{"all", size, fmt.Sprintf("session %d", session)}
			wg.Add(1)
			go func() {
				defer wg.Done()
				remaining := 20 * time.Second
				resp := sendOnce(fmt.Sprintf("r%d", n), n, session, tokens, remaining)
				if retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64); err == nil && resp.status == 503 {
					pause := min(time.Duration(retryAfter*float64(time.Second)), remaining/3)
					time.Sleep(pause)
					resp = sendOnce(fmt.Sprintf("r%d again", n), n, session, tokens, remaining-pause)
				}
				mu.Lock()
				defer mu.Unlock()
				for _, name := range names {
					sent[name]++
					if resp.status == 200 {
						served[name]++
					}
				}
			}()
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond)))
		}
		wg.Wait()
		share := func(name string) float64 { return float64(served[name]) / float64(sent[name]) }
		if all := share("all"); all > 0.95 || all < 0.2 {
			t.Errorf("share of served requests %.2f, expected 0.2 to 0.95: no overload, or an outage", all)
		}
		for name := range sent {
			minimum := share("all") / 4
			if name == "large" {
				minimum = share("all") / 2
			}
			if share(name) < minimum {
				t.Errorf("%s: %d of %d requests served, expected a share of at least %.3f with %.2f of all", name, served[name], sent[name], minimum, share("all"))
			}
		}
		t.Logf("served %v of %v", served, sent)
	})
}

// TestOverload sends more long prompts than the engines can prefill within their
// latency target. Some of the least urgent requests are refused within 100 ms,
// as not run and with Retry-After. A retried request, with 18 s instead of 20 s
// to its deadline, may wait longer and is not refused, and a more urgent one
// never is.
func TestOverload(t *testing.T) {
	simulateRoutes(t, 1, func(sim *routeSimulation) {
		sim.urgentRoute = true
		sim.writeRoutes()
		time.Sleep(2 * time.Second)
		sim.setFaults("model", runner.Faults{Delay: 4 * time.Second})
		prompt := func(n int, remaining time.Duration) map[string]string {
			return map[string]string{
				"X-Knapweedwell-Token-Usage": "12000,10", "X-Knapweedwell-Prompt-Prefix": fmt.Sprintf("%x:12000", 1000+n),
				"X-Knapweedwell-Deadline-Ms": strconv.FormatInt(remaining.Milliseconds(), 10),
			}
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		refused := map[string]int{}
		sendPrompt := func(kind, path string, n int, remaining time.Duration) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				start, id := time.Now(), fmt.Sprintf("%s-%d", kind, n)
				resp := sim.send(request{path: path, id: id, header: prompt(n, remaining)})
				if resp.status == 200 {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				refused[kind]++
				if resp.status != 503 || resp.header.Get("Retry-After") == "" || sim.runCount(id) > 0 || time.Since(start) > 100*time.Millisecond {
					t.Errorf("%s: got %d %q after %s and %d runs, expected 503 with Retry-After within 100ms and 0 runs", id, resp.status, resp.body, time.Since(start), sim.runCount(id))
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		for n := range 6 {
			sendPrompt("first", "/talk/x?events=1", n, 20*time.Second)
		}
		sendPrompt("again", "/talk/x?events=1", 100, 18*time.Second)
		for n := range 6 {
			sendPrompt("urgent", "/swift/x?events=1", 200+n, 20*time.Second)
		}
		wg.Wait()
		if refused["first"] == 0 || refused["first"] == 6 || refused["again"] != 0 || refused["urgent"] != 0 {
			t.Errorf("refused %v, expected 1 to 5 of first and none of again or urgent", refused)
		}
	})
}
