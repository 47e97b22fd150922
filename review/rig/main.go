// Command rig plays the cases of the third review that are scripts: it starts instances of the
// daemon as separate processes between stand-ins and checks one rule from outside.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0 // the rule held
	broken = 1
	failed = 2 // the case could not run
)

// timeLimit ends a case that does not end by itself.
const timeLimit = 115 * time.Second

// play is one case. It reports whether the rule held.
type play func(w *world, trouble bool) (bool, error)

func main() {
	name := flag.String("case", "", "`name` of the case: parts, long, short, many, lone, era, garbled or heads")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	flag.Parse()
	os.Exit(run(*name, *path, *trouble))
}

// run plays a case and returns the exit code.
func run(name, path string, trouble bool) int {
	cases := map[string]play{
		"parts": playParts, "long": playLong, "short": playShort, "many": playMany, "lone": playLone, "era": playEra, "garbled": playGarbled, "heads": playHeads,
	}
	p := cases[name]
	if p == nil {
		fmt.Fprintf(os.Stderr, "rig: there is no case %q\n", name)
		return failed
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return failed
	}
	defer file.Close()
	w, err := newWorld(".", &record{file: file, began: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return failed
	}
	defer w.close()
	go w.closeEarly()
	ok, err := p(w, trouble)
	switch {
	case err != nil:
		w.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return failed
	case !ok:
		w.record.add("the rule was broken")
		return broken
	}
	w.record.add("the rule held")
	return held
}

// closeEarly ends all processes on a stop signal or after timeLimit.
func (w *world) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	w.record.add("the case was ended early")
	w.close()
	os.Exit(failed)
}
