// Package webserver runs an HTTP server and waits until it has stopped.
package webserver

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/intake"
)

// Defaults of the limits of a Server.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

const shutdownPollPeriod = 5 * time.Millisecond

// Server is an HTTP server. The exported fields are set before Run.
type Server struct {
	Address string
	Handler http.Handler
	Listen  func(network, address string) (net.Listener, error)

	// Limits on the time and size of request headers and on the time that a
	// connection may be idle; zero means the default.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// Limits returns limits that apply where they are stricter; nil means none. A limit
	// that changes applies to heads and idle times that begin afterwards.
	Limits       func() Limits
	WriteTimeout time.Duration // for one write to a connection; zero means no limit

	// Budget counts the bytes of heads that are not complete, and Port the connections.
	// Nil means no limit. Drops counts the clients that are refused; nil means that they
	// are not counted.
	Budget *intake.Budget
	Port   *intake.Port
	Drops  *intake.Drops

	server   *http.Server
	listener net.Listener
	done     chan struct{} // closed when the server accepts no more connections
	leaving  atomic.Bool   // whether each answer ends its connection
	mu       sync.Mutex
	conns    map[*conn]bool // open connections
}

// Limits are limits on heads and on idle connections; zero means none.
type Limits struct {
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // between two requests
	HeaderBytes   int
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	l := Limits{
		HeaderTimeout: cmp.Or(s.HeaderTimeout, headerTimeout),
		IdleTimeout:   cmp.Or(s.IdleTimeout, idleTimeout),
		HeaderBytes:   cmp.Or(s.MaxHeaderBytes, maxHeaderBytes),
	}
	if s.Limits == nil {
		return l
	}
	// Zero, as no limit, becomes the largest number.
	const most = math.MaxInt
	other := s.Limits()
	l.HeaderTimeout = min(l.HeaderTimeout, cmp.Or(other.HeaderTimeout, most))
	l.IdleTimeout = min(l.IdleTimeout, cmp.Or(other.IdleTimeout, most))
	l.HeaderBytes = min(l.HeaderBytes, cmp.Or(other.HeaderBytes, most))
	return l
}

// Run starts listening and sets Address to the address in use.
func (s *Server) Run() error {
	listener, err := s.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.Address = listener.Addr().String()
	s.listener = listener
	s.conns = map[*conn]bool{}
	if s.Budget == nil {
		s.Budget = &intake.Budget{}
	}
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serve),
		// The connections apply the limits on heads, before the server sees a byte.
		ReadHeaderTimeout: cmp.Or(s.HeaderTimeout, headerTimeout),
		MaxHeaderBytes:    2 * (cmp.Or(s.MaxHeaderBytes, maxHeaderBytes) + headSlackBytes),
		ConnState:         s.setState,
		ConnContext:       withConn,
	}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		_ = s.server.Serve(&trackingListener{Listener: listener, server: s})
	}()
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.handling()
	}
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

// Shutdown stops accepting connections and waits until all requests on those accepted
// before are answered or the context ends. In the latter case it returns an error that
// wraps the context's. Shutdown of net/http is not used, because it drops a request
// whose head it has not parsed yet.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	<-s.done
	s.leaving.Store(true)
	for _, c := range s.open() {
		c.end()
	}
	ticker := time.NewTicker(shutdownPollPeriod)
	defer ticker.Stop()
	for {
		n := len(s.open())
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are open", n)
		case <-ticker.C:
		}
	}
}

// setState records that a request was answered, or that a connection has left the
// server.
func (s *Server) setState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.answered()
	case http.StateHijacked:
		c.phase.Store(int32(rawPhase))
		s.forget(c)
	case http.StateClosed:
		c.leave()
	case http.StateNew, http.StateActive:
	}
}

// remember adds an open connection.
func (s *Server) remember(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

// forget removes a connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// open returns the open connections.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close closes all connections and waits until the server has stopped.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// WriteJSON writes a value as a JSON response. Errors are ignored.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
