package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFaults are the network faults that a Proxy injects. The zero value forwards all
// bytes immediately.
type ProxyFaults struct {
	Delay           time.Duration // of each chunk, in both directions
	MaxChunk        int           // largest chunk in bytes; 0 for no limit
	BlockToTarget   bool          // bytes to the target are blocked
	BlockFromTarget bool          // bytes from the target are blocked
	Refuse          bool          // new connections are reset
	// LoseToTarget and LoseFromTarget make connections that are open meanwhile lose all bytes of a
	// direction, also after the faults were removed. The client sees no end of such a connection, as
	// when the target has lost power and does not know the connection afterwards.
	LoseToTarget, LoseFromTarget bool
	// HoldToTarget makes connections that are open meanwhile hold their bytes to the target until
	// ReleaseHeld, also after the faults were removed.
	HoldToTarget bool
}

// connPair is a client's connection and the one to the target that continues it.
type connPair struct {
	client, server               net.Conn
	losesToTarget, losesToClient bool
	holdsToTarget                bool
}

// applyFaults applies the faults that outlast their removal.
func (c *connPair) applyFaults(faults ProxyFaults) {
	c.holdsToTarget = c.holdsToTarget || faults.HoldToTarget
	c.losesToTarget = c.losesToTarget || faults.LoseToTarget
	c.losesToClient = c.losesToClient || faults.LoseFromTarget
}

// Proxy is a TCP proxy that stands in for the network path to one target address and
// injects faults into its connections.
type Proxy struct {
	target   string
	listener net.Listener

	mu            sync.Mutex
	faults        ProxyFaults
	faultyUntil   time.Time     // when faults were last removed or replaced; zero if there were none
	faultsChanged chan struct{} // closed and replaced when the faults change
	pairs         map[*connPair]bool
	closed        bool
}

// NewProxy starts a proxy that listens on loopback and forwards to a target (IP:PORT).
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, faultsChanged: make(chan struct{}), pairs: map[*connPair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on, as IP:PORT.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults, including those of open connections.
func (p *Proxy) SetFaults(faults ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults != (ProxyFaults{}) {
		p.faultyUntil = time.Now()
	}
	p.faults = faults
	for pair := range p.pairs {
		pair.applyFaults(faults)
	}
	p.notifyRelays()
}

// notifyRelays makes relays that wait look at the faults again. The caller holds p.mu.
func (p *Proxy) notifyRelays() {
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// ReleaseHeld delivers the bytes that HoldToTarget has held.
func (p *Proxy) ReleaseHeld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		if pair.holdsToTarget {
			pair.holdsToTarget = false
			p.faultyUntil = time.Now()
		}
	}
	p.notifyRelays()
}

// FaultFreeFor reports whether there have been no faults for a time span, so that no
// bytes that were sent before that span can still arrive.
func (p *Proxy) FaultFreeFor(span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		if pair.holdsToTarget {
			return false
		}
	}
	return p.faults == ProxyFaults{} && time.Since(p.faultyUntil) >= span
}

// Reset closes all open connections with a TCP reset; bytes in transit are lost.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		resetConn(pair.client)
		resetConn(pair.server)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetFaults(ProxyFaults{})
	p.ReleaseHeld()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if faults, _ := p.currentFaults(); faults.Refuse {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	pair := &connPair{client: client, server: server}
	if !p.track(pair) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.relayToTarget(pair) })
	wg.Go(func() { p.relayToClient(pair) })
	wg.Wait()
	p.untrack(pair)
}

// track registers a pair of connections. If the proxy is closed, it resets them and
// returns false.
func (p *Proxy) track(pair *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		resetConn(pair.client)
		resetConn(pair.server)
		return false
	}
	pair.applyFaults(p.faults)
	p.pairs[pair] = true
	return true
}

func (p *Proxy) untrack(pair *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

// loses reports whether a pair loses the bytes to the target and those to the client.
func (p *Proxy) loses(pair *connPair) (toTarget, toClient bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.losesToTarget, pair.losesToClient
}

// holds reports whether a pair holds the bytes to the target.
func (p *Proxy) holds(pair *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.holdsToTarget
}

// relayToTarget copies the client's bytes until either side ends, then closes both.
func (p *Proxy) relayToTarget(pair *connPair) {
	defer pair.client.Close()
	defer pair.server.Close()
	p.relay(pair.client, pair.server, func(f ProxyFaults) bool { return f.BlockToTarget || p.holds(pair) }, func() bool {
		toTarget, _ := p.loses(pair)
		return toTarget
	})
}

// relayToClient copies the target's bytes until either side ends, then closes both. If they are
// lost, the client's connection stays open, since the client does not hear of the end.
func (p *Proxy) relayToClient(pair *connPair) {
	lost := func() bool {
		_, toClient := p.loses(pair)
		return toClient
	}
	p.relay(pair.server, pair.client, func(f ProxyFaults) bool { return f.BlockFromTarget }, lost)
	pair.server.Close()
	if !lost() {
		pair.client.Close()
	}
}

func (p *Proxy) currentFaults() (ProxyFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// relay copies bytes in one direction until either side ends, and drops them while they are lost.
func (p *Proxy) relay(from, to net.Conn, blocked func(ProxyFaults) bool, lost func() bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if writeErr := p.writeChunks(to, buffer[:n], blocked, lost); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF && !lost() {
				resetConn(to)
			}
			return
		}
	}
}

// writeChunks writes bytes in chunks, applying the faults to each.
func (p *Proxy) writeChunks(to net.Conn, data []byte, blocked func(ProxyFaults) bool, lost func() bool) error {
	for len(data) > 0 {
		size := len(data)
		if faults, _ := p.currentFaults(); faults.MaxChunk > 0 {
			size = min(size, faults.MaxChunk)
		}
		p.waitUnblocked(blocked)
		if lost() {
			return nil
		}
		if _, err := to.Write(data[:size]); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

// waitUnblocked waits for the injected delay, then until the direction is not blocked.
func (p *Proxy) waitUnblocked(blocked func(ProxyFaults) bool) {
	faults, changed := p.currentFaults()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	for blocked(faults) {
		<-changed
		faults, changed = p.currentFaults()
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With a linger time of 0, Close sends a reset. SetLinger fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
