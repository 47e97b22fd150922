package httpwire

import (
	"io"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

var (
	errRequestUnread = errors.New("the upstream ended its answer before it had the whole request")
	errReset         = errors.New("the upstream has reset the connection")
)

// unframedBody is the body of an answer without a length, which ends with its connection. If the
// upstream does not get the whole request, it resets the connection once more of it arrives, and the
// answer is not complete. The end of the body may be read before that.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body. In place of io.EOF it returns an error if the upstream has not received
// the whole request or has reset the connection.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.conn.checkEnd(); cause != nil {
			return n, cause
		}
	}
	return n, err
}

// checkBodyEnd makes the end of an answer's body an error where it shows that the answer is not
// complete.
func (c *Conn) checkBodyEnd(answer *http.Response) {
	if !Delimited(answer) {
		answer.Body = &unframedBody{ReadCloser: answer.Body, conn: c}
	}
}

// checkEnd returns why an answer that has ended with its connection is not complete; nil if nothing
// shows that, or if the connection is none of the system's.
func (c *Conn) checkEnd() error {
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var cause error
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && n != 0 {
			cause = errReset
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil && n > 0 {
			cause = errRequestUnread
		}
	})
	return cause
}
