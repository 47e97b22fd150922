package terminal

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"knapweedwell/config"
	"knapweedwell/metric"
	"knapweedwell/operator"
	"knapweedwell/pool"
)

// table prints the tab-separated rows of write with aligned columns.
func (t *Terminal) table(write func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	write(w)
	return w.Flush()
}

// reportCommand returns a command that prints a part of the reports of all
// instances: as the value of jsonValue with -o json, otherwise by printText.
func (t *Terminal) reportCommand(name, help string, jsonValue func([]operator.Report) any, printText func([]operator.Report) error) *ffcli.Command {
	return t.command(name, "", help, nil, func(ctx context.Context, c *operator.Client, _ []string) error {
		reports, err := c.Reports(ctx)
		if err != nil {
			return err
		}
		if t.wantsJSON() {
			return t.json(jsonValue(reports))
		}
		return printText(reports)
	})
}

func (t *Terminal) status() *ffcli.Command {
	return t.reportCommand("status", "show all instances with their revision and its age",
		func(rs []operator.Report) any { return rs }, t.printStatus)
}

func (t *Terminal) printStatus(reports []operator.Report) error {
	violated := int64(0)
	err := t.table(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "INSTANCE\tSTATE\tREGION\tZONE\tREVISION\tAGE\tRUNNING\tSHARDS\tTICKETS\tNOTE")
		for _, r := range reports {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", r.Member.Name, r.State, r.Member.Region, r.Member.Zone,
				r.Revision, r.Age.Round(time.Second), r.Running, len(r.Shards), r.Tickets, statusNote(r))
			for _, n := range r.Invariants {
				violated += n.Violated
			}
		}
	})
	if violated > 0 {
		fmt.Fprintf(t.Out, "%d violations of invariants; see the logs for \"invariant violated\"\n", violated)
	}
	return err
}

// statusNote returns the text of the NOTE column. It is empty for an instance
// that answers and is not isolated.
func statusNote(r operator.Report) string {
	switch {
	case !r.Reached:
		return "does not answer"
	case r.CutOff:
		return "reaches neither the platform nor another instance"
	}
	return ""
}

func (t *Terminal) upstreams() *ffcli.Command {
	return t.reportCommand("upstreams", "show all upstreams with their load",
		func(rs []operator.Report) any { return shardViews(rs) },
		func(rs []operator.Report) error {
			return t.table(func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "UPSTREAM\tSTATE\tGRANTED\tLIMIT\tMAX\tREPORTED\tTOKEN TIME\tSHARD")
				for _, v := range shardViews(rs) {
					for _, u := range v.Upstreams {
						fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", u.Name, u.State, u.Granted, u.Limit, u.Max,
							u.Reported, u.TokenTime.Round(time.Millisecond), v.Shard)
					}
				}
			})
		})
}

// shardViews returns one view of each shard, sorted by shard. Of the views that
// several instances report, a later one replaces an earlier one if it has a
// higher revision or more grants.
func shardViews(reports []operator.Report) []pool.View {
	chosen := map[string]pool.View{}
	for _, r := range reports {
		for _, v := range r.Shards {
			if old, seen := chosen[v.Shard]; !seen || v.Revision > old.Revision || grantedTotal(v) > grantedTotal(old) {
				chosen[v.Shard] = v
			}
		}
	}
	all := make([]pool.View, 0, len(chosen))
	for _, v := range chosen {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Shard < all[j].Shard })
	return all
}

// grantedTotal returns the number of grants on all upstreams of a shard.
func grantedTotal(v pool.View) int {
	n := 0
	for _, u := range v.Upstreams {
		n += u.Granted
	}
	return n
}

func (t *Terminal) classes() *ffcli.Command {
	return t.reportCommand("classes", "show attainment, goodput and wasted work by class",
		func(rs []operator.Report) any { return sumByClass(rs) }, t.printClasses)
}

func (t *Terminal) printClasses(reports []operator.Report) error {
	return t.table(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "CLASS\tREQUESTS\tOK\tATTAINED\tREFUSED\tUNKNOWN\tFAILED\tPREEMPTED\tTOKENS\tWASTED\tFIRST TOKEN")
		for _, c := range sumByClass(reports) {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", c.Class, c.Requests, c.OK, percentage(c.Attained, c.Requests),
				c.Refused, c.Unknown, c.Failed, c.Preempted, c.Tokens, c.Wasted, meanFirstToken(c))
		}
	})
}

// percentage returns n as a percentage of a total, or "-" if the total is 0.
func percentage(n, total int64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(total))
}

// meanFirstToken returns the mean time to the first token of successful requests,
// or zero if there are none.
func meanFirstToken(c metric.Totals) time.Duration {
	if c.OK == 0 {
		return 0
	}
	return (c.FirstToken / time.Duration(c.OK)).Round(time.Millisecond)
}

// sumByClass returns the sums of the counts of all instances for each class,
// sorted by class.
func sumByClass(reports []operator.Report) []metric.Totals {
	sum := map[string]*metric.Totals{}
	for _, r := range reports {
		for _, c := range r.Totals {
			if sum[c.Class] == nil {
				sum[c.Class] = &metric.Totals{Class: c.Class}
			}
			sum[c.Class].Merge(c)
		}
	}
	all := make([]metric.Totals, 0, len(sum))
	for _, c := range sum {
		all = append(all, *c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Class < all[j].Class })
	return all
}

func (t *Terminal) top() *ffcli.Command {
	var period time.Duration
	var tables int
	flags := func(fs *flag.FlagSet) {
		fs.DurationVar(&period, "period", 2*time.Second, "`time` between two tables")
		fs.IntVar(&tables, "n", 0, "number of tables; 0 means until interrupted")
	}
	return t.command("top", "", "show the class table again and again", flags,
		func(ctx context.Context, c *operator.Client, _ []string) error {
			for n := 0; tables == 0 || n < tables; n++ {
				if n > 0 {
					select {
					case <-ctx.Done():
						return nil
					case <-time.After(period):
					}
				}
				reports, err := c.Reports(ctx)
				if err != nil {
					return err
				}
				fmt.Fprintf(t.Out, "\x1b[H\x1b[2J%s\n", time.Now().UTC().Format(time.RFC3339))
				if err := t.printClasses(reports); err != nil {
					return err
				}
			}
			return nil
		})
}

func (t *Terminal) explain() *ffcli.Command {
	logs := ""
	flags := func(fs *flag.FlagSet) {
		fs.StringVar(&logs, "log", "", "read log `files`, separated by commas, in place of asking an instance; - is the standard input")
	}
	return t.command("explain", "[-log FILES] REQUEST-ID", "tell what happened to a request", flags,
		func(ctx context.Context, c *operator.Client, args []string) error {
			if err := expectArgs(args, 1, "one request ID"); err != nil {
				return err
			}
			if logs != "" {
				return t.explainLogs(logs, args[0])
			}
			found, err := c.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			if t.wantsJSON() {
				return t.json(found)
			}
			if len(found) == 0 {
				return fail(ExitFailed, "no instance remembers request %s", args[0])
			}
			for _, e := range found {
				fmt.Fprintf(t.Out, "instance %s\n", e.Instance)
				for _, l := range e.Lines {
					fmt.Fprintf(t.Out, "  +%-8s %s\n", l.At.Sub(e.Lines[0].At).Round(time.Millisecond), l.Text)
				}
			}
			return nil
		})
}

func (t *Terminal) hashKey() *ffcli.Command {
	return t.localCommand("hash-key", "< KEY-FILE", "print the KeySHA256 of a bearer key read from standard input",
		func(context.Context, []string) error {
			text, err := t.readFile("-")
			if err != nil {
				return err
			}
			fmt.Fprintln(t.Out, config.HashKey(strings.TrimSpace(text)))
			return nil
		})
}

func (t *Terminal) releaseNotes() *ffcli.Command {
	return t.localCommand("release-notes", "", "print what was added, changed and withdrawn",
		func(context.Context, []string) error {
			fmt.Fprint(t.Out, t.Notes)
			return nil
		})
}

func (t *Terminal) demo() *ffcli.Command {
	return t.localCommand("demo", "", "run one instance with stand-ins in this process and send it requests",
		func(ctx context.Context, _ []string) error {
			return t.Demo(ctx, t.Out)
		})
}

func (t *Terminal) completion(root *ffcli.Command) *ffcli.Command {
	return t.localCommand("completion", "", "print a completion script for bash",
		func(context.Context, []string) error {
			var names []string
			for _, c := range root.Subcommands {
				names = append(names, c.Name)
			}
			fmt.Fprintf(t.Out, "complete -W %q knapweedwell\n", strings.Join(names, " "))
			return nil
		})
}
