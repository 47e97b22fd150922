package intake

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Reason is why a client was refused or its connection closed.
type Reason int

// Reasons for which clients are dropped.
const (
	LargeHead   Reason = iota // the head is larger than allowed
	Malformed                 // the bytes are no request, or their end is ambiguous
	NoBytes                   // the bytes of unfinished inputs are exhausted
	NoPlace                   // all connections of the port are taken by requests in progress
	Unfinished                // a connection without a whole request gave way to a new one
	IdleTooLong               // an idle connection gave way to a new one
	reasons
)

// Names of the reasons in metrics and in logs.
var (
	names    = [reasons]string{"large_head", "malformed", "no_bytes", "no_place", "unfinished", "idle"}
	logNames = [reasons]string{"LargeHead", "Malformed", "NoBytes", "NoPlace", "Unfinished", "Idle"}
)

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	return names[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Drops counts dropped clients by reason and logs the counts at most once a second. Log is
// set before the first use; if it is nil, nothing is logged. A nil *Drops counts nothing.
type Drops struct {
	Log logrus.FieldLogger

	counts   [reasons]atomic.Int64
	loggedAt atomic.Int64 // Unix seconds
}

// Add counts one dropped client.
func (d *Drops) Add(r Reason) {
	if d == nil {
		return
	}
	d.counts[r].Add(1)
	now, last := time.Now().Unix(), d.loggedAt.Load()
	if d.Log == nil || now == last || !d.loggedAt.CompareAndSwap(last, now) {
		return
	}
	fields := logrus.Fields{"Reason": logNames[r]}
	for _, each := range Reasons() {
		if n := d.Count(each); n > 0 {
			fields[logNames[each]] = n
		}
	}
	d.Log.WithFields(fields).Warn("clients are refused or their connections closed")
}

// Count returns how many clients were dropped for the reason.
func (d *Drops) Count(r Reason) int64 {
	if d == nil {
		return 0
	}
	return d.counts[r].Load()
}
