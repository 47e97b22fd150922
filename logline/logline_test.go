package logline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// stuck is an output that does not take anything until it is released.
type stuck struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.buf.Write(p)
}

// TestNeverBlocks logs to an output that hangs: the writer drops what does not
// fit and goes on.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	line := strings.Repeat("x", 200) + "\n"
	begun := time.Now()
	for range 2 * queueSize {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Assert(t, w.Dropped() > 0)
	close(out.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, strings.Count(out.buf.String(), line)+w.Dropped(), 2*queueSize)
}

// TestBounded logs one message more often than its rate: other messages are not
// touched, and what was left out is counted.
func TestBounded(t *testing.T) {
	out := &bytes.Buffer{}
	w := NewWriter(out)
	log := New(w, "entry-1", logrus.InfoLevel)
	for range 4 * lineBurst {
		log.Info("often")
	}
	log.Info("rare")
	time.Sleep(50 * time.Millisecond)
	log.Info("often")
	assert.NilError(t, w.Close())
	text := out.String()
	often := strings.Count(text, `"often"`)
	assert.Assert(t, often >= lineBurst && often < 2*lineBurst, "%d lines", often)
	assert.Equal(t, strings.Count(text, `"rare"`), 1)
	assert.Assert(t, strings.Contains(text, `"LeftOut":`))
}
