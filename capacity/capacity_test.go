// Package capacity holds the benchmarks behind docs/CAPACITY.md. They measure how
// each cost of control grows with the size of the system.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/claim"
	"knapweedwell/config"
	"knapweedwell/heartbeat"
	"knapweedwell/invariant"
	"knapweedwell/member"
	"knapweedwell/metric"
	"knapweedwell/peer"
	"knapweedwell/pool"
	"knapweedwell/shard"
	"knapweedwell/standin/fleet"
)

var configSizes = []fleet.Size{{Organisations: 10, Upstreams: 13}, {Organisations: 100, Upstreams: 400}, {Organisations: 490, Upstreams: 1800}}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkConfiguration parses and checks a configuration and plans its shards.
func BenchmarkConfiguration(b *testing.B) {
	for _, s := range configSizes {
		b.Run(fmt.Sprintf("organisations=%d,upstreams=%d", s.Organisations, s.Upstreams), func(b *testing.B) {
			text := fleet.ConfigurationText(s, 0)
			before := heapBytes()
			var c *config.Config
			var p *shard.Plan
			for range b.N {
				var err error
				if c, err = config.Parse("x", text); err != nil {
					b.Fatal(err)
				}
				p = shard.New(c)
			}
			b.StopTimer()
			b.ReportMetric(float64(heapBytes()-before), "kept-B")
			b.ReportMetric(float64(len(text)), "text-B")
			runtime.KeepAlive(c)
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkShardSettings puts a configuration in force in one shard.
func BenchmarkShardSettings(b *testing.B) {
	for _, s := range configSizes {
		b.Run(fmt.Sprintf("organisations=%d,upstreams=%d", s.Organisations, s.Upstreams), func(b *testing.B) {
			c, err := config.Parse("x", fleet.ConfigurationText(s, 0))
			if err != nil {
				b.Fatal(err)
			}
			p := shard.New(c)
			planned := p.ByName[p.Names()[0]]
			now := time.Now()
			sh := pool.New(planned.Name, pool.Tiered, &invariant.Checker{}, now)
			for i := range b.N {
				sh.Configure(now, p.Settings(planned, c, int64(i+1)))
			}
		})
	}
}

// newView returns a view of n members.
func newView(n int) *member.View {
	v := member.New(newMember(0))
	for i := 1; i < n; i++ {
		v.Merge(time.Now(), newMember(i))
	}
	return v
}

func newMember(i int) member.Member {
	return member.Member{
		Name: fmt.Sprintf("entry-%d", i), Incarnation: time.Now().UnixNano(), Beat: int64(i), State: member.Live,
		Region: fmt.Sprintf("Region-%d", i%2), Zone: fmt.Sprintf("Zone-%d", i%7), Revision: 12345,
		Peer: "10.100.100.100:7002", Caller: "10.100.100.100:7001", Operator: "10.100.100.100:7003",
	}
}

var fleetSizes = []int{7, 100, 680}

// BenchmarkMembership measures one round of heartbeats: one tick of the view and
// one merge of each neighbour's beat.
func BenchmarkMembership(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			before := heapBytes()
			v := newView(n)
			retained := float64(heapBytes()-before) / float64(n)
			now := time.Now()
			b.ResetTimer()
			for i := range b.N {
				v.Tick(now)
				for _, m := range v.Neighbours() {
					m.Beat = int64(1000 + i)
					v.Merge(now, m)
				}
			}
			b.ReportMetric(retained, "B/member")
			runtime.KeepAlive(v)
		})
	}
}

// BenchmarkOwner looks up the owner of one shard.
func BenchmarkOwner(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			v := newView(n)
			b.ResetTimer()
			for i := range b.N {
				v.Owner(fmt.Sprintf("Model-1/Region-0/%d", i%75), "Region-0")
			}
		})
	}
}

// newNode runs a peer that answers each request with a grant.
func newNode(b *testing.B, name string) *peer.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &peer.Node{Name: name, Address: "127.0.0.1:0", Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log}
	n.Handle("Grant", func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req pool.GrantRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return pool.Grant{ID: req.ID, Upstream: "Upstream-1"}, nil
	})
	if err := n.Run(nil); err != nil {
		b.Fatal(err)
	}
	return n
}

// BenchmarkRemoteGrant measures one request and its grant over a connection
// between two instances, including both ends.
func BenchmarkRemoteGrant(b *testing.B) {
	x, y := newNode(b, "x"), newNode(b, "y")
	defer x.Close()
	defer y.Close()
	req := pool.GrantRequest{ID: "2f1e1d8a-7d1c-4b1f-8f57-0d9f60c1d1b1", Holder: "entry-1", Class: "Class-1", Organisation: "Organisation-1", Arrived: time.Now(), Expires: time.Now()}
	var g pool.Grant
	if err := x.Call(context.Background(), y.Address, "Grant", req, &g); err != nil {
		b.Fatal(err)
	}
	sent, received := x.Bytes()
	b.ResetTimer()
	for range b.N {
		if err := x.Call(context.Background(), y.Address, "Grant", req, &g); err != nil {
			b.Fatal(err)
		}
	}
	s, r := x.Bytes()
	b.ReportMetric(float64(s+r-sent-received)/float64(b.N), "wire-B/op")
}

// BenchmarkTicket issues, takes and finishes one ticket in a table that holds a
// number of records.
func BenchmarkTicket(b *testing.B) {
	for _, n := range []int{100, 10000, 100000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			now := time.Now()
			before := heapBytes()
			t := claim.NewTable("entry-1@1", now)
			takeAndFinish := func() {
				c := claim.Claim{Organisation: "Organisation-1", Key: t.Issue(now), Nonce: "1"}
				t.Take(now, c)
				t.Finish(c, claim.Outcome{Status: 200, Body: make([]byte, 200)})
			}
			for range n {
				takeAndFinish()
			}
			retained := float64(heapBytes()-before) / float64(n)
			b.ResetTimer()
			for range b.N {
				takeAndFinish()
			}
			b.ReportMetric(retained, "B/record")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkMetrics observes one request in a registry with series for a number
// of organisations.
func BenchmarkMetrics(b *testing.B) {
	for _, n := range []int{10, 100, 490} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before := heapBytes()
			r := metric.New()
			s := metric.Sample{Result: "ok", FirstToken: time.Second, MeanGap: 40 * time.Millisecond, Whole: 9 * time.Second, Tokens: 100, Attained: true}
			observe := func(i int) {
				s.Class, s.Organisation = fmt.Sprintf("Class-%d", i%7), fmt.Sprintf("Organisation-%d", i%n)
				s.FirstToken = time.Duration(1+i%1000) * time.Millisecond
				r.Observe(s)
			}
			for i := range 50 * n {
				observe(i)
			}
			retained := float64(heapBytes()-before) / float64(n+7)
			b.ResetTimer()
			for i := range b.N {
				observe(i)
			}
			b.ReportMetric(retained, "B/series-owner")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkBeatBytes reports the size in bytes of one heartbeat that carries no
// changes.
func BenchmarkBeatBytes(b *testing.B) {
	var text []byte
	for range b.N {
		var err error
		if text, err = json.Marshal(heartbeat.Beat{Pulse: newMember(1).Pulse()}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/beat")
}

// BenchmarkShardBytes reports the heap memory of a shard per request, waiting or
// granted.
func BenchmarkShardBytes(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("asks=%d", n), func(b *testing.B) {
			var retained float64
			for range b.N {
				before := heapBytes()
				now := time.Now()
				s := pool.New("shard", pool.Tiered, &invariant.Checker{}, now)
				s.Configure(now, pool.Settings{
					Revision: 1, QueueLimit: n + 1, Classes: []pool.Class{{Name: "C", Rank: 1, Weight: 1, Floor: 0.01, Target: time.Second}},
					Upstreams: []pool.UpstreamSettings{{Name: "u", Concurrency: 1}},
				})
				for i := range n {
					s.RequestGrant(now, pool.GrantRequest{ID: fmt.Sprintf("%036d", i), Holder: "entry-1", Class: "C", Organisation: "O", Rank: 1, Arrived: now, Expires: now.Add(time.Minute)})
				}
				retained = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(retained, "B/ask")
		})
	}
}
