package batch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// The holder of a term has asked for it to be claimed: neither its silence nor
// the rank is waited for. What was asked of an earlier term counts for nothing.
func TestTermIsClaimedAtOnceWhenItsHolderAsks(t *testing.T) {
	is := is.New(t)
	vote := newElection("a", "a/1", 200*time.Millisecond)
	vote.see(jobs.Term{Epoch: 4, Holder: "b/1"}, testNow)
	vote.urge(3)
	is.True(!vote.claim(testNow, testNow))
	vote.urge(4)
	is.True(vote.claim(testNow, testNow))
	is.True(!vote.claim(testNow, testNow)) // it is on its way
	vote.see(jobs.Term{Epoch: 5, Holder: "c/1"}, testNow)
	is.True(!vote.claim(testNow, testNow.Add(claimAgain)))
}

// An instance promises to claim only if it can: it reads the log first, has
// enough processor, and is not about to end.
func TestClaimIsPromisedByAnInstanceThatCan(t *testing.T) {
	for _, example := range []struct {
		name    string
		change  func(i *Instance)
		promise relaypb.Fate
	}{
		{"it can", func(*Instance) {}, relaypb.Fate_FATE_DONE},
		{"the store is away for it too", func(i *Instance) { i.work.store = outStore{} }, relaypb.Fate_FATE_NOT_DONE},
		{"it is known to be away", func(i *Instance) { i.work.failures = failuresAway }, relaypb.Fate_FATE_NOT_DONE},
		{"too little processor", func(i *Instance) { i.settings.CPUShare = 0.2 }, relaypb.Fate_FATE_NOT_DONE},
		{"it drains", func(i *Instance) { i.Drain() }, relaypb.Fate_FATE_NOT_DONE},
	} {
		is := is.New(t)
		instance := standbyOf(t, &tailStore{}, "a1")
		example.change(instance)
		is.Equal(instance.relayedClaim(t.Context(), 7), example.promise)
		is.Equal(instance.asked.Load() == 7, example.promise == relaypb.Fate_FATE_DONE)
	}
}

// A holder that the store turns away finds the instance that it serves.
func TestHolderFindsASuccessorThatReachesTheStore(t *testing.T) {
	is := is.New(t)
	other := standbyOf(t, &tailStore{}, "a1")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go relay.Serve(ctx, listener, other.Relayed, nil)
	holder := standbyOf(t, outStore{}, "a1")
	record, err := jobs.InstanceRecord("b", jobs.Instance{Address: listener.Addr().String()})
	is.NoErr(err)
	holder.take(t, partOf(record.Subject(), 8), record, nil)
	is.True(holder.askToClaim(ctx, 7))
	is.Equal(other.asked.Load(), int64(7))
	other.work.failures = failuresAway
	is.True(!holder.askToClaim(ctx, 8))
}
