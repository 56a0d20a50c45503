package relay

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

func TestCallsShareOneSession(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Serve(ctx, listener, func(_ context.Context, call *relaypb.Call) *relaypb.Answer {
		return &relaypb.Answer{Looked: true, State: call.GetLook().GetJob() + "!"}
	}, nil)
	client := NewClient()
	for _, id := range []string{"a", "b", "c"} {
		answer, err := client.Call(ctx, listener.Addr().String(), &relaypb.Call{Body: &relaypb.Call_Look{Look: &relaypb.Look{Job: id}}})
		is.NoErr(err)
		is.Equal(answer.State, id+"!")
	}
	is.Equal(len(client.sessions), 1)
}

func TestCallToClosedListenerIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	_, err = NewClient().Call(context.Background(), address, &relaypb.Call{})
	is.Equal(err, ErrNotSent)
}
