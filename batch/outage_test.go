package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// failingStore answers until it is down. Then waiting reads fail, and appends stay unanswered.
type failingStore struct {
	Store
	down    chan struct{}
	appends atomic.Int64
	reads   atomic.Int64
}

func (s *failingStore) isDown() bool {
	select {
	case <-s.down:
		return true
	default:
		return false
	}
}

func (s *failingStore) Read(ctx context.Context, _ Stream, _ int, from int64, wait time.Duration) (Batch, error) {
	s.reads.Add(1)
	if !s.isDown() {
		select {
		case <-time.After(wait + time.Millisecond):
			return Batch{NextOffset: from}, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-s.down:
		}
	}
	return Batch{}, eris.New("connection reset")
}

func (s *failingStore) Append(context.Context, int, []jobs.Record, *Fence) error {
	s.appends.Add(1)
	if s.isDown() {
		return ErrResultUnknown
	}
	return nil
}

// When the store goes down for all instances, an instance notices by the first read that fails. A job
// submitted after that is not sent to the store: it certainly does not run, and its caller gets a
// retry time instead of an undecided answer.
func TestHandInRightAfterTheStoreWentAwayIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{down: make(chan struct{})}
		instance := newLoadedInstance(t, store, "a1")
		useTestClock(instance.clock)
		for _, follower := range append([]*follower{instance.operator, instance.work}, instance.calls...) {
			follower.loaded = true
			follower.contactAt, follower.answeredAt = time.Time{}, time.Time{}
			follower.recordAnswer(instance.clock.Now())
		}
		for _, committer := range instance.committers {
			go committer.run(ctx)
		}
		// The parts are in a pause after records; only the read of the configuration is waiting.
		go instance.operator.run(ctx)
		for number := range 10 {
			time.Sleep(10 * time.Millisecond)
			outcome := instance.Submit(ctx, &jobs.Submission{ID: "b" + string(rune('0'+number)), Steps: []jobs.Step{{Tasks: 1}}})
			is.Equal(outcome.Verdict, Accepted)
		}
		sent, reads := store.appends.Load(), store.reads.Load()
		is.Equal(sent, int64(10))
		is.True(reads <= 2) // submissions cause no reads while the store is up
		close(store.down)
		time.Sleep(5 * time.Millisecond)
		for number := range 10 {
			outcome := instance.Submit(ctx, &jobs.Submission{ID: "c" + string(rune('0'+number)), Steps: []jobs.Step{{Tasks: 1}}})
			is.Equal(outcome.Verdict, NotRun)
			is.True(outcome.RetryAfter > 0)
		}
		is.Equal(store.appends.Load(), sent)
	})
}

// lateStore answers no append and carries each one out after a delay.
type lateStore struct {
	Store
	lock         sync.Mutex
	delays       []time.Duration // by append; the last one holds for all others
	neverWritten string          // key of a record that is not written in time
	sent         int
	written      map[string]bool
}

func (s *lateStore) Append(ctx context.Context, _ int, records []jobs.Record, _ *Fence) error {
	s.lock.Lock()
	delay := s.delays[min(s.sent, len(s.delays)-1)]
	if records[0].Key == s.neverWritten {
		delay = 20 * time.Second
	}
	s.sent++
	s.lock.Unlock()
	time.AfterFunc(delay, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		for _, record := range records {
			s.written[record.Key] = true
		}
	})
	<-ctx.Done()
	return ErrResultUnknown
}

func (s *lateStore) contains(_ context.Context, records []jobs.Record) (bool, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, record := range records {
		if !s.written[record.Key] {
			return false, nil
		}
	}
	return true, nil
}

// A store that loses answers and carries appends out seconds late completes one of several in time:
// the caller waits for it and gets the true result, while other callers are not delayed. Once
// the caller has left, nothing more is sent.
func TestLateAppendIsFoundOutWhileItsCallerWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		late []time.Duration
		want error
		by   time.Duration
	}{
		{"late once", []time.Duration{1700 * time.Millisecond, 10 * time.Second}, nil, 2 * time.Second},
		{"the fourth is in time", []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second, 100 * time.Millisecond}, nil, 2 * time.Second},
		{"all are too late", []time.Duration{9 * time.Second}, ErrResultUnknown, 2850 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store := &lateStore{delays: c.late, written: map[string]bool{}}
				committer := newCommitter(store, NewClock(), 1)
				useTestClock(committer.clock)
				committer.readBack = store.contains
				go committer.run(ctx)
				callCtx, cancelCall := context.WithTimeout(ctx, 2850*time.Millisecond)
				start := time.Now()
				err := committer.write(callCtx, jobs.CancelRecord("a"))
				is.Equal(err, c.want)
				is.True(time.Since(start) <= c.by)
				cancelCall()
				time.Sleep(time.Second)
				sent := store.sent
				time.Sleep(5 * time.Second)
				is.Equal(store.sent, sent)
				is.True(sent <= 8)
				cancel()
				time.Sleep(5 * time.Second) // until late appends are over
			})
		})
	}
}

// A group without an answer delays the next one only briefly.
func TestGroupsOvertakeOneWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &lateStore{delays: []time.Duration{0}, neverWritten: jobs.CancelRecord("first").Key, written: map[string]bool{}}
		committer := newCommitter(store, NewClock(), 1)
		useTestClock(committer.clock)
		committer.readBack = store.contains
		go committer.run(ctx)
		go func() { _ = committer.write(ctx, jobs.CancelRecord("first")) }()
		time.Sleep(time.Millisecond)
		begin := time.Now()
		is.NoErr(committer.write(ctx, jobs.CancelRecord("second")))
		is.True(time.Since(begin) < 2*overtakeDelay)
		cancel()
		time.Sleep(25 * time.Second)
	})
}

// slowStore processes one append at a time. Appends and reads take slowLatency.
type slowStore struct {
	Store
	busy    chan struct{}
	appends atomic.Int64
}

const slowLatency = 300 * time.Millisecond

func (s *slowStore) Append(ctx context.Context, _ int, _ []jobs.Record, _ *Fence) error {
	s.appends.Add(1)
	s.busy <- struct{}{}
	time.Sleep(slowLatency)
	<-s.busy
	if ctx.Err() != nil {
		return ErrResultUnknown
	}
	return nil
}

func (s *slowStore) contains(context.Context, []jobs.Record) (bool, error) {
	time.Sleep(slowLatency)
	return false, nil
}

// Behind six appends of other instances an append takes two seconds in a slow store. It is sent only
// once, and its answer is awaited: retries would keep the store's queue full.
func TestSlowStoreIsNotSentRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &slowStore{busy: make(chan struct{}, 1)}
		for range 6 {
			go func() { _ = store.Append(ctx, 1, nil, nil) }()
		}
		time.Sleep(time.Millisecond)
		committer := newCommitter(store, NewClock(), 1)
		useTestClock(committer.clock)
		committer.readBack = store.contains
		go committer.run(ctx)
		callCtx, cancelCall := context.WithTimeout(ctx, 2850*time.Millisecond)
		defer cancelCall()
		began := time.Now()
		err := committer.write(callCtx, jobs.CancelRecord("a"))
		t.Logf("after %s, %d appends, slow %t", time.Since(began), store.appends.Load(), committer.storeSlow.Load())
		is.NoErr(err)
		is.Equal(store.appends.Load(), int64(7))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// The number of unconfirmed groups is bounded: beyond it a record is refused at once as certainly
// not sent.
func TestUnresolvedGroupsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &lateStore{delays: []time.Duration{20 * time.Second}, written: map[string]bool{}}
		committer := newCommitter(store, NewClock(), 1)
		useTestClock(committer.clock)
		committer.readBack = store.contains
		go committer.run(ctx)
		committer.unresolvedGroups.Store(maxUnresolvedGroups)
		is.Equal(committer.write(ctx, jobs.CancelRecord("a")), ErrNotApplied)
		is.Equal(store.sent, 0)
		committer.unresolvedGroups.Store(0)
		go func() { _ = committer.write(ctx, jobs.CancelRecord("b")) }()
		time.Sleep(10 * time.Second)
		is.Equal(committer.unresolvedGroups.Load(), int32(0)) // maxResolveTime has passed
		cancel()
		time.Sleep(25 * time.Second)
	})
}
