package follow

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/peer"
)

const readBytes = 4 << 10

// slowConn returns up to readBytes a read, after a delay.
type slowConn struct {
	net.Conn
	delay *atomic.Int64 // nanoseconds
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.Conn.Read(p[:min(len(p), readBytes)])
}

// TestSlowAnswerIsNotAskedForAgain guards against an answer that is dropped although its
// bytes are arriving.
func TestSlowAnswerIsNotAskedForAgain(t *testing.T) {
	var delay, calls atomic.Int64
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &slowConn{Conn: c, delay: &delay}, err
	}
	newNode := func(name string) *peer.Node {
		n := &peer.Node{Name: name, Address: "127.0.0.1:0", Key: "k", Dial: dial, Listen: net.Listen, Log: log}
		n.Handle("Large", func(context.Context, string, json.RawMessage) (any, error) {
			calls.Add(1)
			return strings.Repeat("x", 100<<10), nil
		})
		assert.NilError(t, n.Run(nil))
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	a, b := newNode("a"), newNode("b")
	assert.NilError(t, a.Call(t.Context(), b.Address, "Large", nil, nil))
	calls.Store(0)
	delay.Store(int64(30 * time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var text string
	assert.NilError(t, CallPeer(ctx, a, b.Address, "Large", nil, &text))
	assert.Equal(t, len(text), 100<<10)
	assert.Equal(t, calls.Load(), int64(1))
}
