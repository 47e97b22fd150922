package duty

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"knapweedwell/follow"
	"knapweedwell/platform"
	"knapweedwell/standin/dutyapi"
	standin "knapweedwell/standin/platform"
)

const testLease = 3 * time.Second

// pipeListener accepts connections in memory, so that tests run on a virtual clock.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testFleet is a number of candidates with the store and the platform's API.
type testFleet struct {
	t       *testing.T
	started time.Time
	store   *standin.Server
	api     *dutyapi.Server
	members []*testMember
	closers []func()
}

// testMember is one candidate.
type testMember struct {
	*Service
	api     *platform.API
	frozen  atomic.Int64 // nanoseconds by which its CLOCK_BOOTTIME is ahead
	noStore atomic.Bool
	noAPI   atomic.Bool
	idle    atomic.Bool
	events  atomic.Int64 // calls of OnChange
}

func newTestFleet(t *testing.T, store *standin.Server, n int) *testFleet {
	fl := &testFleet{t: t, started: time.Now(), store: store, api: &dutyapi.Server{}}
	storeAt, apiAt := fl.serve(fl.store.Handler()), fl.serve(fl.api)
	for i := range n {
		fl.add("entry-"+string(rune('1'+i)), storeAt, apiAt)
	}
	return fl
}

// serve serves a handler in memory.
func (fl *testFleet) serve(h http.Handler) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	fl.closers = append(fl.closers, func() { _ = server.Close() })
	return l
}

func dialer(l *pipeListener, cut *atomic.Bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		if cut.Load() {
			return nil, errors.New("cut off")
		}
		client, server := net.Pipe()
		select {
		case l.conns <- server:
			return &cutConn{Conn: client, cut: cut}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

// cutConn is a connection that writes nothing while it is cut.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		_ = c.Close()
		return 0, errors.New("cut off")
	}
	return c.Conn.Write(p)
}

func (fl *testFleet) add(name string, store, api *pipeListener) *testMember {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &testMember{}
	m.api = platform.NewAPI("api:1", GuardedDial(dialer(api, &m.noAPI)))
	m.api.Limiter = rate.NewLimiter(50, 5)
	client := platform.New("store:1", dialer(store, &m.noStore))
	m.Service = &Service{
		Self: name + "@1", Platform: client, Lease: testLease, Log: log,
		Role: func() follow.Role {
			if m.idle.Load() {
				return follow.Idle
			}
			return follow.Alert
		},
		Elapsed:         func() time.Duration { return time.Since(fl.started) + time.Duration(m.frozen.Load()) },
		APIFailingSince: m.api.FailingSince,
		OnChange:        func(bool, int64) { m.events.Add(1) },
	}
	fl.members = append(fl.members, m)
	assert.NilError(fl.t, m.Run(nil))
	fl.closers = append(fl.closers, func() {
		_ = m.Close()
		_ = client.Close()
		_ = m.api.Close()
	})
	return m
}

func (fl *testFleet) close() {
	for i := len(fl.closers) - 1; i >= 0; i-- {
		fl.closers[i]()
	}
	assert.DeepEqual(fl.t, fl.api.Breaches(), []string(nil))
}

// holder returns the only holder, nil if there is none.
func (fl *testFleet) holder() *testMember {
	var holder *testMember
	for _, m := range fl.members {
		if _, _, ok := m.Held(); ok {
			assert.Assert(fl.t, holder == nil, "two instances hold the lease")
			holder = m
		}
	}
	return holder
}

// await waits until an instance other than the given one holds the lease, and returns it and
// the time that this took. Every holder orders all the time, so that the stand-in sees tokens.
func (fl *testFleet) await(other *testMember, limit time.Duration) (*testMember, time.Duration) {
	fl.t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		fl.order()
		if h := fl.holder(); h != nil && h != other {
			return h, time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	fl.t.Fatalf("no other instance held the lease in %s", limit)
	return nil, 0
}

// order lets each holder make a call.
func (fl *testFleet) order() {
	for _, m := range fl.members {
		if ctx, token, ok := m.Held(); ok {
			_ = m.api.Order(ctx, platform.Duty{Holder: m.Self, Token: token}, platform.UpstreamOrder{Pool: "p", Zone: "z", Count: 1})
		}
	}
}

// pass lets time pass in which holders make calls.
func (fl *testFleet) pass(d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		fl.order()
		fl.holder()
	}
}
