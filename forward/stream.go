package forward

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/httpwire"
)

const maxEventBytes = 256 << 10 // largest event that is buffered until it is complete

// stream is the state of an event stream that is relayed to the caller.
type stream struct {
	lastID     string        // ID of the last relayed event that has one
	lastNumber int64         // lastID as a number
	events     int           // number of relayed events
	unnumbered atomic.Bool   // whether an event without a number was relayed, after which nothing can go on
	partial    bool          // whether a part of the next event was received, so that there is one
	lastAt     time.Time     // when events were last relayed
	maxGap     time.Duration // longest gap between events so far
}

// recordGap updates the longest gap when events are relayed at the given time.
func (s *stream) recordGap(now time.Time) {
	if !s.lastAt.IsZero() {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// errWriteToCaller marks a failed write to the caller.
var errWriteToCaller = errors.New("the answer cannot be written to the caller")

// relayStream writes complete events to the caller as they arrive, so that a stream
// that breaks off within an event can be resumed at another upstream.
func (t *transfer) relayStream() result {
	rs := t.rs
	pending := rs.newBuffer()
	defer pending.Free()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := t.resp.Body.Read(buf)
		if spent := pending.Append(buf[:n]); spent != nil {
			rs.s.logMemorySpent()
			return t.breakStream(slices.Concat(pending.Bytes(), buf[:n]), spent.Error())
		}
		complete := endOfEvents(pending.Bytes())
		if complete > 0 {
			now := time.Now()
			t.observeWait(now, false)
			t.attempt.First(now)
			t.attempt.Event(now)
			t.watched.Event(now)
			rs.stream.recordGap(now)
			rs.countBegun()
			if werr := rs.writeEvents(t, pending.Bytes()[:complete]); werr != nil {
				t.keep = false
				rs.callerGone = errors.Is(werr, errWriteToCaller)
				return broken{reason: werr.Error()}
			}
			pending.Discard(complete)
		}
		switch {
		case errors.Is(err, io.EOF):
			return t.finishStream(pending.Bytes())
		case err != nil:
			return t.breakStream(pending.Bytes(), errors.Wrap(err, "read stream").Error())
		case len(pending.Bytes()) > maxEventBytes:
			return t.breakStream(pending.Bytes(), "an event of the stream is too large")
		}
	}
}

// breakStream ends a send whose stream is not complete. The rest is the text after the last
// complete event.
func (t *transfer) breakStream(rest []byte, reason string) result {
	t.keep = false
	t.rs.stream.partial = t.rs.stream.partial || beginsEvent(rest)
	return broken{reason: reason}
}

// finishStream handles the regular end of a stream. The rest is the text after the
// last complete event. Where it begins another event the stream has broken off, even if
// the answer is as long as its head states.
func (t *transfer) finishStream(rest []byte) result {
	rs := t.rs
	if reason := t.incomplete(rest); reason != "" {
		return t.breakStream(rest, reason)
	}
	if !rs.begun {
		httpwire.StripHop(t.resp.Header)
		rs.begin(t.resp.StatusCode, t.resp.Header)
		rs.w.WriteHeader(t.resp.StatusCode)
	}
	rs.extendWrite()
	if len(rest) > 0 {
		_ = rs.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := rs.w.Write(rest); err != nil {
			rs.callerGone = true
			return broken{reason: err.Error()}
		}
	}
	rs.delivered = true
	return served{}
}

// incomplete returns why a stream that has ended is not complete, empty if nothing shows that. It
// is the same for the first upstream and for those at which the stream was resumed.
func (t *transfer) incomplete(rest []byte) string {
	switch {
	case insideEvent(rest):
		return "the stream ended inside an event"
	case t.endedUnbegun(rest):
		return "the connection ended before the first event"
	case t.rs.stream.partial:
		return "the stream ended without the event that an earlier upstream had begun"
	}
	return ""
}

// endedUnbegun reports whether a stream that is due from its first event has ended with
// its connection and without any event, so that nothing shows that it is whole.
func (t *transfer) endedUnbegun(rest []byte) bool {
	rs := t.rs
	return !httpwire.Delimited(t.resp) && len(rest) == 0 && rs.stream.events == 0 && rs.headers.LastEvent == ""
}

// writeEvents writes complete events to the caller, except for those that it has
// already received from an earlier upstream.
func (rs *requestState) writeEvents(t *transfer, data []byte) error {
	if !rs.begun {
		httpwire.StripHop(t.resp.Header)
		rs.begin(t.resp.StatusCode, t.resp.Header)
		rs.w.WriteHeader(t.resp.StatusCode)
	}
	out, err, before := data, error(nil), rs.stream.events
	if rs.runs > 1 {
		out, err = rs.stream.resume(data)
	} else {
		rs.stream.record(data)
	}
	rs.s.Usage.Events(rs.pool.Name, rs.stream.events-before)
	if len(out) == 0 {
		return err
	}
	rs.extendWrite()
	if _, werr := rs.w.Write(out); werr != nil {
		return errors.Wrap(errWriteToCaller, werr.Error())
	}
	if werr := rs.control.Flush(); werr != nil {
		return errors.Wrap(errWriteToCaller, werr.Error())
	}
	return err
}

// errNoEvent marks text in a resumed stream that is no event of it.
var errNoEvent = errors.New("the stream goes on with other text than its events")

// record records complete events that are relayed.
func (s *stream) record(data []byte) {
	for rest := data; len(rest) > 0; {
		n := endOfEvent(rest)
		s.recordEvent(rest[:n])
		rest = rest[n:]
	}
}

// recordEvent records an event that is relayed.
func (s *stream) recordEvent(event []byte) {
	s.events++
	if id, number, ok := eventID(event); ok {
		s.lastID, s.lastNumber, s.partial = id, number, false
	} else if !isComment(event) {
		s.unnumbered.Store(true)
	}
}

// resume returns those of the complete events of another upstream that the caller does not
// have, and records them. Once the caller has a numbered event, text without a number is no
// event of the stream: resume returns errNoEvent and what comes before it.
func (s *stream) resume(data []byte) ([]byte, error) {
	var out []byte
	for rest := data; len(rest) > 0; {
		n := endOfEvent(rest)
		event := rest[:n]
		rest = rest[n:]
		_, number, ok := eventID(event)
		switch {
		case ok && number <= s.lastNumber && s.lastID != "":
			continue
		case !ok && s.lastID != "" && !isComment(event):
			return out, errNoEvent
		}
		s.recordEvent(event)
		out = append(out, event...)
	}
	return out, nil
}
