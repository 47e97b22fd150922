package httpwire

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// framingCase is an answer as an upstream sends it before it closes the connection.
type framingCase struct {
	Name   string `json:"name"`
	Answer string `json:"answer"`
	Body   string `json:"body"`
	Error  string `json:"error"` // a part of the error; empty if the answer is plain
}

func framingCases(t testing.TB) []framingCase {
	data, err := os.ReadFile("testdata/framing.json")
	assert.NilError(t, err)
	var cases []framingCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	return cases
}

// piecesConn is a connection whose bytes come in pieces.
type piecesConn struct {
	net.Conn
	data  string
	piece int
}

// Read returns the next piece.
func (c *piecesConn) Read(p []byte) (int, error) {
	if c.data == "" {
		return 0, io.EOF
	}
	n := copy(p, c.data[:min(len(c.data), c.piece)])
	c.data = c.data[n:]
	return n, nil
}

// connOf returns a connection on which the bytes come.
func connOf(t testing.TB, data string, piece int) *Conn {
	pool := &ConnPool{Dial: func(context.Context, string, string) (net.Conn, error) {
		return &piecesConn{data: data, piece: piece}, nil
	}}
	c, err := pool.Connect(context.Background(), "u", "10.0.0.1:1", "1")
	assert.NilError(t, err)
	return c
}

// readAnswer reads the next answer and its whole body.
func readAnswer(c *Conn) (body string, err error) {
	resp, err := c.ReadResponse(http.MethodGet)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestFraming guards against an answer that is passed on as whole though another parser sees another
// body in its bytes, such as the sizes of chunks, and against plain answers that are refused.
func TestFraming(t *testing.T) {
	const before = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: a\r\n\r\nold"
	for _, c := range framingCases(t) {
		for _, piece := range []int{1, 7, 4096} {
			for _, earlier := range []string{"", before} {
				t.Run(fmt.Sprintf("%s, in pieces of %d, after %d bytes", c.Name, piece, len(earlier)), func(t *testing.T) {
					conn := connOf(t, earlier+c.Answer, piece)
					if earlier != "" {
						body, err := readAnswer(conn)
						assert.NilError(t, err)
						assert.Equal(t, body, "old")
					}
					body, err := readAnswer(conn)
					if c.Error != "" {
						assert.ErrorContains(t, err, c.Error)
						return
					}
					assert.NilError(t, err)
					assert.Equal(t, body, c.Body)
				})
			}
		}
	}
}

// statesChunks reports whether the head of the first final answer states a coding.
func statesChunks(answer string) bool {
	for {
		head, rest, _ := strings.Cut(strings.ReplaceAll(answer, "\r\n", "\n"), "\n\n")
		first, fields, _ := strings.Cut(head, "\n")
		if len(first) > 9 && first[9] == '1' && !strings.HasPrefix(first[9:], "101") {
			answer = rest
			continue
		}
		return strings.Contains("\n"+strings.ToLower(fields), "\ntransfer-encoding:")
	}
}

// FuzzFraming guards against answers whose bodies are passed on with the sizes of their chunks, however
// their heads are written.
func FuzzFraming(f *testing.F) {
	for _, c := range framingCases(f) {
		f.Add(c.Answer, 3)
	}
	f.Fuzz(func(t *testing.T, answer string, piece int) {
		conn := connOf(t, answer, max(piece, 1))
		resp, err := conn.ReadResponse(http.MethodGet)
		if err != nil {
			return
		}
		chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
		if statesChunks(answer) != chunked {
			t.Errorf("an answer that states a coding is read as one without, or the other way round: %q", answer)
		}
		if chunked && (resp.ContentLength >= 0 || !resp.ProtoAtLeast(1, 1)) {
			t.Errorf("the length of the answer is not plain: %q", answer)
		}
	})
}

func BenchmarkReadResponse(b *testing.B) {
	for _, fields := range []int{10, 100} {
		b.Run(fmt.Sprint(fields, " fields"), func(b *testing.B) {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("X-Field-Of-An-Answer: a value of some length\r\n", fields) + "\r\n"
			conn := connOf(b, answer, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if conn.reader.Buffered() == 0 && conn.raw.(*piecesConn).data == "" {
					conn.raw.(*piecesConn).data = strings.Repeat(answer, 1000)
				}
				if _, err := conn.ReadResponse(http.MethodGet); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
