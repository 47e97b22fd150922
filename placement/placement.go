// Package placement chooses the upstream for one request: the one with the
// least predicted time to the first token.
package placement

import "time"

// Candidate is one upstream with a free place.
type Candidate struct {
	Name      string
	Running   int           // Running is the requests granted here.
	Foreign   int           // Foreign is the load reported beyond those granted here.
	Limit     int           // Limit is the requests that may run at once.
	TokenTime time.Duration // TokenTime is the mean time between tokens seen on it.
	Prefix    bool          // Prefix tells that the prompt's prefix was sent to it lately.
	Faults    int           // Faults counts its recent failures.
	SameZone  bool          // SameZone tells that it is in the holder's availability zone.
}

const (
	prefillPerToken  = 200 * time.Microsecond // prefillPerToken is the time to read one prompt token.
	cachedShare      = 0.2                    // cachedShare is the prefill left after a prefix hit.
	defaultTokenTime = 30 * time.Millisecond
	faultPenalty     = 2 * time.Second
	zonePenalty      = time.Millisecond
)

// Predict returns the predicted time to the first token of a request with the
// given prompt on the candidate.
func Predict(c Candidate, promptTokens int) time.Duration {
	prefill := float64(prefillPerToken) * float64(promptTokens)
	if c.Prefix {
		prefill *= cachedShare
	}
	token := c.TokenTime
	if token == 0 {
		token = defaultTokenTime
	}
	busy := float64(c.Running+c.Foreign) / float64(max(c.Limit, 1))
	t := time.Duration(prefill*(1+busy)) + time.Duration(float64(token)*(1+busy))
	t += time.Duration(c.Faults) * faultPenalty
	if !c.SameZone {
		t += zonePenalty
	}
	return t
}

// Choose returns the index of the candidate with the least predicted time to
// the first token, the first of equals, or -1 if there are none.
func Choose(cs []Candidate, promptTokens int) int {
	best := -1
	var least time.Duration
	for i, c := range cs {
		t := Predict(c, promptTokens)
		if best < 0 || t < least {
			best, least = i, t
		}
	}
	return best
}
