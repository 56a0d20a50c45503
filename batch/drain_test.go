package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// mutedStore answers nothing.
type mutedStore struct{}

func (mutedStore) Append(ctx context.Context, _ int, _ []jobs.Record, _ *Fence) error {
	<-ctx.Done()
	return ErrResultUnknown
}

func (mutedStore) Read(ctx context.Context, _ Stream, _ int, _ int64, _ time.Duration) (Batch, error) {
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

func (mutedStore) ReadNewest(ctx context.Context, _ Stream, _ int) (Batch, error) {
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// Guards against a process that is killed at the end of its grace period: with the store away it ends at
// once, and the hand-ins that wait are answered before.
func TestInstanceStopsAtOnceWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		instance := New(Settings{Name: "a", StoreParts: 8}, mutedStore{}, nil, nil, metrics.NewRegistry(), discardLog())
		useTestClock(instance.clock)
		instance.Start()
		time.Sleep(10 * time.Second)
		answered := make(chan time.Time, 1)
		go func() {
			outcome := submitWithin(instance, "a1", 0, 3*time.Second)
			is.Equal(outcome.Verdict, NotRun)
			answered <- time.Now()
		}()
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		instance.Drain()
		is.True((<-answered).Sub(begin) <= waitRetryInterval)
		instance.Stop()
		is.True(time.Since(begin) <= waitRetryInterval+2*tickInterval)
		time.Sleep(20 * time.Second) // reads that were given up
	})
}
