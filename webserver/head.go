package webserver

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
)

// errMalformed means that bytes are no request, or that its end is ambiguous.
var errMalformed = errors.New("malformed request")

// head checks the head of one request as its bytes come. Package net/http checks it again
// and in full; here only what decides where the request ends is looked at. What two parsers
// may read in different ways is refused: line ends other than CR LF, folded lines, white
// space before a colon, and more than one statement of the length.
type head struct {
	next    int   // position of the first line that was not checked
	scanned int   // position up to which no line end was found
	fields  int   // number of lines after the first
	first   bool  // whether the first line was checked
	modern  bool  // whether the version is 1.1, not 1.0
	hosts   int   // number of Host fields
	length  int64 // of the body; unstated if no length is stated
	chunked bool
}

const unstated = -1

// tokenBytes marks the bytes of which methods and names of fields consist.
var tokenBytes = func() (set [256]bool) {
	for c := range set {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		set[c] = letter || digit || c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return set
}()

// scan checks the lines that are complete. The data begins with the first byte of the head
// and is at least as long as in the call before. It reports whether the head is complete; its
// length is then h.next.
func (h *head) scan(data []byte) (bool, error) {
	for {
		i := bytes.IndexByte(data[h.scanned:], '\n')
		if i < 0 {
			h.scanned = len(data)
			return false, nil
		}
		line := data[h.next : h.scanned+i]
		h.scanned += i + 1
		h.next = h.scanned
		if len(line) == 0 || bytes.IndexByte(line, '\r') != len(line)-1 {
			return false, errMalformed
		}
		line = line[:len(line)-1]
		if len(line) == 0 && h.first {
			return true, h.check()
		}
		if err := h.checkLine(line); err != nil {
			return false, err
		}
	}
}

func (h *head) checkLine(line []byte) error {
	if h.first {
		h.fields++
		return h.checkField(line)
	}
	h.first, h.length = true, unstated
	switch {
	case bytes.HasSuffix(line, []byte(" HTTP/1.1")):
		h.modern = true
	case bytes.HasSuffix(line, []byte(" HTTP/1.0")):
	default:
		return errMalformed
	}
	return nil
}

// checkField checks a line with a field. A line that continues the one before has no name.
func (h *head) checkField(line []byte) error {
	n := 0
	for n < len(line) && tokenBytes[line[n]] {
		n++
	}
	if n == 0 || n == len(line) || line[n] != ':' {
		return errMalformed
	}
	name, value := line[:n], line[n+1:]
	switch {
	case len(name) == len("Host") && bytes.EqualFold(name, []byte("Host")):
		h.hosts++
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		return h.setLength(bytes.Trim(value, " \t"))
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if h.chunked || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
			return errMalformed
		}
		h.chunked = true
	}
	return nil
}

// maxLengthDigits bounds the digits of a length, so that it fits into 64 bits.
const maxLengthDigits = 18

func (h *head) setLength(text []byte) error {
	if h.length != unstated || len(text) == 0 || len(text) > maxLengthDigits {
		return errMalformed
	}
	h.length = 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return errMalformed
		}
		h.length = 10*h.length + int64(c-'0')
	}
	return nil
}

// check checks a complete head.
func (h *head) check() error {
	if h.hosts > 1 || h.chunked && (h.length != unstated || !h.modern) {
		return errMalformed
	}
	return nil
}
