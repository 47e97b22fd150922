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

// Row sums up one class of one run.
type Row struct {
	Class      string
	Rank       int
	Requests   int
	OK         int
	Attained   int
	Shed       int // Shed counts requests refused for lack of a place.
	Waited     int // Waited counts requests refused after the longest wait.
	Lost       int
	Preempted  int
	Tokens     int
	InTime     int // InTime counts the tokens of answers that ended before the demand did.
	Wasted     int
	Feasible   int   // Feasible counts the requests that an empty engine would serve on time.
	Minutes    []int // Minutes counts the answers of each minute.
	minuteAsks []int
	demanded   []int // demanded counts the tokens of each minute's requests.
}

// Book holds the results of one run.
type Book struct {
	Scenario *Scenario
	rows     map[string]*Row
	open     int // open counts the requests that have not ended.
}

func newBook(sc *Scenario) *Book {
	b := &Book{Scenario: sc, rows: map[string]*Row{}}
	minutes := int(sc.Duration/time.Minute) + 1
	for _, c := range sc.Classes {
		b.rows[c.Name] = &Row{Class: c.Name, Rank: c.Rank, Minutes: make([]int, minutes), minuteAsks: make([]int, minutes), demanded: make([]int, minutes)}
	}
	return b
}

func (b *Book) arrived(age time.Duration, req *request) {
	row := b.rows[req.class.Name]
	row.Requests++
	b.open++
	if b.feasible(req) {
		row.Feasible++
	}
	if m := int(age / time.Minute); m < len(row.minuteAsks) {
		row.minuteAsks[m]++
		row.demanded[m] += req.length
	}
}

// feasible reports whether an engine with no other work would serve the
// request on time, its prompt's beginning in the cache.
func (b *Book) feasible(req *request) bool {
	step := b.Scenario.StepBase + b.Scenario.StepPerSeq
	whole := b.Scenario.Prefill*time.Duration(req.class.Prompt)/10 + step*time.Duration(req.length)
	return req.class.Whole == 0 || whole <= req.class.Whole
}

func (b *Book) refused(req *request, reason pool.Reason) {
	row := b.rows[req.class.Name]
	b.open--
	if reason == pool.Waited {
		row.Waited++
		return
	}
	row.Shed++
}

func (b *Book) wasted(req *request, tokens int) {
	b.rows[req.class.Name].Wasted += tokens
}

func (b *Book) lost(req *request) {
	b.open--
	b.rows[req.class.Name].Lost++
}

func (b *Book) preempted(req *request, tokens int) {
	b.wasted(req, tokens)
	b.rows[req.class.Name].Preempted++
}

func (b *Book) done(age time.Duration, s *sequence) {
	row := b.rows[s.req.class.Name]
	row.OK++
	b.open--
	row.Tokens += s.made
	if age <= b.Scenario.Duration {
		row.InTime += s.made
	}
	if m := int(age / time.Minute); m < len(row.Minutes) {
		row.Minutes[m]++
	}
	if attained(s.req) {
		row.Attained++
	}
}

func attained(req *request) bool {
	within := func(seen, target time.Duration) bool { return target == 0 || seen <= target }
	first, whole := req.first.Sub(req.arrived), req.last.Sub(req.arrived)
	gap := time.Duration(0)
	if req.length > 1 {
		gap = req.last.Sub(req.first) / time.Duration(req.length-1)
	}
	return within(first, req.class.FirstToken) && within(gap, req.class.Between) && within(whole, req.class.Whole)
}

// Rows returns the sums by rank, then class.
func (b *Book) Rows() []Row {
	rows := make([]Row, 0, len(b.rows))
	for _, r := range b.rows {
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

// starvedMinutes counts the minutes in which a class asked and got nothing.
func (r *Row) starvedMinutes() int {
	n := 0
	for m, asks := range r.minuteAsks[:len(r.minuteAsks)-1] {
		if asks > 0 && r.Minutes[m] == 0 {
			n++
		}
	}
	return n
}

// Cell is one class of one policy and load over several seeds.
type Cell struct {
	Policy pool.Policy
	Load   float64
	Class  string
	Rows   []Row
	Bound  float64 // Bound is the share of requests that no schedule can exceed.
}

// spread returns the median and the range of a figure over the seeds.
func (c *Cell) spread(f func(Row) float64) (median, lo, hi float64) {
	values := make([]float64, len(c.Rows))
	for i, r := range c.Rows {
		values[i] = f(r)
	}
	sort.Float64s(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

// Compare runs a scenario with each policy, load and seed.
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

// bound sets each class's bound: the part of its requests that an empty engine
// would serve on time, and minute by minute no more than the tokens that are
// left after all higher tiers.
func bound(sc *Scenario, cells map[string]*Cell) {
	rows := firstRows(cells)
	left := make([]float64, len(rows[0].demanded))
	for m := range left {
		left[m] = sc.TokenRate() * time.Minute.Seconds()
	}
	for _, row := range rows {
		served, asked := 0.0, 0.0
		for m, tokens := range row.demanded {
			share := min(1, max(0, left[m]/float64(max(tokens, 1))))
			served += share * float64(row.minuteAsks[m])
			asked += float64(row.minuteAsks[m])
			left[m] -= float64(tokens)
		}
		cells[row.Class].Bound = min(served/max(asked, 1), float64(row.Feasible)/float64(max(row.Requests, 1)))
	}
}

func firstRows(cells map[string]*Cell) []Row {
	b := &Book{rows: map[string]*Row{}}
	for name, c := range cells {
		b.rows[name] = &c.Rows[0]
	}
	return b.Rows()
}

func percent(n, of int) float64 {
	return 100 * float64(n) / float64(max(of, 1))
}

// Write prints the cells as a table: medians over the seeds, and the range of
// attainment.
func Write(out io.Writer, sc *Scenario, cells []*Cell) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPOLICY\tCLASS\tREQUESTS\tATTAINED\tRANGE\tBOUND\tGOODPUT tok/s\tWASTED\tSHED\tWAITED\tLOST\tPREEMPTED\tEMPTY MIN")
	for _, c := range cells {
		med, lo, hi := c.spread(func(r Row) float64 { return percent(r.Attained, r.Requests) })
		get := func(f func(Row) int) float64 {
			m, _, _ := c.spread(func(r Row) float64 { return float64(f(r)) })
			return m
		}
		waste, _, _ := c.spread(func(r Row) float64 { return percent(r.Wasted, r.Tokens+r.Wasted) })
		fmt.Fprintf(w, "%.1f\t%s\t%s\t%.0f\t%.1f%%\t%.1f..%.1f\t%.0f%%\t%.0f\t%.2f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			c.Load, c.Policy, c.Class, get(func(r Row) int { return r.Requests }), med, lo, hi, 100*c.Bound,
			get(func(r Row) int { return r.InTime })/sc.Duration.Seconds(), waste,
			get(func(r Row) int { return r.Shed }), get(func(r Row) int { return r.Waited }), get(func(r Row) int { return r.Lost }),
			get(func(r Row) int { return r.Preempted }), get(func(r Row) int { return r.starvedMinutes() }))
	}
	return w.Flush()
}

// WriteCSV writes one line for each cell and seed.
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
