package webserver

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"knapweedwell/intake"
)

// longAgo is a deadline that makes a pending read return.
var longAgo = time.Unix(1, 0)

// phase is what the next bytes of a connection belong to.
type phase int32

const (
	headPhase    phase = iota // the head of a request
	bodyPhase                 // the body of a request
	handledPhase              // the next request, while one is handled
	rawPhase                  // nothing that the server knows: the connection was hijacked
)

// conn is a connection of a caller. It hands on a head only once that is complete, and no byte
// beyond the request that is handled, except one. It records whether a request is owed an
// answer, which package net/http tells only once the head of the request is parsed. Once it is
// to end, it reads nothing more unless an answer is owed.
type conn struct {
	net.Conn
	server *Server
	place  *intake.Place  // nil if the connections of the server are not limited
	input  intake.Holding // the bytes of data, and those that the parsed head takes
	phase  atomic.Int32

	// The fields up to framing are used by the goroutine that reads, and between two
	// requests by the server.
	data       []byte // read and not yet handed on, from the start of a request, or of its body
	block      []byte // of which data is a part, nil if that is no block
	handed     int    // bytes of data that were handed on
	blank      int    // bytes of empty lines before the request
	head       head
	headLimits Limits // in force when the head began
	waiting    bool   // whether the time for the rest of the head runs
	ready      bool   // whether the head is complete and not handed on
	charged    bool   // whether the head is counted after it was handed on
	framing    framing

	mu           sync.Mutex
	owed         bool      // a request is expected on a new connection, or bytes of one were read
	early        bool      // bytes of the next request were read while one was handled
	ending       bool      // the connection ends once no answer is owed
	interrupted  bool      // the deadline of the connection was set in the past by end
	refused      bool      // a refusal was written
	readDeadline time.Time // in force unless interrupted
}

func newConn(raw net.Conn, s *Server) *conn {
	c := &conn{Conn: raw, server: s, owed: true}
	c.input.Budget = s.Budget
	c.input.Drop = func() { _ = raw.Close() }
	return c
}

// Read reads from the connection. It returns io.EOF if the connection is to end and
// no answer is owed.
func (c *conn) Read(p []byte) (int, error) {
	switch phase(c.phase.Load()) {
	case headPhase:
		return c.readHead(p)
	case bodyPhase:
		return c.readBody(p)
	case handledPhase:
		c.handling()
		return c.readAhead(p)
	case rawPhase:
	}
	if n := copy(p, c.data[c.handed:]); n > 0 {
		c.handed += n
		return n, nil
	}
	return c.Conn.Read(p)
}

// readRaw reads bytes, ahead of the next request or not.
func (c *conn) readRaw(p []byte, ahead bool) (int, error) {
	if c.ended() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.received(ahead)
		return n, err
	}
	if err != nil && c.interrupted && !c.owed {
		return 0, io.EOF
	}
	return n, err
}

// readAhead hands on the first byte of the next request. Package net/http reads it while a
// request is handled, to notice that the caller has gone.
func (c *conn) readAhead(p []byte) (int, error) {
	// Bytes that came with the body may begin with empty lines.
	for len(c.data) > 0 && isBlank(c.data[0]) {
		if c.blank++; c.blank > maxBlankBytes {
			return 0, io.EOF
		}
		c.data = c.data[1:]
	}
	for len(c.data) == 0 {
		n, err := c.readRaw(p[:1], true)
		if n == 0 {
			return 0, err
		}
		if !isBlank(p[0]) {
			c.data = []byte{p[0]}
		} else if c.blank++; c.blank > maxBlankBytes {
			return 0, io.EOF
		}
	}
	c.handed = 1
	return copy(p, c.data[:1]), nil
}

// received records that bytes were read, and whether that was ahead of the next request.
// The caller holds c.mu.
func (c *conn) received(ahead bool) {
	c.early = ahead
	c.owe()
}

// ended reports whether nothing more is to be read.
func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.owed
}

// handling records that a request is handled. It may have been read together with the
// one before it, so that the connection seemed to be idle.
func (c *conn) handling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owe()
}

// owe records that an answer is owed. The caller holds c.mu.
func (c *conn) owe() {
	c.owed = true
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline sets the deadline for reads, unless the connection was interrupted. The
// deadline of a head is that of this package: the server sees no byte of it before its end.
func (c *conn) SetReadDeadline(t time.Time) error {
	if phase(c.phase.Load()) == headPhase {
		return nil
	}
	return c.setReadDeadline(t)
}

func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// accepted sets the time for the first request of a new connection.
func (c *conn) accepted() {
	limits := c.server.limits()
	_ = c.setReadDeadline(time.Now().Add(min(headerTimeout, limits.IdleTimeout)))
}

// answered records that the request in progress is answered.
func (c *conn) answered() {
	now := time.Now()
	if c.charged {
		c.input.Free()
		c.charged = false
	}
	c.head, c.headLimits = head{}, Limits{}
	c.phase.Store(int32(headPhase))
	c.setState(now, intake.Idle)
	_ = c.setReadDeadline(now.Add(c.server.limits().IdleTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed = c.early || len(c.data) > 0
	c.early = false
}

// setState records what the connection is used for.
func (c *conn) setState(now time.Time, s intake.State) {
	if c.place != nil {
		c.place.Set(now, s)
	}
}

// end makes the connection end once no answer is owed.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.owed {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// Write writes to the connection, unless a refusal was written.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	if d := c.server.WriteTimeout; d > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(d))
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the connection for writing, if it can be.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// leave makes the server forget the connection.
func (c *conn) leave() {
	c.server.forget(c)
	c.input.Free()
	if c.place != nil {
		c.place.Leave()
	}
}

const (
	refusalTimeout = 250 * time.Millisecond
	// refusalDrainBytes is how much a refused caller may still send, so that it reads the
	// refusal instead of a reset.
	refusalDrainBytes = 256 << 10
)

// refuse answers a head that is not handed on and makes the connection end. What the caller
// still sends is read into p.
func (c *conn) refuse(p []byte, status int, reason intake.Reason) error {
	if reason != intake.NoBytes { // counted by the budget
		c.server.Drops.Add(reason)
	}
	c.mu.Lock()
	c.refused = true
	c.mu.Unlock()
	c.dropData()
	c.handed = 0
	c.input.Free()
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	answer := "HTTP/1.1 " + text + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + text
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := io.WriteString(c.Conn, answer)
	if err == nil {
		err = c.CloseWrite()
	}
	for n, drained := 0, 0; err == nil && drained < refusalDrainBytes; drained += n {
		n, err = c.Conn.Read(p)
	}
	return io.EOF
}

// trackingListener adds the accepted connections to those of the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is a place.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l.server)
		if port := l.server.Port; port != nil {
			if c.place = port.Take(time.Now(), func() { _ = raw.Close() }); c.place == nil {
				_ = raw.Close()
				continue
			}
		}
		l.server.remember(c)
		c.accepted()
		return c, nil
	}
}
