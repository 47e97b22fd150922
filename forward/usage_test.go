package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/route"
	"knapweedwell/usage"
)

// TestRetryCountsOnce guards against a request that is counted again when it runs once more.
func TestRetryCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		u := &usage.Service{
			Identity: "entry-1@1", Window: 5 * time.Second, Elapsed: func() time.Duration { return time.Since(start) }, Instances: func() int { return 1 },
			Send: func(_, _ []usage.Message) {},
		}
		assert.NilError(t, u.Run(nil))
		defer u.Close()
		rs := &requestState{s: &Server{Usage: u}, pool: &route.Pool{Name: "p"}, organisation: &route.Organisation{Name: "o"}}
		rs.countBegun()
		rs.countBegun()
		time.Sleep(5 * time.Second)
		begun := 0.0
		for _, d := range u.Demand(time.Now())["p"] {
			begun += d.Begun
		}
		assert.Equal(t, begun, 1.0)
	})
}
