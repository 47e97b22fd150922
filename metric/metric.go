// Package metric counts requests and records their durations, by class and by
// organisation. The number of series is bounded by the number of configured
// classes and organisations.
package metric

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sample is the measurement of one ended request.
type Sample struct {
	Class        string
	Organisation string
	Result       string        // either "ok" or the type of the failure
	FirstToken   time.Duration // from the arrival of the request
	MeanGap      time.Duration // between tokens
	Whole        time.Duration // to the end of the answer
	Tokens       int
	Attained     bool // the latency targets of the class were met
}

// Totals holds the counts of one class.
type Totals struct {
	Class      string
	Requests   int64
	OK         int64
	Attained   int64
	Refused    int64
	Unknown    int64
	Failed     int64
	Preempted  int64
	Tokens     int64
	Wasted     int64         // tokens of answers that were cut off or discarded
	FirstToken time.Duration // sum over the requests counted in OK
}

// Registry holds the series of one instance.
type Registry struct {
	set *metrics.Set

	mu     sync.Mutex
	totals map[string]*Totals // by class
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{set: metrics.NewSet(), totals: map[string]*Totals{}}
}

// Gauge registers a gauge. Its value is that of f each time metrics are written.
func (r *Registry) Gauge(name string, f func() float64) {
	r.set.NewGauge(name, f)
}

// Observe records one ended request.
func (r *Registry) Observe(s Sample) {
	r.observeDurations("class", s.Class, s)
	r.observeDurations("organisation", s.Organisation, s)
	r.set.GetOrCreateCounter(fmt.Sprintf(`knapweedwell_requests_total{class=%q,result=%q}`, s.Class, s.Result)).Inc()
	if s.Attained {
		r.set.GetOrCreateCounter(fmt.Sprintf(`knapweedwell_attained_total{class=%q}`, s.Class)).Inc()
	}
	if s.Result == "ok" {
		r.set.GetOrCreateCounter(fmt.Sprintf(`knapweedwell_goodput_tokens_total{class=%q}`, s.Class)).Add(s.Tokens)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalsOf(s.Class).add(s)
}

// observeDurations records the durations of a successful request under one label.
func (r *Registry) observeDurations(label, value string, s Sample) {
	if s.Result != "ok" {
		return
	}
	r.histogram("first_token", label, value, s.FirstToken)
	r.histogram("between_tokens", label, value, s.MeanGap)
	r.histogram("whole_answer", label, value, s.Whole)
}

// histogram adds a duration to a histogram, in seconds. It ignores a duration that is
// not positive.
func (r *Registry) histogram(name, label, value string, d time.Duration) {
	if d <= 0 {
		return
	}
	r.set.GetOrCreateHistogram(fmt.Sprintf(`knapweedwell_%s_seconds{%s=%q}`, name, label, value)).Update(d.Seconds())
}

// ObserveConfigurationAge records how long ago the first instance had a version of the
// configuration that has come into force here.
func (r *Registry) ObserveConfigurationAge(d time.Duration) {
	r.set.GetOrCreateHistogram("knapweedwell_configuration_age_seconds").Update(d.Seconds())
}

// ObserveCutOff counts a request whose connection ends without a whole answer.
func (r *Registry) ObserveCutOff(cause string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`knapweedwell_cut_off_total{cause=%q}`, cause)).Inc()
}

// ObserveWaste counts the tokens of an answer that was cut off or discarded, and the
// preemption if that was the cause.
func (r *Registry) ObserveWaste(class string, tokens int, preempted bool) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`knapweedwell_wasted_tokens_total{class=%q}`, class)).Add(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.totalsOf(class)
	t.Wasted += int64(tokens)
	if preempted {
		t.Preempted++
	}
}

// totalsOf returns the totals of a class. The caller holds r.mu.
func (r *Registry) totalsOf(class string) *Totals {
	t := r.totals[class]
	if t == nil {
		t = &Totals{Class: class}
		r.totals[class] = t
	}
	return t
}

func (t *Totals) add(s Sample) {
	t.Requests++
	switch s.Result {
	case "ok":
		t.OK++
		t.Tokens += int64(s.Tokens)
		t.FirstToken += s.FirstToken
	case "not_run":
		t.Refused++
	case "outcome_unknown":
		t.Unknown++
	default:
		t.Failed++
	}
	if s.Attained {
		t.Attained++
	}
}

// Totals returns the counts of all classes, sorted by name.
func (r *Registry) Totals() []Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Totals, 0, len(r.totals))
	for _, t := range r.totals {
		all = append(all, *t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Class < all[j].Class })
	return all
}

// Write writes all series in the Prometheus text format.
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
}

// Merge adds the counts of the same class on another instance.
func (t *Totals) Merge(other Totals) {
	t.Requests += other.Requests
	t.OK += other.OK
	t.Attained += other.Attained
	t.Refused += other.Refused
	t.Unknown += other.Unknown
	t.Failed += other.Failed
	t.Preempted += other.Preempted
	t.Tokens += other.Tokens
	t.Wasted += other.Wasted
	t.FirstToken += other.FirstToken
}
