package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// cuttingStore answers until it is away; then reads that wait are cut, and what is
// sent stays without an answer.
type cuttingStore struct {
	Store
	away    chan struct{}
	appends atomic.Int64
	reads   atomic.Int64
}

func (s *cuttingStore) isAway() bool {
	select {
	case <-s.away:
		return true
	default:
		return false
	}
}

func (s *cuttingStore) Read(ctx context.Context, _ Stream, _ int, from int64, wait time.Duration) (Batch, error) {
	s.reads.Add(1)
	if !s.isAway() {
		select {
		case <-time.After(wait + time.Millisecond):
			return Batch{Next: from}, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-s.away:
		}
	}
	return Batch{}, eris.New("connection reset")
}

func (s *cuttingStore) Append(context.Context, int, []jobs.Record, *Fence) error {
	s.appends.Add(1)
	if s.isAway() {
		return ErrUnknown
	}
	return nil
}

// When the store goes away for all, an instance learns of it from whichever read is
// cut first. What is handed in after that was not sent anywhere: it certainly does
// not run, and its caller hears when to come back in place of an open answer.
func TestHandInRightAfterTheStoreWentAwayIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &cuttingStore{away: make(chan struct{})}
		instance := standbyOf(t, store, "a1")
		virtual(instance.clock)
		for _, follower := range append([]*follower{instance.operator, instance.work}, instance.calls...) {
			follower.loaded = true
			follower.contact, follower.heard = time.Time{}, time.Time{}
			follower.touch(instance.clock.Now())
		}
		for _, committer := range instance.committers {
			go committer.run(ctx)
		}
		// Its own parts are in a pause after records; only the configuration is waited for.
		go instance.operator.run(ctx)
		for number := range 10 {
			time.Sleep(10 * time.Millisecond)
			outcome := instance.Submit(ctx, &jobs.Submission{ID: "b" + string(rune('0'+number)), Steps: []jobs.Step{{Tasks: 1}}})
			is.Equal(outcome.Verdict, Accepted)
		}
		sent, reads := store.appends.Load(), store.reads.Load()
		is.Equal(sent, int64(10))
		is.True(reads <= 2) // none for the hand-ins while all is well
		close(store.away)
		time.Sleep(5 * time.Millisecond)
		for number := range 10 {
			outcome := instance.Submit(ctx, &jobs.Submission{ID: "c" + string(rune('0'+number)), Steps: []jobs.Step{{Tasks: 1}}})
			is.Equal(outcome.Verdict, NotRun)
			is.True(outcome.RetryAfter > 0)
		}
		is.Equal(store.appends.Load(), sent)
	})
}
