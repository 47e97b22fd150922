package webserver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// handled returns the requests that a server passes on of the bytes that one client sends, in
// pieces of the given size, and what it answers.
func handled(t *testing.T, sent []byte, piece int) (requests []string, answers string) {
	l := newPipeListener(0)
	s := &Server{Listen: l.listen, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		requests = append(requests, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
	})}
	assert.NilError(t, s.Run())
	conn := l.dial()
	var got bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&got, conn)
	}()
	for len(sent) > 0 {
		n := min(piece, len(sent))
		if _, err := conn.Write(sent[:n]); err != nil {
			break
		}
		sent = sent[n:]
	}
	synctest.Wait()
	_ = conn.Close()
	<-read
	assert.NilError(t, s.Close())
	synctest.Wait()
	return requests, got.String()
}

// sentRequests returns the requests that the bytes mean to every parser: those before the
// first that is not complete or that is ambiguous. It shares no code with the server.
func sentRequests(sent string) []string {
	var requests []string
	for {
		sent = strings.TrimLeft(sent, "\r\n")
		text, rest, ok := strings.Cut(sent, "\r\n\r\n")
		if !ok || strings.ContainsAny(strings.ReplaceAll(text, "\r\n", ""), "\r\n") {
			return requests
		}
		lines := strings.Split(text, "\r\n")
		first := strings.Split(lines[0], " ")
		if len(first) != 3 || first[2] != "HTTP/1.1" && first[2] != "HTTP/1.0" {
			return requests
		}
		fields := map[string][]string{}
		for _, line := range lines[1:] {
			name, value, ok := strings.Cut(line, ":")
			if !ok || name == "" || strings.ContainsAny(name, " \t") {
				return requests
			}
			name = strings.ToLower(name)
			fields[name] = append(fields[name], strings.Trim(value, " \t"))
		}
		body, rest, ok := sentBody(fields, first[2], rest)
		if !ok {
			return requests
		}
		requests = append(requests, fmt.Sprintf("%s %s %q", first[0], first[1], body))
		sent = rest
	}
}

// sentBody returns the body and what follows it. It reports false if its end is not known.
func sentBody(fields map[string][]string, version, rest string) (body, after string, ok bool) {
	lengths, codings := fields["content-length"], fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) > 1 || len(fields["host"]) > 1:
		return "", "", false
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || strings.Trim(lengths[0], "0123456789") != "" || n > uint64(len(rest)) {
			return "", "", false
		}
		return rest[:n], rest[n:], true
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") || version != "HTTP/1.1" {
			return "", "", false
		}
		return sentChunks(rest)
	}
	return "", rest, true
}

// sentChunks returns a body in chunks and what follows it.
func sentChunks(rest string) (body, after string, ok bool) {
	for {
		line, data, ok := strings.Cut(rest, "\r\n")
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(size, 16, 62)
		if !ok || err != nil || strings.ContainsAny(line, "\r\n") || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
			return "", "", false
		}
		if n == 0 {
			after, ok = sentTrailer(data)
			return body, after, ok
		}
		if uint64(len(data)) < n+2 || data[n:n+2] != "\r\n" {
			return "", "", false
		}
		body, rest = body+data[:n], data[n+2:]
	}
}

// sentTrailer returns what follows a trailer.
func sentTrailer(data string) (after string, ok bool) {
	for {
		line, rest, ok := strings.Cut(data, "\r\n")
		if !ok || line != "" && !strings.Contains(line, ":") || strings.ContainsAny(line, "\r\n") {
			return "", false
		}
		if line == "" {
			return rest, true
		}
		data = rest
	}
}

const (
	hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	post   = "POST /a HTTP/1.1\r\nHost: h\r\n"
)

// smuggled are bytes that two parsers may take for different requests.
var smuggled = []struct{ name, text string }{
	{"two lengths", post + "Content-Length: 0\r\nContent-Length: 33\r\n\r\n" + hidden},
	{"two equal lengths", post + "Content-Length: 33\r\nContent-Length: 33\r\n\r\n" + hidden},
	{"list of lengths", post + "Content-Length: 33, 33\r\n\r\n" + hidden},
	{"length and chunks", post + "Content-Length: 38\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
	{"chunks and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 38\r\n\r\n0\r\n\r\n" + hidden},
	{"chunks in version 1.0", strings.Replace(post, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
	{"chunks twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
	{"another coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden},
	{"unknown coding", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden},
	{"coding after a vertical tab", post + "Transfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n" + hidden},
	{"folded line", post + "X-A: a\r\n Content-Length: 33\r\n\r\n" + hidden},
	{"folded with a tab", post + "X-A: a\r\n\tb\r\n\r\n" + hidden},
	{"folded first field", "POST /a HTTP/1.1\r\n Host: h\r\n\r\n" + hidden},
	{"space before the colon", post + "Content-Length : 33\r\n\r\n" + hidden},
	{"tab before the colon", post + "Transfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n" + hidden},
	{"sign of a length", post + "Content-Length: +33\r\n\r\n" + hidden},
	{"length in hex", post + "Content-Length: 0x21\r\n\r\n" + hidden},
	{"empty length", post + "Content-Length:\r\n\r\n" + hidden},
	{"huge length", post + "Content-Length: 99999999999999999999\r\n\r\n" + hidden},
	{"line feeds alone", "POST /a HTTP/1.1\nHost: h\nContent-Length: 33\n\n" + hidden},
	{"carriage return in a line", post + "X-A: a\rContent-Length: 33\r\n\r\n" + hidden},
	{"two hosts", post + "Host: other\r\n\r\n" + hidden},
	{"name with a zero byte", post + "Content-Length\x00: 33\r\n\r\n" + hidden},
	{"space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" + hidden},
	{"tab in the first line", "GET\t/a HTTP/1.1\r\nHost: h\r\n\r\n" + hidden},
	{"size of a chunk with white space", post + "Transfer-Encoding: chunked\r\n\r\n0 \r\n\r\n" + hidden},
	{"size of a chunk with a sign", post + "Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n" + hidden},
	{"chunk that ends without its line end", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden},
	{"extension of a chunk with a line feed", post + "Transfer-Encoding: chunked\r\n\r\n0;a\nb\r\n\r\n" + hidden},
}

// TestSmuggling guards against bytes that are passed on as a request though another parser
// sees a different one in them.
func TestSmuggling(t *testing.T) {
	for _, c := range smuggled {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprint(c.name, " in pieces of ", piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// An ordinary request before it is answered.
					requests, answers := handled(t, []byte(strings.Replace(hidden, "hidden", "before", 1)+c.text), piece)
					assert.DeepEqual(t, requests, []string{`GET /before ""`})
					assert.Assert(t, strings.HasPrefix(answers, "HTTP/1.1 200 OK\r\n"), "%q", answers)
					assert.Assert(t, !strings.Contains(answers, " 50") && !strings.Contains(answers, " 429 "), "%q", answers)
				})
			})
		}
	}
}

// TestOrdinaryFraming guards against requests that are refused or changed although their
// meaning is clear.
func TestOrdinaryFraming(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"requests in a row", hidden + hidden + hidden},
		{"length", post + "Content-Length: 4\r\n\r\nbody" + hidden},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0A;x=\"y\"\r\n0123456789\r\n0\r\nX-T: a\r\n\r\n" + hidden},
		{"coding in capitals", post + "transfer-encoding:CHUNKED\r\n\r\n0\r\n\r\n" + hidden},
		{"empty line after a body", post + "Content-Length: 4\r\n\r\nbody\r\n" + hidden},
		{"version 1.0", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + hidden},
		{"head of 16 KB", post + strings.Repeat("X-Long: "+strings.Repeat("a", 90)+"\r\n", 163) + "Content-Length: 4\r\n\r\nbody" + hidden},
		{"head of 16 KB in short lines", post + strings.Repeat("A:\r\n", 4080) + "\r\n" + hidden},
		{"large body", post + "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 100000) + hidden},
	} {
		for _, piece := range []int{1, 4096, 1 << 20} {
			t.Run(fmt.Sprint(c.name, " in pieces of ", piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					requests, _ := handled(t, []byte(c.text), piece)
					assert.DeepEqual(t, requests, sentRequests(c.text))
					assert.Equal(t, requests[len(requests)-1], `GET /hidden ""`)
				})
			})
		}
	}
}

// FuzzPassedOn compares the requests that are passed on with those that were sent. Requests may
// be refused that the test takes for good, but none may be passed on that it does not see.
func FuzzPassedOn(f *testing.F) {
	for _, c := range smuggled {
		f.Add([]byte(hidden+c.text), uint16(5))
	}
	f.Add([]byte(post+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: a\r\n\r\n"+hidden), uint16(3))
	f.Add([]byte(post+"Content-Length: 4\r\n\r\nbody\r\n"+hidden), uint16(1000))
	f.Fuzz(func(t *testing.T, sent []byte, piece uint16) {
		var requests []string
		synctest.Test(t, func(t *testing.T) { requests, _ = handled(t, sent, int(piece)+1) })
		want := sentRequests(string(sent))
		if len(requests) > len(want) {
			t.Fatalf("passed on %q, sent %q", requests, want)
		}
		assert.DeepEqual(t, requests, append([]string(nil), want[:len(requests)]...))
	})
}
