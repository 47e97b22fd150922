package webserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"knapweedwell/intake"
)

// BenchmarkRequest measures one request on a kept connection over the loopback interface,
// with a head like that of an ordinary caller.
func BenchmarkRequest(b *testing.B) {
	head := " /v1/read HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer 0123456789abcdef\r\nUser-Agent: caller/1.0\r\n" +
		"Accept: */*\r\nAccept-Encoding: gzip\r\nX-Request-Id: 7f0c8f2e-3f1d-4d7a-9a1e-5f6f1f7a9b0c\r\nX-Deadline-Ms: 1500\r\n"
	body := strings.Repeat("b", 900)
	for _, c := range []struct{ name, text string }{
		{"without body", "GET" + head + "\r\n"},
		{"with body", "POST" + head + "Content-Type: application/json\r\nContent-Length: 900\r\n\r\n" + body},
		{"in chunks", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n384\r\n" + body + "\r\n0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := &Server{Address: "127.0.0.1:0", Listen: net.Listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "ok")
			})}
			s.Port, s.Budget = &intake.Port{Limit: 1000}, &intake.Budget{Limit: 1 << 20}
			s.Limits = func() Limits {
				return Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
			}
			assert.NilError(b, s.Run())
			defer s.Close()
			conn, err := net.Dial("tcp", s.Address)
			assert.NilError(b, err)
			defer conn.Close()
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, c.text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
