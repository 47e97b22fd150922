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

	keepAliveIdle  = time.Second     // keepAliveIdle is the silence after which a connection is probed.
	keepAliveCount = 3               // keepAliveCount is the probes, a second apart, that may stay unanswered.
	unackedTimeout = 3 * time.Second // unackedTimeout is how long sent bytes may stay unacknowledged.
	memoryShare    = 70              // memoryShare is the percentage of the memory that the heap may fill.
	reloadPeriod   = 2 * time.Second // reloadPeriod is the time between looks at the settings file.
	megabyte       = int64(1) << 20
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

// service is an instance of either kind.
type service interface {
	Run() error
	Reload(fresh *setting.Settings)
	Stop(ctx context.Context) error
}

func serve(path string, settings *setting.Settings) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	out := logline.NewWriter(os.Stdout)
	defer out.Close()
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	log := logline.New(out, settings.Name, level)
	s := build(settings, log)
	if err := s.Run(); err != nil {
		log.WithField("Error", err.Error()).Error("instance cannot start")
		return exitFailed
	}
	done := make(chan struct{})
	defer close(done)
	go watchSettings(path, s, hups, done, log)
	<-signals
	return stop(s, signals, log)
}

func build(settings *setting.Settings, log logrus.FieldLogger) service {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		Control:         boundSilence,
	}
	check := &invariant.Checker{Report: func(name, detail string) {
		log.WithFields(logrus.Fields{"Invariant": name, "Detail": detail}).Error("invariant violated")
	}}
	if settings.Routes == nil {
		return &instance.Instance{Settings: settings, Dial: dialer.DialContext, Listen: net.Listen, Log: log, Check: check}
	}
	if mb := settings.Routes.MemoryMegabytes; mb > 0 {
		debug.SetMemoryLimit(int64(mb) * megabyte * memoryShare / 100)
	}
	return &edge.Instance{
		Settings: settings, Dial: dialer.DialContext, Listen: net.Listen, ListenPacket: net.ListenPacket, Log: log, Check: check,
	}
}

// boundSilence lets a connection fail whose peer acknowledges nothing.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var err error
	control := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if control != nil {
		return control
	}
	return err
}

// watchSettings looks at the settings file when told to, and from time to time.
// A file that is not sound is reported and changes nothing.
func watchSettings(path string, s service, hups <-chan os.Signal, done <-chan struct{}, log logrus.FieldLogger) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	seen := modified(path)
	for {
		asked := false
		select {
		case <-done:
			return
		case <-hups:
			asked = true
		case <-ticker.C:
		}
		now := modified(path)
		if !asked && now.Equal(seen) {
			continue
		}
		seen = now
		fresh, err := setting.Load(path)
		if err != nil {
			log.WithFields(logrus.Fields{"Asked": asked, "Error": err.Error()}).Error("the settings are not sound; the old ones stay")
			continue
		}
		s.Reload(fresh)
		log.WithField("Asked", asked).Info("settings were read again")
	}
}

// modified returns when the file was last changed, zero if that is not known.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// stop stops the instance as planned. An interrupt cuts the stop short; a stop
// signal that comes again does not, since whatever sends it asks for the same.
func stop(s service, signals <-chan os.Signal, log logrus.FieldLogger) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case again := <-signals:
				if again == os.Interrupt {
					log.Warn("interrupt during the stop: requests under way are cut off")
					cancel()
					return
				}
				log.WithField("Signal", again.String()).Info("the instance is leaving already")
			}
		}
	}()
	if err := s.Stop(ctx); err != nil {
		log.WithField("Error", err.Error()).Warn("stop was not clean")
	}
	return 0
}
