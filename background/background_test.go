package background

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNoRunAtOnceAfterLongRun guards against a second run without a pause after one that
// took longer than the period.
func TestNoRunAtOnceAfterLongRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		begun := time.Now()
		var starts []time.Duration
		g.Every(time.Second, func(context.Context, time.Time) {
			starts = append(starts, time.Since(begun))
			if len(starts) == 1 {
				time.Sleep(1500 * time.Millisecond)
			}
		})
		time.Sleep(4700 * time.Millisecond)
		g.Close()
		assert.DeepEqual(t, starts, []time.Duration{time.Second, 3500 * time.Millisecond, 4500 * time.Millisecond})
	})
}
