// Package logline writes log entries as JSON lines and never blocks the caller.
// The lines of one message are rate-limited; the next line that is written
// carries the number of those left out.
package logline

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burstLines limit the lines of each message.
	linesPerSecond = 150
	burstLines     = 300

	// queueLines is the number of lines that can wait for the output.
	queueLines = 2048

	// batchBytes is the size from which on a batch takes no further line.
	batchBytes = 32 << 10
)

// Writer is the output of a log. It queues lines for a goroutine that writes
// them, and drops lines while the queue is full.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewWriter returns a writer that writes lines to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines in batches.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next, ok := <-w.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// There is no other output to which a failed write could be reported.
		_, _ = w.out.Write(batch)
	}
}

// Write queues a copy of a line, or drops it if the queue is full or the writer
// is closed. It never returns an error.
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

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close returns after all queued lines are written.
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

// Formatter formats entries with Inner and leaves out those beyond the rate limit
// of their message.
type Formatter struct {
	Inner logrus.Formatter

	mu     sync.Mutex
	limits map[string]*messageLimit // by message
}

// messageLimit is the rate limit of one message and the number of its entries
// left out since the last that was written.
type messageLimit struct {
	limiter *rate.Limiter
	leftOut int
}

// Format formats an entry, or returns nil if it is left out. The first entry
// after some that were left out carries their number in the field LeftOut.
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

// admit reports whether an entry is within the rate limit of its message, and
// returns the number of entries left out before it.
func (f *Formatter) admit(e *logrus.Entry) (leftOut int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limits == nil {
		f.limits = map[string]*messageLimit{}
	}
	l := f.limits[e.Message]
	if l == nil {
		l = &messageLimit{limiter: rate.NewLimiter(linesPerSecond, burstLines)}
		f.limits[e.Message] = l
	}
	if !l.limiter.AllowN(time.Now(), 1) {
		l.leftOut++
		return 0, false
	}
	leftOut = l.leftOut
	l.leftOut = 0
	return leftOut, true
}

// New returns a logger that writes to w and sets the field Instance.
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
