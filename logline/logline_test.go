package logline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.buf.Write(p)
}

// TestWriteDoesNotBlock checks that, while the output blocks, Write drops the
// lines that do not fit into the queue, and that all others are written later.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	line := strings.Repeat("x", 200) + "\n"
	start := time.Now()
	for range 2 * queueLines {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, w.Dropped() > 0)
	close(out.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, strings.Count(out.buf.String(), line)+w.Dropped(), 2*queueLines)
}

// TestRateLimitOfMessage checks that a message beyond its rate is left out and
// counted, and that the limit does not apply to other messages.
func TestRateLimitOfMessage(t *testing.T) {
	out := &bytes.Buffer{}
	w := NewWriter(out)
	log := New(w, "entry-1", logrus.InfoLevel)
	for range 4 * burstLines {
		log.Info("often")
	}
	log.Info("rare")
	time.Sleep(50 * time.Millisecond)
	log.Info("often")
	assert.NilError(t, w.Close())
	text := out.String()
	often := strings.Count(text, `"often"`)
	assert.Assert(t, often >= burstLines && often < 2*burstLines, "%d lines", often)
	assert.Equal(t, strings.Count(text, `"rare"`), 1)
	assert.Assert(t, strings.Contains(text, `"LeftOut":`))
}
