package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// cases are the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"stale":       runStale,
	"refused":     runRefused,
	"resurrected": runResurrected,
	"truncated":   runTruncated,
	"slow":        runSlow,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	record := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit code.
func run(name, record string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "harness: no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		return exitCode(w, r.broken, r.err)
	case <-stop:
	case <-time.After(caseTimeout):
	}
	w.logf("the case was ended before its end")
	return exitNotRun
}

// exitCode returns the exit code for the result of a case.
func exitCode(w *world, broken bool, err error) int {
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
