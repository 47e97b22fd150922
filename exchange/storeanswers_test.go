package exchange

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/aggregate"
	"knapweedwell/follow"
	"knapweedwell/member"
)

const (
	testUsualAge = 700 * time.Millisecond
	testMostAge  = 1200 * time.Millisecond
)

// report is what one instance reports in a test of storeAnswers.
type report struct {
	at          time.Duration
	absent      bool // it reports nothing, or does not follow the store
	unreachable bool
	restarted   bool
}

// TestStoreAnswers checks what reports show of the store's answers to another instance. It guards
// against a successor that takes its own idleness for an outage, and against one that takes an
// instance which merely means to follow the store for one that the store answers.
func TestStoreAnswers(t *testing.T) {
	const unknown = -1
	for _, c := range []struct {
		name    string
		reports []report
		last    time.Duration // a time at which the store had answered
	}{
		{"nobody follows", []report{{at: 0, absent: true}}, unknown},
		{"has just begun", []report{{at: 0}, {at: followTime - 1}}, unknown},
		{"follows", []report{{at: 0}, {at: followTime}}, followTime - testUsualAge},
		{"follows on", []report{{at: 0}, {at: followTime}, {at: 2 * followTime}}, 2*followTime - testUsualAge},
		{"never answered", []report{{at: 0, unreachable: true}, {at: followTime, unreachable: true}}, unknown},
		{"fails soon", []report{{at: 0}, {at: time.Second, unreachable: true}, {at: followTime + time.Second, unreachable: true}}, unknown},
		{"fails", []report{{at: 0}, {at: 4 * time.Second}, {at: 5 * time.Second, unreachable: true}}, 4*time.Second - testUsualAge},
		{"fails at once", []report{{at: 0}, {at: 4 * time.Second}, {at: 4 * time.Second, unreachable: true}}, 4*time.Second - testMostAge},
		{"falls silent", []report{{at: 0}, {at: 4 * time.Second}, {at: 9 * time.Second, absent: true}}, 4*time.Second - testUsualAge},
		{"comes back", []report{{at: 0}, {at: 4 * time.Second}, {at: 5 * time.Second, absent: true}, {at: 6 * time.Second}, {at: 8 * time.Second}}, 4*time.Second - testUsualAge},
		{"restarts", []report{{at: 0}, {at: 4 * time.Second}, {at: 5 * time.Second, restarted: true}}, unknown},
		{"long ago", []report{{at: 0}, {at: 4 * time.Second}, {at: 4*time.Second + answerLifetime, absent: true}}, unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var answers storeAnswers
			for _, r := range c.reports {
				f := follower{name: "entry-1", identity: "first", reportedAt: start.Add(r.at), unreachable: r.unreachable}
				if r.restarted {
					f.identity = "second"
				}
				followers := []follower{f}
				if r.absent {
					followers = nil
				}
				answers.update(start.Add(r.at), followers, testUsualAge, testMostAge)
			}
			last := time.Duration(unknown)
			if !answers.last().IsZero() {
				last = answers.last().Sub(start)
			}
			assert.Equal(t, last, c.last)
		})
	}
}

// TestStoreAnswersOfFollowers checks whose reports show that the store answers: those of the
// instances that follow it, not of idle ones, which report no failure.
func TestStoreAnswersOfFollowers(t *testing.T) {
	const count = 6
	names := byHash(count)
	for _, c := range []struct {
		name   string
		silent []string // instances that are not running
		failed []string // instances that the store does not answer
		known  bool
	}{
		{"the first two follow", nil, nil, true},
		{"one follows", nil, names[:1], true},
		{"the successors have just begun", names[:2], nil, false},
		{"the store answers none", nil, names[:5], false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Service{
				Self: names[count-1], StoreUnreachable: func() bool { return false }, LastFailure: func() time.Time { return time.Time{} },
				AnswerAges: func() (usual, most time.Duration) { return testUsualAge, testMostAge },
				reports:    map[string]lastReport{},
			}
			start := time.Now()
			record := func(at time.Duration, silent []string) {
				clear(s.reports)
				for _, name := range names[:count-1] {
					s.reports[name] = lastReport{state: member.Live, storeUnreachable: slices.Contains(c.failed, name), at: start.Add(at)}
				}
				for _, name := range silent {
					delete(s.reports, name)
				}
				s.recordStoreAnswers(start.Add(at))
			}
			record(0, nil)
			record(followTime-time.Second, c.silent)
			record(followTime, c.silent)
			assert.Equal(t, !s.StoreAnsweredAt().IsZero(), c.known)
		})
	}
}

// TestStoreAnswersInTables checks what the tables of aggregators show of the store's answers.
func TestStoreAnswersInTables(t *testing.T) {
	s := &Service{
		Self: "entry-1", Zone: "z", StoreUnreachable: func() bool { return false },
		AnswerAges: func() (usual, most time.Duration) { return testUsualAge, testMostAge },
		reports:    map[string]lastReport{},
	}
	s.fleet = newAggregation("z")
	s.fleet.plan = aggregate.Plan{Rank: -1, Zones: 2}
	start := time.Now()
	for _, at := range []time.Duration{0, followTime} {
		s.fleet.tableAt, s.fleet.followed = start.Add(at), true
		s.recordStoreAnswers(start.Add(at))
	}
	assert.Equal(t, s.StoreAnsweredAt(), start.Add(followTime-testUsualAge-tableDelay))
	assert.Equal(t, s.Role(), follow.Idle)
}
