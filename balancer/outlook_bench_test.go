package balancer

import (
	"fmt"
	"testing"
	"time"

	"knapweedwell/request"
	"knapweedwell/route"
)

// BenchmarkChoose300 chooses among 300 engines with a sum of the counts of all peers.
func BenchmarkChoose300(b *testing.B) {
	pool := &route.Pool{Name: "model", Engine: &route.Engine{MemoryTokens: 467889}}
	var us []*route.Upstream
	var reports []Report
	for i := range 300 {
		u := &route.Upstream{ID: fmt.Sprint("u-", i), Pool: "model", Zone: "a", Slots: 48}
		us = append(us, u)
		reports = append(reports, Report{Upstream: u.ID, Counts: Counts{Running: 20, Pending: 5000, Tokens: 90000}})
	}
	p := New("a", map[string]string{"a": "r"})
	now := time.Unix(1000, 0)
	r := Request{Pool: pool, Prompt: &request.Prompt{Tokens: 17020, Parts: []request.Part{{ID: 1, Tokens: 13300}, {ID: 2, Tokens: 3720}}}}
	p.Choose(now, us, r)
	p.ApplyReport(now, "sum", reports, nil, func(string) (int, bool) { return 0, false })
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(now, us, r)
	}
}
