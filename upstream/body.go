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
	// MaxAnswerBytes is the largest answer that is held whole.
	MaxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
)

// Errors of answers that are not whole.
var (
	ErrNoLength = errors.New("the answer has neither a length nor an end mark")
	ErrTooLarge = errors.New("the answer is too large")
)

// Whole reads the whole body of a response. A body that was cut is an error,
// and so is one whose end cannot be told from a cut.
func Whole(resp *http.Response) ([]byte, error) {
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
// ends; a whole stream ends with a Done event, after which Next is not called.
func (r *EventReader) Next() (Event, error) {
	var e Event
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" && e.Data != nil {
			return e, nil
		}
		e.add(line)
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read stream")
	}
	return Event{}, io.ErrUnexpectedEOF
}

func (e *Event) add(line string) {
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
