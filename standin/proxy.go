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
	conns         map[net.Conn]bool
	closed        bool
}

// NewProxy starts a proxy that listens on loopback and forwards to a target (IP:PORT).
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, faultsChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
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
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// FaultFreeFor reports whether there have been no faults for a time span, so that no
// bytes that were sent before that span can still arrive.
func (p *Proxy) FaultFreeFor(span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults == ProxyFaults{} && time.Since(p.faultyUntil) >= span
}

// Reset closes all open connections with a TCP reset; bytes in transit are lost.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		resetConn(conn)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetFaults(ProxyFaults{})
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
	if !p.track(client, server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.relay(client, server, func(f ProxyFaults) bool { return f.BlockToTarget }) })
	wg.Go(func() { p.relay(server, client, func(f ProxyFaults) bool { return f.BlockFromTarget }) })
	wg.Wait()
	p.untrack(client, server)
}

// track registers a pair of connections. If the proxy is closed, it resets them and
// returns false.
func (p *Proxy) track(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		resetConn(client)
		resetConn(server)
		return false
	}
	p.conns[client] = true
	p.conns[server] = true
	return true
}

func (p *Proxy) untrack(client, server net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

func (p *Proxy) currentFaults() (ProxyFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// relay copies bytes in one direction until either side ends, then closes both.
func (p *Proxy) relay(from, to net.Conn, blocked func(ProxyFaults) bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if writeErr := p.writeChunks(to, buffer[:n], blocked); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				resetConn(to)
			}
			return
		}
	}
}

// writeChunks writes bytes in chunks, applying the faults to each.
func (p *Proxy) writeChunks(to net.Conn, data []byte, blocked func(ProxyFaults) bool) error {
	for len(data) > 0 {
		size := len(data)
		if faults, _ := p.currentFaults(); faults.MaxChunk > 0 {
			size = min(size, faults.MaxChunk)
		}
		p.waitUnblocked(blocked)
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
