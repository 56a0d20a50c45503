package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// speedsIn returns the speeds among some records, folded as the next leader reads them; nil for none.
func speedsIn(is *is.I, records []jobs.Record) *jobs.Speeds {
	table := jobs.NewTable()
	for offset, record := range records {
		_, err := table.Apply(record, 7, int64(offset))
		is.NoErr(err)
	}
	return table.Speeds()
}

// recordedSpeeds returns the speeds that the engine records with the progress of a job that changes
// at the given time.
func recordedSpeeds(is *is.I, e *Engine, now time.Time) *jobs.Speeds {
	e.markDirty(e.active[0])
	plan := e.Decide(now)
	e.MarkRecordsDurable(now)
	return speedsIn(is, plan.Records)
}

// nextLeader returns the engine of the next leader with the same workers, after it has read what the
// former one has recorded.
func nextLeader(speeds *jobs.Speeds, entries []WorkerEntry, now time.Time) *Engine {
	e := testEngine(2)
	e.LoadSpeeds(speeds, now)
	e.LoadJobs(nil, FormerLeaderReleased, now)
	e.MarkJobsComplete()
	e.UpdateWorkers(entries, now)
	for _, entry := range entries {
		e.Report(entry.ID, now, nil, nil, time.Time{}, now)
	}
	return e
}

func entriesOf(e *Engine) []WorkerEntry {
	var entries []WorkerEntry
	for _, n := range e.nodeOrder {
		entries = append(entries, n.entry)
	}
	return entries
}

// A leader is lost while batch work runs. Its successor, which has seen no task yet, places an urgent
// gang on fast workers.
func TestNextLeaderPlacesUrgentGangOnFastWorkers(t *testing.T) {
	is := is.New(t)
	former, now := mixedFleet(is, speedOfWorker)
	speeds := recordedSpeeds(is, former, now.Add(speedsRecordInterval))
	is.Equal(len(speeds.Workers), speedWorkers)
	e := nextLeader(speeds, entriesOf(former), now)
	gang := testStep(8, 6)
	gang.Gang = true
	e.ApplyJob(&jobs.Job{Submission: testJob(hexID(2), 0, gang)}, now)
	starts := startAll(e, now.Add(100*time.Millisecond))
	is.Equal(len(starts), 8)
	for _, start := range starts {
		var number int
		fmt.Sscanf(start.Worker, "w%02d", &number)
		is.Equal(speedOfWorker(number), 1.25)
	}
}

// Two changes of leader, of which the second comes before anything was learned: what the first leader
// learned is not lost, and the second one has nothing to record.
func TestSpeedsOutliveALeaderThatLearnsNothing(t *testing.T) {
	is := is.New(t)
	first, now := mixedFleet(is, speedOfWorker)
	records := jobs.SpeedsRecord(recordedSpeeds(is, first, now.Add(speedsRecordInterval)))
	second := nextLeader(speedsIn(is, []jobs.Record{records}), entriesOf(first), now)
	second.ApplyJob(&jobs.Job{Submission: testJob(hexID(2), 2, testStep(1, 1))}, now)
	is.Equal(recordedSpeeds(is, second, now.Add(2*speedsRecordInterval)), nil)
	third := nextLeader(speedsIn(is, []jobs.Record{records}), entriesOf(first), now)
	is.True(third.speedVariance.significant)
	is.True(third.nodes["w02"].speed.factor() > 1.05)
	is.True(third.nodes["w00"].speed.factor() < 0.95)
}

// A worker that has started again since, and one that is gone, leave no estimate behind.
func TestSpeedOfAFormerIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	former, now := mixedFleet(is, speedOfWorker)
	speeds := recordedSpeeds(is, former, now.Add(speedsRecordInterval))
	entries := entriesOf(former)[1:]
	entries[1].ID, entries[1].Name, entries[1].BornMS = IncarnationID("w02", 7), "w02", 7
	e := nextLeader(speeds, entries, now)
	is.Equal(e.nodes[entries[1].ID].speed, speedEstimate{})
	is.Equal(e.SpeedsStatus(), SpeedsStatus{Significant: true, Known: speedWorkers - 2, Unknown: 1})
}

// A worker may have changed since: what the new leader sees outweighs what it has inherited.
func TestInheritedSpeedCountsLessThanOwnSamples(t *testing.T) {
	is := is.New(t)
	id := "w1"
	speeds := &jobs.Speeds{Variance: 0.1, Workers: []jobs.WorkerSpeed{{Incarnation: jobs.IncarnationHash(id), LogSpeed: 0.4, Samples: maxSpeedSamples}}}
	e := nextLeader(speeds, []WorkerEntry{testWorker(id, "r1-1")}, testStart)
	n := e.nodes[id]
	is.True(n.speed.factor() > 1.3)
	is.Equal(n.speed.count, float64(maxSpeedSamples)*inheritedShare)
	for range maxSpeedSamples {
		e.recordSpeed(n, 0.67)
	}
	is.True(n.speed.factor() < 1)
}

// Where workers are alike nothing is recorded, and a record without a significant difference makes no
// speeds count.
func TestEqualWorkersRecordNoSpeeds(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, func(int) float64 { return 1 })
	is.Equal(recordedSpeeds(is, e, now.Add(2*speedsRecordInterval)), nil)
	alike := &jobs.Speeds{Variance: speedVarianceOff / 2, Workers: []jobs.WorkerSpeed{{Incarnation: 1, Samples: 3}}}
	is.True(!nextLeader(alike, nil, now).speedVariance.significant)
	is.True(!nextLeader(nil, nil, now).speedVariance.significant)
}

// The record is written seldom: not with each group of progress, and not for a few workers' changes.
func TestSpeedsAreRecordedSeldom(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	now = now.Add(speedsRecordInterval)
	is.True(recordedSpeeds(is, e, now) != nil)
	for range 5 {
		now = now.Add(speedsRecordInterval / 5)
		e.nodes["w03"].speed = speedEstimate{logSum: 0.1 * float64(now.Sub(testStart).Seconds()), count: 2}
		is.Equal(recordedSpeeds(is, e, now), nil)
	}
	for _, id := range []string{"w03", "w04", "w05"} {
		e.nodes[id].speed = speedEstimate{logSum: 2, count: 2}
	}
	is.Equal(recordedSpeeds(is, e, now.Add(speedsRecordInterval/2)), nil)
	is.True(recordedSpeeds(is, e, now.Add(speedsRecordInterval)) != nil)
}

// Guards against a group of progress beyond the store's limit: with more progress than one group
// holds the speeds wait for a later one.
func TestFullGroupHoldsNoSpeeds(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	now = now.Add(speedsRecordInterval)
	e.groupLimit = 0
	e.ApplyJob(&jobs.Job{Submission: testJob(hexID(2), 2, testStep(1, 1))}, now)
	e.markDirty(e.active[0])
	e.markDirty(e.active[1])
	is.Equal(speedsIn(is, e.Decide(now).Records), nil)
	e.MarkRecordsDurable(now)
	is.True(speedsIn(is, e.Decide(now).Records) != nil)
}
