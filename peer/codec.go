package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	maxFrameBytes = 16 << 20 // bounds one message
	headerBytes   = 4
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
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return errors.Errorf("frame has %d bytes, expected at most %d", n, maxFrameBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if len(body) < int(n) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(body, v)
}
