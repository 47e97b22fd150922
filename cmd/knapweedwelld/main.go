// Command knapweedwelld runs one instance of the router.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/setting"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("knapweedwelld", flag.ContinueOnError)
	path := fs.String("settings", "knapweedwelld.ini", "settings `file`")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("KNAPWEEDWELLD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	settings, err := setting.Load(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "knapweedwelld: the settings are not sound\n%v\n", err)
		return exitUsage
	}
	if *check {
		fmt.Println("the settings are sound")
		return 0
	}
	return serve(settings)
}

func serve(settings *setting.Settings) int {
	log := newLog(settings)
	dialer := &net.Dialer{}
	i := &instance.Instance{
		Settings: settings,
		Dial:     dialer.DialContext,
		Listen:   net.Listen,
		Log:      log,
		Check: &invariant.Checker{Report: func(name, detail string) {
			log.WithFields(logrus.Fields{"Invariant": name, "Detail": detail}).Error("invariant violated")
		}},
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := i.Run(); err != nil {
		log.WithField("Error", err.Error()).Error("instance cannot start")
		return exitFailed
	}
	<-signals
	return stop(i, signals, log)
}

// stop stops the instance as planned. A second signal cuts the stop short.
func stop(i *instance.Instance, signals <-chan os.Signal, log logrus.FieldLogger) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		log.Warn("second signal: requests under way are cut off")
		cancel()
	}()
	if err := i.Stop(ctx); err != nil {
		log.WithField("Error", err.Error()).Warn("stop was not clean")
	}
	return 0
}

func newLog(settings *setting.Settings) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{FieldMap: logrus.FieldMap{
		logrus.FieldKeyTime:  "Time",
		logrus.FieldKeyLevel: "Level",
		logrus.FieldKeyMsg:   "Message",
	}})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	return log.WithField("Instance", settings.Name)
}
