package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

var allParts = []int{0, 1, 2, 3, 4, 5, 6, 7}

// withoutStore runs a test with an instance that has just noticed that all parts of the store are away.
func withoutStore(t *testing.T, test func(is *is.I, instance *Instance, store *partwiseStore)) {
	store := newPartwiseStore(allParts...)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		for _, f := range append([]*follower{instance.work}, instance.calls...) {
			f.suspect()
		}
		test(is, instance, store)
	})
}

// Guards against refused jobs although the store is back while their callers still wait.
func TestHandInIsWrittenWhenTheStoreIsBack(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, store *partwiseStore) {
		begin := time.Now()
		time.AfterFunc(800*time.Millisecond, func() { store.setAway(false, allParts...) })
		is.Equal(submitWithin(instance, "a1", 0, 3*time.Second).Verdict, Accepted)
		is.True(time.Since(begin) < 800*time.Millisecond+partCheckInterval+2*waitRetryInterval)
		is.Equal(len(store.holders("s/a1")), 1)
		is.Equal(instance.waiting.size(), 0)
		is.Equal(instance.waiting.bytes, 0)
	})
}

// Guards against a refusal that comes when the caller has no time for another try, and against one that is
// not true: nothing was sent.
func TestHandInIsRefusedWhileItsCallerHasTimeLeft(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, store *partwiseStore) {
		begin := time.Now()
		outcome := submitWithin(instance, "a1", 0, 3*time.Second)
		is.Equal(outcome.Verdict, NotRun)
		is.Equal(outcome.RetryAfter, waitedRetryAfter)
		is.True(time.Since(begin) <= time.Duration(maxWaitShare*float64(3*time.Second)))
		is.Equal(len(store.appends), 0)
	})
}

// Four tries of a caller that returns at once span nine tenths of its time.
func TestTriesOfACallerSpanItsTime(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, store *partwiseStore) {
		begin := time.Now()
		deadline := begin.Add(3 * time.Second)
		for range 4 {
			is.Equal(submitWithin(instance, "a1", 0, time.Until(deadline)).Verdict, NotRun)
		}
		is.True(time.Since(begin) > 2500*time.Millisecond)
		store.setAway(false, allParts...)
		is.Equal(submitWithin(instance, "a1", 0, time.Until(deadline)).Verdict, Accepted)
	})
}

// Guards against a job with little time left that is held without use.
func TestHandInWithLittleTimeIsRefusedAtOnce(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, _ *partwiseStore) {
		begin := time.Now()
		is.Equal(submitWithin(instance, "a1", 0, 100*time.Millisecond).Verdict, NotRun)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// Guards against calls that are cut when a process that drains ends: those that wait are refused at
// once, to return to another instance.
func TestWaitingHandInsAreRefusedWhenTheInstanceDrains(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, _ *partwiseStore) {
		begin := time.Now()
		time.AfterFunc(300*time.Millisecond, instance.Drain)
		outcome := submitWithin(instance, "a1", 0, 3*time.Second)
		is.Equal(outcome.Verdict, NotRun)
		is.Equal(outcome.RetryAfter, isolatedRetryAfter)
		is.True(time.Since(begin) <= 300*time.Millisecond+waitRetryInterval)
	})
}

// Guards against memory that grows with the callers during an outage. The least urgent hand-ins leave the
// full room.
func TestWaitingRoomIsBounded(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, _ *partwiseStore) {
		var calls sync.WaitGroup
		var lock sync.Mutex
		waitedByPriority := map[int][]time.Duration{}
		for number := range 2 * maxWaitingCalls {
			priority := 1 - number/maxWaitingCalls // the urgent ones come last
			calls.Go(func() {
				begin := time.Now()
				outcome := submitWithin(instance, fmt.Sprint("b", number), priority, 3*time.Second)
				lock.Lock()
				defer lock.Unlock()
				waitedByPriority[priority] = append(waitedByPriority[priority], time.Since(begin))
				if outcome.Verdict != NotRun || outcome.RetryAfter == 0 {
					t.Errorf("%+v", outcome)
				}
			})
			synctest.Wait()
			is.True(instance.waiting.size() <= maxWaitingCalls)
		}
		calls.Wait()
		for _, waited := range waitedByPriority[0] {
			is.True(waited >= time.Second)
		}
		for _, waited := range waitedByPriority[1] {
			is.True(waited < time.Second)
		}
	})
}

func TestWaitingRoomIsBoundedInMemory(t *testing.T) {
	is := is.New(t)
	room := newWaitingRoom()
	first := &waiter{bytes: maxWaitingBytes, displaced: make(chan struct{})}
	is.True(room.enter(first))
	is.True(!room.enter(&waiter{priority: 1, bytes: 1, displaced: make(chan struct{})}))
	urgent := &waiter{priority: -1, bytes: 1, displaced: make(chan struct{})}
	is.True(room.enter(urgent))
	<-first.displaced
	room.leave(first)
	room.leave(urgent)
	is.Equal(room.bytes, 0)
}

// Guards against an undecided answer, or a second record, after an append during the wait was not answered.
func TestUnansweredAppendDuringTheWaitIsNotRefused(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, store *partwiseStore) {
		time.AfterFunc(500*time.Millisecond, func() {
			store.setAway(false, allParts...)
			store.loseAnswers(true)
		})
		outcome := submitWithin(instance, "a1", 0, 3*time.Second)
		is.Equal(outcome.Verdict, Accepted) // found by reading
		is.Equal(outcome.Reason, "stored")
	})
}

// Guards against a record that is sent after its caller has left or its instance was told to end.
func TestNothingIsSentForACallerThatHasLeft(t *testing.T) {
	withoutStore(t, func(is *is.I, instance *Instance, store *partwiseStore) {
		ctx, cancel := context.WithTimeout(WithStatedDeadline(context.Background()), 3*time.Second)
		time.AfterFunc(300*time.Millisecond, cancel)
		outcome := instance.Submit(ctx, &jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		is.Equal(outcome.Verdict, NotRun)
		store.setAway(false, allParts...)
		time.Sleep(10 * time.Second)
		is.Equal(len(store.appends), 0)
		is.Equal(instance.waiting.size(), 0)
	})
}
