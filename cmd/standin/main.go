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
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"knapweedwell/standin/engine"
	"knapweedwell/standin/load"
	"knapweedwell/standin/platform"
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
		Subcommands: []*ffcli.Command{platformCommand(), engineCommand(), serviceCommand(), loadCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7000", "`IP:port` to listen on")
	return &ffcli.Command{
		Name: "platform", FlagSet: fs, ShortHelp: "run the object API and instance list",
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
