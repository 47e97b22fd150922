package claimstore

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/claim"
	"knapweedwell/heartbeat"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/platform"
	standin "knapweedwell/standin/platform"
)

// eraFleet is a number of services that share a store and know each other.
type eraFleet struct {
	t        *testing.T
	store    *standin.Server
	address  string
	services []*Service
}

func newEraFleet(t *testing.T, n int) *eraFleet {
	return newEraFleetOf(t, standin.New(), n)
}

func newEraFleetOf(t *testing.T, store *standin.Server, n int) *eraFleet {
	fl := &eraFleet{t: t, store: store}
	server := httptest.NewServer(fl.store.Handler())
	t.Cleanup(server.Close)
	fl.address = strings.TrimPrefix(server.URL, "http://")
	for i := range n {
		fl.add("entry-" + string(rune('1'+i)))
	}
	return fl
}

// add starts a service and makes it and the others known to each other.
func (fl *eraFleet) add(name string) *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := (&net.Dialer{}).DialContext
	n := &peer.Node{Name: name, Address: "127.0.0.1:0", Key: "k", Dial: dial, Listen: net.Listen, Log: log}
	self := member.Member{Name: name, Incarnation: 1, State: member.Live}
	client := platform.New(fl.address, dial)
	s := &Service{
		Identity: self.Identity(), Store: &Store{Platform: client}, Peers: n, Log: log,
		Heartbeats: &heartbeat.Service{Self: self, Peers: n, Log: log},
	}
	s.Heartbeats.Prepare()
	s.Prepare()
	assert.NilError(fl.t, n.Run(nil))
	fl.t.Cleanup(func() {
		assert.NilError(fl.t, s.Close())
		assert.NilError(fl.t, n.Close())
		assert.NilError(fl.t, client.Close())
	})
	for _, o := range fl.services {
		o.Heartbeats.With(func(v *member.View) { v.Merge(time.Now(), s.asMember()) })
		s.Heartbeats.With(func(v *member.View) { v.Merge(time.Now(), o.asMember()) })
	}
	fl.services = append(fl.services, s)
	return s
}

// restore loses all that was written. The owners of other objects write again.
func (fl *eraFleet) restore() {
	fl.store.Restore(time.Hour, -1)
}

// claimOf returns a claim of a service on a key.
func (s *Service) claimOf(key, nonce string) claim.Claim {
	return claim.Claim{Organisation: "a", Key: key, Nonce: nonce, Holder: s.Identity, Digest: "d"}
}

// TestRestoredStoreRunsNothingTwice guards against a key that a second instance acquires
// because the store lost the claim of the first one.
func TestRestoredStoreRunsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(fl *eraFleet, holder *Service, c claim.Claim) // between the claim and its repetition
		want   claim.Decision

		sameInstance bool // the key comes again at its holder
	}{
		{"still running", func(*eraFleet, *Service, claim.Claim) {}, claim.Busy{Holder: "entry-1@1"}, false},
		{"still running at the same instance", func(*eraFleet, *Service, claim.Claim) {}, claim.Busy{Holder: "entry-1@1"}, true},
		{"ended before", func(fl *eraFleet, holder *Service, c claim.Claim) {
			assert.NilError(fl.t, holder.finishOnce(fl.t.Context(), c, claim.Outcome{Status: 200}))
		}, claim.Done{Outcome: claim.Outcome{Status: 200}}, false},
		{"handed over", func(fl *eraFleet, holder *Service, _ claim.Claim) {
			assert.Equal(fl.t, holder.HandOver(fl.t.Context(), []member.Member{fl.services[2].asMember()}), "entry-3@1")
			gone := holder.asMember()
			gone.State, gone.Successor, gone.Beat = member.Gone, "entry-3@1", 1
			fl.services[1].Heartbeats.With(func(v *member.View) { v.Merge(time.Now(), gone) })
		}, claim.Busy{Holder: "entry-1@1"}, false},
		{"holder ended", func(fl *eraFleet, holder *Service, _ claim.Claim) {
			gone := holder.asMember()
			gone.State, gone.Beat = member.Gone, 1
			fl.services[1].Heartbeats.With(func(v *member.View) { v.Merge(time.Now(), gone) })
		}, claim.Undecided{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			fl := newEraFleet(t, 3)
			ctx := t.Context()
			for i, s := range fl.services {
				assert.Equal(t, s.Take(ctx, s.claimOf("first-"+s.Identity, string(rune('a'+i)))), claim.Acquired{})
			}
			holder, other := fl.services[0], fl.services[1]
			held := holder.claimOf("key", "1")
			assert.Equal(t, holder.Take(ctx, held), claim.Acquired{})
			c.before(fl, holder, held)
			fl.restore()
			if c.sameInstance {
				other = holder
			}
			got := other.Take(ctx, other.claimOf("key", "2"))
			if _, ok := c.want.(claim.Undecided); ok {
				_, ok := got.(claim.Undecided)
				assert.Assert(t, ok, "%#v", got)
				return
			}
			assert.DeepEqual(t, got, c.want)
			assert.DeepEqual(t, other.Take(ctx, other.claimOf("key", "3")), c.want)
			assert.Equal(t, other.Take(ctx, other.claimOf("another key", "4")), claim.Acquired{})
		})
	}
}

// TestSettledByAll guards against an instance that tells the others that all claims are in the
// store before it has written its own ones.
func TestSettledByAll(t *testing.T) {
	fl := newEraFleet(t, 3)
	ctx := t.Context()
	holder, second, third := fl.services[0], fl.services[1], fl.services[2]
	for _, s := range fl.services {
		assert.Equal(t, s.Take(ctx, s.claimOf("first-"+s.Identity, s.Identity)), claim.Acquired{})
	}
	assert.Equal(t, holder.Take(ctx, holder.claimOf("key", "1")), claim.Acquired{})
	fl.restore()
	for _, s := range []*Service{second, third} {
		assert.Equal(t, s.Take(ctx, s.claimOf("again-"+s.Identity, s.Identity)), claim.Acquired{})
		s.checkEra(ctx, time.Now())
	}
	assert.Equal(t, holder.Take(ctx, holder.claimOf("another key", "2")), claim.Acquired{})
	assert.Equal(t, third.Take(ctx, third.claimOf("third key", "4")), claim.Acquired{})
	assert.DeepEqual(t, third.Take(ctx, third.claimOf("key", "3")), claim.Busy{Holder: holder.Identity})
}

// TestClaimsWrittenAgain guards against claims, and outcomes, that the store lost for good.
func TestClaimsWrittenAgain(t *testing.T) {
	fl := newEraFleet(t, 2)
	ctx, s := t.Context(), fl.services[0]
	running, done := s.claimOf("running", "1"), s.claimOf("done", "2")
	assert.Equal(t, s.Take(ctx, running), claim.Acquired{})
	assert.Equal(t, s.Take(ctx, done), claim.Acquired{})
	assert.NilError(t, s.finishOnce(ctx, done, claim.Outcome{Status: 201}))
	s.checkEra(ctx, time.Now())
	fl.restore()
	assert.Equal(t, fl.services[1].Take(ctx, fl.services[1].claimOf("new", "3")), claim.Acquired{}) // tells the era
	s.checkEra(ctx, time.Now())
	late := &Store{Platform: s.Store.Platform}
	assert.DeepEqual(t, late.Take(ctx, s.claimOf("running", "4")), claim.Busy{Holder: s.Identity})
	assert.DeepEqual(t, late.Take(ctx, s.claimOf("done", "5")), claim.Done{Outcome: claim.Outcome{Status: 201}})
	fl.restore()
	assert.NilError(t, s.finishOnce(ctx, running, claim.Outcome{Status: 202}))
	assert.DeepEqual(t, late.Take(ctx, s.claimOf("running", "6")), claim.Done{Outcome: claim.Outcome{Status: 202}})
}

// TestOthersAskedOnceInCalm checks that an instance asks the others of its first claim only,
// as long as the store does not come back from a copy, and again until all claims are in it.
func TestOthersAskedOnceInCalm(t *testing.T) {
	fl := newEraFleet(t, 3)
	ctx, s := t.Context(), fl.services[0]
	for i := range 5 {
		assert.Equal(t, s.Take(ctx, s.claimOf("key", "same")), claim.Acquired{})
		assert.Assert(t, s.eras.learned && s.eras.restored <= s.eras.settled, "claim %d", i)
	}
	fl.restore()
	assert.Equal(t, s.Take(ctx, s.claimOf("second key", "2")), claim.Acquired{})
	assert.Assert(t, s.eras.restored > s.eras.settled, "the others have not written their claims")
	for _, o := range fl.services {
		o.checkEra(ctx, time.Now())
	}
	assert.Equal(t, s.Take(ctx, s.claimOf("third key", "3")), claim.Acquired{})
	assert.Assert(t, s.eras.restored <= s.eras.settled)
	newcomer := fl.add("entry-9")
	assert.Equal(t, newcomer.Take(ctx, newcomer.claimOf("fourth key", "4")), claim.Acquired{})
	assert.Equal(t, newcomer.eras.settled, s.eras.settled)
}

// TestClaimsInAnyFirstEra guards against a key that a second instance acquires because the first era
// of the store has the number zero, so that the next one was not taken for a restored store.
func TestClaimsInAnyFirstEra(t *testing.T) {
	for _, first := range []int64{0, 1, 7, 1 << 40} {
		fl := newEraFleetOf(t, standin.NewInEra(first), 3)
		for i, s := range fl.services {
			assert.Equal(t, s.Take(t.Context(), s.claimOf("first-"+s.Identity, string(rune('a'+i)))), claim.Acquired{})
		}
		holder, other := fl.services[0], fl.services[1]
		assert.Equal(t, holder.Take(t.Context(), holder.claimOf("key", "1")), claim.Acquired{})
		fl.restore()
		assert.DeepEqual(t, other.Take(t.Context(), other.claimOf("key", "2")), claim.Busy{Holder: "entry-1@1"})
	}
}
