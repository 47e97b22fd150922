package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMillis         = 10 * 60 * 1000 // longest time that a histogram records
	significantDigits = 3              // of the times that a histogram records
	percentile        = 95             // of the time to the first token, in the table
)

// Result is the outcome of one request as its caller observes it.
type Result struct {
	Class      string
	Outcome    string        // "ok", the type of the failure, "cut" or "unreachable"
	FirstToken time.Duration // time to the first token, or to the answer if it is not streamed
	Whole      time.Duration // time to the end of the answer
	Tokens     int

	last time.Duration // time to the last token of a stream
}

// meanGap returns the mean time between tokens, or zero for fewer than two
// tokens.
func (r *Result) meanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.last - r.FirstToken) / time.Duration(r.Tokens-1)
}

// Row summarises the results of one class.
type Row struct {
	Class      string
	Requests   int
	OK         int                     // complete answers
	Attained   int                     // complete answers that met all latency targets
	NotRun     int                     // requests that were refused without being run
	Other      int                     // requests with any other outcome
	Tokens     int                     // tokens of complete answers
	Wasted     int                     // tokens of incomplete answers
	firstToken *hdrhistogram.Histogram // times to the first token in milliseconds
}

// Results holds the results of a run by class. It is safe for concurrent use.
type Results struct {
	Duration time.Duration // duration of the scenario

	mu   sync.Mutex
	rows map[string]*Row
}

// newResults returns empty results.
func newResults(sc *Scenario) *Results {
	return &Results{Duration: sc.Duration, rows: map[string]*Row{}}
}

// add records the result of one request of a load.
func (rs *Results) add(l ClassLoad, r Result) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	row := rs.rows[r.Class]
	if row == nil {
		row = &Row{Class: r.Class, firstToken: hdrhistogram.New(1, maxMillis, significantDigits)}
		rs.rows[r.Class] = row
	}
	row.Requests++
	switch r.Outcome {
	case "ok":
		row.OK++
		row.Tokens += r.Tokens
		_ = row.firstToken.RecordValue(max(1, r.FirstToken.Milliseconds()))
		if meetsTargets(l, r) {
			row.Attained++
		}
	case "not_run":
		row.NotRun++
	default:
		row.Other++
		row.Wasted += r.Tokens
	}
}

// meetsTargets reports whether a complete answer met all latency targets of its
// class.
func meetsTargets(l ClassLoad, r Result) bool {
	within := func(measured, target time.Duration) bool { return target == 0 || measured <= target }
	return within(r.FirstToken, l.FirstToken) && within(r.meanGap(), l.BetweenToken) && within(r.Whole, l.Whole)
}

// Rows returns the rows of all classes in the order of their names.
func (rs *Results) Rows() []Row {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rows := make([]Row, 0, len(rs.rows))
	for _, r := range rs.rows {
		rows = append(rows, *r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Class < rows[j].Class })
	return rows
}

// Write prints the rows as a table. Goodput is in tokens per second.
func (rs *Results) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tREQUESTS\tOK\tATTAINED\tNOT RUN\tOTHER\tGOODPUT tok/s\tWASTED tok\tFIRST p95 ms")
	for _, r := range rs.Rows() {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%.1f\t%d\t%d\n", r.Class, r.Requests, r.OK,
			100*float64(r.Attained)/float64(max(1, r.Requests)), r.NotRun, r.Other,
			float64(r.Tokens)/rs.Duration.Seconds(), r.Wasted, r.firstToken.ValueAtQuantile(percentile))
	}
	return w.Flush()
}
