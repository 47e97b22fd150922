package dispatch

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"knapweedwell/request"
)

const (
	quantile     = 0.7  // quantile of answer lengths that is expected.
	quantileStep = 0.05 // quantileStep is the relative step of the estimate.
	retryRate    = 20   // retryRate is the retries allowed a second.
	retryBurst   = 100
)

// lengths estimates a quantile of answer lengths for each class by stochastic
// approximation: the estimate rises by a step times the quantile on a longer
// answer and falls by a step times one minus the quantile on a shorter one.
type lengths struct {
	mu       sync.Mutex
	estimate map[string]float64
}

// expect returns the expected tokens of the request's answer.
func (l *lengths) expect(req *request.Request) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.estimate[req.Class]
	if n == 0 {
		n = defaultToken
	}
	if req.MaxTokens > 0 {
		n = math.Min(n, float64(req.MaxTokens))
	}
	return n
}

// learn takes in the length of an answer.
func (l *lengths) learn(class string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.estimate == nil {
		l.estimate = map[string]float64{}
	}
	n := l.estimate[class]
	if n == 0 {
		n = defaultToken
	}
	if float64(tokens) > n {
		n *= 1 + quantileStep*quantile
	} else {
		n *= 1 - quantileStep*(1-quantile)
	}
	l.estimate[class] = math.Max(n, 1)
}

// budget limits the retries of one instance, so that a failing upstream is not
// buried in them.
type budget struct {
	once    sync.Once
	limiter *rate.Limiter
}

func (b *budget) take(now time.Time) bool {
	b.once.Do(func() { b.limiter = rate.NewLimiter(retryRate, retryBurst) })
	return b.limiter.AllowN(now, 1)
}
