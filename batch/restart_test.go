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
	// restartPause is how long a worker is away between two lives.
	restartPause = 500 * time.Millisecond
	// maxTaskWait is how long tasks may wait, with room free, once their turn has come:
	// the users' own bound.
	maxTaskWait = 3 * time.Second
)

// The story: workers lost power and started again half a second later under the IDs that
// they had. From then on their first tasks were run a second and a third time, some
// seconds after each had ended as done, until a run happened to end elsewhere.
//
// The cause: a worker numbers its ends from one in each life, and what was remembered of
// them (the highest one seen, the one up to which it may forget) was remembered by its ID.
// A next life's first ends counted as seen and were acknowledged with the former's number,
// unread; their runs were then missing and counted as lost.
//
// The evidence: of the runs that were lost after the workers were back, all were on workers
// that had started again, each within one hold of its end; and here the number of tasks run
// again is that of the ends whose numbers the former life had reached.
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

// withAndWithoutDelegates runs a test with few workers, which the holder of the term holds, and with
// many, which others hold for it. Tasks take a second.
func withAndWithoutDelegates(t *testing.T, test func(f *testFleet, is *is.I, workers int)) {
	for _, c := range []struct {
		name      string
		workers   int
		instances int
	}{
		{"held by the holder of the term", 8, 0},
		{"held for it by others", manyWorkers, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, c.workers, c.instances, time.Second, func(f *testFleet, is *is.I) { test(f, is, c.workers) })
		})
	}
}

// The story: workers had started again under the IDs that they had. At the end of the
// day the tasks of a step had all ended as done, most of the room was free, and nothing of
// the next step had been started.
//
// The cause is the same as above, seen from the step that waits: the ends were acknowledged
// unread, so the step before stayed open and its tasks ran again, on and on while they met
// workers whose numbers were below those of their former lives.
//
// The evidence: nothing else was changed when this test came to pass; on the day 50 of 73
// runs that were over in the last seven seconds counted as lost, though no worker had been
// lost for 23 s, and the tasks of the step that stayed open were among them.
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
// taken note of.
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

// startedTasks is how many tasks of a step were ever started.
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

// However the list of workers lags behind, and however often they start again between two
// looks at it: nothing runs twice, and all is done once they stay.
func TestStaleWorkerListCausesNoDoubleRuns(t *testing.T) {
	withAndWithoutDelegates(t, func(f *testFleet, is *is.I, workers int) {
		f.submit("a1", 2*workers)
		time.Sleep(1500 * time.Millisecond) // some have ended, the others run
		f.workers.restartAll(restartPause)
		time.Sleep(3 * restartPause)
		f.submit("a2", workers)
		f.workers.restartAll(restartPause) // the list still shows the first lives
		time.Sleep(3 * restartPause)
		f.refreshWorkerList()
		time.Sleep(4 * time.Second)
		f.workers.restartAll(restartPause / 2)
		f.refreshWorkerList() // it shows lives that are over
		time.Sleep(restartPause)
		f.refreshWorkerList()
		time.Sleep(16 * time.Second)
		is.Equal(f.doubleRuns(), 0)
		is.Equal(f.doneTasks(), 3*workers)
		is.Equal(f.decisionCount("job_ended"), int64(2))
	})
}

// An entry that says of no life, on workers that do, was made by another writer: it names no
// worker to use, and what runs there goes on.
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
		is.Equal(f.workers.startCount("w0000"), 1) // what it had before
	})
}

// A worker is told once which ends it may forget, and not while the life that takes the
// order may be a later one, whose own ends would be forgotten unread.
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
		is.Equal(hold(), int64(0)) // it was taken
		link.acknowledge(6)
		time.Sleep(2 * maxAnswerAge)
		is.Equal(hold(), int64(0)) // who answers now may be another
		is.Equal(hold(), int64(6))
		link.acknowledge(7)
		link.handleHoldError(t.Context(), errSimDown)
		is.Equal(hold(), int64(0))
		is.Equal(hold(), int64(7))
	})
}

// A later life of a worker may take a start that was meant for the former, and grants it the
// longest lease from then on, as the former's clock says nothing to it. So nothing there has
// lapsed before such a lease that began with the last try.
func TestUnansweredStartDelaysTheLapse(t *testing.T) {
	for _, c := range []struct {
		name   string
		bornMS int64
		held   bool
	}{
		{"lives are told apart", 7, true},
		{"each has a name of its own", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link, _, _ := scriptedLink(nil)
				link.entry.BornMS = c.bornMS
				link.env.bounds = newBounds(Bounds{Lease: simLease})
				link.recordAnswer(1)
				link.extendLease(link.env.clock.Now())
				granted := link.lapse()
				link.startRun(t.Context(), placing.Start{Worker: "w", Run: 1}, false, nil)
				lastAttempt := link.env.clock.Now()
				is.Equal(link.lapse().After(granted), c.held)
				is.Equal(!link.lapse().Before(lastAttempt.Add(placing.LeaseLapse(simLease))), c.held)
			})
		})
	}
}
