package batch

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// relayTo serves a handler for calls of other instances and returns the address.
func relayTo(t *testing.T, handler relay.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go relay.Serve(ctx, listener, handler, nil)
	return listener.Addr().String()
}

// Guards against answers that are undecided though nothing was sent: an instance that does not say that
// it reaches the store does not get the record, and is not asked by every hand-in.
func TestRecordIsNotSentToAnInstanceThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	var writes atomic.Int64
	address := relayTo(t, func(ctx context.Context, call *relaypb.Call) *relaypb.Answer {
		if call.GetWrite() != nil {
			writes.Add(1)
		}
		<-ctx.Done()
		return &relaypb.Answer{}
	})
	p := newPeers(NewClock())
	is.True(errors.Is(p.write(t.Context(), []string{address}, jobs.CancelRecord("a")), ErrNotApplied))
	is.True(p.isRelayingPaused())
	is.Equal(writes.Load(), int64(0))
}

// Guards against refused jobs while the store turns away this instance alone.
func TestHandInIsPassedToAnInstanceThatReachesTheStore(t *testing.T) {
	is := is.New(t)
	store := newPartwiseStore()
	other := newLoadedInstance(t, store, "none")
	for _, committer := range other.committers {
		go committer.run(t.Context())
	}
	instance := newLoadedInstance(t, downStore{}, "none")
	for _, f := range append([]*follower{instance.work}, instance.calls...) {
		f.suspect()
	}
	record, err := jobs.InstanceRecord("other", jobs.Instance{Address: relayTo(t, other.HandleRelayedCall)})
	is.NoErr(err)
	instance.applyRecord(t, partOf("other", testParts), record, nil)
	is.Equal(submitWithin(instance, "a1", 0, 3*time.Second).Verdict, Accepted)
	is.Equal(len(store.holders("s/a1")), 1)
}
