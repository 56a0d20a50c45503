// Package relay implements calls between the instances that serve the users' platform
// (package batch; package peers connects instances for the product's own interface):
// protobuf messages, with one stream per call, over yamux sessions that are opened on
// demand. An instance that cannot reach the store calls one that can, and the leader
// opens delegation sessions with delegates, the instances that dispatch to workers for
// it. A delegation session is a stream within a yamux session. The package makes no
// decisions itself.
//
// Messages and logs have other names for this: a Keep message opens a delegation session,
// a delegate sends Kept messages, and logs call it a keeper and a delegation a keeping.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// maxMessageBytes covers the record of a job with its spec, and a message of a
	// delegate. That has the reports of at most 64 workers, each with up to 500 end
	// reports of 100 bytes; further reports go into the next message.
	maxMessageBytes = 4 << 20
	// handleTimeout bounds a call at the instance that handles it; callers use
	// shorter timeouts.
	handleTimeout = 3 * time.Second
	// readBufferSize is the size of the read buffer of a call, in bytes.
	readBufferSize = 1 << 10
	// keepAliveInterval is the interval between probes of an open yamux session, so that
	// a session whose peer does not respond is closed.
	keepAliveInterval = 2 * time.Second
	writeTimeout      = time.Second
)

// Handler answers a call.
type Handler func(ctx context.Context, call *relaypb.Call) *relaypb.Answer

// DelegationHandler serves a delegation session, which a Keep call opens, until it
// returns.
type DelegationHandler func(ctx context.Context, keep *relaypb.Keep, stream *Stream)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// Serve accepts yamux sessions until ctx ends. If serveDelegation is nil, the streams of
// Keep calls are closed.
func Serve(ctx context.Context, listener net.Listener, handler Handler, serveDelegation DelegationHandler) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			serveSession(ctx, connection, handler, serveDelegation)
		}()
	}
}

func serveSession(ctx context.Context, connection net.Conn, handler Handler, serveDelegation DelegationHandler) {
	session, err := yamux.Server(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	defer session.Close()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go serveStream(ctx, stream, handler, serveDelegation)
	}
}

func serveStream(ctx context.Context, conn net.Conn, handler Handler, serveDelegation DelegationHandler) {
	stream := newStream(conn)
	defer stream.Close()
	if err := conn.SetDeadline(time.Now().Add(handleTimeout)); err != nil {
		return
	}
	call := &relaypb.Call{}
	if err := stream.Receive(call); err != nil {
		return
	}
	if keep := call.GetKeep(); keep != nil {
		if err := conn.SetDeadline(time.Time{}); err == nil && serveDelegation != nil {
			serveDelegation(ctx, keep, stream)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	// The error only means that the caller is gone and does not read the answer.
	_, _ = protodelim.MarshalTo(conn, handler(ctx, call))
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	lock     sync.Mutex
	sessions map[string]*yamux.Session // by address
}

// NewClient returns a client without sessions.
func NewClient() *Client { return &Client{sessions: map[string]*yamux.Session{}} }

// ErrNotSent means that a call did not reach the other instance.
var ErrNotSent = eris.New("the instance was not reached")

// Call sends a call to the instance at IP:PORT and waits for the answer. After an
// error other than ErrNotSent the call may have been executed.
func (c *Client) Call(ctx context.Context, address string, call *relaypb.Call) (*relaypb.Answer, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, ErrNotSent
	}
	stream, err := session.Open()
	if err != nil {
		c.drop(address, session)
		return nil, ErrNotSent
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, ErrNotSent
		}
	}
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		c.drop(address, session)
		return nil, eris.Wrap(err, "send call")
	}
	answer := &relaypb.Answer{}
	if err := newStream(stream).Receive(answer); err != nil {
		c.drop(address, session)
		return nil, eris.Wrap(err, "read answer")
	}
	return answer, nil
}

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.lock.Lock()
	cached := c.sessions[address]
	c.lock.Unlock()
	if cached != nil && !cached.IsClosed() {
		return cached, nil
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if existing := c.sessions[address]; existing != nil && !existing.IsClosed() {
		session.Close()
		return existing, nil
	}
	c.sessions[address] = session
	return session, nil
}

// drop closes a session after a failed call, as its peer may no longer respond.
func (c *Client) drop(address string, session *yamux.Session) {
	session.Close()
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
}
