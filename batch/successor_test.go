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

// When the leader has requested a claim, neither its silence nor the rank is waited for. A request
// of an earlier term is ignored.
func TestTermIsClaimedAtOnceWhenItsHolderAsks(t *testing.T) {
	is := is.New(t)
	vote := newElection("a", "a/1", 200*time.Millisecond)
	vote.observe(jobs.Term{Epoch: 4, Leader: "b/1"}, testNow)
	vote.requestClaim(3)
	is.True(!vote.shouldClaim(testNow, testNow))
	vote.requestClaim(4)
	is.True(vote.shouldClaim(testNow, testNow))
	is.True(!vote.shouldClaim(testNow, testNow)) // a claim is in flight
	vote.observe(jobs.Term{Epoch: 5, Leader: "c/1"}, testNow)
	is.True(!vote.shouldClaim(testNow, testNow.Add(claimInterval)))
}

// An instance promises to claim the term only if it can: it reads the log first, has enough CPU and
// is not draining.
func TestClaimIsPromisedByAnInstanceThatCan(t *testing.T) {
	for _, example := range []struct {
		name    string
		change  func(i *Instance)
		promise relaypb.Fate
	}{
		{"it can", func(*Instance) {}, relaypb.Fate_FATE_DONE},
		{"the store is down for it too", func(i *Instance) { i.work.store = downStore{} }, relaypb.Fate_FATE_NOT_DONE},
		{"the store is known to be down", func(i *Instance) { i.work.failures = unreachableFailures }, relaypb.Fate_FATE_NOT_DONE},
		{"too little CPU", func(i *Instance) { i.settings.CPUShare = 0.2 }, relaypb.Fate_FATE_NOT_DONE},
		{"it is draining", func(i *Instance) { i.Drain() }, relaypb.Fate_FATE_NOT_DONE},
	} {
		is := is.New(t)
		instance := newLoadedInstance(t, &tailStore{}, "a1")
		example.change(instance)
		is.Equal(instance.handleClaimRequest(t.Context(), 7), example.promise)
		is.Equal(instance.requestedEpoch.Load() == 7, example.promise == relaypb.Fate_FATE_DONE)
	}
}

// A leader that the store refuses finds an instance that the store answers.
func TestHolderFindsASuccessorThatReachesTheStore(t *testing.T) {
	is := is.New(t)
	other := newLoadedInstance(t, &tailStore{}, "a1")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go relay.Serve(ctx, listener, other.HandleRelayedCall, nil)
	leader := newLoadedInstance(t, downStore{}, "a1")
	record, err := jobs.InstanceRecord("b", jobs.Instance{Address: listener.Addr().String()})
	is.NoErr(err)
	leader.applyRecord(t, partOf(record.Subject(), 8), record, nil)
	is.True(leader.requestClaim(ctx, 7))
	is.Equal(other.requestedEpoch.Load(), int64(7))
	other.work.failures = unreachableFailures
	is.True(!leader.requestClaim(ctx, 8))
}
