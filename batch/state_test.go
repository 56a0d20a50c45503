package batch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// tailStore is a log of states that grows while it is read. A read waits for the next record as long
// as it is allowed to.
type tailStore struct {
	Store
	lock    sync.Mutex
	records []jobs.Record
	reads   int
}

func (s *tailStore) add(record jobs.Record) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.records = append(s.records, record)
}

func (s *tailStore) Read(ctx context.Context, _ Stream, _ int, from int64, wait time.Duration) (Batch, error) {
	s.lock.Lock()
	s.reads++
	s.lock.Unlock()
	for until := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.lock.Lock()
		records := s.records[min(from, int64(len(s.records))):]
		s.lock.Unlock()
		if len(records) == 0 && time.Now().Before(until) && ctx.Err() == nil {
			continue
		}
		batch := Batch{Records: records, NextOffset: from + int64(len(records))}
		for index := range records {
			batch.Offsets = append(batch.Offsets, from+int64(index))
		}
		return batch, ctx.Err()
	}
}

// newLoadedInstance returns an instance that has read a log with one submitted job.
func newLoadedInstance(t *testing.T, store Store, id string) *Instance {
	instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), discardLog())
	record, err := jobs.SubmissionRecord(&jobs.Submission{ID: id, Steps: []jobs.Step{{Tasks: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	instance.fold.apply(partOf(id, 8), Batch{Records: []jobs.Record{record}, Offsets: []int64{0}})
	for _, follower := range append([]*follower{instance.work}, instance.calls...) {
		follower.loaded = true
		follower.recordAnswer(instance.clock.Now())
	}
	return instance
}

// Callers often request the state while the end of the job is being written. The answer waits some
// milliseconds for it, so that they need not call again.
func TestQuestionWaitsForAnEndThatIsBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &tailStore{}
		instance := newLoadedInstance(t, store, "a1")
		go func() {
			time.Sleep(10 * time.Millisecond)
			store.add(jobs.StateRecord("other", jobs.StateRunning))
			time.Sleep(10 * time.Millisecond)
			store.add(jobs.StateRecord("a1", jobs.StateDone))
		}()
		begin := time.Now()
		state, outcome := instance.State(t.Context(), "a1", 0)
		is.Equal(outcome.Verdict, Accepted)
		is.Equal(state, jobs.StateDone)
		is.True(time.Since(begin) < 30*time.Millisecond)
	})
}

// The state of a job that has not ended is returned after a short wait and few reads. While the log
// is unreachable there is no wait.
func TestStateOfARunningJobWaitsBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &tailStore{}
		instance := newLoadedInstance(t, store, "a1")
		begin := time.Now()
		state, outcome := instance.State(t.Context(), "a1", 0)
		is.Equal(outcome.Verdict, Accepted)
		is.True(!state.Final())
		is.True(time.Since(begin) >= finalStateWait-time.Millisecond)
		is.True(time.Since(begin) < finalStateWait+20*time.Millisecond)
		is.True(store.reads <= 3)
		instance.work.failures = unreachableFailures
		begin = time.Now()
		_, outcome = instance.State(t.Context(), "a1", 0)
		is.Equal(outcome.Verdict, Accepted)
		is.True(time.Since(begin) < time.Millisecond)
	})
}

// On a deployment whose workers cannot be given orders no job is accepted: each one is refused for
// good, the instance is not ready, and it does not claim the term.
func TestNothingIsAcceptedThatCannotBeRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &tailStore{}
		instance := newLoadedInstance(t, store, "a1")
		instance.config.Store(&Config{Version: 1})
		is.True(instance.Ready())
		instance.settings.NotServedReason = "workers cannot be given orders"
		is.True(!instance.Ready())
		outcome := instance.Submit(t.Context(), &jobs.Submission{ID: "a2", Steps: []jobs.Step{{Tasks: 1}}})
		is.Equal(outcome.Verdict, NotRun)
		is.Equal(outcome.Reason, "workers cannot be given orders")
		is.Equal(outcome.RetryAfter, time.Duration(0)) // a retry would not help
		is.Equal(len(store.records), 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		instance.leaderDuty(ctx)
		is.NoErr(ctx.Err()) // leaderDuty returned before the timeout
	})
}

// Guards against questions and cancellations that are told to retry as if every job were urgent:
// their callers would give up before the store is back.
func TestQuestionsAndCancellationsRetryByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		instance := New(Settings{Name: "a", StoreParts: 8}, downStore{}, nil, nil, metrics.NewRegistry(), discardLog())
		instance.work.recordAnswer(instance.clock.Now()) // the outage begins
		for priority, want := range []time.Duration{storeDownRetryAfter, earlyOutageRetryAfter, earlyOutageRetryAfter} {
			_, outcome := instance.State(t.Context(), "x", priority)
			is.Equal(outcome.RetryAfter, want)
			is.Equal(instance.Cancel(t.Context(), "x", priority).RetryAfter, want)
		}
	})
}
