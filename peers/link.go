// Package peers implements the links between the instances of the product's own interface:
// one yamux session to each other instance, carrying length-prefixed protobuf envelopes. The
// messages save time and bridge outages of the log; no decision that instances must share
// depends on them. Package relay is the counterpart on the users' platform.
package peers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/teaselcleat/teaselcleat/hlc"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/peers/peerpb"
	"github.com/teaselcleat/teaselcleat/ring"
)

// Limits and timeouts of the link.
const (
	maxEnvelopeBytes = 64 << 20
	outgoingCapacity = 256
	dialTimeout      = 2 * time.Second
	redialDelay      = 300 * time.Millisecond
	writeTimeout     = 5 * time.Second
	requestTimeout   = 10 * time.Second
)

// Handler handles a message and may return a reply, or nil.
type Handler func(envelope *peerpb.Envelope) *peerpb.Envelope

// PeerState is the state of another instance as of its last messages.
type PeerState struct {
	Boot           int64
	LastMessageAt  time.Time
	Draining       bool
	TargetsVersion int64 // of the current targets of that instance
}

// Link connects this instance to the others. It is safe for concurrent use.
type Link struct {
	self    string
	boot    int64
	clock   *hlc.Clock
	handler Handler
	log     *logrus.Entry
	now     func() time.Time

	mu    sync.Mutex
	peers map[string]*peer
	seen  map[string]PeerState // by instance name, of every instance that ever sent a message
}

type peer struct {
	address  string
	outgoing *ring.Ring[*peerpb.Envelope]
	cancel   context.CancelFunc
	session  *yamux.Session // nil while not connected
}

// New returns a link without other instances; Update sets them.
func New(self string, boot int64, clock *hlc.Clock, handler Handler, log *logrus.Entry, now func() time.Time) *Link {
	return &Link{self: self, boot: boot, clock: clock, handler: handler, log: log, now: now,
		peers: map[string]*peer{}, seen: map[string]PeerState{}}
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.EnableKeepAlive = true
	config.KeepAliveInterval = 5 * time.Second
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// Serve accepts sessions until ctx ends.
func (l *Link) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			l.serveSession(ctx, conn)
		}()
	}
}

func (l *Link) serveSession(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	defer session.Close()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			defer stream.Close()
			l.serveStream(stream)
		}()
	}
}

func (l *Link) serveStream(stream net.Conn) {
	reader := bufio.NewReader(stream)
	for {
		envelope, err := readEnvelope(reader)
		if err != nil {
			return
		}
		l.recordPeerState(envelope)
		reply := l.handler(envelope)
		if reply == nil {
			continue
		}
		if err := l.writeEnvelope(stream, reply); err != nil {
			return
		}
	}
}

func (l *Link) recordPeerState(envelope *peerpb.Envelope) {
	if stamp := envelope.GetStamp(); stamp != nil {
		l.clock.Observe(hlc.Stamp{WallMS: stamp.GetWallMs(), Counter: stamp.GetCounter()})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.seen[envelope.GetSender()]
	if envelope.GetBoot() < seen.Boot {
		return
	}
	seen.Boot = envelope.GetBoot()
	seen.LastMessageAt = l.now()
	if heartbeat := envelope.GetHeartbeat(); heartbeat != nil {
		seen.Draining = heartbeat.GetDraining()
		seen.TargetsVersion = heartbeat.GetTargetsVersion()
	}
	l.seen[envelope.GetSender()] = seen
}

// Update connects to the instances in the platform's list. It disconnects from an instance that
// the list lacks once its session has ended: a list may be incomplete, and without the messages of
// a session the other instance would take this one for gone.
func (l *Link) Update(ctx context.Context, list []membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := map[string]string{}
	for _, entry := range list {
		if entry.Role == membership.RoleInstance && entry.ID != l.self && entry.PeerAddress != "" {
			addresses[entry.ID] = entry.PeerAddress
		}
	}
	for name, p := range l.peers {
		address, listed := addresses[name]
		if !listed && p.session != nil {
			continue
		}
		if address != p.address {
			p.cancel()
			delete(l.peers, name)
		}
	}
	for name, address := range addresses {
		if l.peers[name] == nil {
			l.connectPeer(ctx, name, address)
		}
	}
}

func (l *Link) connectPeer(ctx context.Context, name, address string) {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{address: address, outgoing: ring.New[*peerpb.Envelope](outgoingCapacity), cancel: cancel}
	l.peers[name] = p
	go l.keepConnected(ctx, p)
}

func (l *Link) keepConnected(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		l.runSession(ctx, p)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (l *Link) runSession(ctx context.Context, p *peer) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	l.setSession(p, session)
	defer l.setSession(p, nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-session.CloseChan()
		cancel()
	}()
	for {
		envelope, ok := p.outgoing.Take(ctx)
		if !ok {
			return
		}
		if err := l.writeEnvelope(stream, envelope); err != nil {
			return
		}
	}
}

func (l *Link) setSession(p *peer, session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.session = session
}

// Broadcast queues a message to every connected instance and returns the number of
// instances. An instance whose queue is full does not get the message.
func (l *Link) Broadcast(envelope *peerpb.Envelope) int {
	return l.sendUpTo(len(l.Connected()), envelope)
}

// SendUpTo queues a message to at most limit connected instances, beginning with the
// next by name after this one, so that copies of pending records are spread evenly over
// the instances. It returns the number of instances.
func (l *Link) SendUpTo(limit int, envelope *peerpb.Envelope) int { return l.sendUpTo(limit, envelope) }

func (l *Link) sendUpTo(limit int, envelope *peerpb.Envelope) int {
	names := l.Connected()
	start := 0
	for start < len(names) && names[start] < l.self {
		start++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := 0
	for i := range names {
		p := l.peers[names[(start+i)%len(names)]]
		if sent < limit && p != nil && p.outgoing.Offer(envelope) {
			sent++
		}
	}
	return sent
}

// Request sends a message to a connected instance and waits for the reply.
func (l *Link) Request(name string, envelope *peerpb.Envelope) (*peerpb.Envelope, error) {
	l.mu.Lock()
	p := l.peers[name]
	var session *yamux.Session
	if p != nil {
		session = p.session
	}
	l.mu.Unlock()
	if session == nil {
		return nil, eris.Errorf("instance %s is not connected", name)
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "peer stream")
	}
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return nil, eris.Wrap(err, "peer stream deadline")
	}
	if err := l.writeEnvelope(stream, envelope); err != nil {
		return nil, err
	}
	reply, err := readEnvelope(bufio.NewReader(stream))
	if err != nil {
		return nil, err
	}
	l.recordPeerState(reply)
	return reply, nil
}

// Connected returns the names of the instances with an open session, sorted.
func (l *Link) Connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, p := range l.peers {
		if p.session != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// PeerState returns the last state of an instance; ok is false if it has sent no message.
func (l *Link) PeerState(name string) (PeerState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, ok := l.seen[name]
	return seen, ok
}

// PeerStates returns the last state of every instance that has sent a message.
func (l *Link) PeerStates() map[string]PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]PeerState, len(l.seen))
	for name, seen := range l.seen {
		all[name] = seen
	}
	return all
}

// writeEnvelope sends a stamped copy of an envelope; the envelope itself is not changed, as
// several sessions may send it concurrently.
func (l *Link) writeEnvelope(writer io.Writer, envelope *peerpb.Envelope) error {
	now := l.clock.Now()
	stamped := &peerpb.Envelope{
		Stamp:  &peerpb.Stamp{WallMs: now.WallMS, Counter: now.Counter},
		Sender: l.self,
		Boot:   l.boot,
		Body:   envelope.GetBody(),
	}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return eris.Wrap(err, "peer message encoding")
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	framed = append(framed, data...)
	_, err = writer.Write(framed)
	return eris.Wrap(err, "peer message write")
}

func readEnvelope(reader *bufio.Reader) (*peerpb.Envelope, error) {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, eris.Wrap(err, "peer message header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxEnvelopeBytes {
		return nil, eris.Errorf("peer message of %d bytes is over the limit", size)
	}
	var data bytes.Buffer // grows with what arrives
	if _, err := io.CopyN(&data, reader, int64(size)); err != nil {
		return nil, eris.Wrap(err, "peer message body")
	}
	envelope := &peerpb.Envelope{}
	if err := proto.Unmarshal(data.Bytes(), envelope); err != nil {
		return nil, eris.Wrap(err, "peer message decoding")
	}
	return envelope, nil
}
