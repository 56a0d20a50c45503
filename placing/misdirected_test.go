package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An entry that names the address of another worker made that worker count as restarted, and every loss of
// a worker as one of many, as long as it was listed.
func TestEntryAtTheAddressOfAnotherWorkerIsNoLossForGood(t *testing.T) {
	is := is.New(t)
	engine := testEngine(1)
	engine.MarkJobsComplete()
	engine.LoadJobs(nil, FormerLeaderReleased, testStart)
	worker, odd := testWorker("a", "r1-1"), testWorker("odd", "r1-1")
	odd.Address = worker.Address
	listWorkers(engine, testStart, worker)
	now := testStart
	for range 100 {
		now = now.Add(400 * time.Millisecond)
		engine.UpdateWorkers([]WorkerEntry{worker, odd}, now)
		engine.ReplaceIncarnation("odd", 0, now)
		engine.Report("a", now, nil, nil, now.Add(time.Minute), now)
	}
	is.True(!engine.nodes["a"].recentlyRestartedUntil.After(now))
	is.Equal(engine.unexplainedSilencesNear(now), 0)
	engine.UpdateWorkers([]WorkerEntry{worker}, now)
	is.Equal(len(engine.misdirected), 0)
}
