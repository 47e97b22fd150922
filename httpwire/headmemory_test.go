package httpwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/buffer"
)

// endlessConn is a connection on which fields come without end after a start.
type endlessConn struct {
	net.Conn
	start string
	more  string
	sent  int
}

// Read returns bytes of the start, then of the fields.
func (c *endlessConn) Read(p []byte) (int, error) {
	if c.start != "" {
		n := copy(p, c.start)
		c.start = c.start[n:]
		return n, nil
	}
	for i := range p {
		p[i] = c.more[c.sent%len(c.more)]
		c.sent++
	}
	return len(p), nil
}

// Close does nothing.
func (c *endlessConn) Close() error { return nil }

// TestHeadsTakeMemory guards against many heads without end that together take far more memory, once
// their fields are parsed, than the process has, and against sound answers that are refused for it.
func TestHeadsTakeMemory(t *testing.T) {
	const limit = 1 << 20
	whole := &buffer.Memory{Limit: 4 * limit}
	var raw net.Conn
	pool := &ConnPool{
		Dial:       func(context.Context, string, string) (net.Conn, error) { return raw, nil },
		HeadMemory: &buffer.Memory{Limit: limit, Whole: whole},
	}
	connect := func(c net.Conn) *Conn {
		raw = c
		conn, err := pool.Connect(context.Background(), "u", "10.0.0.1:1", "1")
		assert.NilError(t, err)
		return conn
	}
	// Heads with 3,000 fields each are read and kept until there is no room.
	large := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\nok"
	var kept []*Conn
	for {
		conn := connect(&piecesConn{data: large, piece: 4096})
		if _, err := conn.ReadResponse(http.MethodGet); err != nil {
			assert.ErrorIs(t, err, errHeadsSpent)
			conn.source.free()
			break
		}
		kept = append(kept, conn)
		assert.Assert(t, len(kept) < 10, "%d heads take no more than %d bytes", len(kept), limit)
	}
	assert.Equal(t, len(kept), 1)
	assert.Equal(t, whole.Used(), pool.HeadMemory.Used())
	conn := connect(&endlessConn{start: "HTTP/1.1 200 OK\r\n", more: "a:\r\n"})
	_, err := conn.ReadResponse(http.MethodGet)
	assert.ErrorIs(t, err, errHeadsSpent)
	conn.Close()
	// An ordinary head needs nothing of it.
	conn = connect(&piecesConn{data: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("X-A: a\r\n", 20) + "\r\nok", piece: 4096})
	resp, err := conn.ReadResponse(http.MethodGet)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	for _, c := range kept {
		c.source.free()
	}
	assert.Equal(t, pool.HeadMemory.Used(), int64(0))
	assert.Equal(t, whole.Used(), int64(0))
}
