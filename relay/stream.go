package relay

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// Stream carries length-prefixed messages in both directions. One goroutine may send
// while another receives.
type Stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	onClose func() // releases the session that the stream owns
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), onClose: func() {}}
}

// Send writes a message. It fails if the other side reads nothing for writeTimeout;
// the stream cannot be used afterwards.
func (s *Stream) Send(message proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(s.conn, message)
	return err
}

// Receive waits for the next message, without a timeout.
func (s *Stream) Receive(message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(s.reader, message)
}

// Close closes the stream; pending calls of Send and Receive return an error.
func (s *Stream) Close() {
	s.conn.Close()
	s.onClose()
}

// OpenDelegation opens a delegation session with the instance at IP:PORT, on a connection of
// its own, so that failed calls to that instance do not close it.
func OpenDelegation(ctx context.Context, address string, keep *relaypb.Keep) (*Stream, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, ErrNotSent
	}
	session, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, ErrNotSent
	}
	conn, err := session.Open()
	if err != nil {
		session.Close()
		return nil, ErrNotSent
	}
	stream := newStream(conn)
	stream.onClose = func() { session.Close() }
	if err := stream.Send(&relaypb.Call{Body: &relaypb.Call_Keep{Keep: keep}}); err != nil {
		stream.Close()
		return nil, eris.Wrap(err, "open session")
	}
	return stream, nil
}

// Pipe returns the two ends of an in-memory stream, for tests.
func Pipe() (*Stream, *Stream) {
	a, b := net.Pipe()
	return newStream(a), newStream(b)
}
