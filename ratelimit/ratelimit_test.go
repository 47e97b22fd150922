package ratelimit

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"knapweedwell/member"
	"knapweedwell/route"
)

const window = 4 * time.Second // in which the requests to a limited upstream are counted

// fleet is a number of instances that know each other.
type fleet struct {
	members []member.Member
	limits  []*Limits
}

func newFleet(n int) *fleet {
	f := &fleet{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	regions := map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}
	for i := range n {
		f.members = append(f.members, member.Member{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint("z", i%3), State: member.Live})
		f.limits = append(f.limits, &Limits{Self: f.members[i].Name, Regions: regions, Members: func() []member.Member { return f.members }, Log: log})
	}
	return f
}

// play lets each instance try to send to the upstream twenty times a second on average, and
// returns the largest number of requests in a window.
func (f *fleet) play(now time.Time, length time.Duration, u *route.Upstream) int {
	step := 50 * time.Millisecond / time.Duration(len(f.limits))
	var sent []time.Time
	random := rand.New(rand.NewPCG(1, 2))
	most := 0
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		l := f.limits[random.IntN(len(f.limits))]
		if len(l.Exhausted(now, []*route.Upstream{u}, 0)) > 0 || !l.Take(now, u, 0) {
			continue
		}
		sent = append(sent, now)
		for now.Sub(sent[0]) > window {
			sent = sent[1:]
		}
		most = max(most, len(sent))
	}
	return most
}

// TestLimitAcrossInstances checks the bound of the package comment for fleets up to the size
// to design for, and that the instances use the limit.
func TestLimitAcrossInstances(t *testing.T) {
	for _, n := range []int{1, 7, 76, 300, 680} {
		for _, named := range []float64{0, 0.3, 1, 3, 4.33, 40, 400} {
			t.Run(fmt.Sprintf("%d instances, %v a second", n, named), func(t *testing.T) {
				t.Parallel()
				f, now := newFleet(n), time.Unix(1000, 0)
				u := &route.Upstream{ID: "u", Pool: "p", Zone: "z1", Born: 5}
				for _, l := range f.limits {
					l.Observe(now, u, true, named)
				}
				got := f.play(now, 12*time.Second, u)
				seconds := window.Seconds()
				assert.Assert(t, float64(got) <= named*seconds+named+1+minRate*seconds, "%d requests in %s", got, window)
				if named >= 1 && named < 10*float64(n) {
					assert.Assert(t, float64(got) >= 0.7*named*seconds, "%d requests in %s", got, window)
				}
			})
		}
	}
}

// TestDifferentViews checks the bound if an instance has left that only some of the others
// know of.
func TestDifferentViews(t *testing.T) {
	const named = 4.0
	f, now := newFleet(20), time.Unix(1000, 0)
	u := &route.Upstream{ID: "u", Pool: "p", Zone: "z1"}
	others := append([]member.Member(nil), f.members[2:]...)
	for i, l := range f.limits {
		if i%2 == 0 {
			l.Members = func() []member.Member { return others }
		}
		l.Observe(now, u, true, named)
	}
	got := f.play(now, 12*time.Second, u)
	assert.Assert(t, float64(got) <= 1.5*named*window.Seconds()+5, "%d requests in %s", got, window)
}

// TestLimitEnds checks that a limit ends after two answers that name none, and with the
// incarnation that named it.
func TestLimitEnds(t *testing.T) {
	f, now := newFleet(2), time.Unix(1000, 0)
	l, u := f.limits[0], &route.Upstream{ID: "u", Pool: "p", Zone: "z1", Born: 5}
	us := []*route.Upstream{u}
	l.Observe(now, u, false, 0)
	assert.Equal(t, len(l.Evidence(now)), 0)
	l.Observe(now, u, true, 0)
	assert.Equal(t, len(l.Exhausted(now, us, 0)), 1)
	l.Observe(now, u, false, 0)
	assert.Equal(t, len(l.Exhausted(now, us, 0)), 1)
	l.Observe(now, u, true, 0)
	l.Observe(now, u, false, 0)
	l.Observe(now.Add(time.Second), u, false, 0)
	assert.Equal(t, len(l.Exhausted(now, us, 0)), 0)
	l.Observe(now.Add(2*time.Second), u, true, 0)
	restarted := *u
	restarted.Born = 6
	assert.Equal(t, len(l.Exhausted(now, []*route.Upstream{&restarted}, 0)), 0)
	l.Observe(now.Add(2*time.Second), &restarted, true, 7)
	l.Observe(now.Add(2*time.Second), u, true, 1)
	assert.Equal(t, l.Evidence(now.Add(2 * time.Second))[0].Rate, 7.0, "the limit of an earlier incarnation was taken")
	assert.Equal(t, len(l.Evidence(now.Add(3*time.Second))), 1)
	assert.Equal(t, len(l.Evidence(now.Add(2*lifetime))), 0)
	assert.Assert(t, !l.active.Load())
}

// TestPeersEvidence checks that the latest answer counts, wherever it was received.
func TestPeersEvidence(t *testing.T) {
	f, now := newFleet(2), time.Unix(1000, 0)
	a, b := f.limits[0], f.limits[1]
	u := &route.Upstream{ID: "u", Pool: "p", Zone: "z1", Born: 5}
	a.Observe(now, u, true, 3)
	assert.Equal(t, len(b.Apply(now, a.Evidence(now))), 1)
	assert.Equal(t, len(b.Apply(now, a.Evidence(now))), 0)
	assert.Equal(t, b.Evidence(now)[0].Rate, 3.0)
	later := now.Add(time.Second)
	b.Observe(later, u, true, 2)
	assert.Equal(t, len(b.Apply(later, a.Evidence(later))), 0)
	assert.Equal(t, len(a.Apply(later, b.Evidence(later))), 1)
	for range endAnswers {
		a.Observe(later.Add(time.Second), u, false, 0)
	}
	assert.Equal(t, len(b.Apply(later, a.Evidence(later))), 1)
	assert.Equal(t, b.Limited(), 0)
	assert.Equal(t, len(b.Apply(later, []Evidence{{Upstream: "u", Born: 4, Named: true, At: later.Add(time.Minute)}})), 0)
	assert.Equal(t, len(b.Apply(later, []Evidence{{Upstream: "v", Named: true, At: later.Add(-2 * lifetime)}})), 0)
}

// TestEvidenceAges guards against evidence that instances pass to and fro, each time a little
// younger, and that never ends.
func TestEvidenceAges(t *testing.T) {
	f, now := newFleet(2), time.Unix(1000, 0)
	u := &route.Upstream{ID: "u", Pool: "p", Zone: "z1"}
	f.limits[0].Observe(now, u, true, 3)
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		from, to := f.limits[i%2], f.limits[(i+1)%2]
		evidence := from.Evidence(now)
		for k := range evidence {
			evidence[k].At = evidence[k].At.Add(30 * time.Millisecond)
		}
		to.Apply(now, evidence)
	}
	assert.Equal(t, f.limits[0].Limited()+f.limits[1].Limited(), 0)
}

// TestUrgentRequestsFirst checks that a less urgent request gets no right to send while a
// more urgent one waits.
func TestUrgentRequestsFirst(t *testing.T) {
	f, now := newFleet(1), time.Unix(1000, 0)
	l, u := f.limits[0], &route.Upstream{ID: "u", Pool: "p", Zone: "z1"}
	us := []*route.Upstream{u}
	l.Observe(now, u, true, 2)
	left, ok := l.Left(now, us, 3)
	assert.Assert(t, !ok || left > 0)
	l.Exhausted(now, us, 3)
	left, ok = l.Left(now, us, 3)
	assert.Assert(t, ok && left > 400*time.Millisecond && left <= 500*time.Millisecond, "%s", left)
	done := l.Wait("p", 3)
	later := now.Add(time.Second)
	assert.Assert(t, !l.Take(later, u, 4))
	assert.Equal(t, len(l.Exhausted(later, us, 4)), 1)
	assert.Equal(t, len(l.Exhausted(later, us, 3)), 0)
	done()
	assert.Assert(t, l.Take(later, u, 4))
	assert.Assert(t, !l.Take(later, u, 0))
}

// TestOrderOfEvidence checks that instances agree in the end, in whatever order they get the
// evidence.
func TestOrderOfEvidence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, now := newFleet(2), time.Unix(1000, 0)
		var all []Evidence
		for i := range rapid.IntRange(1, 8).Draw(rt, "number") {
			all = append(all, Evidence{
				Upstream: "u", Born: int64(rapid.IntRange(0, 2).Draw(rt, "born")), Named: rapid.Bool().Draw(rt, "named"),
				Rate: float64(rapid.IntRange(0, 5).Draw(rt, "rate")), At: now.Add(time.Duration(i) * time.Second),
			})
		}
		now = now.Add(10 * time.Second)
		for i, l := range f.limits {
			for _, k := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7}).Draw(rt, fmt.Sprint("order ", i)) {
				if k < len(all) {
					l.Apply(now, all[k:k+1])
				}
			}
		}
		a, b := f.limits[0].Limited(), f.limits[1].Limited()
		if a != b {
			rt.Fatalf("one instance has %d limits, the other %d: %v", a, b, all)
		}
	})
}
