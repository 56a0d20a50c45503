package placing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/jobs"
)

// propertySteps is rapid's usual number of steps; these properties draw few.
const propertySteps = "30"

func TestMain(m *testing.M) { prooftest.Main(m, propertySteps) }

// Whatever is lost, late, cut off or replaced: no task runs twice at a time or
// after its end was noted, none before the steps it waits for, none is ordered where the
// holder knows of an evacuation, no job fails
// without the failures it is allowed, none waits beside idle room, and once things are
// calm all jobs end.
func TestNothingRunsTwiceAndAllEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 7).Draw(t, "workers"))
		w.watchIdle(false)
		w.takeOver()
		w.run(12*time.Second, func() {
			w.mishap()
			if len(w.jobs) < 14 && w.random.IntN(40) == 0 {
				w.submit()
			}
		})
		w.calm = true
		w.openZones()
		w.run(60*time.Second, func() {})
		for _, fault := range w.faults {
			t.Error(fault)
		}
		checkEnds(t, w)
	})
}

func checkEnds(t *rapid.T, w *world) {
	for _, submission := range w.jobs {
		state := w.table.Job(submission.ID).State()
		if !state.Final() {
			t.Errorf("job %s is still %s", submission.ID, state)
		}
		if state == jobs.StateFailed && !failedOften(w, submission) && !lostOften(w, submission) {
			t.Errorf("job %s failed without %d failures of a task, and without %d lost workers", submission.ID, submission.Queue.MaxAttempts, lossesToGiveUp)
		}
	}
}

// lossesToGiveUp is under how many lost workers the users allow a task to be given up.
const lossesToGiveUp = 2

// lostOften reports whether so many workers were lost under a task, or under a gang, that
// its job may be given up.
func lostOften(w *world, submission *jobs.Submission) bool {
	for step := range submission.Steps {
		for index := range submission.Steps[step].Tasks {
			if w.lost[jobs.TaskKey{Job: submission.ID, Step: step, Index: index}] >= lossesToGiveUp {
				return true
			}
		}
	}
	return false
}

// failedOften reports whether a task, or the members of a gang together, ended
// as failed as often as it takes.
func failedOften(w *world, submission *jobs.Submission) bool {
	for step := range submission.Steps {
		together := 0
		for index := range submission.Steps[step].Tasks {
			count := w.ended[jobs.TaskKey{Job: submission.ID, Step: step, Index: index}]
			together += count
			if count >= submission.Queue.MaxAttempts {
				return true
			}
		}
		if submission.Steps[step].Gang && together >= submission.Queue.MaxAttempts {
			return true
		}
	}
	return false
}
