package forward

import (
	"bytes"
	"strconv"
)

const lineEnds = "\r\n"

// endOfEvent returns the length of the first complete event, zero if there is
// none. A line ends with LF, CR LF or CR, and an event with a blank line, which ends
// like the line before it. The length does not depend on what follows the event.
func endOfEvent(data []byte) int {
	for at := 0; ; {
		i := bytes.IndexAny(data[at:], lineEnds)
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := data[at:]
		switch {
		case len(rest) == 0:
			return 0
		case rest[0] == data[at-1]:
			return at + 1
		case data[at-1] == '\n' && bytes.HasPrefix(rest, []byte(lineEnds)):
			return at + len(lineEnds)
		}
	}
}

// endOfEvents returns the length of all complete events at the beginning of data.
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

// insideEvent reports whether the text after the last complete event of a stream
// breaks off inside an event or a line. Comments and blank lines belong to no event.
func insideEvent(rest []byte) bool {
	return beginsEvent(rest) || (len(rest) > 0 && !bytes.ContainsAny(rest[len(rest)-1:], lineEnds))
}

// beginsEvent reports whether text after the last complete event of a stream is the beginning of
// another one, not of a comment.
func beginsEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, after, _ := cutLine(rest)
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		rest = after
	}
	return false
}

// isComment reports whether an event has comments and blank lines only.
func isComment(event []byte) bool {
	return !insideEvent(event)
}

// cutLine returns the first line of the text without its end and the text after it, and
// reports whether the line is ended.
func cutLine(text []byte) (line, after []byte, ended bool) {
	i := bytes.IndexAny(text, lineEnds)
	if i < 0 {
		return text, nil, false
	}
	end := i + 1
	if bytes.HasPrefix(text[i:], []byte(lineEnds)) {
		end++
	}
	return text[:i], text[end:], true
}

// eventID returns the ID of an event as text and as a number, and whether it is a
// number.
func eventID(event []byte) (string, int64, bool) {
	for len(event) > 0 {
		line, rest, _ := cutLine(event)
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
