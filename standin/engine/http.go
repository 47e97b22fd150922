package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"knapweedwell/webserver"
)

const (
	bytesPerToken  = 4
	prefixBytes    = 2048 // length of the start of a request body that identifies its prefix
	meanTokens     = 40   // mean answer length before the bound
	maxTokens      = 2000 // maximum answer length
	idHeader       = "X-Request-Id"
	priorityHeader = "X-Priority"
	endMark        = "[DONE]"
)

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// Handler returns the HTTP handler of the engine's API, including the /admin
// calls.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	m.HandleFunc("/v1/streams/{id}", e.cancelStream).Methods(http.MethodDelete)
	m.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, e.load()) })
	m.HandleFunc("/admin/faults", e.handleFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, e.Stats()) })
	return m
}

// newStream returns the stream of a chat request. A request without an ID gets
// one from its hash and the time.
func newStream(r *http.Request, body []byte) *stream {
	seed := xxhash.Sum64(body)
	rank, _ := strconv.Atoi(r.Header.Get(priorityHeader))
	s := &stream{
		id:           r.Header.Get(idHeader),
		rank:         rank,
		seed:         seed,
		length:       length(seed, body),
		promptTokens: len(body) / bytesPerToken,
		prefix:       xxhash.Sum64(body[:min(len(body), prefixBytes)]),
		arrived:      time.Now(),
		readers:      1,
		changed:      make(chan struct{}),
	}
	if s.id == "" {
		s.id = strconv.FormatUint(seed, 16) + strconv.FormatInt(s.arrived.UnixNano(), 16)
	}
	return s
}

// length returns the number of tokens of the answer to a request body: N, at
// least 1, if the body contains tokens=N, otherwise a Pareto quantile with shape
// 2 and scale meanTokens/2, bounded by maxTokens, at a point that follows from
// the hash of the body.
func length(seed uint64, body []byte) int {
	if m := lengthPattern.FindSubmatch(body); m != nil {
		n, _ := strconv.Atoi(string(m[1]))
		return max(1, n)
	}
	u := float64(seed%1000003+1) / 1000004
	n := int(meanTokens / 2 * math.Pow(u, -0.5))
	return min(max(1, n), maxTokens)
}

// token returns the text of the i-th token, counted from zero.
func (s *stream) token(i int) string {
	return fmt.Sprintf("w%d-%x ", i, (s.seed+uint64(i)*2654435761)%4096)
}

// text returns the text of the complete answer.
func (s *stream) text() string {
	var b strings.Builder
	for i := range s.length {
		b.WriteString(s.token(i))
	}
	return b.String()
}

// AnswerText returns the text that an engine generates for a request body.
func AnswerText(body []byte) string {
	seed := xxhash.Sum64(body)
	s := &stream{seed: seed, length: length(seed, body)}
	return s.text()
}

// chat handles a chat completion request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var options struct {
		Stream bool `json:"stream"`
	}
	if err := json.Unmarshal(body, &options); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.activeFaults()
	if f.Failing {
		http.Error(w, "engine failure", http.StatusInternalServerError)
		return
	}
	s := newStream(r, body)
	e.enqueue(s)
	w.Header().Set(idHeader, s.id)
	if f.WrongID {
		w.Header().Set(idHeader, "another-request")
	}
	if options.Stream {
		e.writeStream(w, r, s, 0)
		return
	}
	e.writeAnswer(w, r, s)
}

// activeFaults returns the injected faults.
func (e *Engine) activeFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// wait blocks until the stream has more than n tokens or is done, and returns
// the number of tokens and whether the stream is done. If the client
// disconnects first, disconnected is true.
func (e *Engine) wait(r *http.Request, s *stream, n int) (generated int, done, disconnected bool) {
	for {
		e.mu.Lock()
		generated, done = s.generated, s.done
		changed := s.changed
		e.mu.Unlock()
		if generated > n || done {
			return generated, done, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return generated, done, true
		}
	}
}

// detach removes a reader from a stream.
func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// writeStream writes the events of a stream, starting at event number from.
// Event 0 holds the role, event i the i-th token (counted from one), and the
// last event before the end mark the finish reason.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	defer e.detach(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	sent := 0
	emit := func(at int, data string) bool {
		if at < from {
			return true
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", at, data)
		sent++
		return controller.Flush() == nil && !e.aborts(sent)
	}
	if !emit(0, e.chunk(s, `{"role":"assistant","content":""}`, "null")) {
		panic(http.ErrAbortHandler)
	}
	for at := 0; ; {
		generated, done, disconnected := e.wait(r, s, at)
		if disconnected {
			return
		}
		for ; at < generated; at++ {
			if !emit(at+1, e.chunk(s, fmt.Sprintf(`{"content":%q}`, s.token(at)), "null")) {
				panic(http.ErrAbortHandler)
			}
		}
		if done {
			break
		}
	}
	if e.cancelled(s) {
		panic(http.ErrAbortHandler)
	}
	if !emit(s.length+1, e.chunk(s, "{}", `"stop"`)) || e.activeFaults().DropEnd {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\n", endMark)
	_ = controller.Flush()
}

// aborts reports whether the faults abort a connection on which the given number
// of events has been sent.
func (e *Engine) aborts(sent int) bool {
	f := e.activeFaults()
	return f.DropAfter > 0 && sent >= f.DropAfter
}

// cancelled reports whether a stream has been cancelled.
func (e *Engine) cancelled(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.cancel
}

// chunk returns the data of one event.
func (e *Engine) chunk(s *stream, delta, finish string) string {
	return fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","model":"standin","choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`,
		s.id, delta, finish)
}

// writeAnswer writes the answer in one piece once it is complete.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, s *stream) {
	defer e.detach(s)
	for n := 0; ; {
		generated, done, disconnected := e.wait(r, s, n)
		if disconnected {
			return
		}
		if done {
			break
		}
		n = generated
	}
	f := e.activeFaults()
	if e.cancelled(s) || f.DropAfter > 0 || f.DropEnd {
		panic(http.ErrAbortHandler)
	}
	webserver.WriteJSON(w, json.RawMessage(fmt.Sprintf(
		`{"id":"chatcmpl-%s","object":"chat.completion","model":"standin","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		s.id, s.text(), s.promptTokens, s.length, s.promptTokens+s.length)))
}

// resume continues a stream for another reader from the event in the query
// parameter offset.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s := e.streams[mux.Vars(r)["id"]]
	if s != nil {
		s.readers++
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set(idHeader, s.id)
	e.writeStream(w, r, s, offset)
}

// cancelStream cancels a stream that has not ended. An unknown ID is not an
// error.
func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[mux.Vars(r)["id"]]; s != nil && !s.done {
		s.cancel = true
	}
	webserver.WriteJSON(w, struct{}{})
}

// handleFaults replaces the injected faults by those in the request body.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	webserver.WriteJSON(w, f)
}
