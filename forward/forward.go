// Package forward serves callers on routes. It finds the route and the
// organisation of a request, sends the request unchanged to an upstream of the
// route's pool, and relays the answer. It retries requests that may run again
// and resumes streams at another upstream. A refusal states that the request was
// not run only if no upstream can have run it.
//
// It is used where the instance serves routes, with packages edge and balancer.
// The chat interface uses packages dispatch, owner, pool and placement instead.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"knapweedwell/admission"
	"knapweedwell/background"
	"knapweedwell/balancer"
	"knapweedwell/budget"
	"knapweedwell/buffer"
	"knapweedwell/httpwire"
	"knapweedwell/intake"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/metric"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
	"knapweedwell/ratelimit"
	"knapweedwell/roster"
	"knapweedwell/route"
	"knapweedwell/usage"
	"knapweedwell/webserver"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute // longer than any caller keeps an idle connection
	maxHeaderBytes = 64 << 10
	writeTimeout   = 10 * time.Second // a caller may leave an answer unread for this long
)

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Address string
	Table   func() *route.Table
	Roster  func() *roster.Roster
	// RecordDeparture records that an upstream has said that it leaves, and reports
	// whether that was not known.
	RecordDeparture  func(*route.Upstream) bool
	StoreUnreachable func() bool // reports whether the store does not answer
	Picker           *balancer.Picker
	Connections      *httpwire.ConnPool
	Budget           *budget.Budget
	Quarantine       *quarantine.Quarantine
	Limits           *ratelimit.Limits
	Memory           *buffer.Memory // for bodies and long prompts
	// Admission decides on requests while room is short. If it is nil, refuseOverload does.
	Admission *admission.Control
	Usage     *usage.Service // counts requests; nil if they are not counted
	Metrics   *metric.Registry
	Check     *invariant.Checker
	Log       logrus.FieldLogger
	Listen    func(network, address string) (net.Listener, error)
	// HeadLimits returns the limits of the configuration in force on heads and idle
	// connections. Heads, Port and Drops bound and count the callers; see webserver.Server.
	HeadLimits func() webserver.Limits
	Heads      *intake.Budget
	Port       *intake.Port
	Drops      *intake.Drops

	server    *webserver.Server
	leaving   atomic.Pointer[leaving] // the planned stop, nil before it
	ended     context.Context         // ends with the planned stop
	endAll    context.CancelFunc
	mu        sync.Mutex
	active    map[*requestState]bool // requests in progress
	lastEnd   time.Time              // when a request last ended
	waits     waitFactors
	spentAt   atomic.Int64 // when it was last logged that the memory for bodies is spent, in Unix seconds
	probes    background.Group
	questions singleflight.Group // to silent upstreams, by ID
}

// Run starts listening.
func (s *Server) Run(*kernel.Kernel) error {
	s.lastEnd = time.Now()
	s.ended, s.endAll = context.WithCancel(context.Background())
	s.active = map[*requestState]bool{}
	s.server = &webserver.Server{
		Address: s.Address, Handler: s, Listen: s.Listen,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Limits: s.HeadLimits, Budget: s.Heads, Port: s.Port, Drops: s.Drops,
	}
	err := s.server.Run()
	s.Address = s.server.Address
	return err
}

// Close closes all connections.
func (s *Server) Close() error {
	err := s.server.Close()
	s.endAll()
	s.probes.Close()
	return err
}

// leaving is a planned stop.
type leaving struct {
	began, end time.Time
}

// Leave begins the planned stop: each connection is closed after its next answer, and
// requests that are not expected to end in time are refused. At its end the requests in
// progress are answered that their outcome is unknown, or cut off if their answers have
// begun.
func (s *Server) Leave(now, end time.Time) {
	if s.leaving.CompareAndSwap(nil, &leaving{began: now, end: end}) {
		time.AfterFunc(end.Sub(now), s.endAll)
	}
}

// Shutdown closes the listener and waits until the requests on the connections that
// were accepted before are answered, or the context ends. It then logs the requests
// that are still in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.logCutOff(time.Now())
	}
	return err
}

// logCutOff logs and counts the requests in progress, which the end of the process
// cuts off.
func (s *Server) logCutOff(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rs := range s.active {
		s.Metrics.ObserveCutOff(string(cutByStop))
		s.Log.WithFields(logrus.Fields{"RequestID": rs.headers.ID, "Cause": cutByStop, "Millis": now.Sub(rs.arrived).Milliseconds()}).Warn("request cut off")
	}
}

// Busy returns the number of requests in progress and the time since a request
// last ended.
func (s *Server) Busy(now time.Time) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active), now.Sub(s.lastEnd)
}

func (s *Server) requestStarted(rs *requestState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[rs] = true
}

func (s *Server) requestEnded(rs *requestState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, rs)
	s.lastEnd = time.Now()
}

// logMemorySpent logs that the memory for bodies is spent, at most once a second.
func (s *Server) logMemorySpent() {
	now, last := time.Now().Unix(), s.spentAt.Load()
	if now == last || !s.spentAt.CompareAndSwap(last, now) {
		return
	}
	s.Log.WithFields(logrus.Fields{"UsedBytes": s.Memory.Used(), "LimitBytes": s.Memory.Limit, "Refused": s.Memory.Refused()}).Warn("the memory for bodies is spent")
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rs := &requestState{s: s, w: w, r: r, control: http.NewResponseController(w), headers: platform.ReadRequestHeaders(r.Header), arrived: time.Now()}
	s.requestStarted(rs)
	defer s.requestEnded(rs)
	defer rs.freeBuffers()
	if s.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	f := rs.admit()
	if f == nil {
		f = rs.serve()
	}
	rs.end(f)
}
