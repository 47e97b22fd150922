package experiment

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/invariant"
	"knapweedwell/pool"
)

// TestScenarios runs the first minute of each scenario at 1.5 times the
// capacity and checks that the invariants of package pool hold and that each
// request ends.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			sc, err := Read(path)
			assert.NilError(t, err)
			sc.Duration = time.Minute
			for _, policy := range []pool.Policy{pool.Tiered, pool.FIFO, pool.LeastReported} {
				run := &Run{Scenario: sc, Policy: policy, Load: 1.5, Seed: 1, Check: &invariant.Checker{Panic: true}}
				for _, row := range run.Do().Rows() {
					ended := row.OK + row.Shed + row.Waited + row.Lost
					assert.Equal(t, ended, row.Requests, "class %s with policy %s: some requests have not ended", row.Class, policy)
				}
			}
		})
	}
}
