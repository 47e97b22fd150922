// Command soak runs instances as separate processes under random faults and
// checks what callers and upstreams see. See package soak. Its exit status is 1 if
// a promise was broken, and 2 if the flags are not valid or a soak could not be
// run.
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
	exitViolation = 1
	exitError     = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "first `seed`")
	seeds := fs.Uint64("seeds", 1, "number of consecutive seeds")
	jobs := fs.Int("jobs", 1, "number of seeds that run concurrently")
	length := fs.Duration("length", time.Minute, "`time` under faults for each seed")
	instances := fs.Int("instances", 5, "number of instances")
	upstreams := fs.Int("upstreams", 3, "number of upstreams of each service")
	rate := fs.Float64("rate", 40, "requests per second")
	series := fs.Int("series", 3, "number of concurrent series of faults")
	program := fs.String("program", "", "`path` of knapweedwelld; built if empty")
	dir := fs.String("dir", "", "`directory` for logs and settings; a new one if empty")
	verbose := fs.Bool("verbose", false, "print each fault")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SOAK")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitError
	}
	workDir, err := prepare(dir, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitError
	}
	fmt.Println("logs and settings are in", workDir)
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots, code := make(chan bool, max(*jobs, 1)), 0
	for s := *seed; s < *seed+*seeds; s++ {
		slots <- true
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			o := soak.Options{
				Seed: s, Length: *length, Instances: *instances, Upstreams: *upstreams, Rate: *rate, Series: *series,
				Program: *program, Dir: filepath.Join(workDir, fmt.Sprintf("seed-%d", s)),
			}
			violated, err := runSeed(o, *verbose, &mu)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				fmt.Fprintln(os.Stderr, "soak:", err)
				code = exitError
			case violated:
				code = max(code, exitViolation)
			}
		}()
	}
	wg.Wait()
	return code
}

// prepare creates the directory if it is not given, and builds the daemon if its
// path is not given. It returns the directory.
func prepare(dir, program *string) (string, error) {
	if *dir == "" {
		tempDir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return "", err
		}
		*dir = tempDir
	}
	if *program != "" {
		return *dir, nil
	}
	*program = filepath.Join(*dir, "knapweedwelld")
	if out, err := exec.Command("go", "build", "-o", *program, "knapweedwell/cmd/knapweedwelld").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build knapweedwelld: %w\n%s", err, out)
	}
	return *dir, nil
}

// runSeed runs a soak with one seed and prints its report. It reports whether a
// promise was broken. The mutex serialises the output.
func runSeed(o soak.Options, verbose bool, mu *sync.Mutex) (bool, error) {
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
	}{{"ends", r.Outcomes}, {"faults", r.Faults}, {"checks", r.Checks}} {
		fmt.Print("  ", part.name, ":")
		for _, name := range sortedNames(part.counts) {
			fmt.Printf(" %s %d;", name, part.counts[name])
		}
		fmt.Println()
	}
	for _, v := range r.Violations {
		fmt.Printf("  %8.3f BROKEN %s: %s\n", v.At.Seconds(), v.Promise, v.Detail)
	}
	return len(r.Violations) > 0, nil
}

// sortedNames returns the names in counts in ascending order.
func sortedNames(counts map[string]int) []string {
	var all []string
	for name := range counts {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}
