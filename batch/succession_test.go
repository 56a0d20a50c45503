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

// A holder that says that it stands keeps the term while the store is slow, but not
// for long, and not for the next holder.
func TestSilentHolderThatStandsIsNotReplaced(t *testing.T) {
	is := is.New(t)
	vote := newElection("a", "a/1", 0)
	at := func(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	vote.see(jobs.Term{Epoch: 4, Holder: "b/1"}, at(0))
	is.True(vote.claim(at(1100), at(1100)))
	vote.stands(at(1150))
	is.True(!vote.claim(at(2200), at(2200)))
	is.True(vote.claim(at(2250), at(2250)))
	vote.stands(at(2300))
	is.True(!vote.claim(at(3300), at(3300)))
	vote.stands(at(3350))
	is.True(vote.claim(at(4000), at(4000))) // it has written nothing for too long
	vote.see(jobs.Term{Epoch: 4, Holder: "b/1", Renewals: 1}, at(4100))
	is.True(!vote.claim(at(5100), at(5100)))
	vote.stands(at(5150))
	vote.see(jobs.Term{Epoch: 5, Holder: "c/1"}, at(5200))
	is.True(vote.claim(at(6300), at(6300))) // that was the word of another
	vote.see(jobs.Term{Epoch: 5}, at(6400))
	vote.stands(at(6400))
	is.True(vote.claim(at(7100), at(7100))) // it has opened the term
}

// Only an instance that holds that very term, is answered by the store and is to
// stay says that it stands.
func TestWhoStands(t *testing.T) {
	for _, example := range []struct {
		name   string
		change func(i *Instance)
		stands bool
	}{
		{"the holder", func(*Instance) {}, true},
		{"no holder any more", func(i *Instance) { i.leading.Store(false) }, false},
		{"of an earlier term", func(i *Instance) {
			i.fold.apply(statePart, Batch{Records: []jobs.Record{{Key: "term", Value: []byte(`{"e":8,"h":"x/1"}`)}}, Offsets: []int64{9}})
		}, false},
		{"not answered by the store", func(i *Instance) { i.work.heard = i.clock.Now().Add(-termSilence) }, false},
		{"about to stop", func(i *Instance) { i.draining.Store(true) }, false},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			holder := standbyOf(t, &tailStore{}, "a1")
			holder.leading.Store(true)
			holder.fold.apply(statePart, Batch{Records: []jobs.Record{{Key: "term", Value: []byte(`{"e":7,"h":"b/1"}`)}}, Offsets: []int64{8}})
			example.change(holder)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go relay.Serve(ctx, listener, holder.Relayed, nil)
			other := standbyOf(t, &tailStore{}, "a1")
			is.True(!other.holderStands(ctx, jobs.Term{Epoch: 7, Holder: "b/1"})) // where it answers is not known
			record, err := jobs.InstanceRecord("b", jobs.Instance{Address: listener.Addr().String()})
			is.NoErr(err)
			other.take(t, partOf(record.Subject(), 8), record, nil)
			is.Equal(other.holderStands(ctx, jobs.Term{Epoch: 7, Holder: "b/1"}), example.stands)
		})
	}
}
