// Package logline writes log entries as JSON lines without ever blocking the
// one who logs. Lines of one message are bounded by a rate; how many were left
// out is told with the next one.
package logline

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	lineRate  = 150 // lineRate is the lines of one message that are written in a second.
	lineBurst = 300
	queueSize = 2048 // queueSize is the lines that wait for the output.
)

// Writer is the output of a log. Close waits until all lines are written.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewWriter returns a writer that passes lines on to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < 32<<10; {
			select {
			case next, ok := <-w.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// Nobody can be told of a log that cannot be written.
		_, _ = w.out.Write(batch)
	}
}

// Write queues a line, or drops it if the output does not keep up.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped++
	}
	return len(p), nil
}

// Dropped returns the number of lines that the output did not keep up with.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is queued.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}

// Formatter leaves out entries beyond the rate of their message.
type Formatter struct {
	Inner logrus.Formatter

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limiter *rate.Limiter
	leftOut int
}

// Format formats an entry, or returns nothing if it is left out.
func (f *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	leftOut, ok := f.admit(e)
	if !ok {
		return nil, nil
	}
	if leftOut > 0 {
		e = e.WithField("LeftOut", leftOut)
	}
	return f.Inner.Format(e)
}

func (f *Formatter) admit(e *logrus.Entry) (leftOut int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kinds == nil {
		f.kinds = map[string]*kind{}
	}
	k := f.kinds[e.Message]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(lineRate, lineBurst)}
		f.kinds[e.Message] = k
	}
	if !k.limiter.AllowN(time.Now(), 1) {
		k.leftOut++
		return 0, false
	}
	leftOut = k.leftOut
	k.leftOut = 0
	return leftOut, true
}

// New returns a log of an instance on the writer.
func New(w *Writer, instance string, level logrus.Level) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&Formatter{
		Inner: &logrus.JSONFormatter{
			TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
			FieldMap: logrus.FieldMap{
				logrus.FieldKeyTime:  "Time",
				logrus.FieldKeyLevel: "Level",
				logrus.FieldKeyMsg:   "Message",
			},
		},
	})
	return log.WithField("Instance", instance)
}
