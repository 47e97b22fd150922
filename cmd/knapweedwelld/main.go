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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"knapweedwell/edge"
	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/logline"
	"knapweedwell/setting"
)

const (
	exitFailed = 1
	exitUsage  = 2

	// keepAliveIdle is the time without traffic after which a connection is
	// probed, and the time between probes.
	keepAliveIdle  = time.Second
	keepAliveCount = 3               // unanswered probes after which a connection is closed
	unackedTimeout = 3 * time.Second // limit for sent bytes to be acknowledged
	// runtimeMemoryPercent is the part of MemoryMegabytes that the Go runtime may use. With
	// the program's own pages, about 10 MB, the process stays under 75%.
	runtimeMemoryPercent = 60
	settingsPollPeriod   = 2 * time.Second
	megabyte             = int64(1) << 20
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("knapweedwelld", flag.ContinueOnError)
	path := fs.String("settings", "knapweedwelld.ini", "settings `file`")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("KNAPWEEDWELL")); err != nil {
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
	return serve(*path, settings)
}

// routerInstance is an instance of package instance or of package edge.
type routerInstance interface {
	Run() error
	Reload(settings *setting.Settings)
	Stop(ctx context.Context) error
}

// serve runs an instance until a stop signal and returns the exit code.
func serve(path string, settings *setting.Settings) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := logline.NewWriter(os.Stdout)
	defer out.Close()
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	log := logline.New(out, settings.Name, level)
	inst := build(settings, log)
	if err := inst.Run(); err != nil {
		log.WithField("Error", err.Error()).Error("instance cannot start")
		return exitFailed
	}
	done := make(chan struct{})
	defer close(done)
	go watchSettings(path, inst, hangups, done, log)
	<-signals
	return stop(inst, signals, log)
}

// build returns the instance for the settings: of package edge if they have
// routes, otherwise of package instance.
func build(settings *setting.Settings, log logrus.FieldLogger) routerInstance {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		Control:         setUnackedTimeout,
	}
	check := &invariant.Checker{Report: func(name, detail string) {
		log.WithFields(logrus.Fields{"Invariant": name, "Detail": detail}).Error("invariant violated")
	}}
	if settings.Routes == nil {
		return &instance.Instance{Settings: settings, Dial: dialer.DialContext, Listen: net.Listen, Log: log, Check: check}
	}
	if mb := settings.Routes.MemoryMegabytes; mb > 0 {
		debug.SetMemoryLimit(int64(mb) * megabyte * runtimeMemoryPercent / 100)
	}
	return &edge.Instance{
		Settings: settings, Dial: dialer.DialContext, Listen: net.Listen, ListenPacket: net.ListenPacket, Log: log, Check: check,
	}
}

// setUnackedTimeout makes a connection fail if its peer acknowledges no sent bytes
// for unackedTimeout.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// watchSettings reloads the settings file on each hangup signal, and when a check
// every settingsPollPeriod finds another modification time. Settings that are not
// valid are logged and not applied.
func watchSettings(path string, inst routerInstance, hangups <-chan os.Signal, done <-chan struct{}, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		signalled := false
		select {
		case <-done:
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		modified := modTime(path)
		if !signalled && modified.Equal(lastModified) {
			continue
		}
		lastModified = modified
		settings, err := setting.Load(path)
		if err != nil {
			log.WithFields(logrus.Fields{"Asked": signalled, "Error": err.Error()}).Error("the settings are not sound; the previous ones stay in force")
			continue
		}
		inst.Reload(settings)
		log.WithField("Asked", signalled).Info("settings were read again")
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// stop makes a planned stop of the instance and returns the exit code. An
// interrupt during the stop cuts off requests in progress. A repeated stop signal
// changes nothing: it asks for the stop that is already in progress.
func stop(inst routerInstance, signals <-chan os.Signal, log logrus.FieldLogger) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case sig := <-signals:
				if sig == os.Interrupt {
					log.Warn("interrupt during the stop: requests under way are cut off")
					cancel()
					return
				}
				log.WithField("Signal", sig.String()).Info("stop signal ignored: the instance is already leaving")
			}
		}
	}()
	if err := inst.Stop(ctx); err != nil {
		log.WithField("Error", err.Error()).Warn("stop was not clean")
	}
	return 0
}
