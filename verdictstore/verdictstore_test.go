package verdictstore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/follow"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
	standin "knapweedwell/standin/platform"
)

const testPart = 0xe4402b7d

// testFleet is a number of services that share a store. No loop runs: tests call the
// steps.
type testFleet struct {
	store    *standin.Server
	server   *httptest.Server
	clients  []*platform.Client
	services []*Service
	known    []*quarantine.Quarantine
}

func newTestFleet(t *testing.T, n int) *testFleet {
	fl := &testFleet{store: standin.New()}
	fl.server = httptest.NewServer(fl.store.Handler())
	t.Cleanup(fl.close)
	for i := range n {
		fl.add("entry-" + string(rune('1'+i)))
	}
	return fl
}

// add adds a service that follows the store and reaches no peer.
func (fl *testFleet) add(self string) *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	q := &quarantine.Quarantine{Log: log}
	s := &Service{
		Self: self, Platform: platform.New(strings.TrimPrefix(fl.server.URL, "http://"), (&net.Dialer{}).DialContext), Verdicts: q,
		Role: func() follow.Role { return follow.Alert }, FetchFacts: func(context.Context) error { return errors.New("no peer") },
		Isolated: func() bool { return false }, Tell: func([]quarantine.Fact) {}, OnReady: func() {}, Log: log,
	}
	fl.clients = append(fl.clients, s.Platform)
	fl.services = append(fl.services, s)
	fl.known = append(fl.known, q)
	return s
}

func (fl *testFleet) close() {
	for _, c := range fl.clients {
		_ = c.Close()
	}
	fl.server.Close()
}

// convict gives a service a verdict that ends after a time.
func (fl *testFleet) convict(i int, left time.Duration) quarantine.Convicted {
	now := time.Now()
	v := quarantine.Convicted{Trait: testPart, At: now.Add(-time.Minute), Until: now.Add(left), Crashes: 5}
	fl.known[i].Apply(now, []quarantine.Fact{v})
	return v
}

// stored returns the stored verdict, if there is one.
func (fl *testFleet) stored(t *testing.T) (platform.StoredVerdict, bool) {
	l, err := fl.clients[0].List(context.Background(), platform.VerdictKind)
	assert.NilError(t, err)
	if len(l.Objects) == 0 {
		return platform.StoredVerdict{}, false
	}
	v, err := platform.DecodeVerdict(time.Now(), l.Objects[0])
	assert.NilError(t, err)
	return v, true
}

// writes returns the number of writes so far.
func (fl *testFleet) writes() int64 {
	calls := fl.store.Calls()
	return calls["POST"] + calls["PUT"] + calls["DELETE"]
}

// TestNoVerdictsNoCalls counts the calls of an instance without facts: one at the start.
func TestNoVerdictsNoCalls(t *testing.T) {
	fl := newTestFleet(t, 1)
	s := fl.services[0]
	s.start(context.Background())
	for range 20 {
		s.step(context.Background())
	}
	assert.Equal(t, s.Platform.Calls(), int64(1))
}

// TestTwoWriters lets two instances write the same verdict, and a later one.
func TestTwoWriters(t *testing.T) {
	fl := newTestFleet(t, 2)
	ctx := context.Background()
	fl.convict(0, 10*time.Minute)
	fl.convict(1, 10*time.Minute+300*time.Millisecond)
	for range 5 {
		fl.services[0].step(ctx)
		fl.services[1].step(ctx)
	}
	assert.Equal(t, fl.writes(), int64(2))
	later := fl.convict(1, 30*time.Minute)
	for range 5 {
		fl.services[0].step(ctx)
		fl.services[1].step(ctx)
	}
	v, ok := fl.stored(t)
	assert.Assert(t, ok)
	assert.Assert(t, v.Verdict.Until.Sub(later.Until).Abs() < endTolerance)
	assert.Equal(t, fl.writes(), int64(3))
}

// TestEarlierVerdictDoesNotReplaceLater lets an instance write a verdict though the store
// has one that ends later: it takes that one.
func TestEarlierVerdictDoesNotReplaceLater(t *testing.T) {
	fl := newTestFleet(t, 2)
	ctx := context.Background()
	later := fl.convict(0, time.Hour)
	fl.services[0].step(ctx)
	fl.convict(1, 10*time.Minute)
	fl.services[1].step(ctx)
	v, _ := fl.stored(t)
	assert.Assert(t, v.Verdict.Until.Sub(later.Until).Abs() < endTolerance)
	got := fl.known[1].Verdicts(time.Now())
	assert.Assert(t, len(got) == 1 && got[0].Until.Sub(later.Until).Abs() < endTolerance)
}

// TestLostAnswer loses the answer of a write. The verdict is stored once and can be deleted
// when it ends.
func TestLostAnswer(t *testing.T) {
	fl := newTestFleet(t, 1)
	ctx, s := context.Background(), fl.services[0]
	fl.convict(0, time.Hour)
	fl.store.SetFaults(standin.Faults{LoseAnswers: 1})
	s.step(ctx)
	time.Sleep(initialBackoff)
	s.step(ctx)
	_, ok := fl.stored(t)
	assert.Assert(t, ok)
	assert.Equal(t, s.recordOf(testPart).backoff, time.Duration(0))
	now := time.Now()
	fl.known[0].Apply(now, []quarantine.Fact{quarantine.Released{Trait: testPart, At: now}})
	s.step(ctx)
	_, ok = fl.stored(t)
	assert.Assert(t, !ok, "the verdict is still stored")
}

// TestReleaseAfterLostAnswer ends a verdict whose write was not answered. It guards against
// objects that nobody deletes.
func TestReleaseAfterLostAnswer(t *testing.T) {
	fl := newTestFleet(t, 1)
	ctx, s := context.Background(), fl.services[0]
	fl.convict(0, time.Hour)
	fl.store.SetFaults(standin.Faults{LoseAnswers: 1})
	s.step(ctx)
	now := time.Now()
	fl.known[0].Apply(now, []quarantine.Fact{quarantine.Released{Trait: testPart, At: now}})
	time.Sleep(initialBackoff)
	s.step(ctx)
	_, ok := fl.stored(t)
	assert.Assert(t, !ok, "the verdict is still stored")
}

// TestTrialOfOneInstance asks for the trial of a part whose verdict has ended: one instance
// gets it, and another one once its time is over.
func TestTrialOfOneInstance(t *testing.T) {
	fl := newTestFleet(t, 3)
	for i := range fl.services {
		fl.convict(i, -time.Second)
	}
	assert.Assert(t, fl.services[1].Trial(testPart))
	assert.Assert(t, fl.services[1].Trial(testPart), "the instance asks again")
	assert.Assert(t, !fl.services[0].Trial(testPart))
	assert.Assert(t, !fl.services[2].Trial(testPart))
	v, _ := fl.stored(t)
	v.TrialEnd = time.Now().Add(-time.Second)
	value, err := platform.EncodeVerdict(time.Now(), v)
	assert.NilError(t, err)
	_, err = fl.clients[0].Update(context.Background(), platform.VerdictKind, quarantine.TraitName(testPart), value, v.Revision)
	assert.NilError(t, err)
	calls := fl.clients[2].Calls()
	assert.Assert(t, !fl.services[2].Trial(testPart), "an instance asks again before the time is over")
	assert.Equal(t, fl.clients[2].Calls(), calls)
	fl.services[2].trials = nil
	assert.Assert(t, fl.services[2].Trial(testPart))
	fl.services[0].trials = nil
	fl.store.SetFaults(standin.Faults{Outage: true})
	assert.Assert(t, !fl.services[0].Trial(testPart), "a trial in an outage of the store")
}

// TestTrialOfRenewedVerdict asks for a trial though the store has a new verdict.
func TestTrialOfRenewedVerdict(t *testing.T) {
	fl := newTestFleet(t, 2)
	fl.convict(0, time.Hour)
	fl.services[0].step(context.Background())
	fl.convict(1, -time.Second)
	assert.Assert(t, !fl.services[1].Trial(testPart))
	assert.Equal(t, len(fl.known[1].Verdicts(time.Now())), 1)
}

// TestRestoredStoreEndsNoVerdict guards against a verdict that ends at all instances because
// the store came back from a copy without it.
func TestRestoredStoreEndsNoVerdict(t *testing.T) {
	fl := newTestFleet(t, 1)
	ctx, s := context.Background(), fl.services[0]
	s.start(ctx)
	fl.convict(0, 10*time.Minute)
	s.step(ctx)
	_, ok := fl.stored(t)
	assert.Assert(t, ok)
	fl.store.Restore(time.Hour, -1)
	for i := range 9 {
		fl.store.Put("other", "object", i)
	}
	s.readAgain(ctx)
	s.step(ctx)
	assert.Equal(t, len(fl.known[0].Verdicts(time.Now())), 1, "the verdict must hold")
	_, ok = fl.stored(t)
	assert.Assert(t, ok, "the verdict must be stored again")
}

// TestRestoredVerdictDeletedAgain guards against a verdict that has ended and is stored again
// because the store came back from a copy with it.
func TestRestoredVerdictDeletedAgain(t *testing.T) {
	fl := newTestFleet(t, 1)
	ctx, s := context.Background(), fl.services[0]
	s.start(ctx)
	fl.convict(0, 10*time.Minute)
	s.step(ctx)
	time.Sleep(600 * time.Millisecond) // the store takes a copy
	fl.known[0].Apply(time.Now(), []quarantine.Fact{quarantine.Released{Trait: testPart, At: time.Now()}})
	s.step(ctx)
	_, ok := fl.stored(t)
	assert.Assert(t, !ok)
	fl.store.Restore(100*time.Millisecond, -1)
	_, _ = fl.clients[0].Get(ctx, "other", "object") // tells the era
	s.step(ctx)
	s.step(ctx)
	assert.Equal(t, len(fl.known[0].Verdicts(time.Now())), 0)
	_, ok = fl.stored(t)
	assert.Assert(t, !ok, "the verdict must be deleted again")
}
