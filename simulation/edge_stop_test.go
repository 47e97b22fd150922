package simulation

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedwell/standin/runner"
)

// TestStopAnswersAccepted sends requests on new connections until an instance that
// leaves accepts no more. It guards against requests that were accepted in the last
// moment and are cut off without an answer.
func TestStopAnswersAccepted(t *testing.T) {
	const (
		spacing  = 500 * time.Microsecond // between requests
		span     = 7 * time.Second        // longer than the grace period
		patience = 5 * time.Second
	)
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		stopped := sim.instances[0]
		sim.instances[0] = nil
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = stopped.Stop(context.Background())
		}()
		time.Sleep(2500 * time.Millisecond)
		var mu sync.Mutex
		refused, answered, cut := 0, 0, 0
		var wg sync.WaitGroup
		for range span / spacing {
			wg.Add(1)
			go func() {
				defer wg.Done()
				connected, ok := sim.callOnce("10.1.0.1:1", patience)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !connected:
					refused++
				case ok:
					answered++
				default:
					cut++
				}
			}()
			time.Sleep(spacing)
		}
		wg.Wait()
		<-done
		if cut > 0 || answered == 0 || refused == 0 {
			t.Errorf("%d answered, %d refused, %d accepted and cut off; expected some, some and none", answered, refused, cut)
		}
	})
}

// TestStopAnswersKept sends requests on kept connections while the last connections of
// a leaving instance end. It guards against requests that were read and whose
// connection was closed as idle.
func TestStopAnswersKept(t *testing.T) {
	const (
		callers   = 900
		spacing   = time.Millisecond
		readDelay = 30 * time.Millisecond
		from      = 7 * time.Second // from the start of the stop
	)
	simulateRoutes(t, 2, func(sim *routeSimulation) {
		kept := make([]*keptConn, callers)
		for i := range kept {
			kept[i] = sim.keep("10.1.0.1:1")
			if !kept[i].call() {
				t.Fatal("the instance does not answer before it leaves")
			}
		}
		stopped := sim.instances[0]
		sim.instances[0] = nil
		sim.network.setReadDelay("10.1.0.1", readDelay)
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = stopped.Stop(context.Background())
		}()
		for time.Since(start) < from {
			sim.callOnce("10.1.0.1:1", time.Second) // keeps the instance from leaving early
			time.Sleep(100 * time.Millisecond)
		}
		var wg sync.WaitGroup
		var answered, closed, lost atomic.Int32
		for _, k := range kept {
			wg.Add(1)
			go func() {
				defer wg.Done()
				switch {
				case k.call():
					answered.Add(1)
				case k.allRead():
					lost.Add(1)
				default:
					closed.Add(1)
				}
			}()
			time.Sleep(spacing)
		}
		wg.Wait()
		<-done
		if lost.Load() > 0 || answered.Load() == 0 || closed.Load() == 0 {
			t.Errorf("%d answered, %d closed unread, %d read and closed; expected some, some and none", answered.Load(), closed.Load(), lost.Load())
		}
	})
}

// keptConn is a connection of a caller on which requests follow each other.
type keptConn struct {
	near   *conn
	reader *bufio.Reader
	sent   bool // whether the whole request was written
}

// keep opens a connection to an address.
func (sim *routeSimulation) keep(address string) *keptConn {
	dialled, err := sim.network.dialer("10.9.0.1")(context.Background(), "tcp", address)
	if err != nil {
		sim.t.Fatal(err)
	}
	return &keptConn{near: dialled.(*conn), reader: bufio.NewReader(dialled)}
}

// call sends a request for a route that is not served and reports whether a whole
// answer was received.
func (k *keptConn) call() bool {
	_, err := io.WriteString(k.near, "GET /none/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token "+edgeKey+"\r\n\r\n")
	k.sent = err == nil
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// allRead reports whether the other end has read all that was sent.
func (k *keptConn) allRead() bool {
	k.near.out.mu.Lock()
	defer k.near.out.mu.Unlock()
	return k.sent && k.near.out.buffered == 0
}

// TestStopRefusesWhatCannotEnd sends requests to an instance that leaves, which need
// more time than it has left. It guards against requests that are accepted late and cut
// off by the end of the stop, for other grace periods and timeouts.
func TestStopRefusesWhatCannotEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		grace  time.Duration
		after  time.Duration // from the start of the stop to the request
		path   string
		faults runner.Faults
		header map[string]string
		status int
	}{
		{"slow call, late", 8 * time.Second, 3500 * time.Millisecond, "/book/1", runner.Faults{Delay: 4800 * time.Millisecond}, nil, 503},
		{"slow call, early", 8 * time.Second, 2300 * time.Millisecond, "/book/1", runner.Faults{Delay: 4800 * time.Millisecond}, nil, 200},
		{"short deadline, late", 8 * time.Second, 6 * time.Second, "/book/1", runner.Faults{Delay: time.Second}, map[string]string{"X-Knapweedwell-Deadline-Ms": "1500"}, 200},
		{"stream, short grace period", 4 * time.Second, 2200 * time.Millisecond, "/talk/1?events=6", runner.Faults{Pause: 400 * time.Millisecond}, nil, 503},
		{"stream, long grace period", 30 * time.Second, 5 * time.Second, "/talk/1?events=6", runner.Faults{Pause: 400 * time.Millisecond}, nil, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 2, func(sim *routeSimulation) {
				sim.setFaults("", c.faults)
				stopped := sim.instances[0]
				sim.instances[0] = nil
				settings := *stopped.Settings
				routes := *settings.Routes
				routes.GracePeriod = c.grace
				settings.Routes = &routes
				stopped.Reload(&settings)
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = stopped.Stop(context.Background())
				}()
				for range c.after / (500 * time.Millisecond) {
					sim.callOnce("10.1.0.1:1", time.Second) // keeps the instance from leaving early
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(c.after % (500 * time.Millisecond))
				sim.expect(sim.send(request{path: c.path, id: "a", header: c.header}), c.status, "")
				<-done
			})
		})
	}
}

// callOnce connects to an address and sends a request for a route that is not served.
// It reports whether the instance accepted the connection, and whether an answer was
// received. A connection that was still in the queue of the listener is not accepted.
func (sim *routeSimulation) callOnce(address string, patience time.Duration) (accepted, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	dialled, err := sim.network.dialer("10.9.0.1")(ctx, "tcp", address)
	if err != nil {
		return false, false
	}
	defer dialled.Close()
	near := dialled.(*conn)
	defer func() { accepted = near.peer.accepted.Load() }()
	_ = dialled.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(dialled, "GET /none/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token "+edgeKey+"\r\n\r\n"); err != nil {
		return true, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(dialled), nil)
	if err != nil {
		return true, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return true, err == nil
}

// TestStopAnswersWhatItCuts guards against requests that are still at work at the end of a
// planned stop and end without an answer, among them requests that may run once only.
func TestStopAnswersWhatItCuts(t *testing.T) {
	const grace = 8 * time.Second
	for _, c := range []struct {
		name  string
		after time.Duration // from the start of the stop to the request
		path  string
	}{
		{"call that may run once, before the stop", -500 * time.Millisecond, "/book/1"},
		{"call that may run once, in the stop", 2 * time.Second, "/book/1"},
		{"safe call, in the stop", 2 * time.Second, "/bulk/1"},
		{"stream before its first event, in the stop", 2 * time.Second, "/once/1?events=3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulateRoutes(t, 2, func(sim *routeSimulation) {
				sim.setFaults("", runner.Faults{Delay: 20 * time.Second})
				sim.longTimeouts = true
				sim.writeRoutes()
				time.Sleep(3 * time.Second)
				stopped := sim.instances[0]
				sim.instances[0] = nil
				var resp response
				var took time.Duration
				var wg sync.WaitGroup
				send := func() {
					wg.Go(func() {
						start := time.Now()
						resp = sim.send(request{path: c.path, id: "a"})
						took = time.Since(start)
					})
				}
				if c.after < 0 {
					send()
					time.Sleep(-c.after)
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = stopped.Stop(context.Background())
				}()
				if c.after >= 0 {
					time.Sleep(c.after)
					send()
				}
				wg.Wait()
				<-done
				if !resp.complete || resp.status != http.StatusGatewayTimeout {
					t.Errorf("status %d, complete %t after %s, expected a whole answer with 504", resp.status, resp.complete, took)
				}
				if took > grace-c.after {
					t.Errorf("the answer came %s after the request, later than the end of the stop", took)
				}
			})
		})
	}
}
