package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"knapweedwell/aggregate"
	"knapweedwell/follow"
	"knapweedwell/member"
)

// byHash returns n names of instances in the order of Role.
func byHash(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	slices.SortFunc(names, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	return names
}

// TestRole checks which of twenty instances call the store.
func TestRole(t *testing.T) {
	const count = 20
	names := byHash(count)
	for _, c := range []struct {
		name        string
		silent      []int // instances that are not running
		unreachable []int // instances that the store does not answer
		alert       []int
	}{
		{"calm", nil, nil, []int{0, 1}},
		{"the first ones stopped", []int{0, 1}, nil, []int{2, 3}},
		{"the store rejects the first", nil, []int{0}, []int{0, 1, 2}},
		{"the store rejects all that have tried", nil, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, []int{0, 1}},
		{"the next ones try at once", nil, []int{0, 1}, []int{0, 1, 2, 3, 4, 5}},
		{"more of them try in an outage", nil, []int{0, 1, 2}, []int{0, 1, 3, 4, 5, 6, 7, 8}},
		{"no more than may try", nil, []int{0, 1, 2, 3, 4, 5, 6, 7}, []int{0, 1, 8, 9, 10, 11}},
		{"others failed in an outage that is over", nil, []int{2, 3, 4, 5, 6, 7, 8}, []int{0, 1}},
	} {
		var alert []int
		for self, name := range names {
			s := &Service{
				Self:             name,
				Members:          func() []member.Member { return make([]member.Member, count) },
				StoreUnreachable: func() bool { return slices.Contains(c.unreachable, self) },
				LastFailure:      time.Now,
				reports:          map[string]lastReport{},
			}
			for i, other := range names {
				if i != self && !slices.Contains(c.silent, i) {
					s.reports[other] = lastReport{state: member.Live, storeUnreachable: slices.Contains(c.unreachable, i), at: time.Now()}
				}
			}
			if !slices.Contains(c.silent, self) && s.Role() == follow.Alert {
				alert = append(alert, self)
			}
		}
		assert.DeepEqual(t, alert, c.alert)
	}
}

// TestFailedInstanceTriesAgain guards against an instance that stays away from the store for
// good after one failed call, while nobody follows the store.
func TestFailedInstanceTriesAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		position   int // in the order of Role
		failureAge time.Duration
		aggregated bool
		role       follow.Role
	}{
		{"failed just now", 3, 0, false, follow.Paused},
		{"failed a while ago", 3, retryTime, false, follow.Alert},
		{"late in the order", 30, retryTime, false, follow.Paused},
		{"late in the order, failed long ago", 30, 2 * retryTime, false, follow.Alert},
		{"gets tables, failed just now", 3, 0, true, follow.Paused},
		{"gets tables, failed a while ago", 3, retryTime, true, follow.Alert},
	} {
		t.Run(c.name, func(t *testing.T) {
			names := byHash(c.position + 1)
			failure := time.Now().Add(-c.failureAge)
			s := &Service{
				Self: names[c.position], Zone: "z", reports: map[string]lastReport{},
				StoreUnreachable: func() bool { return true }, LastFailure: func() time.Time { return failure },
			}
			for _, name := range names[:c.position] {
				s.reports[name] = lastReport{state: member.Live, storeUnreachable: true, at: time.Now()}
			}
			assert.Equal(t, s.roleAfter(time.Now(), competitors{all: c.position}, true), c.role)
			if !c.aggregated {
				assert.Equal(t, s.Role(), c.role)
				return
			}
			s.fleet = newAggregation("z")
			s.fleet.tableAt = time.Now()
			list := aggregate.Zone{Name: "z"}
			for i := range c.position {
				list.Instances = append(list.Instances, aggregate.Instance{Hash: uint32(i), State: member.Live, StoreUnreachable: true})
			}
			s.fleet.setList(time.Now(), list)
			assert.Equal(t, s.roleWithTables(time.Now(), true), c.role)
		})
	}
}

// TestOthersTryOneAfterTheOther guards against a store that serves only instances which no
// one expects to be tried.
func TestOthersTryOneAfterTheOther(t *testing.T) {
	s := &Service{LastFailure: func() time.Time { return time.Time{} }}
	now := time.Now()
	before := competitors{all: maxTriedInstances + 1}
	assert.Equal(t, s.roleAfter(now, before, false), follow.Paused)
	assert.Equal(t, s.roleAfter(now.Add(retryTime), before, false), follow.Alert)
	before.reachable = alertInstances
	assert.Equal(t, s.roleAfter(now.Add(retryTime), before, false), follow.Idle)
	before.reachable = 0
	assert.Equal(t, s.roleAfter(now.Add(retryTime), before, false), follow.Paused, "the time must be counted anew")
}

// TestRoleAllocatesNothing bounds the cost of a decision that is made several times a second.
func TestRoleAllocatesNothing(t *testing.T) {
	names := byHash(30)
	s := &Service{
		Self: names[29], StoreUnreachable: func() bool { return false }, LastFailure: func() time.Time { return time.Time{} },
		reports: map[string]lastReport{},
	}
	for i, name := range names[:29] {
		s.reports[name] = lastReport{state: member.Live, storeUnreachable: i < 4, at: time.Now()}
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.Role() }), 0.0)
}
