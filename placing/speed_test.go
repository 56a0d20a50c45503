package placing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// speedOfWorker returns the speed of a worker of a fleet: a third each is slow, usual and fast,
// spread over the racks.
func speedOfWorker(number int) float64 { return []float64{0.8, 1, 1.25}[number%3] }

const (
	speedWorkers = 30
	// batchTime is the run time of a task of the batch on a worker of the usual speed, and
	// urgentTime that of a task of an urgent gang.
	batchTime  = 8 * time.Second
	urgentTime = 2 * time.Second
)

// mixedFleet runs a batch of two tasks on each of thirty workers for long enough to estimate
// their speeds, with reports at different times. The run times of tasks differ slightly.
func mixedFleet(is *is.I, speedOf func(number int) float64) (e *Engine, now time.Time) {
	step := testStep(2*speedWorkers, 1)
	step.MaxPerWorker = 2
	e = testEngine(1)
	e.LoadJobs([]*jobs.Job{{Submission: testJob("0000000000000001", 2, step)}}, FormerLeaderReleased, testStart)
	e.MarkJobsComplete()
	var entries []WorkerEntry
	for number := range speedWorkers {
		entries = append(entries, testWorker(fmt.Sprintf("w%02d", number), fmt.Sprintf("r1-%d", number/6)))
	}
	e.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	starts := startAll(e, testStart)
	is.Equal(len(starts), 2*speedWorkers)
	runs := map[string][]Start{}
	for _, start := range starts {
		runs[start.Worker] = append(runs[start.Worker], start)
	}
	for number, entry := range entries {
		now = testStart.Add(speedSampleAfter + time.Duration(number)*20*time.Millisecond)
		var rows []RunningTask
		for index, start := range runs[entry.ID] {
			variation := 1 + 0.1*math.Sin(float64(7*number+3*index)) // of the task, not of its worker
			done := variation * speedOf(number) * float64(now.Sub(testStart)) / float64(batchTime)
			rows = append(rows, RunningTask{Task: start.Task, Run: 1, Percent: int(100 * done)})
		}
		e.Report(entry.ID, now, rows, nil, time.Time{}, now)
	}
	return e, now
}

// A batch runs on workers of three speeds when an urgent gang arrives that may use any rack. It
// gets fast workers; on an arbitrary choice of free workers it would take as long as on a slow
// one.
func TestUrgentGangGetsFastWorkers(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	gang := testStep(8, 6)
	gang.Gang = true
	e.ApplyJob(&jobs.Job{Submission: testJob("0000000000000002", 0, gang)}, now)
	starts := startAll(e, now.Add(100*time.Millisecond))
	is.Equal(len(starts), 8)
	slowest := math.Inf(1)
	for _, start := range starts {
		var number int
		fmt.Sscanf(start.Worker, "w%02d", &number)
		slowest = min(slowest, speedOfWorker(number))
	}
	is.Equal(slowest, 1.25)
	is.True(time.Duration(float64(urgentTime)/slowest) < urgentTime)
}

// Work that is not urgent is placed regardless of speeds.
func TestOtherWorkTakesWorkersOfAnySpeed(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	is.True(e.speedVariance.significant)
	for _, n := range e.nodeOrder {
		is.Equal(e.schedulableView(now).nodeSpeedWeight(n, &unit{tier: tierOnTime}), 0.0)
	}
	is.True(e.nodeOrder[2].speed.factor() > 1.05)
	is.True(e.nodeOrder[0].speed.factor() < 0.95)
	is.True(now.After(testStart))
}

// One run on a worker that stalls for a moment does not change the estimate of its speed. The
// estimate follows the newest runs, and a new incarnation starts without one.
func TestSpeedIsRobust(t *testing.T) {
	is := is.New(t)
	var s speedEstimate
	is.Equal(s.factor(), 1.0)
	for range 20 {
		s.add(1.25)
	}
	is.True(math.Abs(s.factor()-1.25) < 0.04)
	for range 20 {
		s.add(0.8)
	}
	is.True(math.Abs(s.factor()-0.8) < 0.05)
	e, now := mixedFleet(is, speedOfWorker)
	before := e.nodes["w02"].speed
	e.recordSpeed(e.nodes["w02"], 0.1)
	e.recordSpeed(e.nodes["w02"], 7)
	is.Equal(e.nodes["w02"].speed, before)
	entry := e.nodes["w02"].entry
	entry.ID, entry.Name, entry.BornMS = IncarnationID("w02", 7), "w02", 7
	e.UpdateWorkers([]WorkerEntry{entry}, now)
	is.Equal(e.nodes[entry.ID].speed.factor(), 1.0)
}

// The members of a gang advance together, whatever the speeds of their workers, so they give no
// samples.
func TestGangsTellNoSpeed(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, spreadGang(4)))
	for _, start := range startAll(e, testStart) {
		later := testStart.Add(2 * speedSampleAfter)
		e.Report(start.Worker, later, []RunningTask{{Task: start.Task, Run: 1, Percent: 40}}, nil, time.Time{}, later)
	}
	for _, n := range e.nodeOrder {
		is.Equal(n.speed, speedEstimate{})
	}
}

// If all workers are alike, the estimates are noise and the tightest workers are taken. When a
// fleet of several speeds replaces them, the speeds count, and the other way round.
func TestSpeedsCountOnlyWhereWorkersDiffer(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, func(int) float64 { return 1 })
	is.True(!e.speedVariance.significant)
	is.Equal(e.schedulableView(now).nodeSpeedWeight(e.nodeOrder[0], &unit{tier: tierUrgent}), 0.0)
	e, _ = mixedFleet(is, speedOfWorker)
	is.True(e.speedVariance.significant)
	for range 2 * maxSpeedPairs {
		e.speedVariance.add(0)
	}
	is.True(!e.speedVariance.significant)
	for range 2 * maxSpeedPairs {
		e.speedVariance.add(0.03)
	}
	is.True(e.speedVariance.significant)
}
