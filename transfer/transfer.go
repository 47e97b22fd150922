package transfer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/peer"
)

// Service passes one value on. The exported fields are set before Prepare.
type Service struct {
	Name  string // of the value, before the dot of its method
	Peers *peer.Node
	// Call calls a method of the peer at an address.
	Call func(ctx context.Context, address, method string, params, result any) error
	// Delay is the time that the store has to deliver a version before a peer is asked.
	Delay time.Duration
	// Apply takes a fetched value and calls Set with it. It reports false if the value is
	// not valid.
	Apply func(v Value, from string) bool
	// FetchWhole fetches the value of a peer of an earlier build, which does not know
	// parts.
	FetchWhole func(ctx context.Context, address string) (Value, error)
	Log        logrus.FieldLogger
	// Fetched and NotFetched are the messages of the log lines about fetches.
	Fetched    string
	NotFetched string

	offerMu sync.Mutex
	offer   offer
	version atomic.Int64 // noVersion if there is none

	mu       sync.Mutex
	sources  sources
	fetching bool
	group    background.Group

	received, sent, whole, failed atomic.Int64
}

// Counts holds the numbers of bytes of parts and of whole fetches since the start.
type Counts struct {
	ReceivedBytes int64
	SentBytes     int64
	Fetched       int64
	Failed        int64 // parts that were not received
}

// Prepare registers the method of the value. It is called before the peer node runs.
func (s *Service) Prepare() {
	s.sources = newSources()
	s.version.Store(noVersion)
	s.Peers.Handle(s.method(), s.serve)
}

// Close cancels a running fetch and waits for it to return.
func (s *Service) Close() error {
	s.group.Close()
	return nil
}

// Counts returns the numbers of bytes and fetches.
func (s *Service) Counts() Counts {
	return Counts{ReceivedBytes: s.received.Load(), SentBytes: s.sent.Load(), Fetched: s.whole.Load(), Failed: s.failed.Load()}
}

// Set offers a version to other instances, unless it has a newer one.
func (s *Service) Set(v Value) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	if s.offer.set(v) {
		s.version.Store(v.Version)
	}
}

// Current returns the newest version, the zero Value if there is none.
func (s *Service) Current() Value {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	return s.offer.current()
}

// Hint tells that the instance at the peer address has a version. If that is newer than
// the one of this instance, it is fetched in the background; with wait, only once the
// store has had Delay to deliver it.
func (s *Service) Hint(address string, version int64, wait bool) {
	if version <= s.version.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources.add(address, version)
	if s.fetching || !s.sources.any(s.version.Load()) {
		return
	}
	s.fetching = true
	s.group.Go(func(ctx context.Context) {
		if wait {
			sleep(ctx, s.Delay)
		}
		s.fetch(ctx)
	})
}

func (s *Service) method() string {
	return s.Name + ".Read"
}

// serve answers a peer with a part of the newest version.
func (s *Service) serve(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "read request for a part")
	}
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	r, err := s.offer.answer(time.Now(), req)
	s.sent.Add(int64(len(r.Part)))
	return r, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
