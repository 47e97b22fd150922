// Command standin runs the stand-ins for the platform, model engines, plain
// services and upstreams of the users' platform, the load generator, the policy
// experiment and the measurement of idle instances.
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

// root returns the command line with all its commands.
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
		Name: "platform", FlagSet: fs, ShortHelp: "run the platform's object store",
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, platform.New().Handler())
		},
	}
}

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "`IP:port` to listen on")
	name := fs.String("name", "engine", "`name` of the engine")
	batch := fs.Int("batch", 8, "maximum number of sequences in one step")
	base := fs.Duration("step", 20*time.Millisecond, "constant `time` of each step")
	perSequence := fs.Duration("step-per-sequence", 2*time.Millisecond, "`time` added to a step for each sequence")
	return &ffcli.Command{
		Name: "engine", FlagSet: fs, ShortHelp: "run a model engine",
		Exec: func(ctx context.Context, _ []string) error {
			e := engine.New(*name)
			e.MaxBatch, e.StepBase, e.StepPerSequence = *batch, *base, *perSequence
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
		Name: "load", FlagSet: fs, ShortHelp: "send the requests of a scenario and print the results by class",
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
	loads := fs.String("loads", "0.7,1.0,1.5", "demands as fractions of the capacity, separated by commas")
	seeds := fs.Int("seeds", 3, "`number` of seeds, starting with seed 1")
	csvPath := fs.String("csv", "", "CSV `file` to write, with one line per run and class")
	return &ffcli.Command{
		Name: "experiment", FlagSet: fs, ShortHelp: "compare policies on a scenario",
		Exec: func(context.Context, []string) error {
			return compare(*scenario, *policies, *loads, *seeds, *csvPath)
		},
	}
}

func fleetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fleet", flag.ContinueOnError)
	instances := fs.String("instances", "5,20,60", "`numbers` of instances, separated by commas")
	organisations := fs.Int("organisations", 490, "`number` of organisations in the configuration")
	upstreams := fs.Int("upstreams", 1800, "`number` of upstreams in the configuration")
	idle := fs.Duration("rest", 10*time.Second, "`time` for which idle instances are measured")
	return &ffcli.Command{
		Name: "fleet", FlagSet: fs, ShortHelp: "measure the resources that idle instances use for control",
		Exec: func(context.Context, []string) error {
			return measure(*instances, fleet.Size{Organisations: *organisations, Upstreams: *upstreams}, *idle)
		},
	}
}

// measure measures a fleet for each number of instances and prints the table.
func measure(instances string, size fleet.Size, idle time.Duration) error {
	var usages []*fleet.Usage
	for _, text := range strings.Split(instances, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("flag -instances: expected a whole number, got %q", text)
		}
		u, err := fleet.Measure(n, size, idle)
		if err != nil {
			return err
		}
		usages = append(usages, u)
	}
	return fleet.Write(os.Stdout, usages)
}

// compare runs the experiment and prints its table. It also writes the results
// to a CSV file unless csvPath is empty.
func compare(scenario, policies, loads string, seeds int, csvPath string) error {
	sc, err := experiment.Read(scenario)
	if err != nil {
		return err
	}
	var policyList []pool.Policy
	for _, p := range strings.Split(policies, ",") {
		policyList = append(policyList, pool.Policy(p))
	}
	var loadList []float64
	for _, text := range strings.Split(loads, ",") {
		l, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("flag -loads: expected a number, got %q", text)
		}
		loadList = append(loadList, l)
	}
	seedList := make([]uint64, seeds)
	for i := range seedList {
		seedList[i] = uint64(i + 1)
	}
	cells := experiment.Compare(sc, policyList, loadList, seedList)
	fmt.Printf("scenario %s, %s, capacity %.0f tokens/s, seeds 1 to %d\n", sc.Name, sc.Duration, sc.TokenRate(), seeds)
	if err := experiment.Write(os.Stdout, sc, cells); err != nil || csvPath == "" {
		return err
	}
	f, err := os.Create(csvPath)
	if err != nil {
		return err
	}
	defer f.Close()
	return experiment.WriteCSV(f, cells)
}

// serve serves HTTP until ctx is done. It first prints the address that it
// listens on.
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
