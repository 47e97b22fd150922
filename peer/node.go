// Package peer connects this instance to the other instances: JSON-RPC 2.0 over
// TCP, with one connection for each pair that is dialled when first needed and
// used in both directions.
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"knapweedwell/intake"
	"knapweedwell/kernel"
)

const (
	protocolVersion = 1
	dialTimeout     = time.Second
	helloTimeout    = 2 * time.Second
	// helloWait is the time for the first message on a connection that was accepted. It is
	// longer than a peer waits for the answer.
	helloWait = 5 * time.Second
	// maxHandlers bounds the requests of one connection that are handled at once: a peer
	// may send requests and read no answer.
	maxHandlers = 256
	// acceptPause is the time after which to accept again after a failure, for instance
	// for want of descriptors.
	acceptPause = 50 * time.Millisecond
	helloMethod = "Peer.Hello"
)

// Handler handles the requests of one method. The name from is that of the peer; it
// is empty on a connection that this instance dialled. The result is encoded as JSON.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Hello is the first message on a connection between two instances, and the answer
// to it. The answer has no key.
type Hello struct {
	Version int // not compared
	Name    string
	Peer    string
	Key     string
}

// Node maintains the connections of this instance to its peers. The exported fields
// are set before Run.
type Node struct {
	Name    string
	Address string
	Bind    string // listen address, if the others reach this instance at a different one
	Key     string // shared by all instances
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Listen  func(network, address string) (net.Listener, error)
	Log     logrus.FieldLogger
	// Port bounds the connections that are accepted, and Budget the bytes of messages that
	// are not complete. Nil means no limit.
	Port   *intake.Port
	Budget *intake.Budget

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[string]*jsonrpc2.Conn       // by peer address
	open     map[*jsonrpc2.Conn]*countedConn // all open connections
	dials    singleflight.Group
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	sent     atomic.Int64
	received atomic.Int64
}

// Handle registers the handler of a method. It is called before Run.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = map[string]Handler{}
	}
	n.handlers[method] = h
}

// Run starts listening and accepting connections.
func (n *Node) Run(*kernel.Kernel) error {
	bind := n.Bind
	if bind == "" {
		bind = n.Address
	}
	l, err := n.Listen("tcp", bind)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.listener = l
	if n.Bind == "" {
		n.Address = l.Addr().String()
	}
	n.conns = map[string]*jsonrpc2.Conn{}
	n.open = map[*jsonrpc2.Conn]*countedConn{}
	if n.Budget == nil {
		n.Budget = &intake.Budget{}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Add(1)
	go n.accept()
	return nil
}

// Close closes all connections and waits for their goroutines.
func (n *Node) Close() error {
	n.cancel()
	err := n.listener.Close()
	n.mu.Lock()
	conns := make([]*jsonrpc2.Conn, 0, len(n.open))
	for c := range n.open {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	n.wg.Wait()
	return err
}

// Bytes returns the numbers of bytes sent to and received from peers so far.
func (n *Node) Bytes() (sent, received int64) {
	return n.sent.Load(), n.received.Load()
}

func (n *Node) accept() {
	defer n.wg.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(acceptPause):
			}
			continue
		}
		var place *intake.Place
		if n.Port != nil {
			if place = n.Port.Take(time.Now(), func() { _ = c.Close() }); place == nil {
				_ = c.Close()
				continue
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(helloWait))
		n.serve(c, "", place)
	}
}

// serve starts JSON-RPC on a connection. The address of a dialled connection is
// known; that of an accepted one is in its Hello, and no other request is
// answered before that.
func (n *Node) serve(c net.Conn, address string, place *intake.Place) *jsonrpc2.Conn {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{node: n, address: address, cancel: cancel, place: place, handlers: make(chan struct{}, maxHandlers)}
	s.trusted.Store(address != "")
	s.raw = &countedConn{Conn: c, node: n}
	codec := &sessionCodec{session: s}
	codec.input.Budget = n.Budget
	codec.input.Drop = func() { _ = c.Close() }
	stream := jsonrpc2.NewBufferedStream(s.raw, codec)
	// The lock keeps Hello from being handled before the session is complete.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = jsonrpc2.NewConn(ctx, stream, s, jsonrpc2.SetLogger(rpcLogger{n.Log}))
	n.addSession(s)
	return s.conn
}

func (n *Node) addSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[s.conn] = s.raw
	n.wg.Add(1)
	go n.removeOnDisconnect(s)
}

// removeOnDisconnect removes a connection once it is closed.
func (n *Node) removeOnDisconnect(s *session) {
	defer n.wg.Done()
	<-s.conn.DisconnectNotify()
	s.cancel()
	if s.place != nil {
		s.place.Leave()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, s.conn)
	for address, c := range n.conns {
		if c == s.conn {
			delete(n.conns, address)
		}
	}
}

// conn returns the connection to the address. It dials if there is none.
func (n *Node) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	c := n.conns[address]
	n.mu.Unlock()
	if c != nil {
		return c, nil
	}
	ch := n.dials.DoChan(address, func() (any, error) { return n.dial(address) })
	select {
	case r := <-ch:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*jsonrpc2.Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) dial(address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	raw, err := n.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	if n.ctx.Err() != nil {
		_ = raw.Close()
		return nil, n.ctx.Err()
	}
	c := n.serve(raw, address, nil)
	hello := Hello{Version: protocolVersion, Name: n.Name, Peer: n.Address, Key: n.Key}
	ctx, cancelHello := context.WithTimeout(n.ctx, helloTimeout)
	defer cancelHello()
	if err := c.Call(ctx, helloMethod, hello, nil); err != nil {
		_ = c.Close()
		return nil, errors.Wrapf(err, "exchange hello with peer %s", address)
	}
	n.useForCalls(address, c)
	return c, nil
}

// ErrNotSent means that there was no connection to a peer, so that it has not received
// the call.
var ErrNotSent = errors.New("peer cannot be reached")

// notSentError is the reason why there was no connection to a peer.
type notSentError struct {
	cause error
}

// Error returns the text of the cause.
func (e *notSentError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error {
	return e.cause
}

// Is reports whether the target is ErrNotSent.
func (e *notSentError) Is(target error) bool {
	return target == ErrNotSent
}

// Call calls a method of the peer at the address and decodes its answer into result.
// It dials the peer if there is no connection. The error matches ErrNotSent if there
// is none.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	c, err := n.conn(ctx, address)
	if err != nil {
		return &notSentError{cause: err}
	}
	return errors.Wrapf(c.Call(ctx, method, params, result), "call %s of %s", method, address)
}

// Notify sends a notification, which has no answer, to the peer at the address.
func (n *Node) Notify(ctx context.Context, address, method string, params any) error {
	c, err := n.conn(ctx, address)
	if err != nil {
		return err
	}
	return errors.Wrapf(c.Notify(ctx, method, params), "notify %s of %s", method, address)
}

// ReceivedFrom returns the number of bytes received over the connection that is used for
// calls to the peer at the address, zero if there is none.
func (n *Node) ReceivedFrom(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if raw := n.open[n.conns[address]]; raw != nil {
		return raw.received.Load()
	}
	return 0
}

// Drop closes the connection to a peer that no longer answers.
func (n *Node) Drop(address string) {
	n.mu.Lock()
	c := n.conns[address]
	delete(n.conns, address)
	n.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// rpcLogger writes the messages of the JSON-RPC library to the log as debug
// messages.
type rpcLogger struct {
	log logrus.FieldLogger
}

// Printf logs one message.
func (l rpcLogger) Printf(format string, args ...any) {
	l.log.WithField("Detail", strings.TrimSpace(fmt.Sprintf(format, args...))).Debug("message of the JSON-RPC library")
}

// session is the state of one connection.
type session struct {
	node   *Node
	raw    *countedConn
	cancel context.CancelFunc // ends the handlers once the connection is closed
	place  *intake.Place      // nil if this instance dialled the peer, or if there is no limit
	// handlers has an element for each request that is handled.
	handlers chan struct{}
	trusted  atomic.Bool // whether this instance dialled the peer or the peer has sent the right key

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	name    string // name in the peer's Hello, empty on a dialled connection
	address string // address of the peer, empty on an accepted connection
}

// Handle answers one request from the peer, in another goroutine. It waits while too many are
// handled, so that no more are read.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case s.handlers <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-s.handlers }()
		s.answer(ctx, conn, req)
	}()
}

// answer answers one request.
func (s *session) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func rpcError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func (s *session) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == helloMethod {
		return s.handleHello(params)
	}
	s.mu.Lock()
	name, trusted := s.name, s.trusted.Load()
	s.mu.Unlock()
	if !trusted {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the first message must be " + helloMethod}
	}
	s.node.mu.Lock()
	h := s.node.handlers[req.Method]
	s.node.mu.Unlock()
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	return h(ctx, name, params)
}

func (s *session) handleHello(params json.RawMessage) (any, error) {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed hello"}
	}
	if subtle.ConstantTimeCompare([]byte(h.Key), []byte(s.node.Key)) != 1 {
		s.node.Log.WithField("Peer", h.Name).Warn("peer refused: wrong peer key")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "wrong peer key"}
	}
	s.mu.Lock()
	s.name = h.Name
	conn := s.conn
	s.mu.Unlock()
	s.trusted.Store(true)
	_ = s.raw.SetReadDeadline(time.Time{})
	if s.place != nil {
		s.place.Set(time.Now(), intake.Serving)
	}
	s.node.useForCalls(h.Peer, conn)
	return Hello{Version: protocolVersion, Name: s.node.Name, Peer: s.node.Address}, nil
}

// useForCalls uses a connection for calls to its peer once Hello was answered on it, unless
// there is another one.
func (n *Node) useForCalls(address string, c *jsonrpc2.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open[c] != nil && n.conns[address] == nil {
		n.conns[address] = c
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	node     *Node
	received atomic.Int64
}

// Read counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.received.Add(int64(n))
	c.received.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.sent.Add(int64(n))
	return n, err
}
