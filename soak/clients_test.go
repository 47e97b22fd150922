package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests of this file start one instance with little memory and few descriptors in its
// settings, and a crowd of clients that do not keep to the limits. The crowd is in the same
// proportion to the memory as 4,000 connections are to the 184 MB of the smallest instance
// of a deployment. The bounds are the goals for that instance.
const (
	crowdMegabytes   = 96
	crowdSize        = crowdMegabytes * 4000 / 184
	crowdMemoryBound = crowdMegabytes * 3 / 4

	crowdDescriptors     = 1100
	crowdIdle            = 1500 // idle connections, more than the descriptors that are stated
	crowdDescriptorBound = crowdDescriptors - 200

	crowdTime   = 4 * time.Second
	unusualTime = 1500 * time.Millisecond
)

// crowdClient is what a client of a crowd sends on one connection.
type crowdClient struct {
	first    string // a request that is answered before
	start    string
	repeat   string        // sent again and again; empty means that nothing follows
	interval time.Duration // between two repetitions
}

const (
	wholeRequest = "GET /read/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + apiKey + "\r\n\r\n"
	headStart    = "POST /read/1 HTTP/1.1\r\nHost: " + host + "\r\n"
	blockBytes   = 8 << 10
	blockPause   = 30 * time.Millisecond
)

// fill returns a text of at least the given size that consists of the unit.
func fill(unit string, size int) string {
	return strings.Repeat(unit, 1+size/len(unit))
}

// connect opens one connection, sends what the client sends, and returns when the other end
// closes the connection or the crowd ends.
func (c crowdClient) connect(address string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(blockPause)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if c.first != "" {
		if _, err := io.WriteString(conn, c.first); err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_, err = io.WriteString(conn, c.start)
	for err == nil && c.repeat != "" {
		time.Sleep(c.interval)
		_, err = io.WriteString(conn, c.repeat)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// runCrowd runs clients against an address for a time. A client whose
// connection was closed opens another one.
func runCrowd(size int, address string, length time.Duration, c crowdClient) {
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for range size {
		wg.Go(func() {
			for time.Now().Before(end) {
				c.connect(address, end)
			}
		})
	}
	wg.Wait()
}

// startSmallInstance starts one instance with the settings of these tests and waits until it
// serves a request.
func startSmallInstance(t *testing.T, seed uint64, megabytes, descriptors int) (*testbed, *node) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	tb, err := newTestbed(Options{
		Seed: seed, Instances: 1, Upstreams: 2, Program: buildDaemon(t), Dir: t.TempDir(), Out: t.Output(),
		MemoryMegabytes: megabytes, MaxDescriptors: descriptors,
	})
	assert.NilError(t, err)
	t.Cleanup(tb.close)
	n := tb.nodes[0]
	assertServes(t, n)
	return tb, n
}

// assertServes checks that the instance answers an ordinary request. Requests that are
// refused are sent again for a while: how soon it serves is not checked.
func assertServes(t *testing.T, n *node) {
	t.Helper()
	const serveTimeout = 20 * time.Second
	var err error
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = callOnce(n, requestKinds[0].path, nil, 0, 5*time.Second); err == nil {
			return
		}
	}
	t.Fatalf("%s serves no request: %v", n.name, err)
}

// assertSound checks that the process lives, its peak memory is within the bound, and it
// serves an ordinary request.
func assertSound(t *testing.T, tb *testbed, n *node) {
	t.Helper()
	assertServes(t, n)
	peak := peakMegabytes(t, n)
	t.Logf("%d MB at the peak, %d allowed", peak, crowdMemoryBound)
	assert.Check(t, peak <= crowdMemoryBound, "%d MB, expected at most %d", peak, crowdMemoryBound)
	assert.Equal(t, len(tb.report().Violations), 0, "%v", tb.report().Violations)
}

// countDescriptors returns the number of open descriptors of the node's process.
func countDescriptors(t *testing.T, n *node) int {
	t.Helper()
	n.mu.Lock()
	assert.Assert(t, n.cmd != nil, "%s has ended", n.name)
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	assert.NilError(t, err)
	return len(entries)
}

// clientsSeed is the seed of the first test of this file; each has its own, and so its own
// loopback address.
const clientsSeed = 30

// testCrowd checks that an instance withstands a crowd at one of its ports.
func testCrowd(t *testing.T, seed uint64, port int, c crowdClient) {
	t.Helper()
	tb, n := startSmallInstance(t, seed, crowdMegabytes, 0)
	runCrowd(crowdSize, n.address(port), crowdTime, c)
	assertSound(t, tb, n)
}

// TestCrowdWithLargeUnfinishedHeads guards against a process that ends for want of memory
// because many clients send most of a large head and then nothing.
func TestCrowdWithLargeUnfinishedHeads(t *testing.T) {
	testCrowd(t, clientsSeed, callerPort, crowdClient{start: headStart + fill("X-A: "+strings.Repeat("a", 50)+"\r\n", 62<<10)})
}

// TestCrowdWithEndlessHeaderLine guards against the memory of header lines without end.
func TestCrowdWithEndlessHeaderLine(t *testing.T) {
	testCrowd(t, clientsSeed+1, callerPort, crowdClient{start: headStart + "X-A: ", repeat: fill("a", blockBytes), interval: blockPause})
}

// TestCrowdWithEndlessHeaderLines guards against the memory of heads with header lines
// without number. Parsed, short lines with different names take many times their bytes.
func TestCrowdWithEndlessHeaderLines(t *testing.T) {
	var lines strings.Builder
	for i := 0; lines.Len() < blockBytes; i++ {
		fmt.Fprintf(&lines, "X%x:\r\n", i)
	}
	testCrowd(t, clientsSeed+2, callerPort, crowdClient{start: headStart, repeat: lines.String(), interval: blockPause})
}

// TestCrowdWithEndlessEmptyLines guards against the memory of connections that send empty
// lines in place of a first request.
func TestCrowdWithEndlessEmptyLines(t *testing.T) {
	testCrowd(t, clientsSeed+3, callerPort, crowdClient{repeat: fill("\r\n", blockBytes), interval: blockPause})
}

// TestCrowdWithEmptyLinesAfterAnswer guards against the memory of connections that send
// empty lines without end after a request that was answered.
func TestCrowdWithEmptyLinesAfterAnswer(t *testing.T) {
	testCrowd(t, clientsSeed+4, callerPort, crowdClient{first: wholeRequest, repeat: fill("\r\n", blockBytes), interval: blockPause})
}

// TestCrowdAtOtherPorts guards against limits that hold at the port for callers only.
func TestCrowdAtOtherPorts(t *testing.T) {
	for i, c := range []struct {
		name string
		port int
	}{
		{"addresses", directoryPort},
		{"readiness", readinessPort},
		{"operators", operatorPort},
	} {
		t.Run(c.name, func(t *testing.T) {
			testCrowd(t, clientsSeed+5+uint64(i), c.port, crowdClient{start: headStart, repeat: fill("X-A: "+strings.Repeat("a", 50)+"\r\n", blockBytes), interval: blockPause})
		})
	}
	t.Run("peers", func(t *testing.T) {
		// A frame of 15 MB, of which the body never ends.
		testCrowd(t, clientsSeed+8, peerPort, crowdClient{start: "\x00\xf0\x00\x00{\"a\":\"", repeat: fill("a", blockBytes), interval: blockPause})
	})
}

// TestCrowdOfIdleConnections guards against idle connections that take all descriptors, so
// that no upstream and no peer can be reached. 200 of those in the settings stay free.
func TestCrowdOfIdleConnections(t *testing.T) {
	tb, n := startSmallInstance(t, clientsSeed+9, crowdMegabytes, crowdDescriptors)
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(crowdTime)
	for i := range crowdIdle {
		c := crowdClient{}
		if i%2 == 0 {
			c.first = wholeRequest
		}
		wg.Go(func() { c.connect(n.address(callerPort), end) })
	}
	most := 0
	for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		most = max(most, countDescriptors(t, n))
	}
	t.Logf("%d descriptors at most, %d allowed", most, crowdDescriptorBound)
	assert.Check(t, most <= crowdDescriptorBound, "%d descriptors, expected at most %d", most, crowdDescriptorBound)
	assertSound(t, tb, n)
}

// TestCrowdWithUnusualRequests guards against the memory of clients that begin requests and
// do not end them, or that do not read the answers.
func TestCrowdWithUnusualRequests(t *testing.T) {
	const (
		authorized = headStart + "Authorization: Token " + apiKey + "\r\n"
		chunked    = authorized + "Transfer-Encoding: chunked\r\n\r\n"
	)
	seed := uint64(clientsSeed + 10)
	for _, c := range []struct {
		name string
		crowdClient
	}{
		{"heads at a byte a moment", crowdClient{start: headStart, repeat: "X", interval: 200 * time.Millisecond}},
		{"bodies announced and never sent", crowdClient{start: authorized + "Content-Length: 1000000\r\n\r\n"}},
		{"extensions of a chunk without end", crowdClient{start: chunked + "1;", repeat: fill("e", blockBytes), interval: blockPause}},
		{"trailers without end", crowdClient{start: chunked + "1\r\na\r\n0\r\n", repeat: fill("X-A: a\r\n", blockBytes), interval: blockPause}},
		{"requests without reading", crowdClient{start: fill(wholeRequest, 64<<10), repeat: wholeRequest, interval: blockPause}},
		{"connections opened and closed", crowdClient{repeat: "\x00", interval: time.Millisecond}},
		{"hellos of TLS", crowdClient{start: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", repeat: fill("\x00", 512), interval: blockPause}},
		{"large heads with bodies that are never sent", crowdClient{start: authorized + fill("A:\r\n", 60<<10) + "Content-Length: 1000000\r\n\r\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tb, n := startSmallInstance(t, seed, crowdMegabytes, 0)
			seed++
			runCrowd(crowdSize, n.address(callerPort), unusualTime, c.crowdClient)
			assertSound(t, tb, n)
		})
	}
}

// TestOrdinaryClientsKeepConnections guards against limits that ordinary callers reach: the
// smallest instance of a deployment holds 2,000 connections, and each is used again.
func TestOrdinaryClientsKeepConnections(t *testing.T) {
	const (
		megabytes   = 184
		descriptors = 4100
		callers     = 2000
		requests    = 3
		pause       = time.Second // between two requests on a connection
	)
	tb, n := startSmallInstance(t, clientsSeed+20, megabytes, descriptors)
	var wg sync.WaitGroup
	var failed atomic.Int64
	call := func() error {
		conn, err := net.DialTimeout("tcp", n.address(callerPort), 5*time.Second)
		if err != nil {
			return err
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for i := range requests {
			if i > 0 {
				time.Sleep(pause)
			}
			// The answer may be a refusal: the stand-ins have few slots.
			if _, err := io.WriteString(conn, wholeRequest); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
		time.Sleep(pause)
		return nil
	}
	for range callers {
		wg.Go(func() {
			if err := call(); err != nil && failed.Add(1) <= 3 {
				t.Log(err)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, failed.Load(), int64(0), "connections of ordinary callers were closed")
	assertServes(t, n)
	assert.Equal(t, len(tb.report().Violations), 0, "%v", tb.report().Violations)
}
