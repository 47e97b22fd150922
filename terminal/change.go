package terminal

import (
	"context"
	"flag"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"knapweedwell/config"
	"knapweedwell/inifile"
	"knapweedwell/operator"
	"knapweedwell/revision"
)

const (
	applyAttempts     = 4
	applyRetryDelay   = 500 * time.Millisecond
	inForcePollPeriod = 200 * time.Millisecond
	inForceTimeout    = 15 * time.Second
)

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	base   int64
	author string
	dryRun bool
	wait   bool
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	fs.Int64Var(&f.base, "base", -1, "`revision` that the change was made to; -1 means the one in force")
	fs.StringVar(&f.author, "author", "", "`name` kept with the change; the present user's if empty")
	fs.BoolVar(&f.dryRun, "dry-run", false, "check and show the differences only")
	fs.BoolVar(&f.wait, "wait", false, "wait until the change is in force everywhere")
}

// currentUser returns the name of the user who runs the command.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (t *Terminal) apply() *ffcli.Command {
	f := &changeFlags{}
	return t.command("apply", "[flags] FILE", "check a configuration file and put it in force", f.register,
		func(ctx context.Context, c *operator.Client, args []string) error {
			if err := expectArgs(args, 1, "one file, or - for standard input"); err != nil {
				return err
			}
			text, err := t.readFile(args[0])
			if err != nil {
				return err
			}
			return t.applyChange(ctx, c, f, args[0], text)
		})
}

// applyChange checks the text, applies it and prints the result. The name is
// that of the text in findings.
func (t *Terminal) applyChange(ctx context.Context, c *operator.Client, f *changeFlags, name, text string) error {
	if _, err := config.Parse(name, text); err != nil {
		return fail(ExitUsage, "the configuration is not sound; nothing was changed\n%v", err)
	}
	if f.author == "" {
		f.author = currentUser()
	}
	change := revision.Change{ChangeID: uuid.NewString(), Base: f.base, Author: f.author, Text: text, DryRun: f.dryRun}
	applied, err := applyWithRetry(ctx, c, change)
	if isRefused(err) {
		return fail(ExitFailed, "the change was not written: %v", err)
	}
	if err != nil {
		return fail(ExitUnclear, "it is not known whether the change was written; change ID %s: %v", change.ChangeID, err)
	}
	if len(applied.Findings) > 0 {
		return fail(ExitUsage, "the configuration is not sound; nothing was changed\n%v", inifile.Findings(applied.Findings))
	}
	return t.handleResult(ctx, c, f, applied.Result)
}

// isRefused reports whether an instance refused a call, so that a repeated one is refused
// too.
func isRefused(err error) bool {
	var status *operator.StatusError
	return errors.As(err, &status) && status.Refused()
}

// applyWithRetry sends a change, and retries failed calls that were not refused, with
// applyAttempts calls at most. The change ID prevents the change from being applied twice.
func applyWithRetry(ctx context.Context, c *operator.Client, change revision.Change) (operator.Applied, error) {
	var applied operator.Applied
	var err error
	for n := range applyAttempts {
		applied, err = c.Apply(ctx, change)
		switch {
		case err == nil || (isRefused(err) && n == 0):
			return applied, err
		case isRefused(err):
			return applied, errors.Errorf("after a call without an answer: %s", err.Error())
		}
		select {
		case <-ctx.Done():
			return applied, ctx.Err()
		case <-time.After(applyRetryDelay):
		}
	}
	return applied, err
}

// handleResult prints the result of an apply. It returns an error if the change
// was not written or if that is not known. Otherwise, with the flag -wait, it
// waits until the revision is in force.
func (t *Terminal) handleResult(ctx context.Context, c *operator.Client, f *changeFlags, r *revision.Result) error {
	if t.wantsJSON() {
		if err := t.json(r); err != nil {
			return err
		}
	} else {
		t.printResult(f, r)
	}
	switch r.Outcome {
	case revision.Conflict:
		return fail(ExitConflict, "another change came first; revision %d is in force", r.Revision)
	case revision.Unclear:
		return fail(ExitUnclear, "it is not known whether the change was written: %s", r.Reason)
	case revision.NotSaved:
		return fail(ExitFailed, "the change was not written: %s", r.Reason)
	}
	if f.wait && !f.dryRun {
		return t.waitInForce(ctx, c, r.Revision)
	}
	return nil
}

func (t *Terminal) printResult(f *changeFlags, r *revision.Result) {
	for _, line := range r.Changes {
		fmt.Fprintln(t.Out, line)
	}
	switch {
	case f.dryRun:
		fmt.Fprintf(t.Out, "sound; %d differences to revision %d; nothing was changed\n", len(r.Changes), r.Revision)
	case r.Outcome == revision.Applied:
		fmt.Fprintf(t.Out, "applied as revision %d\n", r.Revision)
	case r.Outcome == revision.Unchanged:
		fmt.Fprintf(t.Out, "no differences to revision %d\n", r.Revision)
	}
	for _, e := range r.Later {
		t.printEntry(e)
	}
}

// waitInForce waits until the revision is in force on all instances that are not
// gone. After inForceTimeout it returns an error that lists those behind.
func (t *Terminal) waitInForce(ctx context.Context, c *operator.Client, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	behind := "no instance has answered"
	for {
		reports, err := c.Reports(ctx)
		if err == nil {
			behind = notInForce(reports, revision)
		}
		if behind == "" {
			fmt.Fprintf(t.Out, "revision %d is in force on %d instances\n", revision, len(reports))
			return nil
		}
		select {
		case <-ctx.Done():
			return fail(ExitNotInForce, "revision %d is not in force everywhere: %s", revision, behind)
		case <-time.After(inForcePollPeriod):
		}
	}
}

// notInForce describes the instances on which the revision is not in force. It
// returns an empty text if there are none.
func notInForce(reports []operator.Report, revision int64) string {
	var behind []string
	for _, r := range reports {
		switch {
		case r.State == "gone":
		case !r.Reached:
			behind = append(behind, r.Member.Name+" does not answer")
		case r.Revision < revision:
			behind = append(behind, fmt.Sprintf("%s has revision %d", r.Member.Name, r.Revision))
		}
	}
	return strings.Join(behind, ", ")
}

func (t *Terminal) diff() *ffcli.Command {
	return t.command("diff", "FILE", "show how a file differs from the configuration in force", nil,
		func(ctx context.Context, c *operator.Client, args []string) error {
			if err := expectArgs(args, 1, "one file, or - for standard input"); err != nil {
				return err
			}
			text, err := t.readFile(args[0])
			if err != nil {
				return err
			}
			current, err := c.Configuration(ctx)
			if err != nil {
				return err
			}
			changes := config.Diff(current.Text, text)
			if t.wantsJSON() {
				return t.json(changes)
			}
			for _, change := range changes {
				fmt.Fprintln(t.Out, change)
			}
			fmt.Fprintf(t.Out, "%d differences to revision %d\n", len(changes), current.Revision)
			return nil
		})
}

func (t *Terminal) get() *ffcli.Command {
	return t.command("get", "", "print the configuration in force", nil,
		func(ctx context.Context, c *operator.Client, _ []string) error {
			current, err := c.Configuration(ctx)
			if err != nil {
				return err
			}
			if t.wantsJSON() {
				return t.json(current)
			}
			fmt.Fprintf(t.Out, "# revision %d\n%s", current.Revision, current.Text)
			return nil
		})
}

func (t *Terminal) history() *ffcli.Command {
	return t.command("history", "", "list the latest changes of the configuration", nil,
		func(ctx context.Context, c *operator.Client, _ []string) error {
			current, err := c.Configuration(ctx)
			if err != nil {
				return err
			}
			if t.wantsJSON() {
				return t.json(current.History)
			}
			for _, e := range current.History {
				t.printEntry(e)
			}
			return nil
		})
}

func (t *Terminal) printEntry(e revision.Entry) {
	fmt.Fprintf(t.Out, "%s  by %s, to revision %d, change %s\n", e.Applied.Format(time.RFC3339), e.Author, e.Base, e.ChangeID)
	for _, line := range e.Summary {
		fmt.Fprintf(t.Out, "    %s\n", line)
	}
}

func (t *Terminal) drain() *ffcli.Command {
	f := &changeFlags{}
	return t.command("drain", "[flags] UPSTREAM", "give an upstream no new work (sets Leaving = true)", f.register,
		func(ctx context.Context, c *operator.Client, args []string) error {
			if err := expectArgs(args, 1, "the name of one upstream"); err != nil {
				return err
			}
			current, err := c.Configuration(ctx)
			if err != nil {
				return err
			}
			text, found := setKey(current.Text, "Upstream "+args[0], "Leaving", "true")
			if !found {
				return fail(ExitUsage, "no upstream %q in revision %d", args[0], current.Revision)
			}
			f.base = current.Revision
			return t.applyChange(ctx, c, f, "configuration", text)
		})
}

// setKey returns a configuration text in which a key of the section with the
// header has the value, and false if there is no such section. It replaces the
// line of the key, or adds one below the header.
func setKey(text, header, key, value string) (string, bool) {
	lines := strings.Split(text, "\n")
	for _, s := range inifile.Parse("", text).Sections {
		if s.Header() != header {
			continue
		}
		line := key + " = " + value
		if v, set := s.Keys[key]; set {
			lines[v.Line-1] = line
			return strings.Join(lines, "\n"), true
		}
		rest := append([]string{line}, lines[s.Line:]...)
		return strings.Join(append(lines[:s.Line:s.Line], rest...), "\n"), true
	}
	return text, false
}
