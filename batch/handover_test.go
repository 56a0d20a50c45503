package batch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/ring"
)

// newTestLeader returns the leader of an epoch that has read the whole log.
func newTestLeader(ctx context.Context, store Store, epoch int64) *leader {
	instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), discardLog())
	l := &leader{instance: instance, clock: instance.clock, log: discardLog(), epoch: epoch, ctx: ctx,
		engine: placing.New(instance.limits(), epoch, instance.clock.WallMS), events: ring.New[event](eventQueueSize), pools: map[string]bool{}, entries: map[string]placing.WorkerEntry{}}
	l.dispatchers = newDispatchers(l)
	l.writer = newFencedWriter(l, jobs.Term{Epoch: epoch, Leader: "a/1"}, 1, l.clock.Now())
	l.workerList = l.newWorkerListFollower()
	l.loadEngine(placing.FormerLeaderReleased)
	l.spawn(ctx, l.writer.run)
	return l
}

func (i *Instance) applyRecord(t *testing.T, part int, record jobs.Record, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.apply(part, Batch{Records: []jobs.Record{record}, Offsets: []int64{1}})
}

// A leader that is about to stop opens the term and keeps placing tasks until another instance has
// claimed it. Otherwise, with a store that takes 0.2 s for a call, nothing was placed and no end
// was written for 2.6 s.
func TestHolderGoesOnUntilTheTermIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newPartitionedStore()
		l := newTestLeader(ctx, store, 3)
		loopDone := make(chan struct{})
		go func() {
			defer close(loopDone)
			l.loop(ctx)
		}()
		l.instance.Drain()
		time.Sleep(time.Second)
		is.True(len(store.parts[statePart]) > 0)
		for _, record := range store.parts[statePart] {
			is.True(!strings.Contains(string(record.Value), "a/1"))
		}
		record, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		l.instance.applyRecord(t, partOf("a1", 8), record, err)
		time.Sleep(time.Second)
		is.Equal(metrics.GetOrRegisterCounter("decisions.job_taken", l.instance.metrics.registry).Count(), int64(1))
		record, err = jobs.TermRecord(jobs.Term{Epoch: 4, Leader: "b/1"})
		l.instance.applyRecord(t, statePart, record, err)
		<-loopDone
		is.True(l.termLost)
		cancel()
		l.wg.Wait()
	})
}

// stuckStore answers no append to one part.
type stuckStore struct {
	*partitionedStore
	part int
}

func (s *stuckStore) Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error {
	if part == s.part {
		<-ctx.Done()
		return ErrResultUnknown
	}
	return s.partitionedStore.Append(ctx, part, records, fence)
}

// The part of the log with the progress is unreachable. The leader keeps the term, as another
// instance could write no better, and still reports ended jobs to callers.
func TestStatesAreWrittenWhileProgressCannotBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newPartitionedStore()
		l := newTestLeader(ctx, &stuckStore{partitionedStore: store, part: 7}, 3)
		progress, err := jobs.ProgressRecord("a1", &jobs.Progress{State: jobs.StateRunning})
		is.NoErr(err)
		l.writer.enqueue([]jobs.Record{progress}, nil)
		time.Sleep(2 * time.Second)
		is.True(len(store.keys(statePart)) >= 4) // the renewals of the term
		l.writer.enqueueEarly([]jobs.Record{jobs.StateRecord("a2", jobs.StateDone)})
		time.Sleep(10 * time.Millisecond)
		is.True(slices.Contains(store.keys(statePart), "e/a2"))
		cancel()
		l.wg.Wait()
	})
}

// Renewals of an open term do not restart the claim delay of other instances.
func TestOpenTermIsClaimedThoughItsHolderGoesOn(t *testing.T) {
	is := is.New(t)
	e := newElection("a", "a/1", 500*time.Millisecond)
	e.observe(jobs.Term{Epoch: 4}, testNow)
	is.True(!e.shouldClaim(testNow, testNow))
	e.observe(jobs.Term{Epoch: 4, Renewals: 1}, testNow.Add(300*time.Millisecond))
	is.True(e.shouldClaim(testNow, testNow.Add(500*time.Millisecond)))
}
