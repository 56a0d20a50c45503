package placing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// heldFor returns what notes of an event say of a job.
func heldFor(plan Plan, event, job string) []string {
	var details []string
	for _, note := range plan.Notes {
		if note.Event == event && note.Job == job {
			details = append(details, note.Detail)
		}
	}
	return details
}

// occupyRacks has a task take accelerators of a worker in each rack.
func (c *cluster) occupyRacks(racks int, accelerators int64) {
	for rack := range racks {
		small := testStep(1, accelerators)
		small.RequiredLabel = "r1-" + string(rune('0'+rack))
		c.submit(testJob(hexID(rack+1), 1, small))
	}
	c.step()
}

func TestStepThatIsHeldBackSaysByWhichPreference(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.occupyRacks(2, 1)
	gang := gangStep(8, 4) // a whole rack
	gang.EstimateMS = 60_000
	held := testJob(hexID(9), 1, gang)
	c.submit(held)
	var told []string
	for range 30 {
		told = append(told, heldFor(c.step(), "start_held", held.ID)...)
	}
	is.Equal(len(told), 1) // once in two seconds
	is.True(strings.Contains(told[0], " for one_rack room_for 14 pool_used_percent "))
	is.Equal(c.engine.jobs[held.ID].state, jobs.StateQueued)
}

func TestStepThatWaitsBesideIdleRoomIsToldAsOverdue(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.restAll()
	held := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(held)
	entries := []WorkerEntry{testWorker("unheard", "r1-0")}
	for _, known := range c.engine.nodeOrder {
		entries = append(entries, known.entry)
	}
	c.engine.List(entries, c.now)
	overdue := time.Duration(0)
	for overdue == 0 && c.now.Sub(testStart) < 10*time.Second {
		c.engine.jobs[held.ID].runs[0].steps[0].seenAt = c.now // as of a holder that has yet to hear of its workers
		if len(heldFor(c.step(), "start_overdue", held.ID)) > 0 {
			overdue = c.now.Sub(testStart)
		}
	}
	is.True(overdue >= overdueAfter && overdue < overdueAfter+heldTold+heldLook)
}

func TestStepHeldBackByWorkersAtRestBeginsInTimeInAnIdlePool(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.restAll()
	held := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(held)
	is.True(c.beginsWithin(held.ID, overdueAfter))
}

func TestBoundOnPreferencesGoesByThePoolOfTheStep(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	entries := []WorkerEntry{}
	for index, known := range c.engine.nodeOrder {
		entry := known.entry
		if index >= 4 {
			entry.Pool = "busy"
		}
		entries = append(entries, entry)
	}
	c.engine.List(entries, c.now)
	full := testJob(hexID(2), 1, testStep(8, 8))
	full.Steps[0].Need.MilliCores = 64000
	full.Queue.Pool = "busy"
	c.submit(full)
	c.step()
	for _, known := range c.engine.nodeOrder[:4] {
		known.health.pause(c.now, time.Minute)
	}
	held := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(held)
	is.True(c.beginsWithin(held.ID, overdueAfter))
}

func TestGangThatFitsOnceStillWaitsForItsRackInAnIdlePool(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.occupyRacks(2, 8)
	gang := gangStep(4, 8) // a whole rack, of six workers that are free
	gang.EstimateMS = 60_000
	held := testJob(hexID(9), 1, gang)
	c.submit(held)
	is.True(!c.beginsWithin(held.ID, 2*overdueAfter))
}

func TestRunOnRecordThatLapsedIsNoTimeThatItsTaskWaited(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.play(time.Second)
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	s.play(time.Second)
	nowhere := testStep(1, 1)
	nowhere.RequiredLabel = "nowhere"
	s.submit(testJob(hexID(2), 1, nowhere)) // so that the pool is looked at all the while
	lost := s.find(s.engine.jobs[job].allTasks()[0].run.node.entry.ID)
	lost.up = false
	lost.running = map[jobs.TaskKey]crashRun{}
	s.takeTerm()
	s.tick()
	for _, known := range s.engine.nodeOrder {
		known.health.pause(s.now, time.Minute)
	}
	for s.runs(job, 0) == 0 && s.now.Sub(s.tookAt) < heldMost {
		s.tick()
	}
	is.True(s.runs(job, 0) > 0)
	is.Equal(len(heldFor(Plan{Notes: s.notes}, "start_overdue", job)), 0)
}

func TestStepIsNotOverdueAsSoonAsEvacuatedWorkersAreBack(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	for _, life := range s.lives {
		life.entry.Zone = "z1"
	}
	s.play(time.Second)
	s.engine.Evacuate([]string{"z1"}, s.now)
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	s.play(2 * overdueAfter)
	for _, known := range s.engine.nodeOrder {
		known.health.pause(s.now, time.Minute)
	}
	s.engine.Evacuate(nil, s.now)
	is.True(s.wait(job, 0) <= heldBound)
	is.Equal(len(heldFor(Plan{Notes: s.notes}, "start_overdue", job)), 0)
}
