// Command standin runs the stand-ins for the platform, engines and plain
// services, the load generator and the policy experiment.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"knapweedwell/pool"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/experiment"
	"knapweedwell/standin/fleet"
	"knapweedwell/standin/load"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/runner"
	"knapweedwell/standin/service"
)

const headerTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root().ParseAndRun(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin COMMAND [flags]",
		Subcommands: []*ffcli.Command{platformCommand(), engineCommand(), serviceCommand(), runnerCommand(), loadCommand(), experimentCommand(), fleetCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7000", "`IP:port` to listen on")
	return &ffcli.Command{
		Name: "platform", FlagSet: fs, ShortHelp: "run the object store",
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, platform.New().Handler())
		},
	}
}

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "`IP:port` to listen on")
	name := fs.String("name", "engine", "`name` of the engine")
	batch := fs.Int("batch", 8, "most sequences in one step")
	base := fs.Duration("step", 20*time.Millisecond, "`time` of a step with an empty batch")
	perSeq := fs.Duration("step-per-sequence", 2*time.Millisecond, "`time` added to a step by each sequence")
	return &ffcli.Command{
		Name: "engine", FlagSet: fs, ShortHelp: "run a model engine",
		Exec: func(ctx context.Context, _ []string) error {
			e := engine.New(*name)
			e.MaxBatch, e.StepBase, e.StepPerSeq = *batch, *base, *perSeq
			go e.Run(ctx)
			return serve(ctx, *address, e.Handler())
		},
	}
}

func serviceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7200", "`IP:port` to listen on")
	name := fs.String("name", "service", "`name` of the service")
	return &ffcli.Command{
		Name: "service", FlagSet: fs, ShortHelp: "run a plain service",
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, service.New(*name).Handler())
		},
	}
}

func runnerCommand() *ffcli.Command {
	fs := flag.NewFlagSet("runner", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7300", "`IP:port` to listen on")
	id := fs.String("id", "runner", "`ID` of the upstream")
	return &ffcli.Command{
		Name: "runner", FlagSet: fs, ShortHelp: "run an upstream of the users' platform",
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, runner.New(*id).Handler())
		},
	}
}

func loadCommand() *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	scenario := fs.String("scenario", "", "scenario `file`")
	address := fs.String("address", "127.0.0.1:7001", "caller `IP:port` of any instance")
	return &ffcli.Command{
		Name: "load", FlagSet: fs, ShortHelp: "send requests by a scenario and print a table by class",
		Exec: func(ctx context.Context, _ []string) error {
			sc, err := load.Read(*scenario)
			if err != nil {
				return err
			}
			g := &load.Generator{Scenario: sc, Address: *address}
			return g.Run(ctx).Write(os.Stdout)
		},
	}
}

func experimentCommand() *ffcli.Command {
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	scenario := fs.String("scenario", "", "scenario `file`")
	policies := fs.String("policies", "tiered,fifo,least-reported", "`policies`, separated by commas")
	loads := fs.String("loads", "0.7,1.0,1.5", "demands as parts of the capacity, separated by commas")
	seeds := fs.Int("seeds", 3, "`number` of seeds, from 1")
	table := fs.String("csv", "", "`file` for one line a run and class")
	return &ffcli.Command{
		Name: "experiment", FlagSet: fs, ShortHelp: "compare policies on a scenario",
		Exec: func(context.Context, []string) error {
			return compare(*scenario, *policies, *loads, *seeds, *table)
		},
	}
}

func fleetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fleet", flag.ContinueOnError)
	instances := fs.String("instances", "5,20,60", "`numbers` of instances, separated by commas")
	organisations := fs.Int("organisations", 490, "`number` of organisations in the configuration")
	upstreams := fs.Int("upstreams", 1800, "`number` of upstreams in the configuration")
	rest := fs.Duration("rest", 10*time.Second, "`time` at rest that is measured")
	return &ffcli.Command{
		Name: "fleet", FlagSet: fs, ShortHelp: "measure what idle instances spend on control",
		Exec: func(context.Context, []string) error {
			return measure(*instances, fleet.Size{Organisations: *organisations, Upstreams: *upstreams}, *rest)
		},
	}
}

// measure measures fleets of several sizes and prints the table.
func measure(instances string, size fleet.Size, rest time.Duration) error {
	var us []*fleet.Usage
	for _, text := range strings.Split(instances, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("number of instances %q is not a number", text)
		}
		u, err := fleet.Measure(n, size, rest)
		if err != nil {
			return err
		}
		us = append(us, u)
	}
	return fleet.Write(os.Stdout, us)
}

// compare runs the experiment and prints its table.
func compare(scenario, policies, loads string, seeds int, table string) error {
	sc, err := experiment.Read(scenario)
	if err != nil {
		return err
	}
	var ps []pool.Policy
	for _, p := range strings.Split(policies, ",") {
		ps = append(ps, pool.Policy(p))
	}
	var ls []float64
	for _, text := range strings.Split(loads, ",") {
		l, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("load %q is not a number", text)
		}
		ls = append(ls, l)
	}
	ss := make([]uint64, seeds)
	for i := range ss {
		ss[i] = uint64(i + 1)
	}
	cells := experiment.Compare(sc, ps, ls, ss)
	fmt.Printf("scenario %s, %s, capacity %.0f tokens/s, seeds 1 to %d\n", sc.Name, sc.Duration, sc.TokenRate(), seeds)
	if err := experiment.Write(os.Stdout, sc, cells); err != nil || table == "" {
		return err
	}
	f, err := os.Create(table)
	if err != nil {
		return err
	}
	defer f.Close()
	return experiment.WriteCSV(f, cells)
}

// serve serves until the context ends. The first line printed names the
// address.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
