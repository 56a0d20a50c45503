// Package relay owns the calls between instances: yamux sessions that are
// opened when a call needs one, one stream a call, protobuf messages. Nothing
// is agreed here; an instance that has lost the store asks one that has not, and
// the one that places has others drive links to workers for it.
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
	// maxMessageBytes covers a record of a job with its spec, and what the workers
	// of one share may report at once: 500 ends of 100 bytes for each of 64.
	maxMessageBytes = 4 << 20
	// handleTimeout bounds a call at the instance that is asked; who asks waits
	// for less.
	handleTimeout = 3 * time.Second
	// streamBuffer is a call's read buffer.
	streamBuffer = 1 << 10
	// keepAlive is how often an open session is probed, so that one that has
	// gone silent ends.
	keepAlive    = 2 * time.Second
	writeTimeout = time.Second
)

// Handler answers a call.
type Handler func(ctx context.Context, call *relaypb.Call) *relaypb.Answer

// KeepHandler serves a session that a Keep call opens, until it returns.
type KeepHandler func(ctx context.Context, keep *relaypb.Keep, stream *Stream)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// Serve accepts sessions until ctx ends; it is a duty.
//
// keep may be nil: calls that open a session are then cut.
func Serve(ctx context.Context, listener net.Listener, handler Handler, keep KeepHandler) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		open.Add(1)
		go func() {
			defer open.Done()
			serveSession(ctx, connection, handler, keep)
		}()
	}
}

func serveSession(ctx context.Context, connection net.Conn, handler Handler, keep KeepHandler) {
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
		go serveStream(ctx, stream, handler, keep)
	}
}

func serveStream(ctx context.Context, conn net.Conn, handler Handler, keep KeepHandler) {
	stream := newStream(conn)
	defer stream.Close()
	if err := conn.SetDeadline(time.Now().Add(handleTimeout)); err != nil {
		return
	}
	call := &relaypb.Call{}
	if err := stream.Receive(call); err != nil {
		return
	}
	if opened := call.GetKeep(); opened != nil {
		if err := conn.SetDeadline(time.Time{}); err == nil && keep != nil {
			keep(ctx, opened, stream)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	// A caller that has gone does not read the answer.
	_, _ = protodelim.MarshalTo(conn, handler(ctx, call))
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	lock     sync.Mutex
	sessions map[string]*yamux.Session // by address
}

// NewClient returns a client without sessions.
func NewClient() *Client { return &Client{sessions: map[string]*yamux.Session{}} }

// ErrNotSent says that a call did not reach the other instance.
var ErrNotSent = eris.New("the instance was not reached")

// Call sends a call to the instance at IP:PORT and waits for the answer. After
// an error other than ErrNotSent the call may have been carried out.
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
	known := c.sessions[address]
	c.lock.Unlock()
	if known != nil && !known.IsClosed() {
		return known, nil
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	made, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if other := c.sessions[address]; other != nil && !other.IsClosed() {
		made.Close()
		return other, nil
	}
	c.sessions[address] = made
	return made, nil
}

// drop closes a session that did not work, as it may have gone silent.
func (c *Client) drop(address string, session *yamux.Session) {
	session.Close()
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
}
