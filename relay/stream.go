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

// Stream carries messages both ways, each with its length before it. One
// goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	close  func() // what else ends with the stream
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, streamBuffer), close: func() {}}
}

// Send writes a message. It fails if the other side reads nothing for
// writeTimeout; the stream is of no use afterwards.
func (s *Stream) Send(message proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(s.conn, message)
	return err
}

// Receive waits for the next message, without a limit of time.
func (s *Stream) Receive(message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(s.reader, message)
}

// Close ends the stream; calls under way return an error.
func (s *Stream) Close() {
	s.conn.Close()
	s.close()
}

// Open opens a session with the instance at IP:PORT, on a connection of its own:
// calls to that instance that fail leave it alone.
func Open(ctx context.Context, address string, keep *relaypb.Keep) (*Stream, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, ErrNotSent
	}
	session, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, ErrNotSent
	}
	opened, err := session.Open()
	if err != nil {
		session.Close()
		return nil, ErrNotSent
	}
	stream := newStream(opened)
	stream.close = func() { session.Close() }
	if err := stream.Send(&relaypb.Call{Body: &relaypb.Call_Keep{Keep: keep}}); err != nil {
		stream.Close()
		return nil, eris.Wrap(err, "open session")
	}
	return stream, nil
}

// Pipe returns the two ends of a stream inside one process, for tests.
func Pipe() (*Stream, *Stream) {
	one, other := net.Pipe()
	return newStream(one), newStream(other)
}
