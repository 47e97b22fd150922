// Package terminal implements the command line for operators.
package terminal

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"knapweedwell/operator"
)

// Exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1 // any failure without a code of its own
	ExitUsage      = 2 // the command line or a file is not valid
	ExitConflict   = 3 // another change was applied first
	ExitUnclear    = 4 // it is not known whether the change was written
	ExitNotInForce = 5 // the change is written but not yet in force on all instances
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	text string
}

// Error returns the text of the error.
func (e *exitError) Error() string {
	return e.text
}

// fail returns an error that ends the command with an exit code.
func fail(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// Terminal runs commands. Its fields are set before Run.
type Terminal struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Notes string                                         // release notes
	Demo  func(ctx context.Context, out io.Writer) error // runs the embedded demonstration
	flags commonFlags
}

// commonFlags holds the flags of all commands that call an instance.
type commonFlags struct {
	address string
	key     string
	output  string
}

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = "KNAPWEEDWELL"

// Run runs one command line and returns its exit code.
func (t *Terminal) Run(ctx context.Context, args []string) int {
	root := t.root()
	if err := root.Parse(args); err != nil {
		return t.report(err, ExitUsage)
	}
	return t.report(root.Run(ctx), ExitFailed)
}

// report prints an error and returns the exit code of the command, which is code
// if the error has none of its own.
func (t *Terminal) report(err error, code int) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	fmt.Fprintf(t.Err, "knapweedwell: %v\n", err)
	return code
}

func (t *Terminal) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "knapweedwell",
		ShortUsage: "knapweedwell COMMAND [flags] [arguments]",
		ShortHelp:  "operate instances of the router",
		LongHelp: "Exit codes: 0 success, 1 failure, 2 unsound command line or file,\n" +
			"3 conflict with another change, 4 outcome unclear, 5 not yet in force everywhere.\n" +
			"Flags can be set by environment, such as KNAPWEEDWELL_ADDRESS.",
		FlagSet: t.newFlagSet("knapweedwell"),
	}
	root.Subcommands = []*ffcli.Command{
		t.apply(), t.diff(), t.get(), t.history(), t.drain(),
		t.status(), t.upstreams(), t.classes(), t.top(), t.explain(),
		t.hashKey(), t.releaseNotes(), t.completion(root), t.demo(),
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return fail(ExitUsage, "unknown command %q; see knapweedwell -h", args[0])
		}
		fmt.Fprintln(t.Out, ffcli.DefaultUsageFunc(root))
		return nil
	}
	return root
}

func (t *Terminal) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.Err)
	return fs
}

// command returns a command that calls an instance.
func (t *Terminal) command(name, usage, help string, flags func(*flag.FlagSet), run func(context.Context, *operator.Client, []string) error) *ffcli.Command {
	fs := t.newFlagSet(name)
	fs.StringVar(&t.flags.address, "address", "127.0.0.1:7003", "operator `IP:port` of an instance")
	fs.StringVar(&t.flags.key, "key", "", "operator `key`")
	fs.StringVar(&t.flags.output, "o", "text", "output `format`: text or json")
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "knapweedwell " + name + " " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if t.flags.output != "text" && t.flags.output != "json" {
				return fail(ExitUsage, "-o %s: expected text or json", t.flags.output)
			}
			return run(ctx, &operator.Client{Address: t.flags.address, Key: t.flags.key}, args)
		},
	}
}

// localCommand returns a command that calls no instance.
func (t *Terminal) localCommand(name, usage, help string, run func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace("knapweedwell " + name + " " + usage),
		ShortHelp:  help,
		FlagSet:    t.newFlagSet(name),
		Exec:       run,
	}
}

func (t *Terminal) wantsJSON() bool {
	return t.flags.output == "json"
}

func (t *Terminal) json(v any) error {
	e := json.NewEncoder(t.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// readFile returns the content of a file; the path "-" is the standard input.
func (t *Terminal) readFile(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(t.In)
		return string(text), err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fail(ExitUsage, "%v", err)
	}
	return string(text), nil
}

// expectArgs returns an error unless there are n arguments.
func expectArgs(args []string, n int, what string) error {
	if len(args) != n {
		return fail(ExitUsage, "expected %s", what)
	}
	return nil
}
