package follow

import (
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"knapweedwell/platform"
	store "knapweedwell/standin/platform"
)

// recorder records what a follower delivers.
type recorder struct {
	mu       sync.Mutex
	lists    int
	versions []string // values of the objects, in the order in which they were delivered
}

func (r *recorder) record(o platform.Object) {
	r.versions = append(r.versions, string(o.Value))
}

func (r *recorder) last() (lists int, versions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists, r.versions
}

// startFollower starts a follower of the kind config whose role is alert or idle.
func startFollower(t *testing.T, s *store.Server, alert *atomic.Bool) (*Follower, *recorder) {
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	client := platform.New(strings.TrimPrefix(server.URL, "http://"), (&net.Dialer{}).DialContext)
	t.Cleanup(func() { _ = client.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{}
	f := &Follower{Platform: client, Kind: "config", Log: log, Deadline: time.Second}
	f.Role = func() Role {
		if alert.Load() {
			return Alert
		}
		return Idle
	}
	f.OnList = func(l platform.Listing) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lists++
		for _, o := range l.Objects {
			r.record(o)
		}
	}
	f.OnChange = func(c platform.Changes) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range c.Events {
			r.record(e.Object)
		}
	}
	assert.NilError(t, f.Run(nil))
	t.Cleanup(func() { _ = f.Close() })
	return f, r
}

// TestLateFollowerReadsNewest guards against an instance that follows the store again and
// is sent every version since its first list.
func TestLateFollowerReadsNewest(t *testing.T) {
	s := store.New()
	put := func(version int) { s.Put("config", "main", map[string]int{"version": version}) }
	put(0)
	var alert atomic.Bool
	alert.Store(true)
	_, r := startFollower(t, s, &alert)
	put(1)
	waitFor(t, r, 1)
	alert.Store(false)
	time.Sleep(time.Second) // a watch may still be waiting
	for version := range 20 {
		put(version + 2)
	}
	_, before := r.last()
	alert.Store(true)
	waitFor(t, r, 21)
	_, after := r.last()
	assert.Assert(t, len(after)-len(before) <= 2, "%d versions were delivered, expected the newest: %v", len(after)-len(before), after)
}

// waitFor waits until the version was delivered.
func waitFor(t *testing.T, r *recorder, version int) {
	t.Helper()
	want, err := json.Marshal(map[string]int{"version": version})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, versions := r.last(); len(versions) > 0 && versions[len(versions)-1] == string(want) {
			return poll.Success()
		}
		return poll.Continue("version %d was not delivered", version)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestHistoryGone guards against a follower that goes on watching from a revision whose
// changes the store no longer has.
func TestHistoryGone(t *testing.T) {
	s := store.New()
	s.Put("config", "main", map[string]int{"version": 0})
	var alert atomic.Bool
	alert.Store(true)
	f, r := startFollower(t, s, &alert)
	waitFor(t, r, 0)
	s.SetFaults(store.Faults{Outage: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.StoreUnreachable() {
			return poll.Success()
		}
		return poll.Continue("the outage was not noticed")
	}, poll.WithTimeout(5*time.Second))
	s.Put("config", "main", map[string]int{"version": 1})
	s.Compact()
	s.SetFaults(store.Faults{})
	waitFor(t, r, 1)
}

// TestAlertWait checks how long a watch of an instance that follows the store waits.
func TestAlertWait(t *testing.T) {
	for _, c := range []struct{ deadline, bound, want time.Duration }{
		{0, 0, defaultAlertWait},
		{2500 * time.Millisecond, 0, time.Second},
		{2500 * time.Millisecond, 1200 * time.Millisecond, time.Second},
		{6 * time.Second, 1200 * time.Millisecond, 1200 * time.Millisecond},
	} {
		f := &Follower{Deadline: c.deadline, MaxWait: c.bound}
		assert.Equal(t, f.alertWait(), c.want, "deadline %s, bound %s", c.deadline, c.bound)
	}
}

// TestSilence guards against an outage that is taken for short because an instance did not run
// in it, or because the store answered without saying what has changed.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		returns := 0
		f := &Follower{Log: log, OnReturn: func() { returns++ }}
		f.recordAnswer(1, 5, time.Now())
		time.Sleep(time.Second)
		f.recordAnswer(1, 6, time.Now().Add(time.Second))
		assert.Equal(t, f.Silence(), time.Second)
		// The answer of a watch is read 4 s late.
		latest := time.Now().Add(time.Second)
		time.Sleep(5 * time.Second)
		f.recordAnswer(1, 7, latest)
		f.recordFailure(io.EOF)
		f.recordAnswer(0, 0, time.Now())
		assert.Equal(t, f.Silence(), 4*time.Second)
		assert.Equal(t, returns, 1)
		time.Sleep(time.Second)
		f.recordAnswer(1, 9, time.Now())
		assert.Equal(t, f.Silence(), 5*time.Second, "the answer that the history is gone tells of no change")
	})
}

// TestOutageOfOthers guards against an answer that counts as the return of the store long after an
// outage, because the instance went idle before the store answered it: the outage is over once others
// reach the store, and goes on while it only pauses between two calls.
func TestOutageOfOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		between Role // before the store answers this instance
		returns int
	}{{"calls on", Alert, 1}, {"pauses", Paused, 1}, {"others follow the store", Idle, 0}} {
		t.Run(c.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			returns := 0
			f := &Follower{Kind: "config", Log: log, Role: func() Role { return c.between }, OnReturn: func() { returns++ }}
			f.recordAnswer(1, 5, time.Now())
			f.recordFailure(io.ErrUnexpectedEOF)
			f.recordFailure(io.ErrUnexpectedEOF)
			f.leaveOutage()
			assert.Assert(t, f.StoreUnreachable(), "what the last call showed is not known any more")
			f.recordAnswer(1, 9, time.Now())
			assert.Equal(t, returns, c.returns)
			assert.Assert(t, !f.StoreUnreachable())
			f.recordFailure(io.ErrUnexpectedEOF)
			f.recordAnswer(1, 12, time.Now())
			assert.Equal(t, returns, c.returns+1, "an outage that the calls saw")
		})
	}
}
