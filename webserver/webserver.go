// Package webserver runs an HTTP server and waits for its end.
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

	// Limits of what a client may send and how long it may take; zero means the
	// defaults.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int

	server *http.Server
	ended  chan struct{}
}

// Run starts listening and sets Address to the address in use.
func (s *Server) Run() error {
	l, err := s.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.Address = l.Addr().String()
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: cmp.Or(s.HeaderTimeout, headerTimeout),
		IdleTimeout:       cmp.Or(s.IdleTimeout, idleTimeout),
		MaxHeaderBytes:    cmp.Or(s.MaxHeaderBytes, maxHeaderBytes),
	}
	s.ended = make(chan struct{})
	go func() {
		defer close(s.ended)
		_ = s.server.Serve(l)
	}()
	return nil
}

// Shutdown stops accepting and waits for the requests under way, or for the
// end of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.ended
	return err
}

// WriteJSON answers with a value in JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
