package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// restartPause is how long a worker is down between two incarnations.
	restartPause = 500 * time.Millisecond
	// maxTaskWait is how long tasks may wait while capacity is free; it is a requirement of the users.
	maxTaskWait = 3 * time.Second
)

// Guards against tasks that run two or three times after their workers restarted half a second later
// under the same IDs. A worker numbers its ends from one in each incarnation. When the leader
// remembered the highest end seen and acknowledged by worker ID, the first ends of the next
// incarnation counted as seen and were acknowledged unread, and their runs counted as lost.
func TestRestartedWorkerRunsNothingTwice(t *testing.T) {
	withAndWithoutDelegates(t, func(f *testFleet, is *is.I, workers int) {
		f.submit("a1", 3*workers)
		time.Sleep(8 * time.Second)
		is.Equal(f.doneTasks(), 3*workers)
		f.workers.restartAll(restartPause)
		time.Sleep(2 * restartPause)
		f.refreshWorkerList()
		f.submit("a2", 2*workers)
		time.Sleep(20 * time.Second)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 5*workers)
		is.Equal(f.decisionCount("job_ended"), int64(2))
	})
}

// withAndWithoutDelegates runs a test with few workers, to which the leader dispatches itself, and with
// many, to which delegates dispatch. Tasks take a second.
func withAndWithoutDelegates(t *testing.T, test func(f *testFleet, is *is.I, workers int)) {
	for _, c := range []struct {
		name      string
		workers   int
		instances int
	}{
		{"driven by the leader", 8, 0},
		{"driven by delegates", manyWorkers, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, c.workers, c.instances, time.Second, func(f *testFleet, is *is.I) { test(f, is, c.workers) })
		})
	}
}

// Guards against a step that never starts after workers restarted under the same IDs. Because ends of
// the step before were acknowledged unread, that step stayed open and its tasks ran again and again.
// When this happened, 50 of 73 runs that were over in the last seven seconds counted as lost,
// though no worker had been lost for 23 s.
func TestStepIsStartedInTimeOnWorkersThatStartedAgain(t *testing.T) {
	inFleet(t, 8, 0, time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 8*8)
		time.Sleep(20 * time.Second)
		is.Equal(f.doneTasks(), 8*8)
		f.workers.restartAll(restartPause)
		time.Sleep(2 * restartPause)
		f.refreshWorkerList()
		f.submit("a2", 4, 4)
		for begin := time.Now(); !f.stepAcknowledged("a2", 0, 4) && time.Since(begin) < time.Minute; {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(maxTaskWait)
		is.Equal(f.startedTasks("a2", 1, 4), 4)
	})
}

// stepAcknowledged reports whether all tasks of a step have ended as done and these ends were
// acknowledged.
func (f *testFleet) stepAcknowledged(id string, step, tasks int) bool {
	f.workers.lock.Lock()
	defer f.workers.lock.Unlock()
	for index := range tasks {
		if !f.workers.acknowledged[jobs.TaskKey{Job: id, Step: step, Index: index}] {
			return false
		}
	}
	return true
}

// startedTasks returns how many tasks of a step were ever started.
func (f *testFleet) startedTasks(id string, step, tasks int) int {
	f.workers.lock.Lock()
	defer f.workers.lock.Unlock()
	count := 0
	for index := range tasks {
		if f.workers.newestRun[jobs.TaskKey{Job: id, Step: step, Index: index}] > 0 {
			count++
		}
	}
	return count
}

// Nothing runs twice however stale the worker list is and however often workers restart between
// two reads of it, and everything is done once they stay up.
func TestStaleWorkerListCausesNoDoubleRuns(t *testing.T) {
	withAndWithoutDelegates(t, func(f *testFleet, is *is.I, workers int) {
		f.submit("a1", 2*workers)
		time.Sleep(1500 * time.Millisecond) // some have ended, the others run
		f.workers.restartAll(restartPause)
		time.Sleep(3 * restartPause)
		f.submit("a2", workers)
		f.workers.restartAll(restartPause) // the list still shows the first incarnations
		time.Sleep(3 * restartPause)
		f.refreshWorkerList()
		time.Sleep(4 * time.Second)
		f.workers.restartAll(restartPause / 2)
		f.refreshWorkerList() // the list shows incarnations that are gone
		time.Sleep(restartPause)
		f.refreshWorkerList()
		time.Sleep(16 * time.Second)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 3*workers)
		is.Equal(f.decisionCount("job_ended"), int64(2))
	})
}

// An entry without an incarnation was written by another writer if the entries of other workers
// have one. It is not used, and the tasks on that worker keep running.
func TestEntryWithoutIncarnationIsNotUsed(t *testing.T) {
	inFleet(t, 2, 0, 3*time.Second, func(f *testFleet, is *is.I) {
		f.submit("a1", 2)
		time.Sleep(time.Second)
		is.Equal(f.workers.sum(func(w *simWorker) int { return len(w.runs) }), 2)
		f.editWorkerEntry("w0000", func(entry *placing.WorkerEntry) { entry.ID, entry.BornMS = entry.Name, 0 })
		f.submit("a2", 2)
		time.Sleep(20 * time.Second)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 4)
		is.Equal(f.decisionCount("job_ended"), int64(2))
		is.Equal(f.workers.startCount("w0000"), 1) // the run it had before
	})
}

// An acknowledgement is sent to a worker once, and not while a later incarnation may receive the
// order: that one would forget ends of its own that nobody has read.
func TestAcknowledgementGoesToItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link, workers, _ := scriptedLink(accept)
		link.entry.BornMS = 7
		hold := func() int64 {
			_, _, err := link.hold(t.Context(), 0)
			is.NoErr(err)
			return workers.acks[len(workers.acks)-1]
		}
		is.Equal(hold(), int64(0))
		link.acknowledge(5)
		is.Equal(hold(), int64(5))
		is.Equal(hold(), int64(0)) // it was received
		link.acknowledge(6)
		time.Sleep(2 * maxAnswerAge)
		is.Equal(hold(), int64(0)) // another incarnation may answer now
		is.Equal(hold(), int64(6))
		link.acknowledge(7)
		link.handleHoldError(t.Context(), holdCall{}, errSimDown)
		is.Equal(hold(), int64(0))
		is.Equal(hold(), int64(7))
	})
}

// A later incarnation of a worker may accept a start meant for the former one. It grants the longest
// lease from then on, as the requested lease is on the clock of the former one. So nothing there
// expires before such a lease that began with the last attempt.
func TestUnansweredStartDelaysTheExpiry(t *testing.T) {
	for _, c := range []struct {
		name     string
		bornMS   int64
		extended bool
	}{
		{"workers report incarnations", 7, true},
		{"each incarnation has an ID of its own", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link, _, _ := scriptedLink(nil)
				link.entry.BornMS = c.bornMS
				link.env.bounds = newBounds(Bounds{MaxLease: simLease})
				link.recordAnswer(HoldReport{ClockMS: 1}, link.env.clock.Now())
				link.extendLease(link.env.clock.Now())
				granted := link.leaseExpiry()
				link.startRun(t.Context(), placing.Start{Worker: "w", Run: 1}, false, nil)
				lastAttempt := link.env.clock.Now()
				is.Equal(link.leaseExpiry().After(granted), c.extended)
				is.Equal(!link.leaseExpiry().Before(lastAttempt.Add(placing.LeaseExpiry(simLease))), c.extended)
			})
		})
	}
}
