package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFaults are the ways in which the network between two parties misbehaves. The zero
// value carries everything at once.
type ProxyFaults struct {
	Delay  time.Duration // of each piece of bytes, either way
	Piece  int           // longest piece, in bytes; 0 for any
	HoldUp bool          // bytes towards the address wait
	HoldIn bool          // bytes from the address wait
	Refuse bool          // new connections are reset
}

// Proxy is a stand-in of the network on the way to one address: a party that connects to
// it reaches that address, as far as the faults allow.
type Proxy struct {
	target   string
	listener net.Listener

	lock    sync.Mutex
	faults  ProxyFaults
	harmed  time.Time     // when faults last ended; zero if there were none
	changed chan struct{} // closed when the faults change
	open    map[net.Conn]bool
	closed  bool
}

// NewProxy returns a proxy that listens on loopback, in front of an address (IP:PORT).
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens, as IP:PORT.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults, for the connections that are open as well.
func (p *Proxy) SetFaults(faults ProxyFaults) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.faults != (ProxyFaults{}) {
		p.harmed = time.Now()
	}
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// CalmFor reports whether nothing has harmed the way for some time, so that nothing which
// was sent longer ago can arrive now.
func (p *Proxy) CalmFor(span time.Duration) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.faults == ProxyFaults{} && time.Since(p.harmed) >= span
}

// Reset breaks all open connections off, with a reset and without what was on its way.
func (p *Proxy) Reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for conn := range p.open {
		abort(conn)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.lock.Lock()
	p.closed = true
	p.lock.Unlock()
	p.listener.Close()
	p.SetFaults(ProxyFaults{})
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	if faults, _ := p.state(); faults.Refuse {
		abort(near)
		return
	}
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(near)
		return
	}
	if !p.add(near, far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(near, far, func(f ProxyFaults) bool { return f.HoldUp }) })
	both.Go(func() { p.carry(far, near, func(f ProxyFaults) bool { return f.HoldIn }) })
	both.Wait()
	p.remove(near, far)
}

// add enters a pair of connections, unless the proxy has ended.
func (p *Proxy) add(near, far net.Conn) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		abort(near)
		abort(far)
		return false
	}
	p.open[near] = true
	p.open[far] = true
	return true
}

func (p *Proxy) remove(near, far net.Conn) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.open, near)
	delete(p.open, far)
}

func (p *Proxy) state() (ProxyFaults, <-chan struct{}) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.faults, p.changed
}

// carry moves bytes one way until either side ends, which ends both.
func (p *Proxy) carry(from, to net.Conn, held func(ProxyFaults) bool) {
	defer from.Close()
	defer to.Close()
	piece := make([]byte, 16<<10)
	for {
		count, err := from.Read(piece)
		if count > 0 {
			if failed := p.pass(to, piece[:count], held); failed != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(to)
			}
			return
		}
	}
}

// pass hands bytes on, in pieces as the faults say.
func (p *Proxy) pass(to net.Conn, bytes []byte, held func(ProxyFaults) bool) error {
	for len(bytes) > 0 {
		piece := len(bytes)
		if faults, _ := p.state(); faults.Piece > 0 {
			piece = min(piece, faults.Piece)
		}
		p.wait(held)
		if _, err := to.Write(bytes[:piece]); err != nil {
			return err
		}
		bytes = bytes[piece:]
	}
	return nil
}

// wait holds a piece of bytes back as the faults say.
func (p *Proxy) wait(held func(ProxyFaults) bool) {
	faults, changed := p.state()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	for held(faults) {
		<-changed
		faults, changed = p.state()
	}
}

// abort ends a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without a linger time the close resets; one that fails has ended already.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
