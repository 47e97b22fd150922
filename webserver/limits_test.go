package webserver

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfiguredLimits guards against limits of the configuration that are not applied, and
// against ordinary callers that they refuse.
func TestConfiguredLimits(t *testing.T) {
	limits := Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	large := func(size int) string {
		return strings.Replace(request, "\r\n\r\n", "\r\nX-A: "+strings.Repeat("a", size-len(request)-7)+"\r\n\r\n", 1)
	}
	for _, c := range []struct {
		name   string
		send   func(c *caller)
		status int // zero if the connection is closed without an answer
	}{
		{"idle for four fifths", func(c *caller) { time.Sleep(12 * time.Second); _ = c.send(request) }, http.StatusOK},
		{"idle for too long", func(c *caller) { time.Sleep(16 * time.Second); _ = c.send(request) }, 0},
		{"slow head", func(c *caller) { _ = c.send(request[:9]); time.Sleep(2900 * time.Millisecond); _ = c.send(request[9:]) }, http.StatusOK},
		{"head that is too slow", func(c *caller) { _ = c.send(request[:9]); time.Sleep(3100 * time.Millisecond); _ = c.send(request[9:]) }, 0},
		{"largest head", func(c *caller) { _ = c.send(large(16 << 10)) }, http.StatusOK},
		{"head that is too large", func(c *caller) { _ = c.send(large(18 << 10)) }, http.StatusRequestHeaderFieldsTooLarge},
		{"hello of TLS", func(c *caller) { _ = c.send("\x16\x03\x01") }, http.StatusBadRequest},
	} {
		for _, kept := range []bool{false, true} {
			if !kept && strings.HasPrefix(c.name, "idle") {
				continue // a new connection is not idle
			}
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newPipeListener(0)
					var inForce atomic.Pointer[Limits]
					inForce.Store(&Limits{})
					s := &Server{Listen: l.listen, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Limits: func() Limits { return *inForce.Load() }}
					assert.NilError(t, s.Run())
					caller := newCaller(t, l)
					inForce.Store(&limits)
					if kept {
						assert.NilError(t, caller.send(request))
						assert.Assert(t, caller.answered())
					}
					go c.send(caller)
					resp, err := http.ReadResponse(caller.reader, nil)
					status := 0
					if err == nil {
						status = resp.StatusCode
						_, _ = io.Copy(io.Discard, resp.Body)
					}
					assert.Equal(t, status, c.status)
					_ = caller.conn.Close()
					time.Sleep(time.Minute)
					assert.NilError(t, s.Close())
				})
			})
		}
	}
}
