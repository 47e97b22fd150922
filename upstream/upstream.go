// Package upstream is the HTTP client for model engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/httpwire"
)

// Headers that requests to upstreams carry.
const (
	RequestIDHeader = "X-Request-Id"
	PriorityHeader  = "X-Priority"
)

const (
	dialTimeout    = time.Second
	loadTimeout    = 400 * time.Millisecond
	maxIdlePerHost = 64
	maxLoadBytes   = 64 << 10
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("upstream cannot be reached")

// Call is one request to an upstream.
type Call struct {
	ID          string
	Address     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Rank        int
	Idempotent  bool
}

// Load is the load report of an upstream.
type Load struct {
	Running  int // number of requests in progress
	Draining bool
}

// Client sends requests to upstreams.
type Client struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	pooled *http.Client
}

// New returns a client that dials with the given function.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{
		DialContext:         dialWithTimeout(dial),
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	return &Client{dial: dial, pooled: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

func dialWithTimeout(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, &notSentError{cause: err}
		}
		return c, nil
	}
}

// notSentError marks a failure before any byte was sent.
type notSentError struct {
	cause error
}

// Error returns the cause.
func (e *notSentError) Error() string {
	return e.cause.Error()
}

// Is reports whether the target is ErrNotSent.
func (e *notSentError) Is(target error) bool {
	return target == ErrNotSent
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	return nil
}

// Do sends the request and returns the response once its header was received.
// A request that is not idempotent uses a connection of its own: net/http retries
// requests by itself on a reused connection that turns out to be closed, but
// never on a new one. The error matches ErrNotSent if the request cannot be built or
// the upstream cannot be dialled. A response whose status is none of a final answer is an error.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	resp, err := c.send(ctx, req, call)
	if err != nil {
		return nil, err
	}
	if err := httpwire.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(err, "call upstream %s", call.Address)
	}
	return resp, nil
}

// send sends a request over a connection that suits it.
func (c *Client) send(ctx context.Context, req *http.Request, call Call) (*http.Response, error) {
	if call.Idempotent {
		resp, err := c.pooled.Do(req)
		return resp, errors.Wrapf(err, "call upstream %s", call.Address)
	}
	return c.sendOnce(ctx, req, call.Address)
}

// sendOnce sends a request over a new connection that is closed afterwards.
func (c *Client) sendOnce(ctx context.Context, req *http.Request, address string) (*http.Response, error) {
	conn, err := dialWithTimeout(c.dial)(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	unused := make(chan net.Conn, 1)
	unused <- conn
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case conn := <-unused:
				return conn, nil
			default:
				return nil, errors.New("a request that is not idempotent is not sent again")
			}
		},
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "call upstream %s once", address)
	}
	return resp, nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build upstream request")
	}
	if !call.Idempotent {
		req.GetBody = nil
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(RequestIDHeader, call.ID)
	req.Header.Set(PriorityHeader, strconv.Itoa(call.Rank))
	return req, nil
}

// Resume continues the stream of a request at an offset, counted in events.
func (c *Client) Resume(ctx context.Context, address, id string, offset int) (*http.Response, error) {
	path := "/v1/streams/" + id + "?offset=" + strconv.Itoa(offset)
	return c.Do(ctx, Call{ID: id, Address: address, Method: http.MethodGet, Path: path, Idempotent: true})
}

// Cancel asks an engine to stop running a request.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	resp, err := c.Do(ctx, Call{ID: id, Address: address, Method: http.MethodDelete, Path: "/v1/streams/" + id, Idempotent: true})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Load reads an upstream's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	resp, err := c.Do(ctx, Call{ID: "load", Address: address, Method: http.MethodGet, Path: "/load", Idempotent: true})
	if err != nil {
		return Load{}, err
	}
	defer resp.Body.Close()
	var l Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&l); err != nil {
		return Load{}, errors.Wrap(err, "decode load report")
	}
	return l, nil
}
