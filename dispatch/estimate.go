package dispatch

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"knapweedwell/request"
)

const (
	lengthQuantile   = 0.7  // quantile of answer lengths that is expected
	lengthStep       = 0.05 // relative step of the estimate
	retriesPerSecond = 20
	retryBurst       = 100
)

// answerLengths estimates a quantile of answer lengths in tokens for each class
// by stochastic approximation: the estimate rises by a step times the quantile on
// a longer answer and falls by a step times one minus the quantile on a shorter
// one.
type answerLengths struct {
	mu        sync.Mutex
	estimates map[string]float64
}

// expected returns the expected length of the request's answer in tokens. It is
// at most the MaxTokens of the request.
func (l *answerLengths) expected(req *request.Request) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.estimates[req.Class]
	if n == 0 {
		n = defaultAnswerTokens
	}
	if req.MaxTokens > 0 {
		n = math.Min(n, float64(req.MaxTokens))
	}
	return n
}

// update adjusts the estimate of a class by the length of one answer in tokens.
func (l *answerLengths) update(class string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.estimates == nil {
		l.estimates = map[string]float64{}
	}
	n := l.estimates[class]
	if n == 0 {
		n = defaultAnswerTokens
	}
	if float64(tokens) > n {
		n *= 1 + lengthStep*lengthQuantile
	} else {
		n *= 1 - lengthStep*(1-lengthQuantile)
	}
	l.estimates[class] = math.Max(n, 1)
}

// retryLimiter limits the rate of retries of one instance, so that retries do not
// overload a failing upstream.
type retryLimiter struct {
	once    sync.Once
	limiter *rate.Limiter
}

func (l *retryLimiter) take(now time.Time) bool {
	l.once.Do(func() { l.limiter = rate.NewLimiter(retriesPerSecond, retryBurst) })
	return l.limiter.AllowN(now, 1)
}
