package ingress

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// receiveBufferBytes bounds what the kernel holds of a connection's unread bytes. Without a bound
// it grows with the speed of the sender.
const receiveBufferBytes = 64 << 10

// conn is a connection that a gate bounds.
type conn struct {
	net.Conn
	gate *Gate
	// ended means that nothing more is read, broken that nothing more is written either.
	ended, broken atomic.Bool

	// The fields below are guarded by gate.mu.
	phase phase
	since time.Time // start of the phase; of receiving, the start of the request
	held  int64     // bytes
}

// limitReceiveBuffer bounds the receive buffer of a TCP connection.
func limitReceiveBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // without it the connection works as well
	}
}

// Read reads from the connection. Bytes of a header are charged as they arrive.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receive(int64(n)) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// receive notes that bytes have arrived and reports whether they may be used.
func (c *conn) receive(bytes int64) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended.Load() {
		return false
	}
	if c.phase == idle {
		c.enter(readingHeader)
	}
	return c.phase != readingHeader || c.gate.hold(c, bytes*headerCost)
}

// SetReadDeadline sets the deadline of reads, unless the connection is to end.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.ended.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// SetWriteDeadline sets the deadline of writes, unless the connection is to end at once.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	err := c.Conn.SetWriteDeadline(deadline)
	if c.broken.Load() {
		return c.Conn.SetWriteDeadline(past)
	}
	return err
}

// begin begins a phase, unless the connection is to end.
func (c *conn) begin(next phase) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.ended.Load() {
		c.enter(next)
	}
}

// settle replaces what the connection holds by what is known exactly now.
func (c *conn) settle(held int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.ended.Load() {
		c.gate.held += held - c.held
		c.held = held
	}
}

// hold adds bytes to what the connection holds and reports whether they may be held.
func (c *conn) hold(bytes int64) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.hold(c, bytes)
}

// release takes bytes off what the connection holds.
func (c *conn) release(bytes int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.ended.Load() {
		c.held -= bytes
		c.gate.held -= bytes
	}
}

// enter begins a phase; the caller holds gate.mu.
func (c *conn) enter(next phase) {
	c.phase = next
	c.since = c.gate.now()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.gate.remove(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side, so that the other side can read the rest of an answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// changeState follows the states of a connection in the server. StateActive means that a header
// has been read, StateIdle that an answer has been sent.
func changeState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.gate.held -= c.held
		c.held = 0
		c.enter(idle)
	}
}
