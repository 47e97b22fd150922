package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/invariant"
	"knapweedwell/revision"
)

const clientTimeout = 20 * time.Second

// invariantLines returns the two counters of an invariant in the Prometheus text
// format.
func invariantLines(c invariant.Count) string {
	return fmt.Sprintf("knapweedwell_invariant_evaluated_total{name=%q} %d\nknapweedwell_invariant_violated_total{name=%q} %d\n",
		c.Name, c.Evaluated, c.Name, c.Violated)
}

// Client is a client of the operator interface. Its fields are set before the
// first call. Each call is limited by clientTimeout.
type Client struct {
	Address string // operator IP and port of an instance
	Key     string // bearer key of operators
	HTTP    http.Client
}

// Configuration returns the configuration in force on the called instance.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var out Configuration
	return out, c.do(ctx, http.MethodGet, "/configuration", nil, &out)
}

// Apply sends a change of the configuration. A call that got no answer can be
// retried with the same change ID: the change is not applied twice.
func (c *Client) Apply(ctx context.Context, change revision.Change) (Applied, error) {
	var out Applied
	body, err := json.Marshal(change)
	if err != nil {
		return out, errors.Wrap(err, "encode change")
	}
	return out, c.do(ctx, http.MethodPost, "/configuration", body, &out)
}

// Reports returns the reports of all instances.
func (c *Client) Reports(ctx context.Context) ([]Report, error) {
	var out []Report
	return out, c.do(ctx, http.MethodGet, "/reports", nil, &out)
}

// Explain returns the events that the instances recorded for a request.
func (c *Client) Explain(ctx context.Context, id string) ([]Explanation, error) {
	var out []Explanation
	return out, c.do(ctx, http.MethodGet, "/explanations/"+url.PathEscape(id), nil, &out)
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	Address string
	Code    int
	Text    string
}

// Error returns the status with the text of the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("instance %s answered %d: %s", e.Address, e.Code, e.Text)
}

// Refused reports whether the instance has refused the call, so that it did nothing.
func (e *StatusError) Refused() bool {
	return e.Code >= http.StatusBadRequest && e.Code < http.StatusInternalServerError
}

// do makes one call and decodes the JSON of its answer into out. A status other
// than 200 is a StatusError.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build operator request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call instance %s", c.Address)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: c.Address, Code: resp.StatusCode, Text: strings.TrimSpace(string(answer))}
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decode answer")
}
