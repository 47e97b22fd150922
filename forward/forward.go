// Package forward serves callers on routes: it finds the route and the
// organisation of a request, sends it unchanged to an upstream of the route's
// pool, and relays the answer. It repeats what may be repeated, lets streams go
// on at another upstream, and says of a refusal that the request was not run
// only if that is so.
package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/budget"
	"knapweedwell/httpwire"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/metric"
	"knapweedwell/pick"
	"knapweedwell/platform"
	"knapweedwell/roster"
	"knapweedwell/route"
	"knapweedwell/webserver"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute // idleTimeout is longer than any caller keeps an idle connection.
	maxHeaderBytes = 64 << 10
	writeTimeout   = 10 * time.Second // writeTimeout is how long a caller may leave an answer unread.
)

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Address string
	Table   func() *route.Table
	Roster  func() *roster.Roster
	Away    func() bool // Away reports whether the store does not answer.
	Picker  *pick.Picker
	Links   *httpwire.Pool
	Budget  *budget.Budget
	Metrics *metric.Registry
	Check   *invariant.Checker
	Log     logrus.FieldLogger
	Listen  func(network, address string) (net.Listener, error)

	server  *webserver.Server
	leaving atomic.Pointer[time.Time] // leaving is when the planned stop began.
	mu      sync.Mutex
	active  int
	last    time.Time // last is when a request last ended.
}

// Run starts listening.
func (s *Server) Run(*kernel.Kernel) error {
	s.last = time.Now()
	s.server = &webserver.Server{
		Address: s.Address, Handler: s, Listen: s.Listen,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	err := s.server.Run()
	s.Address = s.server.Address
	return err
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.server.Close()
}

// Leave begins the planned stop: connections end after their next answer, and
// requests that could not end in time are refused.
func (s *Server) Leave(now time.Time) {
	s.leaving.CompareAndSwap(nil, &now)
}

// Busy returns the number of requests under way, and for how long none has
// ended.
func (s *Server) Busy(now time.Time) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, now.Sub(s.last)
}

func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.last = time.Now()
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.enter()
	defer s.leave()
	if s.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{s: s, w: w, r: r, control: http.NewResponseController(w), head: platform.ReadHead(r.Header), arrived: time.Now()}
	f := x.admit()
	if f == nil {
		f = x.serve()
	}
	x.end(f)
}
