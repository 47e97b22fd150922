package quarantine_test

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/quarantine"
	"knapweedwell/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQuarantine() *quarantine.Quarantine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &quarantine.Quarantine{Log: log}
}

// script is a script in testdata that is being played.
type script struct {
	t        *testing.T
	q        *quarantine.Quarantine
	attempts map[string]*quarantine.Attempt
}

// TestScripts plays the scripts in testdata. Each line has a time, a step and its operands.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &script{t: t, q: newQuarantine(), attempts: map[string]*quarantine.Attempt{}}
			for n, line := range strings.Split(string(text), "\n") {
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				fields := strings.Fields(line)
				s.step(fmt.Sprintf("line %d: %s", n+1, line), s.time(fields[0]), fields[1], fields[2:])
			}
		})
	}
}

func (s *script) time(text string) time.Time {
	d, err := time.ParseDuration(text)
	assert.NilError(s.t, err)
	return start.Add(d)
}

// upstream returns the upstream ADDRESS/ID, or the one whose address is its ID.
func upstream(name string) *route.Upstream {
	address, id, ok := strings.Cut(name, "/")
	if !ok {
		id = address
	}
	return &route.Upstream{ID: id, Address: address, Born: 1}
}

func partID(name string) uint64 {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		panic(err)
	}
	return id
}

// parts returns the traits with the IDs in hex. Those of whole requests begin with an equals
// sign.
func parts(names ...string) []quarantine.Trait {
	var traits []quarantine.Trait
	for _, name := range names {
		id, whole := strings.CutPrefix(name, "=")
		traits = append(traits, quarantine.Trait{ID: partID(id), Whole: whole})
	}
	return traits
}

func (s *script) step(line string, now time.Time, step string, args []string) {
	s.t.Helper()
	q := s.q
	switch step {
	case "send":
		a, refusal := q.Begin(now, upstream(args[1]), parts(args[2:]...), func() {})
		assert.Assert(s.t, refusal == nil, line)
		s.attempts[args[0]] = a
	case "event":
		s.attempts[args[0]].Event(now)
	case "listed":
		entries := map[string]*route.Upstream{}
		for _, name := range args {
			entries[upstream(name).ID] = upstream(name)
		}
		q.Listed(now, entries)
	case "break":
		s.attempts[args[0]].End(now, quarantine.Broken)
	case "end":
		outcomes := map[string]quarantine.Outcome{"served": quarantine.Served, "silent": quarantine.Silent, "other": quarantine.Other}
		s.attempts[args[0]].End(now, outcomes[args[1]])
	case "crashed":
		q.Crashed(now, upstream(args[0]))
	case "survived":
		q.Survived(upstream(args[0]))
	case "leaving":
		var us []*route.Upstream
		for _, name := range args {
			us = append(us, upstream(name))
		}
		q.Leaving(now, us)
	case "implicated":
		q.Apply(now, []quarantine.Fact{quarantine.Implicated{Trait: partID(args[0]), Crash: quarantine.CrashID(upstream(args[1])), At: s.time(args[2])}})
	case "convicted":
		at := s.time(args[1])
		q.Apply(now, []quarantine.Fact{quarantine.Convicted{Trait: partID(args[0]), At: at, Until: at.Add(10 * time.Minute), Crashes: 4}})
	default:
		s.expect(line, now, step, args)
	}
}

// expect checks a line that states what is expected.
func (s *script) expect(line string, now time.Time, step string, args []string) {
	s.t.Helper()
	switch step {
	case "quarantined":
		var got []string
		for _, v := range s.q.Verdicts(now) {
			got = append(got, quarantine.TraitName(v.Trait))
		}
		if args[0] == "none" {
			args = nil
		}
		assert.Equal(s.t, len(got), len(args), "%s: got %v", line, got)
		for _, name := range args {
			r := s.q.Check(now, parts(name))
			assert.Assert(s.t, r != nil && r.Quarantined, line)
		}
	case "refused":
		assert.Assert(s.t, s.q.Check(now, parts(args...)) != nil, line)
	case "withdrawn", "waiting":
		for _, name := range args {
			assert.Equal(s.t, s.attempts[name].Withdrawn(), step == "withdrawn", "%s: %s", line, name)
		}
	case "free":
		for _, name := range args {
			assert.Assert(s.t, s.q.Check(now, parts(name)) == nil, "%s: %s", line, name)
		}
	default:
		s.t.Fatalf("%s: unknown step", line)
	}
}

// TestCrashesAfterRestart guards against crashes that do not count because an earlier
// incarnation of the upstream has left.
func TestCrashesAfterRestart(t *testing.T) {
	q, now := newQuarantine(), start
	for i := range 3 {
		u := upstream(fmt.Sprintf("a%d/u%d", i, i))
		q.Leaving(now, []*route.Upstream{u})
		u.Born = 2
		crashOn(t, q, now, u)
		now = now.Add(time.Second)
	}
	assert.Assert(t, quarantined(q, now)[partID("aa")])
}

// TestCrashAfterUnclearBreak guards against the crash of an upstream that is not looked
// into, because it was not found out what an earlier break of a connection was.
func TestCrashAfterUnclearBreak(t *testing.T) {
	q, u := newQuarantine(), upstream("u1")
	for _, at := range []time.Duration{0, time.Minute} {
		a, refusal := q.Begin(start.Add(at), u, parts("aa"), func() {})
		assert.Assert(t, refusal == nil)
		assert.Assert(t, a.End(start.Add(at), quarantine.Broken), "the break at %s is not looked into", at)
	}
}

// crashOn lets an upstream crash on the part aa.
func crashOn(t *testing.T, q *quarantine.Quarantine, now time.Time, u *route.Upstream) {
	a, refusal := q.Begin(now, u, parts("aa"), func() {})
	assert.Assert(t, refusal == nil)
	a.End(now, quarantine.Broken)
	q.Crashed(now, u)
}
