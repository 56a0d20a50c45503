package batch

import (
	"context"
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

// leaderOn returns a holder of the term of an epoch that has read everything.
func leaderOn(ctx context.Context, store Store, epoch int64) *leader {
	instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), quietLog())
	l := &leader{instance: instance, clock: instance.clock, log: quietLog(), epoch: epoch, ctx: ctx,
		engine: placing.New(instance.limits(), epoch, instance.clock.WallMS), events: ring.New[event](eventRing),
		links: map[string]*link{}}
	l.writer = newFencedWriter(l, jobs.Term{Epoch: epoch, Holder: "a/1"}, 1)
	l.load(true)
	l.start(ctx, l.writer.run)
	return l
}

func (i *Instance) take(t *testing.T, part int, record jobs.Record, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.apply(part, Batch{Records: []jobs.Record{record}, Offsets: []int64{1}})
}

// A holder that is to stop opens the term, and goes on placing until another
// has claimed it: with a store that takes 0.2 s for a call nothing was placed
// and no end was written for 2.6 s.
func TestHolderGoesOnUntilTheTermIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newPartedStore()
		l := leaderOn(ctx, store, 3)
		over := make(chan struct{})
		go func() {
			defer close(over)
			l.loop(ctx)
		}()
		l.instance.Drain()
		time.Sleep(time.Second)
		is.True(len(store.parts[statePart]) > 0)
		for _, record := range store.parts[statePart] {
			is.True(!strings.Contains(string(record.Value), "a/1"))
		}
		record, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		l.instance.take(t, partOf("a1", 8), record, err)
		time.Sleep(time.Second)
		is.Equal(metrics.GetOrRegisterCounter("decisions.job_taken", l.instance.metrics.registry).Count(), int64(1))
		record, err = jobs.TermRecord(jobs.Term{Epoch: 4, Holder: "b/1"})
		l.instance.take(t, statePart, record, err)
		<-over
		is.True(l.deposed)
		cancel()
		l.running.Wait()
	})
}

// The renewals of an open term do not start the wait of those who would claim it
// anew.
func TestOpenTermIsClaimedThoughItsHolderGoesOn(t *testing.T) {
	is := is.New(t)
	vote := newElection("a", "a/1", 500*time.Millisecond)
	vote.see(jobs.Term{Epoch: 4}, testNow)
	is.True(!vote.claim(testNow, testNow))
	vote.see(jobs.Term{Epoch: 4, Renewals: 1}, testNow.Add(300*time.Millisecond))
	is.True(vote.claim(testNow, testNow.Add(500*time.Millisecond)))
}
