// Command knapweedwell is the command-line client for operators of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"knapweedwell"
	"knapweedwell/demo"
	"knapweedwell/terminal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	t := &terminal.Terminal{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Notes: knapweedwell.ReleaseNotes, Demo: demo.Run}
	code := t.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
