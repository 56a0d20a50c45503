package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// firstBufferBytes is the size of the buffer of a body before its first growth.
const firstBufferBytes = 1 << 10

// Errors of ReadBody. The caller of the request gets an answer, and the connection is closed.
var (
	ErrNoMemory    = eris.New("too many requests are being received")
	ErrBodyTimeout = eris.New("the body did not arrive in time")
)

// ReadBody reads the body of a request. What it holds is charged to the gate until the request is
// answered. The error is a *http.MaxBytesError if the body is larger than maxBytes, ErrNoMemory,
// ErrBodyTimeout, or one of the connection. Without a gate the memory is not bounded.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	c := connOf(r)
	if c != nil {
		c.begin(readingBody)
	}
	reader := bodyReader{conn: c, reader: http.MaxBytesReader(w, r.Body, maxBytes), maxSize: maxBytes + 1}
	if r.ContentLength >= 0 {
		reader.maxSize = min(reader.maxSize, r.ContentLength+1)
	}
	body, err := reader.readAll()
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyError(c, err)
	}
	if c != nil {
		c.begin(serving)
		_ = c.SetReadDeadline(time.Time{}) // an error means that the sender has gone, after its body
	}
	return body, nil
}

// bodyError names the errors that do not come from the sender.
func bodyError(c *conn, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || c == nil:
		return err
	case c.ended.Load():
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.gate.metrics.timeouts.Inc(1)
		return ErrBodyTimeout
	}
	return err
}

// bodyReader reads a body into a buffer that grows with what has arrived.
type bodyReader struct {
	conn    *conn // nil if nothing bounds the memory
	reader  io.Reader
	maxSize int64 // of the buffer
	buffer  []byte
}

func (b *bodyReader) readAll() ([]byte, error) {
	for {
		if len(b.buffer) == cap(b.buffer) {
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		n, err := b.reader.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		if err == io.EOF {
			return b.buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow doubles the buffer. The former one is released once its content is copied.
func (b *bodyReader) grow() error {
	former := int64(cap(b.buffer))
	size := max(min(max(2*former, firstBufferBytes), b.maxSize), former+1)
	if b.conn != nil && !b.conn.hold(size) {
		return ErrNoMemory
	}
	grown := make([]byte, len(b.buffer), size)
	copy(grown, b.buffer)
	b.buffer = grown
	if b.conn != nil {
		b.conn.release(former)
	}
	return nil
}
