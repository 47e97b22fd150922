package admission

import (
	"math"
	"sync"
	"time"
)

const (
	rankCount = 10 // a less urgent rank counts as the last

	// freshWaitShare is the share of the target that the work ahead may take of a request
	// that can be in time. More urgent requests that arrive later overtake it.
	freshWaitShare = 0.5
	// lateWaitShare replaces freshWaitShare for a request that can only be late, so that it
	// takes no room from those that can be in time.
	lateWaitShare = 0.25
	// excessWaitShare is the share for a request of an organisation that sends many times its
	// usual load, so that it takes no room from those of others.
	excessWaitShare = 0.1
	// holdPeriod is the time after which a held request is decided on again, as a share of
	// the target. A held request loses at most that much time.
	holdPeriod    = 0.05
	minHoldPeriod = 5 * time.Millisecond
	// overLifetime is the time for which a rank counts as over its capacity after a request of
	// it was held.
	overLifetime = 500 * time.Millisecond
	// presentLifetime is the time for which a rank counts as served after a request of it was
	// admitted.
	presentLifetime = time.Second
	// deadlineTolerance is the factor by which a prediction must exceed the time left before
	// a request counts as hopeless; predictions are rarely off by more.
	deadlineTolerance = 1.25
	// holdTolerance is the factor by which the time left must exceed the prediction for a
	// request to be held further: more urgent requests overtake it once it is sent.
	holdTolerance = 1.5
	// floorTimeouts is the number of route timeouts after which a rank of which no request
	// was admitted gets one admitted, so that no rank starves.
	floorTimeouts = 0.25

	minRetryAfter   = 100 * time.Millisecond
	retryAfterShare = 0.32             // callers honour up to a third of the time that they have left
	goldenRatio     = 0.61803398874989 // its multiples are spread evenly modulo one
)

// Request is a request as the gate sees it.
type Request struct {
	Rank         int
	Organisation string
	Tokens       int           // that an upstream would hold for it
	Aim          time.Duration // target for the first event; zero if there is none
	Timeout      time.Duration // of the route
	TimeLeft     time.Duration // until the caller's deadline
	Held         bool          // whether it was held back before
}

// Outlook is what the upstreams of a pool are predicted to do with a request.
type Outlook struct {
	First    time.Duration // time to the first event at the best upstream
	Wait     time.Duration // part of First that the work of others causes
	Answer   time.Duration // from the first event to the end
	FreeSlot bool          // whether an upstream that may get the request has a free slot
}

// Cause is the reason of a refusal.
type Cause string

// The causes of a refusal.
const (
	Admitted     Cause = ""             // not refused
	Deadline     Cause = "deadline"     // no upstream can answer in time
	Capacity     Cause = "capacity"     // the pool is over its capacity, and no time is left to wait
	Organisation Cause = "organisation" // the same, and the organisation sends many times its usual load
	NoRoom       Cause = "room"         // no upstream had room until no time was left to wait
	TooLarge     Cause = "size"         // no upstream can hold the request
)

const causeCount = 5

// Causes are all causes of a refusal.
var Causes = [causeCount]Cause{Deadline, Capacity, Organisation, NoRoom, TooLarge}

// Decision is what happens to a request. The zero value means that it is sent.
type Decision struct {
	Hold       time.Duration // time after which it is decided on again
	Cause      Cause         // of a refusal
	RetryAfter time.Duration // of a refusal
}

// rankState is the state of one rank.
type rankState struct {
	overUntil  time.Time // until then the rank counts as over its capacity
	admittedAt time.Time
}

// Gate decides which requests for one pool are sent, held back or refused because time is
// short. It answers the load of a deployment on which late answers are worth half of those in
// time and engines serve urgent requests first. The zero value is ready for use.
//
// If the work ahead takes too much of its target, a request of the least urgent rank that is
// served is held back, those that can only be late longer than those that can be in time. So
// the engines' queues stay short, as many as possible are in time, and the others are served
// when the peak is over. A more urgent rank is held back only once no less urgent one is
// served.
//
// A request is refused
//   - at once, if no upstream is predicted to end it before its deadline, or
//   - if it was held back until no time is left, and no slot is free or its organisation sends
//     many times its usual load.
//
// The requests that such an organisation sends beyond twice its usual load wait until those of
// others have left the engines little to do, whatever their rank.
//
// The outlook includes the counts of all instances, so that instances agree without a message.
type Gate struct {
	Seed uint64 // differs between instances, so that callers that they refuse do not return together

	mu       sync.Mutex
	ranks    [rankCount]rankState
	usual    usualLoad
	refusals uint64
}

// Decide decides on a request that was not sent yet. The request is new the first time.
func (g *Gate) Decide(now time.Time, r Request, o Outlook) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := min(max(r.Rank, 0), rankCount-1)
	if !r.Held {
		g.usual.observe(now, r.Organisation, r.Tokens)
	}
	if float64(o.First+o.Answer) > deadlineTolerance*float64(r.TimeLeft) {
		return g.refuse(r, o, Deadline)
	}
	excessive := g.usual.excessive(r.Organisation, r.Tokens)
	if !g.mustWait(now, rank, r, o, excessive) {
		return g.admit(now, rank, r)
	}
	if !excessive {
		g.ranks[rank].overUntil = now.Add(overLifetime)
	}
	hold := max(time.Duration(holdPeriod*float64(r.Aim)), minHoldPeriod)
	if float64(o.First+o.Answer+hold) <= float64(r.TimeLeft)/holdTolerance {
		return Decision{Hold: hold}
	}
	switch {
	case excessive:
		return g.refuse(r, o, Organisation)
	case o.FreeSlot && o.Wait <= r.Aim:
		return g.admit(now, rank, r)
	}
	return g.refuse(r, o, Capacity)
}

func (g *Gate) admit(now time.Time, rank int, r Request) Decision {
	g.ranks[rank].admittedAt = now
	g.usual.admit(r.Organisation, r.Tokens)
	return Decision{}
}

// mustWait reports whether the request is to give way to others.
func (g *Gate) mustWait(now time.Time, rank int, r Request, o Outlook, excessive bool) bool {
	if r.Aim <= 0 || g.floorDue(now, rank, r) {
		return false
	}
	share := freshWaitShare
	switch {
	case excessive:
		share = excessWaitShare
	case r.Timeout-r.TimeLeft+o.First > r.Aim:
		share = lateWaitShare
	}
	if o.Wait.Seconds() <= share*r.Aim.Seconds() {
		return false
	}
	return g.moreUrgentOver(now, rank) || !g.lessUrgentServed(now, rank)
}

// floorDue reports whether the rank has had no request admitted for so long that one is, so
// that it does not starve.
func (g *Gate) floorDue(now time.Time, rank int, r Request) bool {
	return now.Sub(g.ranks[rank].admittedAt).Seconds() > floorTimeouts*r.Timeout.Seconds()
}

// moreUrgentOver reports whether a more urgent rank is over its capacity.
func (g *Gate) moreUrgentOver(now time.Time, rank int) bool {
	for i := range g.ranks[:rank] {
		if now.Before(g.ranks[i].overUntil) {
			return true
		}
	}
	return false
}

// lessUrgentServed reports whether a request of a less urgent rank was admitted a short time
// ago.
func (g *Gate) lessUrgentServed(now time.Time, rank int) bool {
	for i := range g.ranks[rank+1:] {
		if now.Sub(g.ranks[rank+1+i].admittedAt) < presentLifetime {
			return true
		}
	}
	return false
}

// refuse returns a refusal.
func (g *Gate) refuse(r Request, o Outlook, cause Cause) Decision {
	g.refusals++
	excess := o.First - r.Aim
	if cause == Deadline {
		excess = o.First + o.Answer - r.TimeLeft
	}
	return Decision{Cause: cause, RetryAfter: RetryAfter(excess, r.TimeLeft, g.Seed+g.refusals)}
}

// RetryAfter returns when a refused caller is to come back: when the work that is too much is
// predicted to be done, up to as long again later by its number among the refused ones, but
// within the time for which callers wait.
func RetryAfter(drain, left time.Duration, number uint64) time.Duration {
	_, spread := math.Modf(float64(number%(1<<32)) * goldenRatio)
	wait := time.Duration(float64(max(drain, minRetryAfter)) * (1 + spread))
	longest := time.Duration(retryAfterShare * float64(left))
	if wait <= longest {
		return wait
	}
	return max(time.Duration(float64(longest)*(1+spread)/2), time.Millisecond)
}
