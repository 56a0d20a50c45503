package ingress

import (
	"net/http"
	"time"
)

// extendShare divides the time for an answer: a deadline of which less has passed is left as it is.
const extendShare = 8

// limitedHandler sets the deadlines of each request and charges its header.
type limitedHandler struct {
	handler  http.Handler
	timeouts Timeouts
}

// ServeHTTP implements http.Handler.
func (h *limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil {
		h.handler.ServeHTTP(w, r)
		return
	}
	c.settle(headerBytes(r.Header))
	if r.ContentLength != 0 && c.SetReadDeadline(time.Now().Add(h.timeouts.Body)) != nil {
		return // the connection is closed
	}
	answer := &answerWriter{ResponseWriter: w, conn: c, timeout: h.timeouts.Answer}
	answer.extendDeadline()
	h.handler.ServeHTTP(answer, r)
	answer.extendDeadline()
	c.begin(finishing)
}

// headerBytes returns the memory of a parsed header.
func headerBytes(header http.Header) int64 {
	bytes := 0
	for name, values := range header {
		bytes += headerLineBytes + len(name)
		for _, value := range values {
			bytes += headerLineBytes + len(value)
		}
	}
	return int64(bytes)
}

// answerWriter bounds how long a caller may take to read an answer, and the memory of large
// answers that are being sent.
type answerWriter struct {
	http.ResponseWriter
	conn     *conn
	timeout  time.Duration
	extended time.Time // when the deadline was last extended
}

// Unwrap returns the writer for http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader sends the header of the answer.
func (a *answerWriter) WriteHeader(status int) {
	a.extendDeadline()
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (a *answerWriter) Write(p []byte) (int, error) {
	a.extendDeadline()
	defer a.conn.begin(serving)
	if len(p) <= smallRequestBytes {
		a.conn.begin(finishing)
		return a.ResponseWriter.Write(p)
	}
	a.conn.begin(sending)
	a.conn.hold(int64(len(p)))
	a.conn.begin(answering)
	n, err := a.ResponseWriter.Write(p)
	a.conn.release(int64(len(p)))
	return n, err
}

// extendDeadline gives the caller the time of an answer from now.
func (a *answerWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(a.extended) < a.timeout/extendShare {
		return
	}
	a.extended = now
	// An error means that the connection is closed already.
	_ = a.conn.SetWriteDeadline(now.Add(a.timeout))
}
