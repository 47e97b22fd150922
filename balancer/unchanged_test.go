package balancer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/request"
	"knapweedwell/route"
)

// playChoices plays 3,000 requests of two classes with a seeded source and returns the
// indexes of the chosen upstreams, 50 a line.
func playChoices(p *Picker) string {
	rng := rand.New(rand.NewPCG(7, 11))
	p.Random = rand.New(rand.NewPCG(3, 5)).Float64
	now := time.Unix(1000, 0)
	pool := &route.Pool{Name: "model", Engine: &route.Engine{Slots: 8, MemoryTokens: 400000}}
	us, index := upstreams(24), map[string]int{}
	for i, u := range us {
		index[u.ID] = i
		if i%3 == 0 {
			u.Zone = "far"
		}
	}
	p.Connected(us[0], 12*time.Millisecond)
	type running struct {
		attempt *Attempt
		firstAt time.Time
		events  int
		long    bool
	}
	var open []*running
	var b strings.Builder
	for n := range 3000 {
		now = now.Add(time.Duration(rng.IntN(12)) * time.Millisecond)
		rest := open[:0]
		for _, o := range open {
			for ; o.events > 0 && !o.firstAt.After(now); o.events-- {
				o.attempt.First(o.firstAt)
				o.attempt.Event(o.firstAt)
				gap := 20 + rng.IntN(60)
				if o.long {
					gap += rng.IntN(300)
				}
				o.firstAt = o.firstAt.Add(time.Duration(gap) * time.Millisecond)
			}
			if o.events > 0 {
				rest = append(rest, o)
				continue
			}
			o.attempt.Load(o.firstAt, rng.IntN(6), 0)
			o.attempt.End(now, []Outcome{Served, Served, Served, Served, Abandoned, Rejected}[rng.IntN(6)])
		}
		open = rest
		long := rng.IntN(2) == 0
		r := Request{Pool: pool, Rank: rng.IntN(3), GapAim: 200 * time.Millisecond, ShortestGap: !long, Prompt: &request.Prompt{
			Parts:  []request.Part{{ID: uint64(rng.IntN(12)), Tokens: 350}, {ID: rng.Uint64(), Tokens: 1110}},
			Tokens: 1460, MaxOutputTokens: 172,
		}}
		if long {
			r.GapAim, r.Prompt = 800*time.Millisecond, &request.Prompt{
				Parts:  []request.Part{{ID: uint64(100 + rng.IntN(40)), Tokens: 6300}, {ID: rng.Uint64(), Tokens: 2890}},
				Tokens: 9190, MaxOutputTokens: 52,
			}
		}
		c, ok := p.Choose(now, us, r)
		if !ok {
			b.WriteString("-")
			continue
		}
		fmt.Fprintf(&b, "%d", index[c.Upstream.ID])
		b.WriteString(map[bool]string{true: "\n", false: " "}[n%50 == 49])
		open = append(open, &running{attempt: p.Begin(now, r, c), firstAt: now.Add(c.Predicted + time.Duration(rng.IntN(40))*time.Millisecond), events: 5, long: long})
	}
	return b.String()
}

// TestChoicesUnchanged plays the same requests with the same random source on this code and
// compares with the choices that were recorded on the code before the strict split. It
// guards deployments whose upstreams state no speed and that set no feature.
func TestChoicesUnchanged(t *testing.T) {
	got := playChoices(newPicker())
	if os.Getenv("RECORD_CHOICES") != "" {
		assert.NilError(t, os.WriteFile("testdata/choices.txt", []byte(got), 0o600))
	}
	want, err := os.ReadFile("testdata/choices.txt")
	assert.NilError(t, err)
	assert.Equal(t, got, string(want))
}
