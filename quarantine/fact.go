package quarantine

import "time"

// Fact is something about a trait that instances share. Facts may be applied
// in any order and more than once.
type Fact interface {
	fact()
}

// Implicated means that a request with the trait was at an upstream when that upstream
// crashed: one with the part that had no event yet, or the whole request before the end of
// its answer. Facts with the same trait and crash are one.
type Implicated struct {
	Trait uint64
	Place int    // of the trait in the request, from 0; a higher one is shared by fewer requests
	Crash uint64 // as CrashID returns it
	At    time.Time
}

// Answered means that an upstream has answered a request with the trait and survived it.
type Answered struct {
	Trait uint64
	At    time.Time
}

// Convicted means that the trait is held to crash upstreams. Requests with it are refused
// until the verdict ends.
type Convicted struct {
	Trait   uint64
	At      time.Time
	Until   time.Time
	Crashes int  // number of crashes that it is based on
	Whole   bool // the trait is a whole request; false from earlier builds
}

// Released means that a verdict has ended because an upstream answered a request with the
// trait.
type Released struct {
	Trait uint64
	At    time.Time
}

// Noun returns what the verdict is on, as it is logged.
func (c Convicted) Noun() string {
	if c.Whole {
		return "request"
	}
	return "prompt part"
}

func (Implicated) fact() {}
func (Answered) fact()   {}
func (Convicted) fact()  {}
func (Released) fact()   {}
