package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sort"
	"strconv"
	"time"

	"knapweedwell/dispatch"
	"knapweedwell/member"
	"knapweedwell/request"
	"knapweedwell/upstream"
	"knapweedwell/webserver"
)

// output writes the answer to one request.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool // whether a stream was begun
}

// writeWhole writes an answer that is not a stream.
func (o *output) writeWhole(a dispatch.Answer) error {
	h := o.w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Replayed {
		h.Set(ReplayedHeader, "true")
	}
	o.extendDeadline()
	o.w.WriteHeader(a.Status)
	_, err := o.w.Write(a.Body)
	return err
}

// extendDeadline allows writeTimeout for the next write.
func (o *output) extendDeadline() {
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// begin writes the header of a stream before its first event.
func (o *output) begin() {
	if o.begun {
		return
	}
	o.begun = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one event of a stream.
func (o *output) writeEvent(e upstream.Event) error {
	o.begin()
	o.extendDeadline()
	if e.ID != "" {
		fmt.Fprintf(o.w, "id: %s\n", e.ID)
	}
	if _, err := fmt.Fprintf(o.w, "data: %s\n\n", e.Data); err != nil {
		return err
	}
	return o.control.Flush()
}

// fail ends the answer with a failure. A stream that was begun ends with an error
// event instead of the end mark.
func (o *output) fail(f *request.Failure) {
	if !o.begun {
		writeFailure(o.w, f)
		return
	}
	o.extendDeadline()
	fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", failureBody(f))
	_ = o.control.Flush()
}

// failureBody returns a failure as the JSON that clients of the chat completions
// protocol expect.
func failureBody(f *request.Failure) []byte {
	type finding struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	}
	var body struct {
		Error struct {
			Type     string    `json:"type"`
			Message  string    `json:"message"`
			Findings []finding `json:"findings,omitempty"`
		} `json:"error"`
	}
	body.Error.Type = string(f.Type)
	body.Error.Message = f.Message
	for _, d := range f.Findings {
		body.Error.Findings = append(body.Error.Findings, finding(d))
	}
	b, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"type":"failed","message":"the failure cannot be encoded"}}`)
	}
	return b
}

func writeFailure(w http.ResponseWriter, f *request.Failure) {
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(append(failureBody(f), '\n'))
}

// models serves GET /v1/models.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	snap, _, f := s.identify(r)
	if f != nil {
		writeFailure(w, f)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, t := range snap.Config.Targets {
		if !t.Service {
			list.Data = append(list.Data, model{ID: t.Name, Object: "model", OwnedBy: "knapweedwell"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	webserver.WriteJSON(w, list)
}

// AddressAnswer lists the addresses that a caller should use, in order of
// preference. Ticket is an idempotency key for one request.
type AddressAnswer struct {
	Addresses       []string
	LifetimeSeconds int
	Ticket          string
}

// addresses serves GET /v1/addresses.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	target := r.URL.Query().Get("model") + r.URL.Query().Get("service")
	webserver.WriteJSON(w, AddressAnswer{
		Addresses:       s.addressList(target, r.URL.Query().Get("region")),
		LifetimeSeconds: int(AddressLifetime.Seconds()),
		Ticket:          s.Claims.Issue(),
	})
}

// addressList returns the addresses for callers of live instances: first the owners
// of the target's shards in the region, then the region's other instances, then
// all others.
func (s *Server) addressList(target, region string) []string {
	if region == "" {
		region = s.Region
	}
	owners := map[string]bool{}
	if snap := s.Revisions.Current(); snap != nil {
		for _, sh := range snap.Plan.Shards(target, region) {
			m, _ := s.Owners.Owner(sh.Name)
			owners[m.Name] = true
		}
	}
	var live []member.Member
	s.Heartbeats.With(func(v *member.View) { live = v.Live() })
	preference := func(m member.Member) int {
		switch {
		case owners[m.Name]:
			return 0
		case m.Region == region:
			return 1
		}
		return 2
	}
	sort.SliceStable(live, func(i, j int) bool { return preference(live[i]) < preference(live[j]) })
	addresses := []string{}
	for _, m := range live {
		addresses = append(addresses, m.Caller)
	}
	return addresses
}
