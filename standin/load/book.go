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
	maxMillis = 10 * 60 * 1000 // maxMillis bounds the recorded times.
	digits    = 3              // digits are the significant digits of recorded times.
	quantile  = 95
)

// Result is what a caller saw of one request.
type Result struct {
	Class  string
	End    string // End is "ok", the type of the failure, "cut" or "unreachable".
	First  time.Duration
	Whole  time.Duration
	Tokens int

	last time.Duration
}

// meanGap returns the mean time between tokens.
func (r *Result) meanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.last - r.First) / time.Duration(r.Tokens-1)
}

// Row sums up one class.
type Row struct {
	Class    string
	Requests int
	OK       int
	Attained int
	NotRun   int
	Other    int
	Tokens   int
	Wasted   int // Wasted counts tokens of answers that were cut.
	first    *hdrhistogram.Histogram
}

// Book sums up the results of a run.
type Book struct {
	Duration time.Duration

	mu   sync.Mutex
	rows map[string]*Row
}

func newBook(sc *Scenario) *Book {
	return &Book{Duration: sc.Duration, rows: map[string]*Row{}}
}

func (b *Book) add(s Stream, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.rows[r.Class]
	if row == nil {
		row = &Row{Class: r.Class, first: hdrhistogram.New(1, maxMillis, digits)}
		b.rows[r.Class] = row
	}
	row.Requests++
	switch r.End {
	case "ok":
		row.OK++
		row.Tokens += r.Tokens
		_ = row.first.RecordValue(max(1, r.First.Milliseconds()))
		if attained(s, r) {
			row.Attained++
		}
	case "not_run":
		row.NotRun++
	default:
		row.Other++
		row.Wasted += r.Tokens
	}
}

func attained(s Stream, r Result) bool {
	within := func(seen, target time.Duration) bool { return target == 0 || seen <= target }
	return within(r.First, s.FirstToken) && within(r.meanGap(), s.Between) && within(r.Whole, s.Whole)
}

// Rows returns the sums by class.
func (b *Book) Rows() []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make([]Row, 0, len(b.rows))
	for _, r := range b.rows {
		rows = append(rows, *r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Class < rows[j].Class })
	return rows
}

// Write prints the table by class.
func (b *Book) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tREQUESTS\tOK\tATTAINED\tNOT RUN\tOTHER\tGOODPUT tok/s\tWASTED tok\tFIRST p95 ms")
	for _, r := range b.Rows() {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%.1f\t%d\t%d\n", r.Class, r.Requests, r.OK,
			100*float64(r.Attained)/float64(max(1, r.Requests)), r.NotRun, r.Other,
			float64(r.Tokens)/b.Duration.Seconds(), r.Wasted, r.first.ValueAtQuantile(quantile))
	}
	return w.Flush()
}
