package world

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCalm checks that without faults every request gets its answer.
func TestCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, options{instances: 4, engines: 6, services: 2, queueLimit: 100, batch: 8})
		defer w.close()
		w.begin()
		w.demand(10, time.Minute)
		w.checkRuns()
		for end, n := range w.ends {
			t.Log(end, n)
			if end[len(end)-2:] != "ok" {
				t.Errorf("%d requests ended as %s", n, end)
			}
		}
	})
}
