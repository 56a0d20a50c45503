package ingress

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// phase is what a connection does.
type phase int

const (
	idle          phase = iota // between two requests
	readingHeader              // before the first request, or within a header
	readingBody
	serving
	sending   // a large answer is about to be sent
	answering // a large answer is being sent
	finishing // a small answer is being sent, and what the handler left unread is read
)

// Gate bounds the connections of one HTTP server. It is safe for concurrent use.
type Gate struct {
	now     func() time.Time
	metrics gateMetrics

	mu     sync.Mutex
	limits Limits
	conns  map[*conn]struct{}
	held   int64 // sum over conns
}

// gateMetrics counts what a gate ends.
type gateMetrics struct {
	ended    metrics.Counter // requests and answers ended for others
	refused  metrics.Counter // requests for which there was no memory
	closed   metrics.Counter // connections closed for others
	timeouts metrics.Counter // bodies that did not arrive in time
}

func newGateMetrics(prefix string, registry metrics.Registry) gateMetrics {
	return gateMetrics{
		ended:    metrics.GetOrRegisterCounter(prefix+"ended", registry),
		refused:  metrics.GetOrRegisterCounter(prefix+"refused", registry),
		closed:   metrics.GetOrRegisterCounter(prefix+"closed", registry),
		timeouts: metrics.GetOrRegisterCounter(prefix+"timeouts", registry),
	}
}

// NewGate returns a gate without connections. The name tells its metrics from those of others.
func NewGate(name string, limits Limits, registry metrics.Registry) *Gate {
	prefix := "ingress." + name + "."
	g := &Gate{now: time.Now, metrics: newGateMetrics(prefix, registry), limits: limits, conns: map[*conn]struct{}{}}
	registry.GetOrRegister(prefix+"connections", metrics.NewFunctionalGauge(func() int64 { return int64(g.connections()) }))
	registry.GetOrRegister(prefix+"held_bytes", metrics.NewFunctionalGauge(g.heldBytes))
	return g
}

func (g *Gate) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (g *Gate) heldBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// SetLimits replaces the limits. Open connections and requests stay as they are.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// Timeouts of a server.
type Timeouts struct {
	Header time.Duration // for the header of a request
	Body   time.Duration // for the body, after the header
	Answer time.Duration // for each write of an answer
	Idle   time.Duration // between two requests
}

// NewServer returns a server whose connections the gate bounds. It has to serve a listener that
// Listen returned. maxHeader is the maximum size of a header in bytes.
func (g *Gate) NewServer(handler http.Handler, timeouts Timeouts, maxHeader int) *http.Server {
	return &http.Server{
		Handler:           &limitedHandler{handler: handler, timeouts: timeouts},
		ReadHeaderTimeout: timeouts.Header,
		IdleTimeout:       timeouts.Idle,
		MaxHeaderBytes:    maxHeader,
		ConnState:         changeState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if no gate bounds it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Listen returns a listener whose connections the gate bounds.
func (g *Gate) Listen(listener net.Listener) net.Listener {
	return &gateListener{Listener: listener, gate: g}
}

type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection. At the maximum number of connections another one is closed
// for it, or the new one if all others are being served.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(accepted); c != nil {
			return c, nil
		}
		accepted.Close()
	}
}

// admit registers a new connection. It returns nil if there is no room for it.
func (g *Gate) admit(accepted net.Conn) *conn {
	limitReceiveBuffer(accepted)
	g.mu.Lock()
	var displaced *conn
	if len(g.conns) >= g.limits.Connections {
		g.metrics.closed.Inc(1)
		if displaced = g.mostOccupying(connectionBytes, idle, readingHeader, readingBody, answering, finishing); displaced == nil {
			g.mu.Unlock()
			return nil
		}
		g.remove(displaced)
	}
	c := &conn{Conn: accepted, gate: g, phase: readingHeader, since: g.now()}
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if displaced != nil {
		displaced.Conn.Close()
	}
	return c
}

// mostOccupying returns the connection with the highest occupancy in one of the phases, or nil.
// base is added to what each of them holds; connections that hold nothing are passed over.
func (g *Gate) mostOccupying(base int64, phases ...phase) *conn {
	now := g.now()
	var found *conn
	highest := 0.0
	for c := range g.conns {
		if c.ended.Load() || !slices.Contains(phases, c.phase) {
			continue
		}
		if occupied := occupancy(base+c.held, now.Sub(c.since)); occupied > highest {
			found, highest = c, occupied
		}
	}
	return found
}

// hold adds bytes to what a connection holds. It ends others if they occupy more, and reports
// whether the bytes may be held. An answer that is about to be sent is in memory already, so it is
// never refused. The caller holds mu.
func (g *Gate) hold(c *conn, bytes int64) bool {
	if c.ended.Load() {
		return false
	}
	c.held += bytes
	g.held += bytes
	for g.held > g.limits.available(c.held) {
		victim := g.mostOccupying(0, readingHeader, readingBody, answering)
		if victim == nil && c.phase == sending {
			break
		}
		if victim == nil {
			g.metrics.refused.Inc(1)
			g.end(c)
			return false
		}
		g.metrics.ended.Inc(1)
		g.end(victim)
		if victim == c {
			return false
		}
	}
	return true
}

// end stops a connection from reading, and from sending an answer that is being sent. What it holds
// is released now, although its goroutine drops it only when it runs next.
func (g *Gate) end(c *conn) {
	c.ended.Store(true)
	c.broken.Store(c.phase == answering)
	g.held -= c.held
	c.held = 0
	// Errors mean that the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
	if c.broken.Load() {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// past is a deadline that has been exceeded.
var past = time.Unix(1, 0)

// remove forgets a connection and releases what it holds.
func (g *Gate) remove(c *conn) {
	if _, exists := g.conns[c]; !exists {
		return
	}
	delete(g.conns, c)
	g.held -= c.held
	c.held = 0
	c.ended.Store(true)
}
