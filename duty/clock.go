package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time by two clocks. A suspension of the machine stops the first one.
type Instant struct {
	Awake   time.Time     // with the reading of the monotonic clock
	Elapsed time.Duration // reading of CLOCK_BOOTTIME
}

// atMost returns an upper bound of the time from another instant to this one.
func (i Instant) atMost(from Instant) time.Duration {
	return max(i.Awake.Sub(from.Awake), i.Elapsed-from.Elapsed)
}

// atLeast returns a lower bound of the time from another instant to this one.
func (i Instant) atLeast(from Instant) time.Duration {
	return min(i.Awake.Sub(from.Awake), i.Elapsed-from.Elapsed)
}

// Boottime returns the time since the machine was started, suspensions included.
func Boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has the clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
