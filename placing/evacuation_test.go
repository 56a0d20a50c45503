package placing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

func testWorkerInZone(id, zone string) WorkerEntry {
	entry := testWorker(id, "r-"+zone)
	entry.Zone = zone
	return entry
}

// newZonedEngine returns an engine with two workers of eight accelerators in each of the
// zones z1 and z2, all of which have reported.
func newZonedEngine(submissions ...*jobs.Submission) *Engine {
	e := testEngine(1)
	var list []*jobs.Job
	for _, submission := range submissions {
		list = append(list, &jobs.Job{Submission: submission})
	}
	e.LoadJobs(list, FormerLeaderReleased, testStart)
	e.MarkJobsComplete()
	entries := []WorkerEntry{testWorkerInZone("a1", "z1"), testWorkerInZone("a2", "z1"), testWorkerInZone("b1", "z2"), testWorkerInZone("b2", "z2")}
	e.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	return e
}

// spreadGang returns a gang of whole workers that may span several racks.
func spreadGang(tasks int) jobs.Step {
	step := gangStep(tasks, 8)
	step.OneRack = false
	return step
}

func startsByZone(starts []Start) map[string]int {
	count := map[string]int{}
	for _, start := range starts {
		count[start.Worker[:1]]++
	}
	return count
}

// decideFor decides every 50 ms for a time and returns all starts that were ordered.
func decideFor(e *Engine, from time.Time, length time.Duration) []Start {
	var starts []Start
	for now := from; now.Before(from.Add(length)); now = now.Add(50 * time.Millisecond) {
		starts = append(starts, e.Decide(now).Starts...)
		e.MarkRecordsDurable(now)
	}
	return starts
}

// Work goes to the remaining zones, and to an evacuated one again as soon as its
// evacuation is revoked.
func TestNothingStartsInEvacuatedZoneUntilRevoked(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, testStep(4, 8)))
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	is.Equal(startsByZone(decideFor(e, testStart, time.Second)), map[string]int{"b": 2})
	back := testStart.Add(time.Second)
	e.SetEvacuatedZones(nil, back)
	is.Equal(startsByZone(decideFor(e, back, 100*time.Millisecond)), map[string]int{"a": 2})
}

// The same evacuation may be set again while another zone is evacuated too.
func TestSeveralZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, testStep(4, 8)))
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	e.SetEvacuatedZones([]string{"nowhere", "z1", "z2"}, testStart)
	is.Equal(len(decideFor(e, testStart, time.Second)), 0)
	e.SetEvacuatedZones([]string{"z1"}, testStart.Add(time.Second))
	is.Equal(startsByZone(decideFor(e, testStart.Add(time.Second), time.Second)), map[string]int{"b": 2})
}

// A worker that is first listed while its zone is evacuated gets nothing either, nor does
// one of a leader that learns of the evacuation before the workers.
func TestWorkerListedInAnEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	e := testEngine(2)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	e.LoadJobs([]*jobs.Job{{Submission: testJob("0000000000000001", 0, testStep(2, 8))}}, FormerLeaderUnknown, testStart)
	e.MarkJobsComplete()
	e.UpdateWorkers([]WorkerEntry{testWorkerInZone("a1", "z1"), testWorkerInZone("b1", "z2")}, testStart)
	e.Report("a1", testStart, nil, nil, time.Time{}, testStart)
	e.Report("b1", testStart, nil, nil, time.Time{}, testStart)
	is.Equal(startsByZone(decideFor(e, testStart, time.Second)), map[string]int{"b": 1})
}

// Runs that are placed but not recorded yet, or were recorded just now, do not start in an
// evacuated zone: their gang is placed anew as a whole.
func TestPlannedRunsAreMovedFromEvacuatedZone(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, gangStep(2, 8)), testJob("0000000000000002", 1, gangStep(2, 8)))
	e.Decide(testStart) // both gangs are placed, their records in flight
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	e.MarkRecordsDurable(testStart)
	starts := e.Decide(testStart.Add(time.Millisecond)).Starts
	is.Equal(startsByZone(starts), map[string]int{"b": 2})
	is.Equal(starts[0].Task.Job, starts[1].Task.Job)
	is.Equal(len(decideFor(e, testStart.Add(time.Second), time.Second)), 0) // the other waits for capacity
}

// Starts whose records are durable, and which are about to be sent, are removed from the
// plan: the random model found them in it (seed 0xf42d7e, 6 workers).
func TestStartsAboutToBeSentLeaveAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, testStep(4, 8)))
	e.Decide(testStart)
	e.MarkRecordsDurable(testStart)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	is.Equal(startsByZone(e.Decide(testStart.Add(time.Millisecond)).Starts), map[string]int{"b": 2})
	for _, n := range e.nodeOrder {
		is.True(!n.evacuated || len(n.runs) == 0)
	}
}

// A planned gang that spans both zones is withdrawn as a whole and leaves no capacity
// reserved.
func TestPlannedGangIsNotSplitByAnEvacuation(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, spreadGang(3)))
	e.Decide(testStart)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	e.MarkRecordsDurable(testStart)
	is.Equal(len(decideFor(e, testStart, time.Second)), 0) // three do not fit into z2
	for _, n := range e.nodeOrder {
		is.Equal(len(n.runs), 0)
	}
}

// Tasks that run when their zone is evacuated go on and end as done.
func TestRunningWorkGoesOnInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, spreadGang(4)))
	starts := startAll(e, testStart)
	is.Equal(len(starts), 4)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	later := testStart.Add(2 * time.Second)
	for _, start := range starts {
		e.Report(start.Worker, later, []RunningTask{{Task: start.Task, Run: 1, Percent: 50}}, nil, time.Time{}, later)
	}
	is.Equal(len(e.Decide(later).Stops), 0)
	end := EndedTask{Number: 1, Task: starts[0].Task, Run: 1, Kind: EndDone}
	e.Report(starts[0].Worker, later, nil, []EndedTask{end}, time.Time{}, later)
	is.Equal(e.jobs["0000000000000001"].state, jobs.StateDone)
}

// An order that was sent just before the evacuation may still be in transit: its run is
// stopped with its whole gang after the time that its retries take.
func TestUnansweredStartsAreStoppedInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, spreadGang(4)))
	e.Decide(testStart)
	e.MarkRecordsDurable(testStart)
	starts := e.Decide(testStart).Starts
	is.Equal(len(starts), 4)
	for _, start := range starts[1:] {
		e.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, testStart)
	}
	e.SetEvacuatedZones([]string{"z1", "z2"}, testStart)
	is.Equal(len(e.Decide(testStart.Add(unansweredStartTimeout/2)).Stops), 0)
	is.Equal(len(e.Decide(testStart.Add(unansweredStartTimeout)).Stops), 4)
}

// A start that a delegate withheld is placed elsewhere, without counting against the task
// or the worker.
func TestWithheldStartIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, testStep(1, 8)))
	e.Decide(testStart)
	e.MarkRecordsDurable(testStart)
	start := e.Decide(testStart).Starts[0]
	is.Equal(start.Worker[:1], "a")
	e.StartAnswered(start.Worker, start.Task, start.Run, StartEvacuated, testStart) // a delegate learned of it before the leader
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	is.Equal(startsByZone(decideFor(e, testStart.Add(50*time.Millisecond), 200*time.Millisecond)), map[string]int{"b": 1})
	is.Equal(e.jobs[start.Task.Job].occurrence(0).steps[0].tasks[0].startBackoff.failures, 0)
}

// fillWorkers fills all workers with low-priority work, one task each.
func fillWorkers(e *Engine) {
	for _, start := range startAll(e, testStart) {
		e.Report(start.Worker, testStart.Add(time.Millisecond), []RunningTask{{Task: start.Task, Run: 1, Percent: 1}}, nil, time.Time{}, testStart.Add(time.Millisecond))
	}
}

// Urgent work preempts nothing where it may not start: its victims are in the remaining
// zones, and if these cannot hold it nothing is preempted at all.
func TestNoVictimInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 2, testStep(4, 8)))
	fillWorkers(e)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	now := testStart.Add(100 * time.Millisecond)
	e.ApplyJob(&jobs.Job{Submission: testJob("0000000000000002", 0, spreadGang(3))}, now)
	is.Equal(len(e.Decide(now).Stops), 0)
	now = now.Add(200 * time.Millisecond)
	e.ApplyJob(&jobs.Job{Submission: testJob("0000000000000003", 0, gangStep(2, 8))}, now)
	stops := e.Decide(now).Stops
	is.Equal(len(stops), 2)
	for _, stop := range stops {
		is.Equal(stop.Worker[:1], "b")
	}
}

// Capacity reserved in a zone is released when the zone is evacuated, and reserved anew
// elsewhere.
func TestReservationInEvacuatedZoneIsReleased(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 2, testStep(4, 8)))
	fillWorkers(e)
	now := testStart.Add(100 * time.Millisecond)
	e.ApplyJob(&jobs.Job{Submission: testJob("0000000000000002", 0, gangStep(2, 8))}, now)
	stops := e.Decide(now).Stops
	is.Equal(len(stops), 2)
	zonePrefix := stops[0].Worker[:1]
	zone := map[string]string{"a": "z1", "b": "z2"}[zonePrefix]
	e.SetEvacuatedZones([]string{zone}, now)
	is.True(e.jobs["0000000000000002"].reservation == nil)
	now = now.Add(200 * time.Millisecond)
	repeated := e.Decide(now).Stops
	is.Equal(len(repeated), 2)
	for _, stop := range repeated {
		is.True(stop.Worker[:1] != zonePrefix)
	}
}

// The capacity of an evacuated zone is not counted when headroom is reserved.
func TestEvacuatedCapacityDoesNotCountAsHeadroom(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 2, testStep(4, 8)))
	fillWorkers(e)
	e.SetEvacuatedZones([]string{"z1"}, testStart)
	load := e.loads(nil, e.schedulableView(testStart))["pool"]
	is.Equal(load.capacity, 2.0)
	is.Equal(load.used, 2.0)
	is.Equal(load.running[classTask], 4.0)
}

// While the evacuated zones were last read some time ago nothing starts, placed
// before or not: a leader that was frozen may have missed an evacuation.
func TestNothingStartsWhileEvacuationsAreNotKnown(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 1, testStep(1, 8)))
	limits := testLimits
	limits.EvacuationTimeout = 5 * time.Second
	e.SetLimits(limits)
	e.SetEvacuationsReadAt(testStart)
	e.Decide(testStart) // placed, the record is in flight
	resumed := testStart.Add(2501 * time.Millisecond)
	e.MarkRecordsDurable(resumed)
	e.SetEvacuationsReadAt(testStart)
	plan := e.Decide(resumed)
	is.Equal(len(plan.Starts), 0)
	is.Equal(plan.LogEvents[len(plan.LogEvents)-1].Event, "evacuations_unknown")
	e.SetEvacuationsReadAt(resumed)
	is.Equal(len(decideFor(e, resumed.Add(50*time.Millisecond), 200*time.Millisecond)), 1)
}

// With every zone evacuated nothing starts, the log says why, and placement resumes at
// once afterwards.
func TestEveryZoneEvacuated(t *testing.T) {
	is := is.New(t)
	e := newZonedEngine(testJob("0000000000000001", 0, testStep(2, 8)))
	e.SetEvacuatedZones([]string{"z1", "z2"}, testStart)
	plan := e.Decide(testStart)
	is.Equal(len(plan.Records), 0)
	detail := ""
	for _, logEvent := range plan.LogEvents {
		if logEvent.Event == "load" {
			detail = logEvent.Detail
		}
	}
	is.True(strings.Contains(detail, "usable 0") && strings.Contains(detail, "evacuated 32"))
	back := testStart.Add(3 * time.Second)
	e.SetEvacuatedZones(nil, back)
	is.Equal(len(decideFor(e, back, 100*time.Millisecond)), 2)
}
