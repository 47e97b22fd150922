// Package caller implements the HTTP interface for callers: chat completions,
// plain services, models and addresses.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/claimstore"
	"knapweedwell/config"
	"knapweedwell/dispatch"
	"knapweedwell/heartbeat"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/owner"
	"knapweedwell/request"
	"knapweedwell/revision"
	"knapweedwell/webserver"
)

// Headers of the caller interface.
const (
	ClassHeader     = "Knapweedwell-Class"
	TimeoutHeader   = "Knapweedwell-Timeout"
	RequestIDHeader = "Knapweedwell-Request-Id"
	ReplayedHeader  = "Knapweedwell-Replayed"
	KeyHeader       = "Idempotency-Key"
)

const (
	// AddressLifetime is how long callers may use an address answer.
	AddressLifetime = 10 * time.Second
	defaultTimeout  = 5 * time.Minute
	maxTimeout      = 30 * time.Minute
	bodyTimeout     = 30 * time.Second
	writeTimeout    = 30 * time.Second // a caller may leave one event unread for this long
	maxKeyBytes     = 256
	uuidCharsInID   = 13
)

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Self         string
	Region       string
	Address      string
	MaxBodyBytes int
	Revisions    *revision.Manager
	Heartbeats   *heartbeat.Service
	Owners       *owner.Service
	Claims       *claimstore.Service
	Dispatch     *dispatch.Service
	Check        *invariant.Checker
	Listen       func(network, address string) (net.Listener, error)
	Log          logrus.FieldLogger

	server   *webserver.Server
	leaving  atomic.Bool
	handlers background.Group
	accepted atomic.Int64
	answered atomic.Int64
}

// Run starts listening.
func (s *Server) Run(*kernel.Kernel) error {
	s.server = &webserver.Server{Address: s.Address, Handler: s.routes(), Listen: s.Listen}
	err := s.server.Run()
	s.Address = s.server.Address
	return err
}

// Leave makes the server close each connection after its next answer. Idle
// connections stay open, because a request may be in transit.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// closeWhenLeaving makes a leaving instance close the connection after the answer,
// so that the caller connects to another instance.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain stops accepting connections and waits until all requests in progress have
// ended, or until the context ends. It reports whether all of them have ended.
func (s *Server) Drain(ctx context.Context) bool {
	err := s.server.Shutdown(ctx)
	s.Check.Check(invariant.NoCut, err != nil || s.accepted.Load() == s.answered.Load(),
		"planned stop ended with %d of %d requests answered", s.answered.Load(), s.accepted.Load())
	return err == nil
}

// Close closes all connections.
func (s *Server) Close() error {
	err := s.server.Close()
	s.handlers.Close()
	return err
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	m := mux.NewRouter()
	m.Use(s.closeWhenLeaving)
	m.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	m.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	m.HandleFunc("/v1/services/{service}", s.service)
	m.HandleFunc("/v1/services/{service}/{path:.*}", s.service)
	m.NotFoundHandler = http.HandlerFunc(notFound)
	m.MethodNotAllowedHandler = http.HandlerFunc(wrongMethod)
	return m
}

func notFound(w http.ResponseWriter, r *http.Request) {
	f := request.Malformed([]request.Finding{{Place: "path", Message: "no resource " + r.URL.Path}})
	f.Status = http.StatusNotFound
	writeFailure(w, f)
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	f := request.Malformed([]request.Finding{{Place: "method", Message: r.Method + " is not allowed on " + r.URL.Path}})
	f.Status = http.StatusMethodNotAllowed
	writeFailure(w, f)
}

// identify returns the snapshot in force and the organisation of a request, or the
// failure with which the request is refused.
func (s *Server) identify(r *http.Request) (*revision.Snapshot, *config.Organisation, *request.Failure) {
	snap := s.Revisions.Current()
	if snap == nil {
		return nil, nil, request.Unavailable("this instance has no configuration yet")
	}
	if s.Revisions.Isolated() {
		return nil, nil, request.Unavailable("this instance reaches neither the platform nor another instance; use another address")
	}
	o := snap.Config.ByKey(bearerKey(r))
	if o == nil {
		return nil, nil, request.Denied("the bearer key in the Authorization header is not known")
	}
	return snap, o, nil
}

// newRequest returns a request with the fields that all kinds of request share,
// and the findings on its headers.
func (s *Server) newRequest(r *http.Request, snap *revision.Snapshot, o *config.Organisation) (*request.Request, []request.Finding) {
	var findings []request.Finding
	class := r.Header.Get(ClassHeader)
	if class == "" {
		class = o.DefaultClass
	}
	c := snap.Config.Classes[class]
	if c == nil || !o.MayUse(class) {
		findings = append(findings, request.Finding{Place: "header " + ClassHeader, Message: "class " + class + " is not one of the organisation's classes"})
	}
	timeout, ok := parseTimeout(r.Header.Get(TimeoutHeader))
	if !ok {
		findings = append(findings, request.Finding{Place: "header " + TimeoutHeader, Message: "expected a duration up to 30m, such as 20s"})
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		findings = append(findings, request.Finding{Place: "header " + KeyHeader, Message: "longer than 256 bytes"})
	}
	now := time.Now()
	req := &request.Request{
		ID:             s.Self + "-" + uuid.NewString()[:uuidCharsInID],
		Organisation:   o.Name,
		Class:          class,
		IdempotencyKey: key,
		Method:         r.Method,
		ContentType:    r.Header.Get("Content-Type"),
		Arrived:        now,
		Deadline:       now.Add(timeout),
	}
	if c != nil {
		req.Rank = c.Rank
	}
	return req, findings
}

// parseTimeout returns the timeout that a header gives, defaultTimeout if it is
// empty. It returns defaultTimeout and false if the text is not a positive
// duration of at most maxTimeout.
func parseTimeout(text string) (time.Duration, bool) {
	if text == "" {
		return defaultTimeout, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return defaultTimeout, false
	}
	return d, true
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(snap *revision.Snapshot, req *request.Request) []request.Finding {
		return readChat(snap.Config, req)
	})
}

// service serves any method on /v1/services/.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	s.serve(w, r, func(snap *revision.Snapshot, req *request.Request) []request.Finding {
		return readService(snap.Config, req, vars["service"], vars["path"], r.URL.RawQuery)
	})
}

// requestReader fills a request from its body or path and returns the findings.
type requestReader func(snap *revision.Snapshot, req *request.Request) []request.Finding

// serve reads, checks and dispatches one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, read requestReader) {
	end, ok := s.handlers.Begin()
	if !ok {
		writeFailure(w, request.Unavailable("this instance has stopped").BeforeClaim(r.Header.Get(KeyHeader)))
		return
	}
	defer end()
	s.accepted.Add(1)
	defer s.answered.Add(1)
	snap, o, f := s.identify(r)
	if f != nil {
		writeFailure(w, f.BeforeClaim(r.Header.Get(KeyHeader)))
		return
	}
	req, findings := s.newRequest(r, snap, o)
	w.Header().Set(RequestIDHeader, req.ID)
	body, f := s.readBody(w, r)
	if f != nil {
		writeFailure(w, f)
		return
	}
	req.Body = body
	findings = append(findings, read(snap, req)...)
	if len(findings) > 0 {
		writeFailure(w, request.Malformed(findings))
		return
	}
	out := &output{w: w, control: http.NewResponseController(w)}
	if f := s.Dispatch.Serve(r.Context(), req, dispatch.Sink{Whole: out.writeWhole, Event: out.writeEvent}); f != nil {
		out.fail(f)
	}
}
