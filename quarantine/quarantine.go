package quarantine

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Quarantine holds what is known of the prompt parts that may crash upstreams. The
// exported fields are set before the first call.
type Quarantine struct {
	Log logrus.FieldLogger
	// OnChange is called after this instance has learned a fact by itself, so that it
	// can be sent at once; may be nil.
	OnChange func()

	mu         sync.Mutex
	generation uint64
}

// Apply applies facts from other instances or from the store.
func (q *Quarantine) Apply(now time.Time, facts []Fact) {}

// Facts returns the facts that other instances need, the most important first.
func (q *Quarantine) Facts(now time.Time) []Fact { return nil }

// Generation returns a number that rises whenever the result of Facts gains a fact.
func (q *Quarantine) Generation() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.generation
}

// Verdicts returns the verdicts in force.
func (q *Quarantine) Verdicts(now time.Time) []Convicted { return nil }
