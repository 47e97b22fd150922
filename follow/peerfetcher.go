package follow

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/background"
	"knapweedwell/peer"
)

// PeerFetcher fetches from peers the changes that the store has not delivered,
// one fetch at a time. The exported fields are set before the first call.
type PeerFetcher struct {
	Delay   time.Duration // time that the store has before a peer is asked
	Timeout time.Duration // bounds one fetch

	mu       sync.Mutex
	fetching bool
	group    background.Group
}

// Fetch calls fetch in the background if this instance is behind, unless
// another fetch is running. If wait is set, the store has Delay to deliver the
// changes first.
func (f *PeerFetcher) Fetch(wait bool, behind func() bool, fetch func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching || !behind() {
		return
	}
	f.fetching = true
	f.group.Go(func(ctx context.Context) {
		defer f.done()
		if wait {
			sleep(ctx, f.Delay)
		}
		if !behind() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, f.Timeout)
		defer cancel()
		fetch(ctx)
	})
}

func (f *PeerFetcher) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// silenceTimeout is the time without a byte from a peer after which its connection may have
// become silent, for instance in a cut.
const silenceTimeout = 400 * time.Millisecond

// CallPeer calls a method of a peer. If nothing is received over the connection for
// silenceTimeout, CallPeer drops it and calls once more over a new one.
func CallPeer(ctx context.Context, peers *peer.Node, address, method string, params, result any) error {
	err := callUnlessSilent(ctx, peers, address, method, params, result)
	if !errors.Is(err, errSilent) {
		return err
	}
	peers.Drop(address)
	return peers.Call(ctx, address, method, params, result)
}

var errSilent = errors.New("nothing is received from the peer")

// callUnlessSilent calls a method of a peer. It returns errSilent if nothing was received
// from the peer for silenceTimeout.
func callUnlessSilent(ctx context.Context, peers *peer.Node, address, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group background.Group
	received := peers.ReceivedFrom(address)
	group.Every(silenceTimeout, func(context.Context, time.Time) {
		now := peers.ReceivedFrom(address)
		if now == received {
			cancel(errSilent)
		}
		received = now
	})
	err := peers.Call(ctx, address, method, params, result)
	group.Close()
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// Close cancels a running fetch and waits for it to return.
func (f *PeerFetcher) Close() {
	f.group.Close()
}
