package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/placing"
)

// lateStarts is a client of workers whose first attempt of each start gets no answer and is carried out after
// delay, by the incarnation that is at the address by then. If losesOthers is set, further attempts are lost.
type lateStarts struct {
	*simClient
	delay       time.Duration
	losesOthers bool
	lock        sync.Mutex
	sent        map[startKey]bool
	workers     map[string]bool // that had such an attempt
}

// setLateStarts lets the leader of a fleet start tasks late.
func (f *testFleet) setLateStarts(delay time.Duration, losesOthers bool) *lateStarts {
	client := &lateStarts{simClient: &simClient{fleet: f.workers, instance: "a"}, delay: delay, losesOthers: losesOthers, sent: map[startKey]bool{}, workers: map[string]bool{}}
	f.leader.dispatchers.ownLinks.env.workers = client
	return client
}

func (c *lateStarts) Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (int64, error) {
	key := startKey{task: order.Task, run: order.Run}
	c.lock.Lock()
	first := !c.sent[key] && order.Run == 1
	c.sent[key] = true
	if first {
		c.workers[worker.Name] = true
	}
	c.lock.Unlock()
	if !first && c.losesOthers && order.Run == 1 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if !first {
		return c.simClient.Start(ctx, worker, order)
	}
	time.AfterFunc(c.delay, func() {
		late, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, _ = c.simClient.Start(late, worker, order) // nobody waits for the answer
	})
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against a task that runs twice: a copy of its start was answered, and an earlier one that was given up
// reaches the next incarnation of the worker.
func TestLateCopyOfAnsweredStartRunsNothingTwice(t *testing.T) {
	for delay := 1200 * time.Millisecond; delay <= 2400*time.Millisecond; delay += 400 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t, newSimWorkers(8, 6*time.Second), 0)
				f.setLateStarts(delay, false)
				f.start()
				defer f.stop()
				time.Sleep(linkSetupTime)
				f.keepListComplete()
				f.submit("a1", 4)
				time.Sleep(2 * minOrderTimeout)
				is.Equal(f.workers.sum(func(w *simWorker) int { return len(w.runs) }), 4) // the second copies
				f.workers.restartAll(300 * time.Millisecond)
				time.Sleep(400 * time.Millisecond)
				f.refreshWorkerList()
				time.Sleep(40 * time.Second)
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 4)
			})
		})
	}
}

// Guards against a task that runs twice: a copy of its start reaches the next incarnation of the worker after
// the run has ended as done, or was stopped as no copy was answered.
func TestLateCopyOfStartOfEndedRunRunsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name        string
		taskTime    time.Duration
		losesOthers bool
		crashAfter  time.Duration
	}{
		{"ended as done", 400 * time.Millisecond, false, 1500 * time.Millisecond},
		{"stopped", 6 * time.Second, true, 1600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t, newSimWorkers(8, c.taskTime), 0)
				client := f.setLateStarts(2600*time.Millisecond, c.losesOthers)
				f.start()
				defer f.stop()
				time.Sleep(linkSetupTime)
				f.keepListComplete()
				f.submit("a1", 4)
				time.Sleep(c.crashAfter)
				for name := range client.workers {
					f.workers.restart(name, 300*time.Millisecond)
				}
				time.Sleep(400 * time.Millisecond)
				f.refreshWorkerList()
				time.Sleep(40 * time.Second)
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 4)
			})
		})
	}
}
