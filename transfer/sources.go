package transfer

import (
	"math/rand/v2"
	"time"
)

const (
	maxSources  = 32
	maxFailures = 2 // in a row, after which a source is no longer asked
	// A source that is busy or has failed is asked again after minRetry, and after twice
	// the time each further time, up to maxRetry. The times are up to half longer at
	// random.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
)

// source is an instance that has a version.
type source struct {
	version  int64
	failures int
	retry    time.Duration
	retryAt  time.Time
}

// sources are the instances from which a newer version can be read, by peer address.
type sources struct {
	known   map[string]*source
	refused map[string]int64 // versions of instances that were not valid
}

func newSources() sources {
	return sources{known: map[string]*source{}, refused: map[string]int64{}}
}

// add records that an instance has a version. If there are too many, another one is
// forgotten.
func (ss *sources) add(address string, version int64) {
	if refused, ok := ss.refused[address]; ok && version <= refused {
		return
	}
	if s := ss.known[address]; s != nil {
		s.version = max(s.version, version)
		return
	}
	if len(ss.known) >= maxSources {
		for other := range ss.known {
			delete(ss.known, other)
			break
		}
	}
	ss.known[address] = &source{version: version}
}

// drop forgets the sources without a version above the given one.
func (ss *sources) drop(version int64) {
	for address, s := range ss.known {
		if s.version <= version {
			delete(ss.known, address)
		}
	}
}

// any reports whether an instance has a version above the given one.
func (ss *sources) any(version int64) bool {
	ss.drop(version)
	return len(ss.known) > 0
}

// next returns the instance to ask, the current one if it can be asked, and the time until
// one can be asked. It reports false if there is none.
func (ss *sources) next(now time.Time, current string, version int64) (address string, wait time.Duration, ok bool) {
	if !ss.any(version) {
		return "", 0, false
	}
	wait = maxRetry
	for a, s := range ss.known {
		left := s.retryAt.Sub(now)
		switch {
		case left > 0:
			wait = min(wait, left)
		case a == current:
			return a, 0, true
		case address == "" || s.failures < ss.known[address].failures:
			address = a
		}
	}
	if address != "" {
		wait = 0
	}
	return address, wait, true
}

// postpone puts off the next question to an instance.
func (ss *sources) postpone(now time.Time, address string) {
	s := ss.known[address]
	if s == nil {
		return
	}
	s.retry = min(max(s.retry*2, minRetry), maxRetry)
	s.retryAt = now.Add(s.retry + rand.N(s.retry/2))
}

// succeeded records that an instance has sent a part.
func (ss *sources) succeeded(address string) {
	if s := ss.known[address]; s != nil {
		s.failures, s.retry = 0, 0
	}
}

// failed records that an instance has not answered. One that has failed too often is
// forgotten until it is named again.
func (ss *sources) failed(now time.Time, address string) {
	ss.postpone(now, address)
	if s := ss.known[address]; s != nil {
		if s.failures++; s.failures >= maxFailures {
			delete(ss.known, address)
		}
	}
}

// refuse records that the version of an instance is not valid, so that it is not read
// again from there.
func (ss *sources) refuse(address string, version int64) {
	delete(ss.known, address)
	if len(ss.refused) >= maxSources {
		clear(ss.refused)
	}
	ss.refused[address] = version
}
