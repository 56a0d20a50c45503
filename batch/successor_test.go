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

// When the leader has requested a claim, the term is claimed without waiting for the leader's
// silence or the claim delay. A request of an earlier term is ignored.
func TestTermIsClaimedAtOnceWhenItsHolderAsks(t *testing.T) {
	is := is.New(t)
	e := newElection("a", "a/1", 200*time.Millisecond)
	e.observe(jobs.Term{Epoch: 4, Leader: "b/1"}, testNow)
	e.requestClaim(3)
	is.True(!e.shouldClaim(testNow, testNow))
	e.requestClaim(4)
	is.True(e.shouldClaim(testNow, testNow))
	is.True(!e.shouldClaim(testNow, testNow)) // a claim is in flight
	e.observe(jobs.Term{Epoch: 5, Leader: "c/1"}, testNow)
	is.True(!e.shouldClaim(testNow, testNow.Add(claimInterval)))
}

// An instance promises to claim the term only if it can: it reads the log first, has enough CPU and
// is not draining.
func TestClaimIsPromisedByAnInstanceThatCan(t *testing.T) {
	for _, example := range []struct {
		name   string
		change func(i *Instance)
		answer relaypb.Fate
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
		is.Equal(instance.handleClaimRequest(t.Context(), 7), example.answer)
		is.Equal(instance.claimEpoch.Load() == 7, example.answer == relaypb.Fate_FATE_DONE)
	}
}

// A leader that cannot reach the store finds an instance that can.
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
	found := false
	for range 20 { // on a busy machine the other instance may answer late
		if found = leader.requestClaim(ctx, 7); found {
			break
		}
		time.Sleep(peerBackoff)
	}
	is.True(found)
	is.Equal(other.claimEpoch.Load(), int64(7))
	other.work.failures = unreachableFailures
	is.True(!leader.requestClaim(ctx, 8))
}
