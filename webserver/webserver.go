// Package webserver runs an HTTP server and waits until it has stopped.
package webserver

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Defaults of the limits of a Server.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

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

	server *http.Server
	done   chan struct{} // closed when the server has stopped
}

// Run starts listening and sets Address to the address in use.
func (s *Server) Run() error {
	listener, err := s.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.Address = listener.Addr().String()
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: cmp.Or(s.HeaderTimeout, headerTimeout),
		IdleTimeout:       cmp.Or(s.IdleTimeout, idleTimeout),
		MaxHeaderBytes:    cmp.Or(s.MaxHeaderBytes, maxHeaderBytes),
	}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Shutdown stops accepting connections and waits until all requests in progress
// are answered or the context ends. In the latter case it returns the context's
// error.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
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
