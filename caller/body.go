package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"knapweedwell/config"
	"knapweedwell/request"
)

const (
	bytesPerToken = 4    // estimated size of a prompt token
	prefixBytes   = 2048 // length of the start of a chat request's body that is hashed for affinity
	maxMessages   = 10000
)

// bearerKey returns the key of the Authorization header. The scheme Bearer may be
// missing.
func bearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// readBody reads a request body of at most MaxBodyBytes within bodyTimeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Failure) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.MaxBodyBytes)))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline is kept, so that the server does not wait for the rest.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	f := request.Malformed([]request.Finding{{Place: "body", Message: "cannot be read to its end"}})
	if errors.As(err, &tooLarge) {
		f = request.Malformed([]request.Finding{{Place: "body", Message: fmt.Sprintf("larger than %d bytes", tooLarge.Limit)}})
		f.Status = http.StatusRequestEntityTooLarge
	}
	return nil, f
}

// chatBody is the part of a chat request that the router reads.
type chatBody struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens *int              `json:"max_tokens"`
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readChat fills the request from a chat completion body.
func readChat(c *config.Config, req *request.Request) []request.Finding {
	var b chatBody
	if err := decodeStrict(req.Body, &b); err != nil {
		return []request.Finding{{Place: errorPlace(err), Message: err.Error()}}
	}
	req.Kind = request.Chat
	req.Target = b.Model
	req.Stream = b.Stream
	req.Idempotent = true
	req.Path = "/v1/chat/completions"
	req.ContentType = "application/json"
	req.PromptTokens = len(req.Body) / bytesPerToken
	req.PrefixHash = xxhash.Sum64(req.Body[:min(len(req.Body), prefixBytes)])
	if b.MaxTokens != nil {
		req.MaxTokens = *b.MaxTokens
	}
	return checkChat(c, &b)
}

// checkChat returns the findings on a chat request.
func checkChat(c *config.Config, b *chatBody) []request.Finding {
	var findings []request.Finding
	add := func(place, format string, args ...any) {
		findings = append(findings, request.Finding{Place: place, Message: fmt.Sprintf(format, args...)})
	}
	if t := c.Targets[b.Model]; t == nil || t.Service {
		add("model", "no model %q; expected one that GET /v1/models lists", b.Model)
	}
	if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
		add("messages", "expected 1 to %d messages", maxMessages)
	}
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		add("max_tokens", "expected a whole number of at least 1")
	}
	for i, raw := range b.Messages {
		var m chatMessage
		if err := json.Unmarshal(raw, &m); err != nil || m.Role == "" {
			add(fmt.Sprintf("messages[%d]", i), "expected an object with role and content")
		}
	}
	return findings
}

// decodeStrict decodes one JSON value. Text after it is an error.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("text after the end of the JSON value")
	}
	return nil
}

// errorPlace returns the place of a JSON error in the body.
func errorPlace(err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("body, byte %d", syntax.Offset)
	case errors.As(err, &wrongType):
		return wrongType.Field
	}
	return "body"
}

// readService fills the request from the path of a plain service call.
func readService(c *config.Config, req *request.Request, service, path, query string) []request.Finding {
	t := c.Targets[service]
	if t == nil || !t.Service {
		return []request.Finding{{Place: "path", Message: fmt.Sprintf("no service %q", service)}}
	}
	req.Kind = request.Service
	req.Target = service
	req.Idempotent = t.Idempotent || req.Method == http.MethodGet || req.Method == http.MethodHead
	req.Path = "/" + path
	if query != "" {
		req.Path += "?" + query
	}
	if strings.ContainsAny(req.Path, " \r\n") {
		return []request.Finding{{Place: "path", Message: "contains blanks or line breaks"}}
	}
	return nil
}
