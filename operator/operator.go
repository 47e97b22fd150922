// Package operator implements the operator interface of an instance and its
// client. The interface serves the configuration, the reports of all instances
// and metrics over HTTP.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/claimstore"
	"knapweedwell/config"
	"knapweedwell/dispatch"
	"knapweedwell/heartbeat"
	"knapweedwell/inifile"
	"knapweedwell/invariant"
	"knapweedwell/kernel"
	"knapweedwell/metric"
	"knapweedwell/owner"
	"knapweedwell/peer"
	"knapweedwell/revision"
	"knapweedwell/trace"
	"knapweedwell/webserver"
)

const maxBodyBytes = 2 * config.MaxTextBytes

// Server serves the operator interface. The exported fields are set before Run.
type Server struct {
	Self       string
	Address    string
	Key        string // bearer key of operators; if empty, no key is checked
	Revisions  *revision.Manager
	Heartbeats *heartbeat.Service
	Owners     *owner.Service
	Claims     *claimstore.Service
	Dispatch   *dispatch.Service
	Peers      *peer.Node
	Metrics    *metric.Registry
	Trace      *trace.Recorder
	Check      *invariant.Checker
	Listen     func(network, address string) (net.Listener, error)
	Log        logrus.FieldLogger

	server *webserver.Server
}

// Run starts listening and sets Address to the address in use.
func (s *Server) Run(*kernel.Kernel) error {
	s.server = &webserver.Server{Address: s.Address, Handler: s.routes(), Listen: s.Listen}
	err := s.server.Run()
	s.Address = s.server.Address
	return err
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.server.Close()
}

func (s *Server) routes() http.Handler {
	m := mux.NewRouter()
	m.Use(s.authorize)
	m.HandleFunc("/configuration", s.getConfiguration).Methods(http.MethodGet)
	m.HandleFunc("/configuration", s.apply).Methods(http.MethodPost)
	m.HandleFunc("/reports", s.getReports).Methods(http.MethodGet)
	m.HandleFunc("/explanations/{id}", s.getExplanations).Methods(http.MethodGet)
	m.HandleFunc("/metrics", s.getMetrics).Methods(http.MethodGet)
	return m
}

// authorize answers 401 to requests without the operator key. It accepts all
// requests if no key is set.
func (s *Server) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.Key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.Key != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the operator key is wrong or missing", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Configuration is the configuration in force on an instance.
type Configuration struct {
	Revision int64
	Text     string
	History  []revision.Entry
}

func (s *Server) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	var c Configuration
	if snap := s.Revisions.Current(); snap != nil {
		c = Configuration{Revision: snap.Revision, Text: snap.Text, History: snap.History}
	}
	webserver.WriteJSON(w, c)
}

// Applied is the answer to an apply: the result, or the findings of the checker
// if the text is not valid.
type Applied struct {
	Result   *revision.Result
	Findings inifile.Findings
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var c revision.Change
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		http.Error(w, "malformed change: "+err.Error(), http.StatusBadRequest)
		return
	}
	res, err := s.Revisions.Apply(r.Context(), c)
	var findings inifile.Findings
	if err != nil && !errors.As(err, &findings) {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if err == nil && res.Outcome == revision.Applied {
		s.Log.WithFields(logrus.Fields{"Author": c.Author, "Revision": res.Revision, "ChangeID": c.ChangeID}).Info("configuration applied")
		s.Heartbeats.Announce(r.Context(), nil)
	}
	webserver.WriteJSON(w, Applied{Result: res, Findings: findings})
}

func (s *Server) getReports(w http.ResponseWriter, r *http.Request) {
	webserver.WriteJSON(w, s.collectReports(r.Context()))
}

func (s *Server) getExplanations(w http.ResponseWriter, r *http.Request) {
	webserver.WriteJSON(w, s.collectExplanations(r.Context(), mux.Vars(r)["id"]))
}

func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Metrics.Write(w)
	WriteInvariants(w, s.Check.Counts())
}

// WriteInvariants writes the counts of invariants in the Prometheus text format.
func WriteInvariants(w io.Writer, counts []invariant.Count) {
	for _, c := range counts {
		_, _ = io.WriteString(w, invariantLines(c))
	}
}
