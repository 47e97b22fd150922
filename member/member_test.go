package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func instance(name string, beat int64, state State) Member {
	return Member{Name: name, Incarnation: 1, Beat: beat, State: state, Region: "R", Peer: name}
}

// TestMerge merges an older and a newer report of a member in both orders: the
// newer one remains.
func TestMerge(t *testing.T) {
	now := time.Unix(0, 0)
	restarted := instance("b", 1, Live)
	restarted.Incarnation = 2
	for _, c := range []struct {
		name         string
		older, newer Member
	}{
		{"a later beat", instance("b", 5, Live), instance("b", 6, Live)},
		{"suspicion", instance("b", 5, Live), instance("b", 5, Suspect)},
		{"refuted suspicion", instance("b", 5, Suspect), instance("b", 6, Live)},
		{"leaving", instance("b", 5, Live), instance("b", 6, Leaving)},
		{"a false end", instance("b", 5, Gone), instance("b", 6, Live)},
		{"a restart", instance("b", 9, Gone), restarted},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, order := range [][]Member{{c.older, c.newer}, {c.newer, c.older}} {
				v := New(instance("a", 1, Live))
				for _, m := range order {
					v.Merge(now, m)
				}
				m, _ := v.Get("b")
				assert.DeepEqual(t, m, c.newer)
			}
		})
	}
}

// TestSilence checks that a silent neighbour becomes suspect and then gone, and
// live again with its next beat.
func TestSilence(t *testing.T) {
	now := time.Unix(0, 0)
	v := New(instance("a", 1, Live))
	v.Merge(now, instance("b", 5, Live))
	now = now.Add(SuspectAfter + time.Millisecond)
	assert.Equal(t, len(v.Tick(now)), 1)
	m, _ := v.Get("b")
	assert.Equal(t, m.State, Suspect)
	owner, ok := v.Owner("s", "R")
	assert.Assert(t, ok)
	assert.Equal(t, owner.Name, "a")
	now = now.Add(GoneAfter)
	v.Tick(now)
	_, ended := v.Ended("b@1")
	assert.Assert(t, ended)
	v.Merge(now, instance("b", 6, Live))
	_, ended = v.Ended("b@1")
	assert.Assert(t, !ended)
	assert.Equal(t, len(v.Live()), 2)
}

// TestSuccessor follows the tickets of an ended incarnation to its successor,
// also after a restart, over two handovers and in a view that received only the
// endings.
func TestSuccessor(t *testing.T) {
	now := time.Unix(0, 0)
	v := New(instance("a", 1, Live))
	left := instance("b", 7, Gone)
	left.Successor = "c@1"
	v.Merge(now, instance("c", 1, Live))
	v.Merge(now, left)
	successor, ended := v.Ended("b@1")
	assert.Equal(t, successor, "c@1")
	assert.Assert(t, ended)
	again := instance("b", 1, Live)
	again.Incarnation = 2
	v.Merge(now, again)
	successor, ended = v.Ended("b@1")
	assert.Equal(t, successor, "c@1")
	assert.Assert(t, ended)
	_, ended = v.Ended("b@2")
	assert.Assert(t, !ended)
	holder, ok := v.TicketHolder("b@1")
	assert.Assert(t, ok)
	assert.Equal(t, holder.Name, "c")
	c := instance("c", 9, Gone)
	c.Successor = "b@2"
	v.Merge(now, c)
	holder, ok = v.TicketHolder("b@1")
	assert.Assert(t, ok)
	assert.Equal(t, holder.Identity(), "b@2")
	other := New(instance("d", 1, Live))
	other.Merge(now, again)
	for _, e := range v.Endings(now) {
		other.MergeEnding(now, e)
	}
	_, ok = other.TicketHolder("b@1")
	assert.Assert(t, !ok, "the successor is not known yet")
	other.Merge(now, c)
	holder, ok = other.TicketHolder("b@1")
	assert.Assert(t, ok)
	assert.Equal(t, holder.Identity(), "b@2")
}

// TestOwnersAfterLeave checks that only the shards of a leaving instance get
// another owner.
func TestOwnersAfterLeave(t *testing.T) {
	now := time.Unix(0, 0)
	v := New(instance("a", 1, Live))
	for _, name := range []string{"b", "c", "d", "e"} {
		v.Merge(now, instance(name, 1, Live))
	}
	before := map[string]string{}
	for i := range 200 {
		shard := fmt.Sprint("shard-", i)
		m, _ := v.Owner(shard, "R")
		before[shard] = m.Name
	}
	v.Merge(now, instance("c", 2, Leaving))
	for shard, name := range before {
		m, _ := v.Owner(shard, "R")
		assert.Assert(t, m.Name != "c")
		assert.Assert(t, name == "c" || m.Name == name, "owner of shard %s changed from %s to %s", shard, name, m.Name)
	}
}

// TestStartingBeats guards against an instance that is suspected while it starts although
// it sends heartbeats.
func TestStartingBeats(t *testing.T) {
	now := time.Unix(0, 0)
	v := New(instance("a", 1, Live))
	for beat := range int64(20) {
		v.Merge(now, instance("b", beat, Starting))
		assert.Equal(t, len(v.Tick(now)), 0, "after %d beats", beat)
		now = now.Add(SuspectAfter / 2)
	}
}
