package placing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// jobEventDetails returns the details of a job's log events of the given kind.
func jobEventDetails(plan Plan, event, job string) []string {
	var details []string
	for _, logEvent := range plan.LogEvents {
		if logEvent.Event == event && logEvent.Job == job {
			details = append(details, logEvent.Detail)
		}
	}
	return details
}

// occupyRacks starts a task that takes accelerators of one worker in each rack.
func (c *cluster) occupyRacks(racks int, accelerators int64) {
	for rack := range racks {
		small := testStep(1, accelerators)
		small.RequiredLabel = "r1-" + string(rune('0'+rack))
		c.submit(testJob(hexID(rack+1), 1, small))
	}
	c.step()
}

func TestDelayedStepLogsItsPreferences(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.occupyRacks(2, 1)
	gang := gangStep(8, 4) // needs a whole rack
	gang.EstimateMS = 60_000
	job := testJob(hexID(9), 1, gang)
	c.submit(job)
	var details []string
	for range 30 {
		details = append(details, jobEventDetails(c.step(), "start_held", job.ID)...)
	}
	is.Equal(len(details), 1) // logged once in two seconds
	is.True(strings.Contains(details[0], " for one_rack room_for 14 pool_used_percent "))
	is.Equal(c.engine.jobs[job.ID].state, jobs.StateQueued)
}

func TestStepWaitingBesideIdleCapacityIsLoggedAsOverdue(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.backOffAll()
	job := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(job)
	entries := []WorkerEntry{testWorker("unreported", "r1-0")}
	for _, node := range c.engine.nodeOrder {
		entries = append(entries, node.entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
	overdue := time.Duration(0)
	for overdue == 0 && c.now.Sub(testStart) < 10*time.Second {
		c.engine.jobs[job.ID].occurrence(0).steps[0].observedReadyAt = c.now // as for a leader whose workers have yet to report
		if len(jobEventDetails(c.step(), "start_overdue", job.ID)) > 0 {
			overdue = c.now.Sub(testStart)
		}
	}
	is.True(overdue >= overdueAfter && overdue < overdueAfter+delayLogInterval+delayCheckInterval)
}

func TestStepDelayedByBackoffStartsInTimeInIdlePool(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.backOffAll()
	job := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(job)
	is.True(c.startsWithin(job.ID, overdueAfter))
}

func TestPreferenceDelayBoundUsesPoolOfStep(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	entries := []WorkerEntry{}
	for i, node := range c.engine.nodeOrder {
		entry := node.entry
		if i >= 4 {
			entry.Pool = "busy"
		}
		entries = append(entries, entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
	full := testJob(hexID(2), 1, testStep(8, 8))
	full.Steps[0].Need.MilliCores = 64000
	full.Queue.Pool = "busy"
	c.submit(full)
	c.step()
	for _, node := range c.engine.nodeOrder[:4] {
		node.health.backOff(c.now, time.Minute)
	}
	job := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(job)
	is.True(c.startsWithin(job.ID, overdueAfter))
}

func TestGangThatFitsOnceWaitsForItsRackInIdlePool(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.occupyRacks(2, 8)
	gang := gangStep(4, 8) // needs a whole rack; six workers are free
	gang.EstimateMS = 60_000
	job := testJob(hexID(9), 1, gang)
	c.submit(job)
	is.True(!c.startsWithin(job.ID, 2*overdueAfter))
}

func TestExpiredRunDoesNotCountAsWaitingTime(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.run(time.Second)
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	s.run(time.Second)
	nowhere := testStep(1, 1)
	nowhere.RequiredLabel = "nowhere"
	s.submit(testJob(hexID(2), 1, nowhere)) // keeps work pending, so that each pass samples the pool
	lost := s.findWorker(s.engine.jobs[job].allTasks()[0].run.node.entry.ID)
	lost.up = false
	lost.running = map[jobs.TaskKey]simRun{}
	s.changeLeader()
	s.tick()
	for _, node := range s.engine.nodeOrder {
		node.health.backOff(s.now, time.Minute)
	}
	for s.countRunning(job, 0) == 0 && s.now.Sub(s.termStart) < delaySimTimeout {
		s.tick()
	}
	is.True(s.countRunning(job, 0) > 0)
	is.Equal(len(jobEventDetails(Plan{LogEvents: s.logEvents}, "start_overdue", job)), 0)
}

func TestStepIsNotOverdueRightAfterEvacuationEnds(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	for _, w := range s.workers {
		w.entry.Zone = "z1"
	}
	s.run(time.Second)
	s.engine.SetEvacuatedZones([]string{"z1"}, s.now)
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	s.run(2 * overdueAfter)
	for _, node := range s.engine.nodeOrder {
		node.health.backOff(s.now, time.Minute)
	}
	s.engine.SetEvacuatedZones(nil, s.now)
	is.True(s.waitForStart(job, 0) <= maxIdleDelay)
	is.Equal(len(jobEventDetails(Plan{LogEvents: s.logEvents}, "start_overdue", job)), 0)
}
