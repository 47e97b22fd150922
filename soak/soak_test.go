package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// buildDaemon builds knapweedwelld and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "knapweedwelld")
	out, err := exec.Command("go", "build", "-o", path, "knapweedwell/cmd/knapweedwelld").CombinedOutput()
	assert.NilError(t, err, string(out))
	return path
}

// TestShort runs a short soak with the default seed and with each seed that has
// failed before.
func TestShort(t *testing.T) {
	if testing.Short() {
		t.Skip("a soak runs for more than 15 s")
	}
	daemon := buildDaemon(t)
	for _, c := range regressions {
		t.Run(fmt.Sprintf("seed=%d", c.seed), func(t *testing.T) {
			t.Parallel()
			dir, err := os.MkdirTemp("", "soak")
			assert.NilError(t, err)
			r, err := Run(Options{
				Seed: c.seed, Length: c.length, Instances: c.instances, Upstreams: 3, Rate: 30, Series: 3,
				Program: daemon, Dir: dir, Out: t.Output(),
			})
			assert.NilError(t, err)
			for _, v := range r.Violations {
				t.Errorf("%s %s: %s", v.At, v.Promise, v.Detail)
			}
			if t.Failed() {
				t.Logf("rerun: go run ./cmd/soak -seed %d -length %s -instances %d -upstreams 3 -rate 30; logs are in %s", c.seed, c.length, c.instances, dir)
				return
			}
			for _, promise := range []string{ownAnswer, atMostOnce, unchanged, neverReverts, recovers, invariants} {
				assert.Assert(t, r.Checks[promise] > 0, "promise %q was never checked", promise)
			}
			assert.NilError(t, os.RemoveAll(dir))
		})
	}
}

// regressions are the runs of TestShort: the default one, and one for each seed
// that has failed before, with the cause of the failure.
var regressions = []struct {
	seed      uint64
	length    time.Duration
	instances int
	cause     string
}{
	{1, 15 * time.Second, 4, "none: the default run"},
	{24, 20 * time.Second, 5, "a second stop signal cut off the requests in progress"},
}
