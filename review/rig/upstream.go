package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serversKind  = "servers"
	heartbeat    = 1200 * time.Millisecond
	missedBeats  = 3 // after which the entry of a silent runner is removed
	firstAddress = "127.0.0.1:0"

	idHeader        = "X-Knapweedwell-Request-Id"
	expectedHeader  = "X-Knapweedwell-Expected-Instance"
	signatureHeader = "X-Knapweedwell-Response-Signature"
	notRunHeader    = "X-Knapweedwell-Not-Executed"
	loadHeader      = "X-Knapweedwell-Server-Load"
	partsHeader     = "X-Knapweedwell-Prompt-Prefix"
	tokensHeader    = "X-Knapweedwell-Token-Usage"
	modelHeader     = "X-Knapweedwell-Model"
	deadlineHeader  = "X-Knapweedwell-Deadline-Ms"
)

// arrival is one request that has reached an upstream and runs.
type arrival struct {
	id string
	at time.Time
}

// upstream is a stand-in of a runner. The fields up to onRun are set before it listens, onAnswer by
// the holder of mu.
type upstream struct {
	id      string
	service string
	slots   int
	stream  bool
	work    time.Duration // of one request
	// onAnswer is called before the answer and reports whether it is still to be written; may be nil.
	onAnswer func(w http.ResponseWriter, id string) bool
	// onRun is called when a request begins to run and reports whether the runner survives it;
	// may be nil.
	onRun func(r *http.Request) bool

	mu       sync.Mutex
	address  string
	born     int64
	sequence int
	arrivals []arrival
	server   *http.Server
	down     bool
	leaving  bool
}

// listen starts the upstream, once more at the address that it had.
func (u *upstream) listen() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.address == "" {
		u.address = firstAddress
	}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.address, u.down = l.Addr().String(), false
	u.born, u.sequence = time.Now().UnixMilli(), 0
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	return nil
}

// crash ends the upstream: it closes the listener and all connections.
func (u *upstream) crash() {
	u.mu.Lock()
	s := u.server
	u.down = true
	u.mu.Unlock()
	_ = s.Close()
}

// isDown reports whether the upstream does not run.
func (u *upstream) isDown() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down
}

// setLeaving makes the upstream say in its entry that it leaves.
func (u *upstream) setLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// entry is what the upstream writes about itself.
func (u *upstream) entry() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": u.service, "address": u.address, "zone": zone, "version": "v1", "slots": u.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": u.sequence, "born": u.born,
	}
}

// serve answers one request.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	w.Header().Set(loadHeader, "0,0,"+strconv.Itoa(u.slots))
	if expected := r.Header.Get(expectedHeader); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{id: id, at: time.Now()})
	onAnswer := u.onAnswer
	u.mu.Unlock()
	if u.onRun != nil && !u.onRun(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(u.work)
	if onAnswer != nil && !onAnswer(w, id) {
		return
	}
	w.Header().Set(signatureHeader, "sig."+u.id)
	if u.stream {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id)
		return
	}
	_, _ = io.WriteString(w, answerText(id))
}

// taken returns the requests that have run at the upstream.
func (u *upstream) taken() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// register writes the entry of an upstream now and with each heartbeat, until it is removed. The
// store removes the entry of an upstream that is down after some missed heartbeats.
func (w *world) register(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(serversKind, u.id, u.entry())
	if w.beats[u.id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.beats[u.id] = cancel
	go w.beat(ctx, u)
}

// unregister removes the entry of an upstream for good.
func (w *world) unregister(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats[u.id]()
	w.store.Delete(serversKind, u.id)
}

// beat writes the entry of an upstream with each heartbeat.
func (w *world) beat(ctx context.Context, u *upstream) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for silent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		switch {
		case ctx.Err() != nil:
		case !u.isDown():
			silent = 0
			w.store.Put(serversKind, u.id, u.entry())
		default:
			if silent++; silent == missedBeats {
				w.store.Delete(serversKind, u.id)
			}
		}
		w.mu.Unlock()
	}
}
