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

// slowService needs some time to stop unless it is cut short.
type slowService struct {
	cut bool
}

func (s *slowService) Run() error               { return nil }
func (s *slowService) Reload(*setting.Settings) {}

func (s *slowService) Stop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.cut = true
	case <-time.After(time.Second):
	}
	return nil
}

// TestSignalsWhileStopping sends further signals during a planned stop: only an
// interrupt cuts it short, however often the stop is asked for.
func TestSignalsWhileStopping(t *testing.T) {
	for _, c := range []struct {
		signals []os.Signal
		cut     bool
	}{
		{nil, false},
		{[]os.Signal{syscall.SIGTERM, syscall.SIGTERM}, false},
		{[]os.Signal{syscall.SIGTERM, os.Interrupt}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			signals := make(chan os.Signal, len(c.signals))
			for _, s := range c.signals {
				signals <- s
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := &slowService{}
			assert.Equal(t, stop(s, signals, log), 0)
			assert.Equal(t, s.cut, c.cut, "%v", c.signals)
		})
	}
}
