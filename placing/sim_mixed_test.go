package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// runProfile describes how the runs of a step behave.
type runProfile struct {
	runTime     time.Duration
	failPercent int // percentage of runs that fail
	longRunning bool
}

// draw draws the duration and the outcome of a run. In a gang only the first member fails.
func (p runProfile) draw(rng *rand.Rand, run *modelRun) {
	run.reportsProgress = true
	run.longRunning = p.longRunning
	run.fullTime = p.runTime * time.Duration(80+rng.IntN(40)) / 100
	run.runTime = run.fullTime
	run.fails = rng.IntN(100) < p.failPercent && (run.gangSize == 0 || run.key.Index == 0)
	switch {
	case run.fails && p.longRunning:
		run.runTime = time.Duration(200+rng.IntN(3000)) * time.Millisecond
	case run.fails:
		run.runTime = run.fullTime * time.Duration(10+rng.IntN(50)) / 100
	}
}

// percent returns the reported progress of a run. A run that doesn't report progress
// stays at 1.
func (r *modelRun) percent(now time.Time) int {
	switch {
	case !r.reportsProgress:
		return 1
	case r.longRunning:
		return 100
	}
	return int(min(99, 100*now.Sub(r.startedAt)/r.fullTime))
}

// These constants bound the number of workers and the rack width of the mixed workload.
const (
	minFleetSize, maxFleetSize = 8, 24
	minRackWidth, maxRackWidth = 3, 6
)

// submitMixedJob submits a job of the mixed workload: gangs may be wider than a rack, and
// estimates are off by up to ten times.
func (s *simulation) submitMixedJob(workers int) {
	id := testJob("", 0).ID + hexID(len(s.jobs)+1)
	priority := s.rng.IntN(3)
	var steps []jobs.Step
	for i := range 1 + s.rng.IntN(3) {
		step, profile := s.drawStep(workers)
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.profiles[jobs.TaskKey{Job: id, Step: i}] = profile
		steps = append(steps, step)
		if step.LongRunning {
			break
		}
	}
	job := testJob(id, priority, steps...)
	job.AcceptedMS = s.now.UnixMilli()
	s.submitJob(job)
}

// drawStep draws a step and the profile of its runs.
func (s *simulation) drawStep(workers int) (jobs.Step, runProfile) {
	chance := func(percent int) bool { return s.rng.IntN(100) < percent }
	accelerators := []int64{0, 1, 2, 4, 4, 8}[s.rng.IntN(6)]
	step := testStep(1+s.rng.IntN(8), accelerators)
	profile := runProfile{runTime: time.Duration(400+s.rng.IntN(4000)) * time.Millisecond}
	step.EstimateMS = int64(float64(profile.runTime.Milliseconds()) * math.Pow(10, 2*s.rng.Float64()-1))
	if chance(20) {
		profile.failPercent = 40
	}
	if chance(30) {
		step.DataRack = fmt.Sprintf("r1-%d", s.rng.IntN(s.rackCount))
	}
	step.Gang = chance(50)
	workerCount := workers
	switch {
	case chance(15):
		step.RequiredLabel = fmt.Sprintf("r1-%d", s.rng.IntN(s.rackCount))
		workerCount = workers / s.rackCount
	case !step.Gang && chance(10):
		step.RequiredLabel = soleLabel
		step.Tasks = 1
	case !step.Gang && chance(15):
		step.LongRunning, profile.longRunning, profile.runTime = true, true, time.Hour
		profile.failPercent /= 4
		step.Tasks = min(3, step.Tasks)
	case chance(10):
		step.MaxPerWorker = 1 + s.rng.IntN(2)
	}
	if step.Gang {
		step.OneRack = chance(60)
		slots := 8 / max(1, int(accelerators))
		if step.MaxPerWorker > 0 {
			slots = min(slots, step.MaxPerWorker)
		}
		step.Tasks = 1 + s.rng.IntN(max(1, slots*workerCount*45/100))
	}
	return step, profile
}

// Fault modes of the mixed workload.
const (
	faultsNone          = iota
	faultsAtStart       // faults during faultTime at the beginning
	faultsLeaderChanges // leader changes and no other faults
	faultModes
)

const (
	faultTime         = 2 * time.Second
	submitTime        = 15 * time.Second
	drainTimeout      = 60 * time.Second
	mixedListInterval = 50 * time.Millisecond // time between two reads of the worker list
)

// runMixed runs a mixed workload until all its jobs have ended.
func runMixed(s *simulation, workers, faultMode int) {
	s.enableDelayCheck(faultMode == faultsLeaderChanges)
	s.profiles = map[jobs.TaskKey]runProfile{}
	s.listInterval = mixedListInterval
	s.changeLeader()
	next := s.now
	startedAt := s.now
	s.run(submitTime, func() {
		s.faultsDisabled = faultMode != faultsAtStart || s.now.Sub(startedAt) > faultTime
		s.injectFault()
		if faultMode == faultsLeaderChanges && !s.now.Before(next) {
			s.changeLeader()
			next = s.now.Add(minLeaderChangeInterval + time.Duration(s.rng.Int64N(int64(maxLeaderChangeInterval-minLeaderChangeInterval))))
		}
		if s.rng.IntN(60) == 0 && s.requestedShare(workers) < 0.8 {
			s.submitMixedJob(workers)
		}
	})
	s.faultsDisabled = true
	s.endEvacuations()
	s.cancelLongRunning()
	for end := s.now.Add(drainTimeout); s.now.Before(end) && !s.allEnded(); {
		s.run(time.Second, func() {})
	}
}

// requestedShare returns the resources that unfinished jobs need, as a share of the capacity
// of the workers.
func (s *simulation) requestedShare(workers int) float64 {
	total := int64(0)
	for _, job := range s.jobs {
		if s.table.Job(job.ID).State().Final() {
			continue
		}
		largest := int64(0) // largest step, as steps run one after the other
		for _, step := range job.Steps {
			largest = max(largest, int64(step.Tasks)*weightedCores(step.Need))
		}
		total += largest
	}
	return float64(total) / float64(int64(workers)*weightedCores(s.incarnations[0].entry.Capacity))
}

func (s *simulation) allEnded() bool {
	for _, job := range s.jobs {
		if !s.table.Job(job.ID).State().Final() {
			return false
		}
	}
	return true
}

func (s *simulation) cancelLongRunning() {
	for _, job := range s.jobs {
		if job.Steps[len(job.Steps)-1].LongRunning {
			s.appendRecords([]jobs.Record{jobs.CancelRecord(job.ID)})
			s.leader.engine.ApplyJob(s.table.Job(job.ID), s.now)
		}
	}
}

// With any workload and across leader changes: no work that fits waits longer than users allow
// while it fits twice and less than half of the capacity is in use. Nor does anything run
// twice or end without cause.
func TestNothingWaitsBesideIdleRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(minFleetSize, maxFleetSize).Draw(t, "workers")
		width := rapid.IntRange(minRackWidth, maxRackWidth).Draw(t, "width")
		s := newSimOf(rapid.Uint64().Draw(t, "seed"), workers, (workers+width-1)/width, "w001")
		runMixed(s, workers, rapid.IntRange(0, faultModes-1).Draw(t, "fault mode"))
		for _, violation := range s.violations {
			t.Error(violation)
		}
		checkEnds(t, s)
	})
}
