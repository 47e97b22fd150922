package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"knapweedwell/intake"
)

const (
	// maxHelloBytes bounds messages of a connection on which no peer has said Hello.
	maxHelloBytes = 4 << 10
	// firstFrameBytes is the first part of a message that is read. Larger ones are read in
	// parts that double, because their length may be stated and never sent.
	firstFrameBytes = 4 << 10
	maxFrameBytes   = 16 << 20 // bounds one message
	headerBytes     = 4
)

// frameCodec writes each JSON object as a frame: its length in four bytes, most
// significant first, and the object. It implements jsonrpc2.ObjectCodec.
type frameCodec struct{}

// WriteObject writes one object as a frame.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return errors.Errorf("message has %d bytes, expected at most %d", len(body), maxFrameBytes)
	}
	frame := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[headerBytes:], body)
	_, err = w.Write(frame)
	return err
}

// ReadObject reads one frame into v. A frame with anything but one object is an error.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	input := intake.Holding{Budget: &intake.Budget{}}
	return readFrame(r, v, func() int { return maxFrameBytes }, &input)
}

// sessionCodec is the codec of one connection. It counts the bytes of messages that are not
// complete, and bounds those of a connection on which no peer has said Hello.
type sessionCodec struct {
	frameCodec
	session *session
	input   intake.Holding
}

// ReadObject reads one frame into v.
func (c *sessionCodec) ReadObject(r *bufio.Reader, v any) error {
	defer c.input.Free()
	return readFrame(r, v, c.limit, &c.input)
}

// limit returns the size limit of a message that begins now.
func (c *sessionCodec) limit() int {
	if c.session.trusted.Load() {
		return maxFrameBytes
	}
	return maxHelloBytes
}

var errNoFrameBytes = errors.New("too few bytes are left for the message")

// readFrame reads one frame into v. The limit is asked for once the frame has begun.
func readFrame(r *bufio.Reader, v any, limit func() int, input *intake.Holding) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if most := limit(); n > most {
		return errors.Errorf("frame has %d bytes, expected at most %d", n, most)
	}
	var body []byte
	for len(body) < n {
		size := min(n, max(2*len(body), firstFrameBytes))
		if !input.Resize(int64(size)) {
			return errNoFrameBytes
		}
		part := make([]byte, size)
		copy(part, body)
		if _, err := io.ReadFull(r, part[len(body):]); err != nil {
			return unexpected(err)
		}
		body = part
	}
	return json.Unmarshal(body, v)
}

// unexpected returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
