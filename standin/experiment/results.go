package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"text/tabwriter"
	"time"

	"knapweedwell/pool"
)

// Row summarises one class of one run.
type Row struct {
	Class          string
	Rank           int
	Requests       int
	OK             int   // completed requests
	Attained       int   // completed requests that met all latency targets
	Shed           int   // requests refused for any reason but the queue time-out
	Waited         int   // requests refused after the queue time-out
	Lost           int   // requests that failed and could not be retried
	Preempted      int   // preemptions
	Tokens         int   // tokens of completed requests
	InTime         int   // tokens of requests completed before the end of the demand
	Wasted         int   // tokens of failed or preempted attempts
	Feasible       int   // requests that an idle engine would serve on time
	Minutes        []int // completed requests by minute
	minuteRequests []int // requests by minute of arrival
	minuteTokens   []int // tokens of these requests, by minute of arrival
}

// Results holds the results of one run by class.
type Results struct {
	Scenario *Scenario
	rows     map[string]*Row
	open     int // number of requests that have not ended
}

// newResults returns empty results with a row for each class.
func newResults(sc *Scenario) *Results {
	rs := &Results{Scenario: sc, rows: map[string]*Row{}}
	minutes := int(sc.Duration/time.Minute) + 1
	for _, c := range sc.Classes {
		rs.rows[c.Name] = &Row{Class: c.Name, Rank: c.Rank, Minutes: make([]int, minutes), minuteRequests: make([]int, minutes), minuteTokens: make([]int, minutes)}
	}
	return rs
}

// recordArrival records a request that arrives at an age, the time since the
// start of the demand.
func (rs *Results) recordArrival(age time.Duration, req *request) {
	row := rs.rows[req.class.Name]
	row.Requests++
	rs.open++
	if rs.feasible(req) {
		row.Feasible++
	}
	if m := int(age / time.Minute); m < len(row.minuteRequests) {
		row.minuteRequests[m]++
		row.minuteTokens[m] += req.length
	}
}

// feasible reports whether an idle engine with the request's prefix in its
// cache would complete the request within the target for the complete answer.
func (rs *Results) feasible(req *request) bool {
	step := rs.Scenario.StepBase + rs.Scenario.StepPerSequence
	whole := rs.Scenario.PrefillPerToken*time.Duration(req.class.PromptTokens)/10 + step*time.Duration(req.length)
	return req.class.Whole == 0 || whole <= req.class.Whole
}

// recordRefusal records a request that a shard has refused.
func (rs *Results) recordRefusal(req *request, reason pool.Reason) {
	row := rs.rows[req.class.Name]
	rs.open--
	if reason == pool.WaitExpired {
		row.Waited++
		return
	}
	row.Shed++
}

// recordWaste records the tokens of a failed or preempted attempt.
func (rs *Results) recordWaste(req *request, tokens int) {
	rs.rows[req.class.Name].Wasted += tokens
}

// recordLoss records a request that failed and cannot be retried.
func (rs *Results) recordLoss(req *request) {
	rs.open--
	rs.rows[req.class.Name].Lost++
}

// recordPreemption records a preemption and the tokens that it discards.
func (rs *Results) recordPreemption(req *request, tokens int) {
	rs.recordWaste(req, tokens)
	rs.rows[req.class.Name].Preempted++
}

// recordCompletion records a sequence that is complete at an age, the time
// since the start of the demand.
func (rs *Results) recordCompletion(age time.Duration, s *sequence) {
	row := rs.rows[s.req.class.Name]
	row.OK++
	rs.open--
	row.Tokens += s.generated
	if age <= rs.Scenario.Duration {
		row.InTime += s.generated
	}
	if m := int(age / time.Minute); m < len(row.Minutes) {
		row.Minutes[m]++
	}
	if meetsTargets(s.req) {
		row.Attained++
	}
}

// meetsTargets reports whether a completed request met all latency targets of
// its class.
func meetsTargets(req *request) bool {
	within := func(measured, target time.Duration) bool { return target == 0 || measured <= target }
	first, whole := req.first.Sub(req.arrived), req.last.Sub(req.arrived)
	gap := time.Duration(0)
	if req.length > 1 {
		gap = req.last.Sub(req.first) / time.Duration(req.length-1)
	}
	return within(first, req.class.FirstToken) && within(gap, req.class.BetweenToken) && within(whole, req.class.Whole)
}

// Rows returns the rows of all classes in the order of rank, then name.
func (rs *Results) Rows() []Row {
	rows := make([]Row, 0, len(rs.rows))
	for _, r := range rs.rows {
		rows = append(rows, *r)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Rank != rows[j].Rank {
			return rows[i].Rank < rows[j].Rank
		}
		return rows[i].Class < rows[j].Class
	})
	return rows
}

// starvedMinutes returns the number of minutes, without the last, in which
// requests of the class arrived and none was completed.
func (r *Row) starvedMinutes() int {
	n := 0
	for m, requests := range r.minuteRequests[:len(r.minuteRequests)-1] {
		if requests > 0 && r.Minutes[m] == 0 {
			n++
		}
	}
	return n
}

// Cell holds the results of one class with one policy and load, with a row for
// each seed.
type Cell struct {
	Policy pool.Policy
	Load   float64
	Class  string
	Rows   []Row
	// Bound is the upper bound of the fraction of requests that are served on time
	// by a schedule that serves the higher tiers in full.
	Bound float64
}

// spread returns the median, the minimum and the maximum of a value over the
// seeds. The median of an even number of values is the upper of the middle two.
func (c *Cell) spread(f func(Row) float64) (median, lo, hi float64) {
	values := make([]float64, len(c.Rows))
	for i, r := range c.Rows {
		values[i] = f(r)
	}
	sort.Float64s(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

// Compare runs a scenario with each combination of policy, load and seed.
func Compare(sc *Scenario, policies []pool.Policy, loads []float64, seeds []uint64) []*Cell {
	var cells []*Cell
	for _, load := range loads {
		for _, policy := range policies {
			byClass := map[string]*Cell{}
			for _, seed := range seeds {
				run := &Run{Scenario: sc, Policy: policy, Load: load, Seed: seed}
				for _, row := range run.Do().Rows() {
					c := byClass[row.Class]
					if c == nil {
						c = &Cell{Policy: policy, Load: load, Class: row.Class}
						byClass[row.Class] = c
						cells = append(cells, c)
					}
					c.Rows = append(c.Rows, row)
				}
			}
			bound(sc, byClass)
		}
	}
	return cells
}

// bound sets the bound of each class: the fraction of its requests that an idle
// engine would serve on time, or the fraction that fits in the tokens that the
// higher tiers leave in each minute, whichever is lower.
func bound(sc *Scenario, cells map[string]*Cell) {
	rows := firstRows(cells)
	available := make([]float64, len(rows[0].minuteTokens))
	for m := range available {
		available[m] = sc.TokenRate() * time.Minute.Seconds()
	}
	for _, row := range rows {
		served, requested := 0.0, 0.0
		for m, tokens := range row.minuteTokens {
			share := min(1, max(0, available[m]/float64(max(tokens, 1))))
			served += share * float64(row.minuteRequests[m])
			requested += float64(row.minuteRequests[m])
			available[m] -= float64(tokens)
		}
		cells[row.Class].Bound = min(served/max(requested, 1), float64(row.Feasible)/float64(max(row.Requests, 1)))
	}
}

// firstRows returns the rows of the first seed, in the order of Results.Rows.
func firstRows(cells map[string]*Cell) []Row {
	rs := &Results{rows: map[string]*Row{}}
	for name, c := range cells {
		rs.rows[name] = &c.Rows[0]
	}
	return rs.Rows()
}

// percent returns n as a percentage of a total.
func percent(n, total int) float64 {
	return 100 * float64(n) / float64(max(total, 1))
}

// Write prints the cells as a table of medians over the seeds, with the range
// of the attainment. Goodput is in tokens per second.
func Write(out io.Writer, sc *Scenario, cells []*Cell) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPOLICY\tCLASS\tREQUESTS\tATTAINED\tRANGE\tBOUND\tGOODPUT tok/s\tWASTED\tSHED\tWAITED\tLOST\tPREEMPTED\tEMPTY MIN")
	for _, c := range cells {
		attained, lo, hi := c.spread(func(r Row) float64 { return percent(r.Attained, r.Requests) })
		median := func(f func(Row) int) float64 {
			m, _, _ := c.spread(func(r Row) float64 { return float64(f(r)) })
			return m
		}
		wasted, _, _ := c.spread(func(r Row) float64 { return percent(r.Wasted, r.Tokens+r.Wasted) })
		fmt.Fprintf(w, "%.1f\t%s\t%s\t%.0f\t%.1f%%\t%.1f..%.1f\t%.0f%%\t%.0f\t%.2f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			c.Load, c.Policy, c.Class, median(func(r Row) int { return r.Requests }), attained, lo, hi, 100*c.Bound,
			median(func(r Row) int { return r.InTime })/sc.Duration.Seconds(), wasted,
			median(func(r Row) int { return r.Shed }), median(func(r Row) int { return r.Waited }), median(func(r Row) int { return r.Lost }),
			median(func(r Row) int { return r.Preempted }), median(func(r Row) int { return r.starvedMinutes() }))
	}
	return w.Flush()
}

// WriteCSV writes the cells as CSV, with one line for each cell and seed.
func WriteCSV(out io.Writer, cells []*Cell) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"Load", "Policy", "Class", "Run", "Requests", "OK", "Attained", "Tokens", "InTime", "Wasted", "Shed", "Waited", "Lost", "Preempted", "EmptyMinutes"})
	for _, c := range cells {
		for i, r := range c.Rows {
			line := []string{strconv.FormatFloat(c.Load, 'f', 2, 64), string(c.Policy), c.Class}
			for _, n := range []int{i, r.Requests, r.OK, r.Attained, r.Tokens, r.InTime, r.Wasted, r.Shed, r.Waited, r.Lost, r.Preempted, r.starvedMinutes()} {
				line = append(line, strconv.Itoa(n))
			}
			_ = w.Write(line)
		}
	}
	w.Flush()
	return w.Error()
}
