package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func newNode(t *testing.T, name, key string) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{Name: name, Address: "127.0.0.1:0", Key: key, Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log}
	n.Handle("Echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		return from + " said " + string(params), nil
	})
	n.Handle("Fail", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, errors.New("it failed")
	})
	assert.NilError(t, n.Run(nil))
	return n
}

// TestCalls checks that calls in both directions use one connection.
func TestCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newNode(t, "a", "k"), newNode(t, "b", "k")
	defer a.Close()
	defer b.Close()
	ctx := context.Background()
	var got string
	assert.NilError(t, a.Call(ctx, b.Address, "Echo", 1, &got))
	assert.Equal(t, got, "a said 1")
	assert.ErrorContains(t, a.Call(ctx, b.Address, "Fail", 1, &got), "it failed")
	assert.ErrorContains(t, a.Call(ctx, b.Address, "Nothing", 1, &got), "unknown method")
	a.mu.Lock()
	assert.Equal(t, len(a.open), 1)
	a.mu.Unlock()
	assert.NilError(t, b.Call(ctx, a.Address, "Echo", 2, &got))
	b.mu.Lock()
	assert.Equal(t, len(b.open), 1)
	b.mu.Unlock()
}

// TestWrongKey checks that a peer without the shared key can call nothing.
func TestWrongKey(t *testing.T) {
	a, b := newNode(t, "a", "k"), newNode(t, "b", "other")
	defer a.Close()
	defer b.Close()
	assert.ErrorContains(t, a.Call(context.Background(), b.Address, "Echo", 1, nil), "wrong peer key")
}

// TestNoHello checks that a connection whose first message is not a hello can
// call nothing.
func TestNoHello(t *testing.T) {
	a := newNode(t, "a", "k")
	defer a.Close()
	c, err := net.Dial("tcp", a.Address)
	assert.NilError(t, err)
	defer c.Close()
	call := map[string]any{"jsonrpc": "2.0", "id": 1, "method": "Echo", "params": 1}
	assert.NilError(t, frameCodec{}.WriteObject(c, call))
	var answer struct{ Error *struct{ Message string } }
	assert.NilError(t, frameCodec{}.ReadObject(bufio.NewReader(c), &answer))
	assert.Assert(t, answer.Error != nil)
	assert.Equal(t, answer.Error.Message, "the first message must be Peer.Hello")
}

// TestFrameIsReadWhole guards against bytes of a frame that are taken for the head of the
// next one.
func TestFrameIsReadWhole(t *testing.T) {
	frame := func(body string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	padded := frame("1" + strings.Repeat(" ", 2000))
	r := bufio.NewReader(bytes.NewReader(append(padded, frame("2")...)))
	for _, want := range []int{1, 2} {
		var got int
		assert.NilError(t, frameCodec{}.ReadObject(r, &got))
		assert.Equal(t, got, want)
	}
	r = bufio.NewReader(bytes.NewReader(frame("1 2")))
	var got int
	assert.Assert(t, frameCodec{}.ReadObject(r, &got) != nil, "a second object in a frame was dropped")
}

// FuzzFrames checks that no bytes make the decoder panic.
func FuzzFrames(f *testing.F) {
	var b bytes.Buffer
	assert.NilError(f, frameCodec{}.WriteObject(&b, map[string]int{"A": 1}))
	f.Add(b.Bytes())
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Add([]byte{0, 0, 0, 2, '{'})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var v any
		_ = frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
	})
}

// TestNoCallBeforeHello guards against a call over a connection that another call has just
// opened, which the peer refuses because it has not read the Hello yet.
func TestNoCallBeforeHello(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	a := newNode(t, "a", "k")
	defer a.Close()
	results := make(chan error, 2)
	call := func() {
		results <- a.Call(context.Background(), l.Addr().String(), "Echo", 1, nil)
	}
	go call()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	var hello struct{ ID int }
	assert.NilError(t, frameCodec{}.ReadObject(r, &hello))
	go call()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = r.Peek(1)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "a call was sent before the answer to Hello")
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	answer := func(id int) {
		assert.NilError(t, frameCodec{}.WriteObject(c, map[string]any{"jsonrpc": "2.0", "id": id, "result": nil}))
	}
	answer(hello.ID)
	for range 2 {
		var req struct{ ID int }
		assert.NilError(t, frameCodec{}.ReadObject(r, &req))
		answer(req.ID)
		assert.NilError(t, <-results)
	}
}
