package balancer

import (
	"math"
	"math/bits"
	"time"
)

const (
	speedAgeUnit       = 25 * time.Millisecond // bound of the first class of ages; each further class is four times as long
	speedAgeClasses    = 7                     // the last one begins at 25.6 s
	speedStep          = 0.005                 // weight of one value in the mean and variance of a pool
	speedDifferStep    = 0.005                 // weight of one pair of values in the mean square of its class of ages
	speedOwnStep       = 0.1                   // weight of one value in the mean of its upstream
	speedPriorHalfLife = 500 * time.Millisecond
	speedPriorPairs    = 8    // pairs of values that the assumed correlation weighs as much as
	minSpeedVariance   = 1e-6 // below it all values are equal, up to rounding
	// A stated value is bounded so that one wrong statement keeps no upstream out of use.
	maxStatedSlowdown = 8.0
)

// speedStats learns from the slowdowns that the upstreams of a pool state how much an old
// value predicts. A slowdown is the time that work takes at an upstream relative to the usual
// time; all values are natural logarithms.
//
// It answers machines whose speed changes many times a second: a value that is older than
// the changes says nothing, and following it moves load to upstreams at random.
type speedStats struct {
	samples  int
	mean     float64
	variance float64
	differ   [speedAgeClasses]float64 // mean square of the difference of two values, by the time between them
	pairs    [speedAgeClasses]int

	weights [speedAgeClasses]float64 // correlation of a value with the present one, by age
}

// speed is what one upstream has stated of its speed.
type speed struct {
	log  float64 // slowdown in the latest answer that states one
	mean float64 // moving average of these values
	at   time.Time

	inverseMean float64 // one divided by the slowdown of the mean
}

// speedAgeClass returns the class of an age.
func speedAgeClass(age time.Duration) int {
	return min((bits.Len64(uint64(max(age, 0)/speedAgeUnit))+1)/2, speedAgeClasses-1)
}

// speedAge returns an age in the middle of a class.
func speedAge(class int) time.Duration {
	return (speedAgeUnit << (2 * class)) / 2
}

// observe records the slowdown that an upstream has stated.
func (st *speedStats) observe(now time.Time, v *speed, slowdown float64) {
	x := math.Log(min(max(slowdown, 1/maxStatedSlowdown), maxStatedSlowdown))
	st.samples++
	step := max(speedStep, 1/float64(st.samples))
	st.variance += step * ((x-st.mean)*(x-st.mean) - st.variance)
	st.mean += step * (x - st.mean)
	if v.at.IsZero() {
		v.mean = x
	} else {
		class := speedAgeClass(now.Sub(v.at))
		st.pairs[class]++
		d := x - v.log
		st.differ[class] += max(speedDifferStep, 1/float64(st.pairs[class])) * (d*d - st.differ[class])
		v.mean += speedOwnStep * (x - v.mean)
	}
	v.log, v.at, v.inverseMean = x, now, math.Exp(-v.mean)
	st.updateWeights()
}

// updateWeights computes the correlations. They do not increase with age.
func (st *speedStats) updateWeights() {
	most := 1.0
	for class := range st.weights {
		learned := 1.0
		if st.variance > minSpeedVariance {
			learned = min(max(1-st.differ[class]/(2*st.variance), 0), 1)
		}
		n := float64(st.pairs[class])
		prior := decay(speedAge(class), speedPriorHalfLife)
		most = min(most, (learned*n+prior*speedPriorPairs)/(n+speedPriorPairs))
		st.weights[class] = most
	}
}

// logSlowdown returns the expected present value of an upstream, zero (as usual) if it has
// stated none.
func (st *speedStats) logSlowdown(now time.Time, v *speed) float64 {
	if v.at.IsZero() {
		return 0
	}
	return st.mean + st.weights[speedAgeClass(now.Sub(v.at))]*(v.log-st.mean)
}

// slowdowns returns the expected slowdown of an upstream now, and that relative to its
// own mean. Both are one if it has stated none.
func (st *speedStats) slowdowns(now time.Time, v *speed) (slowdown, relative float64) {
	if v.at.IsZero() {
		return 1, 1
	}
	slowdown = math.Exp(st.logSlowdown(now, v))
	return slowdown, slowdown * v.inverseMean
}

// Slowdown records the time that work takes at the upstream now, relative to the usual time,
// as the upstream states it in an answer.
func (a *Attempt) Slowdown(now time.Time, slowdown float64) {
	if !(slowdown > 0) {
		return
	}
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.picker.poolStats(a.pool.Name).speeds.observe(now, &a.state.speed, slowdown)
}

// usualSlowdown returns the slowdown that the choice was based on, one if it states none.
func (c Choice) usualSlowdown() float64 {
	if c.slowdown <= 0 {
		return 1
	}
	return c.slowdown
}
