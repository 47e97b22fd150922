// Command soak runs instances as separate processes under random faults and
// checks what callers and upstreams see. See package soak.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3"

	"knapweedwell/soak"
)

const (
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "first `seed`")
	seeds := fs.Uint64("seeds", 1, "number of seeds, one after the other")
	jobs := fs.Int("jobs", 1, "seeds that run at the same time")
	length := fs.Duration("length", time.Minute, "`time` under faults for each seed")
	instances := fs.Int("instances", 5, "number of instances")
	upstreams := fs.Int("upstreams", 3, "number of upstreams of each kind")
	rate := fs.Float64("rate", 40, "requests a second")
	series := fs.Int("series", 3, "series of faults that overlap")
	program := fs.String("program", "", "`path` of knapweedwelld; built if empty")
	dir := fs.String("dir", "", "`directory` for logs and settings; a new one if empty")
	verbose := fs.Bool("verbose", false, "print each fault")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SOAK")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	at, err := prepare(dir, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	}
	fmt.Println("logs and settings are in", at)
	var wait sync.WaitGroup
	var mu sync.Mutex
	free, code := make(chan bool, max(*jobs, 1)), 0
	for n := *seed; n < *seed+*seeds; n++ {
		free <- true
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-free }()
			o := soak.Options{
				Seed: n, Length: *length, Instances: *instances, Upstreams: *upstreams, Rate: *rate, Series: *series,
				Program: *program, Dir: filepath.Join(at, fmt.Sprintf("seed-%d", n)),
			}
			broken, err := one(o, *verbose, &mu)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				fmt.Fprintln(os.Stderr, "soak:", err)
				code = exitUsage
			case broken:
				code = max(code, exitBroken)
			}
		}()
	}
	wait.Wait()
	return code
}

// prepare makes the directory and builds the daemon where they are not given.
func prepare(dir, program *string) (string, error) {
	if *dir == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			return "", err
		}
		*dir = made
	}
	if *program != "" {
		return *dir, nil
	}
	*program = filepath.Join(*dir, "knapweedwelld")
	if out, err := exec.Command("go", "build", "-o", *program, "knapweedwell/cmd/knapweedwelld").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return *dir, nil
}

// one runs one seed and prints its report. It reports whether a promise was
// broken.
func one(o soak.Options, verbose bool, mu *sync.Mutex) (bool, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return false, err
	}
	trace, err := os.Create(filepath.Join(o.Dir, "trace.txt"))
	if err != nil {
		return false, err
	}
	defer trace.Close()
	o.Out = trace
	if verbose {
		o.Out = io.MultiWriter(trace, os.Stdout)
	}
	r, err := soak.Run(o)
	if err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("seed %d, %s, %d instances: %d violations\n", o.Seed, o.Length, o.Instances, len(r.Violations))
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"ends", r.Ends}, {"faults", r.Faults}, {"checks", r.Checks}} {
		fmt.Print("  ", part.name, ":")
		for _, name := range names(part.counts) {
			fmt.Printf(" %s %d;", name, part.counts[name])
		}
		fmt.Println()
	}
	for _, v := range r.Violations {
		fmt.Printf("  %8.3f BROKEN %s: %s\n", v.At.Seconds(), v.Promise, v.Detail)
	}
	return len(r.Violations) > 0, nil
}

func names(counts map[string]int) []string {
	var all []string
	for name := range counts {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}
