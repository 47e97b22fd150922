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
	prefixBytes    = 2048
	meanLength     = 40   // meanLength scales the lengths of answers.
	maxLength      = 2000 // maxLength bounds the lengths of answers.
	idHeader       = "X-Request-Id"
	priorityHeader = "X-Priority"
	doneData       = "[DONE]"
)

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// Handler returns the engine's interface with the administration calls.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	m.HandleFunc("/v1/streams/{id}", e.cancelStream).Methods(http.MethodDelete)
	m.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, e.load()) })
	m.HandleFunc("/admin/faults", e.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { webserver.WriteJSON(w, e.Stats()) })
	return m
}

// newStream reads a chat request. The length of the answer follows from
// tokens=N in the prompt, or from the hash of the prompt with a heavy tail.
func newStream(r *http.Request, body []byte) *stream {
	seed := xxhash.Sum64(body)
	rank, _ := strconv.Atoi(r.Header.Get(priorityHeader))
	s := &stream{
		id:      r.Header.Get(idHeader),
		rank:    rank,
		seed:    seed,
		length:  length(seed, body),
		prompt:  len(body) / bytesPerToken,
		prefix:  xxhash.Sum64(body[:min(len(body), prefixBytes)]),
		arrived: time.Now(),
		readers: 1,
		changed: make(chan struct{}),
	}
	if s.id == "" {
		s.id = strconv.FormatUint(seed, 16) + strconv.FormatInt(s.arrived.UnixNano(), 16)
	}
	return s
}

func length(seed uint64, body []byte) int {
	if m := lengthPattern.FindSubmatch(body); m != nil {
		n, _ := strconv.Atoi(string(m[1]))
		return max(1, n)
	}
	u := float64(seed%1000003+1) / 1000004
	n := int(meanLength / 2 * math.Pow(u, -0.5))
	return min(max(1, n), maxLength)
}

// word returns the text of one token.
func (s *stream) word(i int) string {
	return fmt.Sprintf("w%d-%x ", i, (s.seed+uint64(i)*2654435761)%4096)
}

func (s *stream) text() string {
	var b strings.Builder
	for i := range s.length {
		b.WriteString(s.word(i))
	}
	return b.String()
}

// Text returns the text that an engine generates for a request body.
func Text(body []byte) string {
	seed := xxhash.Sum64(body)
	s := &stream{seed: seed, length: length(seed, body)}
	return s.text()
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var ask struct {
		Stream bool `json:"stream"`
	}
	if err := json.Unmarshal(body, &ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.present()
	if f.Failing {
		http.Error(w, "engine failure", http.StatusInternalServerError)
		return
	}
	s := newStream(r, body)
	e.begin(s)
	w.Header().Set(idHeader, s.id)
	if f.WrongID {
		w.Header().Set(idHeader, "another-request")
	}
	if ask.Stream {
		e.relay(w, r, s, 0)
		return
	}
	e.whole(w, r, s)
}

func (e *Engine) present() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// wait returns the tokens made, and whether the stream is done, once there are
// more than n.
func (e *Engine) wait(r *http.Request, s *stream, n int) (made int, done, left bool) {
	for {
		e.mu.Lock()
		made, done = s.made, s.done
		changed := s.changed
		e.mu.Unlock()
		if made > n || done {
			return made, done, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return made, done, true
		}
	}
}

func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unread = time.Now()
}

// relay writes the events of a stream from the offset on. Event 0 gives the
// role, event i the i-th token, and the last but the end mark the finish
// reason.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	defer e.leave(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	sent := 0
	emit := func(at int, data string) bool {
		if at < from {
			return true
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", at, data)
		sent++
		return control.Flush() == nil && !e.drops(sent)
	}
	if !emit(0, e.chunk(s, `{"role":"assistant","content":""}`, "null")) {
		panic(http.ErrAbortHandler)
	}
	for at := 0; ; {
		made, done, left := e.wait(r, s, at)
		if left {
			return
		}
		for ; at < made; at++ {
			if !emit(at+1, e.chunk(s, fmt.Sprintf(`{"content":%q}`, s.word(at)), "null")) {
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
	if !emit(s.length+1, e.chunk(s, "{}", `"stop"`)) || e.present().DropEnd {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\n", doneData)
	_ = control.Flush()
}

func (e *Engine) drops(sent int) bool {
	f := e.present()
	return f.DropAfter > 0 && sent >= f.DropAfter
}

func (e *Engine) cancelled(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.cancel
}

func (e *Engine) chunk(s *stream, delta, finish string) string {
	return fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","model":"standin","choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`,
		s.id, delta, finish)
}

// whole writes the answer once it is complete.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *stream) {
	defer e.leave(s)
	for n := 0; ; {
		made, done, left := e.wait(r, s, n)
		if left {
			return
		}
		if done {
			break
		}
		n = made
	}
	f := e.present()
	if e.cancelled(s) || f.DropAfter > 0 || f.DropEnd {
		panic(http.ErrAbortHandler)
	}
	webserver.WriteJSON(w, json.RawMessage(fmt.Sprintf(
		`{"id":"chatcmpl-%s","object":"chat.completion","model":"standin","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		s.id, s.text(), s.prompt, s.length, s.prompt+s.length)))
}

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
	e.relay(w, r, s, offset)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[mux.Vars(r)["id"]]; s != nil && !s.done {
		s.cancel = true
	}
	webserver.WriteJSON(w, struct{}{})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Set(f)
	webserver.WriteJSON(w, f)
}
