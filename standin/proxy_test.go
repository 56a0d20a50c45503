package standin

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEchoProxy returns a proxy whose target is an echo server.
func newEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxyBlocksBytesUntilFaultIsCleared(t *testing.T) {
	for name, faults := range map[string]ProxyFaults{"towards": {BlockToTarget: true}, "from": {BlockFromTarget: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newEchoProxy(t)
			conn := dial(t, p)
			is.NoErr(exchange(conn))
			p.SetFaults(faults)
			answered := make(chan error, 1)
			go func() { answered <- exchange(conn) }()
			select {
			case <-answered:
				t.Fatal("bytes were forwarded while blocked")
			case <-time.After(50 * time.Millisecond):
			}
			p.SetFaults(ProxyFaults{})
			is.NoErr(<-answered)
		})
	}
}

func TestProxyResetsAndRefuses(t *testing.T) {
	is := is.New(t)
	p := newEchoProxy(t)
	conn := dial(t, p)
	is.NoErr(exchange(conn))
	p.Reset()
	is.True(exchange(conn) != nil)
	p.SetFaults(ProxyFaults{Refuse: true})
	is.True(dialAndExchange(p) != nil)
	p.SetFaults(ProxyFaults{})
	is.NoErr(dialAndExchange(p))
}

// dialAndExchange makes one exchange over a new connection. A reset can fail any step: one
// that directly follows the handshake fails the dial itself.
func dialAndExchange(p *Proxy) error {
	conn, err := net.Dial("tcp4", p.Address())
	if err != nil {
		return err
	}
	defer conn.Close()
	return exchange(conn)
}

// Bytes on a connection that was open during the fault stay lost. Later connections work.
func TestProxyLosesBytesOfConnectionsOpenDuringFault(t *testing.T) {
	for name, faults := range map[string]ProxyFaults{"towards": {LoseToTarget: true}, "from": {LoseFromTarget: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			proxy := newEchoProxy(t)
			before := dial(t, proxy)
			is.NoErr(exchange(before))
			proxy.SetFaults(faults)
			during := dial(t, proxy)
			for proxy.pairCount() < 2 {
				time.Sleep(time.Millisecond)
			}
			for _, conn := range []net.Conn{before, during} {
				is.NoErr(conn.SetDeadline(time.Now().Add(100 * time.Millisecond)))
				is.True(exchange(conn) != nil)
			}
			proxy.SetFaults(ProxyFaults{})
			for _, conn := range []net.Conn{before, during} {
				is.NoErr(conn.SetDeadline(time.Now().Add(100 * time.Millisecond)))
				err := exchange(conn)
				is.True(errors.Is(err, os.ErrDeadlineExceeded)) // still silent, neither closed nor reset
			}
			is.NoErr(exchange(dial(t, proxy)))
		})
	}
}

func (p *Proxy) pairCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

func TestProxyDeliversHeldBytesOnRelease(t *testing.T) {
	is := is.New(t)
	proxy := newEchoProxy(t)
	held := dial(t, proxy)
	is.NoErr(exchange(held))
	proxy.SetFaults(ProxyFaults{HoldToTarget: true})
	_, err := held.Write([]byte("y"))
	is.NoErr(err)
	proxy.SetFaults(ProxyFaults{})
	is.NoErr(exchange(dial(t, proxy)))
	is.NoErr(held.SetDeadline(time.Now().Add(100 * time.Millisecond)))
	answer := make([]byte, 1)
	_, err = io.ReadFull(held, answer)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.True(!proxy.FaultFreeFor(0))
	proxy.ReleaseHeld()
	is.NoErr(held.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.ReadFull(held, answer)
	is.NoErr(err)
	is.Equal(string(answer), "y")
	is.True(proxy.FaultFreeFor(0))
}
