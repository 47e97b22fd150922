package usage

import "time"

// Demand is what the upstreams of one pool had to do, as rates over one interval and summed
// over the instances that the sample covers.
type Demand struct {
	At         time.Time     // end of the interval, by the local clock
	Age        time.Duration // time since then
	Interval   time.Duration
	ReadTokens float64 // prompt tokens a second that upstreams had to read
	Events     float64 // events a second that were written
	Begun      float64 // requests a second that upstreams began to run
	Streams    float64 // streams a second that ended
	LateFirst  float64 // of these, those whose first event missed its target
	LateGap    float64 // of these, those in which a gap missed its target
	Coverage   float64 // share of the running instances that are covered, from 0 to 1
}
