package httpwire

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

// framing is what the bytes of a head say of where its answer ends, as they come from the
// connection. The library's parser drops a part of that: it ignores Transfer-Encoding in an answer of
// HTTP/1.0 and Content-Length beside Transfer-Encoding, joins folded lines, and takes a name with a space
// after it for that of another field.
type framing struct {
	line      [lineStart]byte // the beginning of the present line
	length    int             // of the present line so far
	lines     int             // that are complete, of the present head
	interim   bool            // another head follows the present one
	complete  bool            // the head of the final answer is
	folded    bool
	spaced    bool // a space follows the name of one of the fields below
	lengths   int  // fields Content-Length
	encodings int  // fields Transfer-Encoding
}

// lineStart is the length of the beginning of a line that shows what it states.
const lineStart = 32

var (
	lengthField   = []byte("Content-Length")
	encodingField = []byte("Transfer-Encoding")
)

// read reads the next bytes from the connection.
func (f *framing) read(p []byte) {
	for len(p) > 0 && !f.complete {
		i := bytes.IndexByte(p, '\n')
		if i >= 0 && f.length == 0 {
			f.readLine(p[:i])
			p = p[i+1:]
			continue
		}
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if f.length < lineStart {
			copy(f.line[f.length:], part)
		}
		f.length += len(part)
		if i < 0 {
			return
		}
		line := f.line[:min(f.length, lineStart)]
		f.length = 0
		f.readLine(line)
		p = p[i+1:]
	}
}

// readLine reads a line without its line feed, or its beginning.
func (f *framing) readLine(line []byte) {
	empty := len(line) == 0 || len(line) == 1 && line[0] == '\r'
	switch {
	case f.lines == 0:
		f.interim = isInterimLine(line)
	case empty && f.interim:
		*f = framing{}
		return
	case empty:
		f.complete = true
	default:
		f.readField(line)
	}
	f.lines++
}

func (f *framing) readField(line []byte) {
	switch line[0] {
	case ' ', '\t':
		f.folded = true
	case 'C', 'c':
		f.count(&f.lengths, line, lengthField)
	case 'T', 't':
		f.count(&f.encodings, line, encodingField)
	}
}

// count counts a line if it is of the field with the name.
func (f *framing) count(n *int, line, name []byte) {
	if len(line) <= len(name) || !bytes.EqualFold(line[:len(name)], name) {
		return
	}
	switch line[len(name)] {
	case ':':
		*n++
	case ' ':
		f.spaced = true
	}
}

// isInterimLine reports whether a status line is that of an interim answer.
func isInterimLine(line []byte) bool {
	const status = len("HTTP/1.1 ")
	if len(line) < status+3 || line[status] != '1' {
		return false
	}
	return isInterim(100 + 10*int(line[status+1]-'0') + int(line[status+2]-'0'))
}

// statesLength reports whether an answer states that its body is not empty.
func statesLength(answer *http.Response) bool {
	length := answer.Header.Get("Content-Length")
	return length != "" && length != "0"
}

// check returns an error if the end of an answer with the parsed head is not plain: another parser may
// see another body in the same bytes.
func (f *framing) check(answer *http.Response) error {
	switch {
	case answer.ProtoMajor != 1:
		return errors.Errorf("the answer is of %s, expected HTTP/1.0 or HTTP/1.1", answer.Proto)
	case f.folded:
		return errors.New("the head of the answer has a folded line")
	case f.spaced:
		return errors.New("the head of the answer has a space after the name of a field")
	case f.encodings > 0 && !answer.ProtoAtLeast(1, 1):
		return errors.Errorf("the answer states Transfer-Encoding in %s", answer.Proto)
	case f.encodings > 0 && f.lengths > 0:
		return errors.New("the answer states Transfer-Encoding and Content-Length")
	case f.lengths > 1:
		return errors.Errorf("the answer states Content-Length %d times", f.lengths)
	case answer.StatusCode == http.StatusNoContent && (f.encodings > 0 || statesLength(answer)):
		return errors.New("the answer states a body, which its status 204 excludes")
	}
	return nil
}
