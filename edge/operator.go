package edge

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/operator"
	"knapweedwell/quarantine"
	"knapweedwell/scaling"
	"knapweedwell/webserver"
)

// operatorServer serves the metrics and the state of one instance to the operator.
type operatorServer struct {
	instance *Instance
	server   *webserver.Server
}

// Run starts listening.
func (o *operatorServer) Run(*kernel.Kernel) error {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", o.metrics).Methods(http.MethodGet)
	m.HandleFunc("/status", o.status).Methods(http.MethodGet)
	o.server = o.instance.server(operatorsPort, o.instance.Settings.Operator)
	o.server.Handler = m
	return o.server.Run()
}

// Close closes all connections.
func (o *operatorServer) Close() error {
	return o.server.Close()
}

// metrics serves GET /metrics.
func (o *operatorServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.instance.metrics.Write(w)
	if s := o.instance.Scaling; s != nil {
		s.WriteMetrics(w)
	}
	operator.WriteInvariants(w, o.instance.Check.Counts())
}

// Status is the state of one instance.
type Status struct {
	Name         string
	State        string
	Version      int64
	RosterAt     int64
	StoreEra     int64
	StoreAway    bool
	StoreSilence time.Duration // time since the store last answered
	Running      int
	Members      []member.Member
	Upstreams    int
	Leaving      []string
	Quarantine   []Verdict
	Scaling      *scaling.Status // nil without the duty
	Duties       *DutiesStatus
}

// Verdict is a verdict on a prompt part, or on a whole request, that is in force.
type Verdict struct {
	Part    string // in hex
	Whole   bool   // Part is the fingerprint of a request
	Since   time.Time
	Until   time.Time
	Crashes int
}

// status serves GET /status.
func (o *operatorServer) status(w http.ResponseWriter, _ *http.Request) {
	i := o.instance
	era, _ := i.storeEra()
	s := Status{
		Name: i.Settings.Name, Version: i.Routing.Version(), RosterAt: i.Roster.Position().Mark, StoreEra: era, StoreAway: i.Roster.StoreUnreachable(),
		StoreSilence: time.Since(i.Routing.LastAnswer()), Members: i.Heartbeats.Members(), Leaving: i.Roster.Current().Leaving(), Duties: i.dutiesStatus(),
	}
	i.Heartbeats.With(func(v *member.View) { s.State = v.Self.State.String() })
	s.Running, _ = i.Forward.Busy(time.Now())
	if r := i.Roster.Current(); r != nil {
		s.Upstreams = len(r.Entries)
	}
	for _, v := range i.Quarantine.Verdicts(time.Now()) {
		s.Quarantine = append(s.Quarantine, Verdict{Part: quarantine.TraitName(v.Trait), Since: v.At, Until: v.Until, Crashes: v.Crashes, Whole: v.Whole})
	}
	if i.Scaling != nil {
		scaled := i.Scaling.Status()
		s.Scaling = &scaled
	}
	webserver.WriteJSON(w, s)
}
