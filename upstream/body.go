package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	// MaxAnswerBytes is the size of the largest answer that ReadBody reads.
	MaxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
)

// Errors that ReadBody returns.
var (
	ErrNoLength = errors.New("the answer has neither a length nor an end mark")
	ErrTooLarge = errors.New("the answer is too large")
)

// ReadBody reads the complete body of a response. It returns an error if the body is
// truncated, ErrNoLength if its end cannot be distinguished from a truncation,
// and ErrTooLarge if it is larger than MaxAnswerBytes.
func ReadBody(resp *http.Response) ([]byte, error) {
	if !delimited(resp) {
		return nil, ErrNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrTooLarge
	}
	return body, nil
}

// delimited reports whether a response states where its body ends.
func delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Data []byte
}

// DoneData is the data of the event that ends a stream.
const DoneData = "[DONE]"

// Done reports whether the event ends the stream.
func (e Event) Done() bool {
	return string(bytes.TrimSpace(e.Data)) == DoneData
}

// EventReader reads server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 4096), maxEventBytes)
	return &EventReader{scanner: s}
}

// Next returns the next event. It returns io.ErrUnexpectedEOF if the stream
// ends; a complete stream ends with a Done event, after which Next is not called.
func (r *EventReader) Next() (Event, error) {
	var e Event
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" && e.Data != nil {
			return e, nil
		}
		e.addLine(line)
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read stream")
	}
	return Event{}, io.ErrUnexpectedEOF
}

// addLine adds one line of the stream to the event.
func (e *Event) addLine(line string) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		e.ID = value
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
