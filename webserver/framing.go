package webserver

const (
	maxChunkLineBytes = 1 << 10 // of the line before a chunk, with its extensions
	maxTrailerBytes   = 4 << 10
	maxChunkDigits    = 15
)

// framing finds the end of a request's body, so that no byte of the next request is taken for
// one of this.
type framing struct {
	left   int64      // bytes of the body, or of the chunk, that are still to come
	state  chunkState // used if the body comes in chunks; ended otherwise
	digits int        // of the size of the chunk
	bytes  int        // of the line before the chunk, or of the trailer
}

// chunkState is what the next byte of a body in chunks belongs to.
type chunkState int

const (
	ended chunkState = iota
	chunkSize
	chunkExtension
	chunkLineEnd // the LF after the size or the extensions
	chunkData
	chunkDataEnd // the CR after the data
	chunkDataLF
	trailerStart // the first byte of a line of the trailer, or of the empty line
	trailerLine
	trailerLineEnd
	bodyEnd // the LF of the empty line
)

// newFraming returns the framing of the body after a head.
func newFraming(h *head) framing {
	switch {
	case h.chunked:
		return framing{state: chunkSize}
	case h.length > 0:
		return framing{left: h.length}
	}
	return framing{}
}

// done reports whether the whole body has come.
func (f *framing) done() bool {
	return f.left == 0 && f.state == ended
}

// take returns how many of the bytes belong to the body.
func (f *framing) take(p []byte) (int, error) {
	if f.state == ended {
		n := int(min(f.left, int64(len(p))))
		f.left -= int64(n)
		return n, nil
	}
	n := 0
	for n < len(p) && f.state != ended {
		if f.state == chunkData {
			k := int(min(f.left, int64(len(p)-n)))
			f.left -= int64(k)
			n += k
			if f.left == 0 {
				f.state = chunkDataEnd
			}
			continue
		}
		if err := f.step(p[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// step takes one byte that is not data of a chunk.
func (f *framing) step(c byte) error {
	f.bytes++
	switch f.state {
	case chunkSize:
		return f.stepSize(c)
	case chunkExtension:
		if c == '\r' {
			f.state = chunkLineEnd
			return nil
		}
		if f.bytes > maxChunkLineBytes || c < ' ' && c != '\t' {
			return errMalformed
		}
		return nil
	case chunkLineEnd:
		next := chunkData
		if f.left == 0 {
			next = trailerStart
		}
		f.bytes, f.digits = 0, 0
		return f.expect(c, '\n', next)
	case chunkDataEnd:
		return f.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		f.bytes = 0
		return f.expect(c, '\n', chunkSize)
	case bodyEnd:
		return f.expect(c, '\n', ended)
	case ended, chunkData, trailerStart, trailerLine, trailerLineEnd:
	}
	return f.stepTrailer(c)
}

// expect moves on if the byte is the one that must come.
func (f *framing) expect(got, want byte, next chunkState) error {
	if got != want {
		return errMalformed
	}
	f.state = next
	return nil
}

func (f *framing) stepSize(c byte) error {
	digit := int64(-1)
	switch {
	case c >= '0' && c <= '9':
		digit = int64(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		digit = int64(c|0x20-'a') + 10
	}
	switch {
	case digit >= 0 && f.digits < maxChunkDigits:
		f.left = 16*f.left + digit
		f.digits++
	case f.digits > 0 && c == ';':
		f.state = chunkExtension
	case f.digits > 0 && c == '\r':
		f.state = chunkLineEnd
	default:
		return errMalformed
	}
	return nil
}

func (f *framing) stepTrailer(c byte) error {
	if f.bytes > maxTrailerBytes {
		return errMalformed
	}
	switch {
	case f.state == trailerStart && c == '\r':
		f.state = bodyEnd
	case f.state == trailerStart && tokenBytes[c]:
		f.state = trailerLine
	case f.state == trailerLine && c == '\r':
		f.state = trailerLineEnd
	case f.state == trailerLine && (c >= ' ' || c == '\t'):
	case f.state == trailerLineEnd:
		return f.expect(c, '\n', trailerStart)
	default:
		return errMalformed
	}
	return nil
}
