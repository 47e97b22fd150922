package main

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/setting"
)

// slowInstance takes one second to stop unless the context ends.
type slowInstance struct {
	cutShort bool
}

func (s *slowInstance) Run() error               { return nil }
func (s *slowInstance) Reload(*setting.Settings) {}

func (s *slowInstance) Stop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.cutShort = true
	case <-time.After(time.Second):
	}
	return nil
}

// TestSignalsDuringStop checks that an interrupt cuts a planned stop short and
// that repeated stop signals do not.
func TestSignalsDuringStop(t *testing.T) {
	for _, c := range []struct {
		signals  []os.Signal
		cutShort bool
	}{
		{nil, false},
		{[]os.Signal{syscall.SIGTERM, syscall.SIGTERM}, false},
		{[]os.Signal{syscall.SIGTERM, os.Interrupt}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			signals := make(chan os.Signal, len(c.signals))
			for _, sig := range c.signals {
				signals <- sig
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			inst := &slowInstance{}
			assert.Equal(t, stop(inst, signals, log), 0)
			assert.Equal(t, inst.cutShort, c.cutShort, "%v", c.signals)
		})
	}
}
