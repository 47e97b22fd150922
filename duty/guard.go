package duty

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// GuardedDial returns a function that dials connections on which calls with a context of
// Service.Held are written only while the lease is held.
func GuardedDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c, check: func() error { return errNotHeld }}, nil
	}
}

// withGuard returns a context whose calls set the check of their connection. A connection
// carries one call at a time.
func withGuard(ctx context.Context, check func() error) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			c.setCheck(check)
		}
	}})
}

// guardedConn is a connection whose check is called right before each write.
type guardedConn struct {
	net.Conn
	mu    sync.Mutex
	check func() error
}

func (c *guardedConn) setCheck(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
}

// Write writes bytes of a call unless the lease is not held any more.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	check := c.check
	c.mu.Unlock()
	if err := check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
