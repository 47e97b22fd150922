package forward

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/httpwire"
)

const maxEventBytes = 256 << 10 // maxEventBytes is the largest event that is held until it is whole.

// stream is what has been relayed of an event stream.
type stream struct {
	lastID string // lastID is the ID of the last event that went out.
	last   int64  // last is its number.
	events int
	at     time.Time     // at is when the last event went out.
	gap    time.Duration // gap is the longest pause between events so far.
}

// pause notes that events go out.
func (s *stream) pause(now time.Time) {
	if !s.at.IsZero() {
		s.gap = max(s.gap, now.Sub(s.at))
	}
	s.at = now
}

// errCaller marks a failed write to the caller.
var errCaller = errors.New("the caller does not read")

// relay passes on whole events as they come, so that a stream which breaks
// inside an event can go on at another upstream.
func (t *transfer) relay() result {
	x := t.x
	var pending []byte
	buf := make([]byte, streamRead)
	for {
		n, err := t.resp.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		whole := endOfEvents(pending)
		if whole > 0 {
			now := time.Now()
			t.lease.First(now)
			t.lease.Event(now)
			x.stream.pause(now)
			if werr := x.events(t, pending[:whole]); werr != nil {
				t.keep = false
				x.gone = true
				return broken{reason: werr.Error()}
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return t.ended(pending)
		case err != nil:
			t.keep = false
			return broken{reason: errors.Wrap(err, "read stream").Error()}
		case len(pending) > maxEventBytes:
			t.keep = false
			return broken{reason: "an event of the stream is too large"}
		}
	}
}

// ended ends a stream that the upstream ended cleanly.
func (t *transfer) ended(rest []byte) result {
	x := t.x
	if !x.begun {
		httpwire.StripHop(t.resp.Header)
		x.begin(t.resp.StatusCode, t.resp.Header)
		x.w.WriteHeader(t.resp.StatusCode)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.gone = true
			return broken{reason: err.Error()}
		}
	}
	x.delivered = true
	return served{}
}

// events writes whole events to the caller, without those that it has.
func (x *exchange) events(t *transfer, data []byte) error {
	if !x.begun {
		httpwire.StripHop(t.resp.Header)
		x.begin(t.resp.StatusCode, t.resp.Header)
		x.w.WriteHeader(t.resp.StatusCode)
	}
	resumed := x.runs > 1
	out := data
	if resumed {
		out = out[:0:0]
	}
	for rest := data; len(rest) > 0; {
		n := endOfEvent(rest)
		event := rest[:n]
		rest = rest[n:]
		id, number, ok := eventID(event)
		if resumed && ok && number <= x.stream.last && x.stream.lastID != "" {
			continue
		}
		if ok {
			x.stream.lastID, x.stream.last = id, number
		}
		x.stream.events++
		if resumed {
			out = append(out, event...)
		}
	}
	if len(out) == 0 {
		return nil
	}
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(out); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := x.control.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}

// endOfEvent returns the length of the first whole event, zero if there is
// none.
func endOfEvent(data []byte) int {
	for at := 0; at < len(data); {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := data[at:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
	return 0
}

// endOfEvents returns the length of all whole events at the beginning of data.
func endOfEvents(data []byte) int {
	end := 0
	for {
		n := endOfEvent(data[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// eventID returns the ID of an event, if it is a number.
func eventID(event []byte) (string, int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		text := string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(text, 10, 64)
		return text, n, err == nil
	}
	return "", 0, false
}
