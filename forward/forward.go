// Package forward serves callers on routes: it finds the route and the
// organisation of a request, sends it unchanged to an upstream of the route's
// pool, and relays the answer. It repeats what may be repeated, lets streams go
// on at another upstream, and says of a refusal that the request was not run
// only if that is so.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
	"knapweedwell/request"
	"knapweedwell/roster"
	"knapweedwell/route"
	"knapweedwell/webserver"
)

const (
	defaultBodyBytes = 4 << 20
	headerTimeout    = 10 * time.Second
	idleTimeout      = time.Minute // idleTimeout is longer than any caller keeps an idle connection.
	maxHeaderBytes   = 64 << 10
	bodyTimeout      = 30 * time.Second
	writeTimeout     = 10 * time.Second // writeTimeout is how long a caller may leave an answer unread.
	acceptStreams    = 2500 * time.Millisecond
	acceptCalls      = 5 * time.Second
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

// admit finds the route and the organisation of a request and reads its body.
func (x *exchange) admit() *request.Failure {
	x.table = x.s.Table()
	if x.table == nil || x.s.Roster() == nil {
		wait := startWait
		if x.s.Away() {
			wait = outageWait
		}
		return request.Unavailable("this instance has no configuration yet").After(wait)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.table.Match(x.r.Host, path)
	if x.route == nil {
		f := request.Malformed([]request.Finding{{Place: "path", Message: "no route leads from " + x.r.Host + path}})
		f.Status = http.StatusNotFound
		return f
	}
	if f := x.authorize(); f != nil {
		return f
	}
	x.rank = x.table.RankOf(x.route, x.organisation)
	x.limit = x.arrived.Add(x.route.Timeout)
	if x.head.TimeLeft > 0 && x.head.TimeLeft < x.route.Timeout {
		x.limit = x.arrived.Add(x.head.TimeLeft)
	}
	if f := x.leavingTooSoon(); f != nil {
		return f
	}
	return x.readBody()
}

func (x *exchange) authorize() *request.Failure {
	if !x.table.Closed {
		return nil
	}
	x.organisation = x.table.Owner(x.head.Key)
	if x.organisation != nil || x.route.Open {
		return nil
	}
	return request.Denied("the key in the Authorization header is not known")
}

// leavingTooSoon refuses a request that is not expected to end before the
// planned stop does.
func (x *exchange) leavingTooSoon() *request.Failure {
	begun := x.s.leaving.Load()
	if begun == nil {
		return nil
	}
	accept := acceptCalls
	if x.route.Stream {
		accept = acceptStreams
	}
	if x.arrived.Sub(*begun) < accept {
		return nil
	}
	return request.Unavailable("this instance is leaving").After(leavingWait)
}

// readBody reads the whole body within the limits.
func (x *exchange) readBody() *request.Failure {
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	_ = x.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	if err == nil {
		_ = x.control.SetReadDeadline(time.Time{})
		return nil
	}
	x.w.Header().Set("Connection", "close")
	f := request.Malformed([]request.Finding{{Place: "body", Message: err.Error()}})
	if len(x.body) >= limit {
		f.Status = http.StatusRequestEntityTooLarge
	}
	return f
}

// context returns the context of the sends: it ends with the time left, and
// with the caller unless the request runs once only and is short.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Repeatable() && !x.route.Stream {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, x.limit)
}
