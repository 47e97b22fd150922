// Package placement chooses the upstream for one request: the one with the
// shortest predicted time to the first token. It is used for the chat interface,
// by package pool. An instance that serves routes uses package balancer instead.
package placement

import "time"

// Candidate is an upstream that may run the request.
type Candidate struct {
	Name      string
	Running   int           // requests granted by this shard
	Foreign   int           // reported requests beyond those, less a margin, because reports are late
	Limit     int           // requests that may run at once
	TokenTime time.Duration // observed mean time between tokens; zero if unknown
	PrefixHit bool          // a request with the same start of its body was recently granted to it
	Faults    int           // recent failures
	SameZone  bool          // it is in the holder's availability zone
}

const (
	prefillPerToken  = 200 * time.Microsecond // time to read one prompt token
	prefixHitFactor  = 0.2                    // fraction of the prefill that remains after a prefix hit
	defaultTokenTime = 30 * time.Millisecond
	faultPenalty     = 2 * time.Second  // for each recent failure
	zonePenalty      = time.Millisecond // for an upstream in another zone
)

// Predict returns the predicted time to the first token of a request with the
// given number of prompt tokens on the candidate. The prefill and the time of one
// token grow in proportion to one plus the utilisation; failures and another zone
// add penalties.
func Predict(c Candidate, promptTokens int) time.Duration {
	prefill := float64(prefillPerToken) * float64(promptTokens)
	if c.PrefixHit {
		prefill *= prefixHitFactor
	}
	token := c.TokenTime
	if token == 0 {
		token = defaultTokenTime
	}
	utilisation := float64(c.Running+c.Foreign) / float64(max(c.Limit, 1))
	t := time.Duration(prefill*(1+utilisation)) + time.Duration(float64(token)*(1+utilisation))
	t += time.Duration(c.Faults) * faultPenalty
	if !c.SameZone {
		t += zonePenalty
	}
	return t
}

// Choose returns the index of the candidate with the shortest predicted time to
// the first token, the first among equals, or -1 if there are no candidates.
func Choose(cs []Candidate, promptTokens int) int {
	best := -1
	var shortest time.Duration
	for i, c := range cs {
		t := Predict(c, promptTokens)
		if best < 0 || t < shortest {
			best, shortest = i, t
		}
	}
	return best
}
