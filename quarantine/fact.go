package quarantine

import "time"

// Fact is something about a prompt part that instances share. Facts may be applied
// in any order and more than once.
type Fact interface {
	fact()
}

// Implicated means that a request with the part had no event yet at an upstream when
// that upstream crashed. Facts with the same part and crash are one.
type Implicated struct {
	Part  uint64
	Place int    // of the part in the prompt, from 0
	Crash uint64 // as CrashID returns it
	At    time.Time
}

// Answered means that an upstream has answered a request with the part and survived it.
type Answered struct {
	Part uint64
	At   time.Time
}

// Convicted means that the part is held to crash upstreams. Requests with it are refused
// until the verdict ends.
type Convicted struct {
	Part    uint64
	At      time.Time
	Until   time.Time
	Crashes int // number of crashes that it is based on
}

// Released means that a verdict has ended because an upstream answered a request with the
// part.
type Released struct {
	Part uint64
	At   time.Time
}

func (Implicated) fact() {}
func (Answered) fact()   {}
func (Convicted) fact()  {}
func (Released) fact()   {}
