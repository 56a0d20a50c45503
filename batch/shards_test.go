package batch

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// manyWorkers are assigned to delegates, fewWorkers are not.
	manyWorkers = 600
	fewWorkers  = 300
	// linkSetupTime is how long a new leader takes to assign all workers and to connect to them.
	linkSetupTime = 3 * time.Second
)

// inFleet runs a test in virtual time with a leader, instances and workers.
func inFleet(t *testing.T, workers, instances int, taskTime time.Duration, test func(f *testFleet, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, newSimWorkers(workers, taskTime), instances)
		f.start()
		defer f.stop()
		time.Sleep(linkSetupTime)
		test(f, is.New(t))
	})
}

func (f *testFleet) doubleRuns() int {
	return f.workers.sum(func(w *simWorker) int { return w.doubleRuns })
}

// doneTasks returns how many tasks have ended as done.
func (f *testFleet) doneTasks() int {
	f.workers.lock.Lock()
	defer f.workers.lock.Unlock()
	return len(f.workers.done)
}

func (f *testFleet) lapses() int { return f.workers.sum(func(w *simWorker) int { return w.lapses }) }

// The leader of many workers dispatches to none itself, each worker has one delegate, and no delegate has
// more than its shard.
func TestManyWorkersAreKeptByOthers(t *testing.T) {
	inFleet(t, manyWorkers, 8, time.Second, func(f *testFleet, is *is.I) {
		counts := f.workers.dispatchedBy(2 * holdWait)
		is.Equal(counts["a"], 0)
		total := 0
		for _, count := range counts {
			total += count
			is.True(count < manyWorkers/3)
		}
		is.Equal(total, manyWorkers)
		is.Equal(f.workers.sum(func(w *simWorker) int { return len(w.callers) }), manyWorkers) // no other instance has called one
		f.submit("a1", 40)
		time.Sleep(3 * time.Second)
		is.Equal(f.doneTasks(), 40)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.decisionCount("job_ended"), int64(1))
		is.Equal(f.workers.sum(func(w *simWorker) int { return len(w.ends) }), 0) // all ends are acknowledged
	})
}

// With few workers there are no sessions and no delegates.
func TestFewWorkersAreKeptByTheHolder(t *testing.T) {
	inFleet(t, fewWorkers, 8, time.Second, func(f *testFleet, is *is.I) {
		is.Equal(f.workers.dispatchedBy(2 * holdWait)["a"], fewWorkers)
		is.Equal(len(f.closeStreams), 0)
	})
}

// If no other instance is reachable the leader dispatches to all workers.
func TestLeaderWithoutDelegatesDispatchesToAll(t *testing.T) {
	inFleet(t, manyWorkers, 0, time.Second, func(f *testFleet, is *is.I) {
		is.Equal(f.workers.dispatchedBy(2 * holdWait)["a"], manyWorkers)
	})
}

// The workers of a lost delegate get another dispatcher before any lease expires. Their runs continue,
// and each run ordered through the lost delegate takes place once.
func TestLostKeeperLosesNoRun(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *testFleet, name string)
	}{
		{"killed", func(f *testFleet, name string) { f.kill(name) }},
		{"frozen", func(f *testFleet, name string) { f.workers.setFrozen(name, true) }},
		{"frozen for a while", func(f *testFleet, name string) {
			f.workers.setFrozen(name, true)
			go func() {
				time.Sleep(4 * time.Second)
				f.workers.setFrozen(name, false)
			}()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, manyWorkers, 8, 8*time.Second, func(f *testFleet, is *is.I) {
				lost := f.busiestInstance()
				f.workers.setSlow(lost, 100*time.Millisecond)
				f.submit("a1", 400)
				time.Sleep(90 * time.Millisecond) // its starts are in flight, others are answered
				c.lose(f, lost)
				time.Sleep(4 * time.Second)
				f.submit("a2", 100)
				time.Sleep(14 * time.Second)
				is.Equal(f.lapses(), 0)
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 500)
				is.Equal(f.decisionCount("job_ended"), int64(2))
			})
		})
	}
}

// A delegate without messages from the leader dispatches to its workers until its grant expires and no
// longer, though it reaches them. A run on a worker that only this delegate reaches is not started
// elsewhere before the last lease that it may have renewed has expired.
func TestSilentHolderEndsTheGrant(t *testing.T) {
	inFleet(t, manyWorkers, 8, 12*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", manyWorkers/2) // there is capacity to start elsewhere
		time.Sleep(time.Second)
		silent := f.busiestInstance()
		for id := range f.workers.workersOf(silent) {
			for name := range f.instances {
				f.workers.setCut(name, id, name != silent)
			}
			f.workers.setCut("a", id, true)
		}
		f.workers.setSilent(silent, true)
		time.Sleep(grantDuration + holdWait + 200*time.Millisecond)
		is.Equal(f.workers.dispatchedBy(100 * time.Millisecond)[silent], 0)
		time.Sleep(20 * time.Second)
		is.Equal(f.doubleRuns(), 0)
		is.True(f.lapses() > 0)
	})
}

// A worker that only its delegate cannot reach gets another dispatcher.
func TestWorkerThatItsKeeperCannotReachIsDrivenByAnother(t *testing.T) {
	inFleet(t, manyWorkers, 8, 9*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", manyWorkers)
		time.Sleep(time.Second)
		cut := f.busiestInstance()
		f.workers.setCut(cut, "*", true)
		time.Sleep(4 * time.Second)
		counts := f.workers.dispatchedBy(3 * time.Second)
		is.Equal(counts[cut], 0)
		time.Sleep(8 * time.Second)
		is.Equal(f.lapses(), 0)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), manyWorkers)
	})
}

// The run on an unreachable worker is started again elsewhere once its lease has expired for certain,
// however often the worker is assigned to another instance.
func TestUnreachableWorkerIsGivenUpInTime(t *testing.T) {
	inFleet(t, manyWorkers, 8, 5*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 1)
		time.Sleep(time.Second)
		f.workers.setCut("*", f.workers.busyWorker(), true)
		time.Sleep(18 * time.Second)
		is.Equal(f.decisionCount("job_ended"), int64(1))
		is.Equal(f.doubleRuns(), 0)
	})
}

// An instance that is about to stop releases its workers first, and no other instance calls a worker
// before that.
func TestDrainingKeeperHandsItsWorkersOver(t *testing.T) {
	inFleet(t, manyWorkers, 8, 8*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 400)
		time.Sleep(500 * time.Millisecond)
		draining := f.busiestInstance()
		f.instances[draining].Drain()
		time.Sleep(2 * time.Second)
		is.Equal(f.instances[draining].Status().DelegatedWorkers, 0)
		is.Equal(f.leader.instance.Status().Sharding.Delegates[draining], 0)
		is.Equal(f.workers.dispatchedBy(100 * time.Millisecond)[draining], 0)
		f.kill(draining)
		is.Equal(f.decisionCount("run_stopped"), int64(0))
		time.Sleep(9 * time.Second)
		is.Equal(f.lapses(), 0)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 400)
		is.Equal(f.workers.dispatchedBy(2 * holdWait)[draining], 0)
	})
}

// After the loss of all delegates at once the leader dispatches to the workers itself, and no run is lost.
func TestAllKeepersLostAtOnce(t *testing.T) {
	inFleet(t, manyWorkers, 6, 8*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 300)
		time.Sleep(500 * time.Millisecond)
		for name := range f.instances {
			f.kill(name)
		}
		time.Sleep(16 * time.Second)
		is.Equal(f.lapses(), 0)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 300)
		is.Equal(f.workers.dispatchedBy(2 * holdWait)["a"], manyWorkers)
	})
}

// The sessions of the next leader end those of the former one, which steps down once any instance
// reports the later term.
func TestLaterTermEndsTheSessionsOfTheFormer(t *testing.T) {
	inFleet(t, manyWorkers, 8, 8*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 200)
		time.Sleep(time.Second)
		next := f.newLeader(6)
		former := f.leader
		formerDone := f.loopDone
		f.leader, f.loopDone = next, make(chan struct{})
		f.start()
		select {
		case <-formerDone:
		case <-time.After(3 * time.Second):
			t.Error("the former leader did not step down")
		}
		is.True(former.termLost)
		former.wg.Wait()
		time.Sleep(linkSetupTime)
		counts := f.workers.dispatchedBy(2 * holdWait)
		is.Equal(counts["a"], 0)
		time.Sleep(6 * time.Second)
		is.Equal(f.lapses(), 0)
		is.Equal(f.doubleRuns(), 0)
	})
}

// An instance that has seen a later term, or is about to stop, refuses a delegation.
func TestKeepingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, change := range []func(i *Instance){
			func(i *Instance) { i.Drain() },
			func(i *Instance) { i.work.loaded = false },
			func(i *Instance) { i.delegations.add(&delegation{epoch: 9, outbox: newOutbox()}, 0) },
		} {
			instance := newLoadedInstance(t, &tailStore{}, "none")
			change(instance)
			near, far := relay.Pipe()
			go instance.ServeDelegation(t.Context(), &relaypb.Keep{Epoch: 8, Lives: true}, far)
			answer := &relaypb.Kept{}
			is.NoErr(near.Receive(answer))
			is.True(answer.Refused || answer.Fenced)
		}
	})
}

// During a rolling restart, no workers are delegated to or from an instance of a version that does not
// distinguish incarnations of workers.
func TestVersionsWithoutIncarnationsDelegateNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := relay.Pipe()
		delegate := newLoadedInstance(t, &tailStore{}, "none")
		useTestClock(delegate.clock)
		go delegate.ServeDelegation(t.Context(), &relaypb.Keep{Epoch: 8}, far)
		answer := &relaypb.Kept{}
		is.NoErr(near.Receive(answer))
		is.True(answer.Refused)

		near, far = relay.Pipe()
		clock := NewClock()
		useTestClock(clock)
		events := make(chan event, 8)
		go newSession(t.Context(), "keeper", near, clock, clock.Now, func(_ context.Context, next event) { events <- next }).run()
		go func() { _ = far.Send(&relaypb.Kept{Clock: 1}) }()
		ended, ok := (<-events).(streamEnd) // it was never opened
		is.True(ok)
		is.True(strings.Contains(ended.cause, "earlier version"))
	})
}

// The leader does not wait for a delegate that receives no orders.
func TestSessionEndsWhenItsQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := relay.Pipe()
		clock := NewClock()
		useTestClock(clock)
		events := make(chan event, 8)
		s := newSession(t.Context(), "keeper", near, clock, clock.Now, func(_ context.Context, next event) { events <- next })
		go s.run()
		go func() { _ = far.Send(&relaypb.Kept{Clock: 1, Lives: true, Bounded: true}) }()
		<-events // opened
		<-events // its first message
		var readers sync.WaitGroup
		readers.Go(func() {
			for far.Receive(&relaypb.Orders{}) == nil {
				time.Sleep(heartbeatInterval / 6)
			}
		})
		defer readers.Wait()
		begin := time.Now()
		for range maxQueuedOrders + 3*maxOrdersPerMessage {
			s.acknowledge("w", 1)
		}
		ended, ok := (<-events).(streamEnd)
		is.True(ok)
		is.True(ended.session == s)
		is.True(time.Since(begin) < heartbeatInterval) // the session did not end because of silence
	})
}

// Reports of an instance that is not the dispatcher of a worker are ignored: they may show runs that
// have ended since.
func TestWordOfAFormerKeeperIsNotTaken(t *testing.T) {
	inFleet(t, manyWorkers, 8, time.Second, func(f *testFleet, is *is.I) {
		d := f.leader.dispatchers
		worker := f.workers.entries()["w0001"].ID
		delegate := d.workers[worker].instance
		is.True(d.dispatchesTo(delegate, worker))
		is.True(!d.dispatchesTo(ownInstance, worker))
		is.True(!d.dispatchesTo("keeper-of-old", worker))
		d.workers[worker].state = releasing
		is.True(d.dispatchesTo(delegate, worker)) // until it reports the release
		d.workers[worker].state = unassigned
		is.True(!d.dispatchesTo(delegate, worker))
		d.workers[worker].state = assigned
	})
}

// The status shows whether workers are delegated, and to how many each delegate dispatches.
func TestStatusShowsDelegates(t *testing.T) {
	inFleet(t, manyWorkers, 8, time.Second, func(f *testFleet, is *is.I) {
		status := f.leader.instance.Status()
		is.True(status.Sharding.Sharded)
		is.Equal(status.Sharding.OwnWorkers, 0)
		total := 0
		for name, count := range status.Sharding.Delegates {
			is.True(strings.HasPrefix(name, "keeper-"))
			total += count
			is.Equal(f.instances[name].Status().DelegatedWorkers, count)
		}
		is.Equal(total, manyWorkers)
	})
}
