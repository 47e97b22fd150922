// Command driver plays one case of the review: it starts instances of the router as
// processes, with the commands of the deploy file, between a stand-in store, stand-in
// runners and stand-in clients, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the time after which a case is given up.
const maxLength = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases holds the cases by name. A case returns what broke its rule.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes its record into the folder and returns the exit code.
func play(name, folder string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "driver: no case is named", name)
		return exitNotRun
	}
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return exitNotRun
	}
	defer w.close()
	go w.giveUp()
	broken, err := run(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	for i, text := range broken {
		w.note("BROKEN %s", text)
		if i < maxPrinted {
			fmt.Println(text)
		}
	}
	fmt.Printf("%s: %d breaches in %s\n", name, len(broken), time.Since(w.start).Round(time.Second))
	w.note("%d breaches", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// giveUp ends all processes and the case when the driver is told to stop or the case takes too
// long.
func (w *world) giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		w.note("the driver gets %s", s)
	case <-time.After(maxLength):
		w.note("the case takes longer than %s", maxLength)
	}
	w.close()
	os.Exit(exitNotRun)
}

// maxPrinted is the number of breaches that are printed; all are in the record.
const maxPrinted = 5
