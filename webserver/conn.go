package webserver

import (
	"io"
	"net"
	"sync"
	"time"
)

// longAgo is a deadline that makes a pending read return.
var longAgo = time.Unix(1, 0)

// conn is a connection of a caller. It records whether a request is owed an answer,
// which package net/http tells only once the head of the request is parsed. Once it is
// to end, it reads nothing more unless an answer is owed.
type conn struct {
	net.Conn
	server *Server

	mu           sync.Mutex
	owed         bool      // a request is expected on a new connection, or bytes of one were read
	early        bool      // bytes of the next request were read while one was handled
	ending       bool      // the connection ends once no answer is owed
	interrupted  bool      // the deadline of the connection was set in the past by end
	readDeadline time.Time // as set by the server
}

// Read reads from the connection. It returns io.EOF if the connection is to end and
// no answer is owed.
func (c *conn) Read(p []byte) (int, error) {
	// While a request is handled, package net/http reads single bytes ahead.
	ahead := len(p) == 1
	if ahead {
		c.handling()
	}
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

// ended reports whether nothing more is to be read.
func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.owed
}

// received records that bytes were read, and whether that was ahead of the next request.
// The caller holds c.mu.
func (c *conn) received(ahead bool) {
	c.early = ahead
	c.owe()
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

// SetReadDeadline sets the deadline for reads, unless the connection was interrupted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// answered records that the request in progress is answered.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed = c.early
	c.early = false
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

// CloseWrite closes the connection for writing, if it can be.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.server.forget(c)
	return c.Conn.Close()
}

// trackingListener adds the accepted connections to those of the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, owed: true}
	l.server.remember(c)
	return c, nil
}
