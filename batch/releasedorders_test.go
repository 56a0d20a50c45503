package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// releaseTest is a leader whose events a test applies itself, with one task at worker w1.
type releaseTest struct {
	leader *leader
	begin  time.Time
	task   jobs.TaskKey
}

func testRelease(t *testing.T, test func(r *releaseTest, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := newTestLeader(ctx, newPartitionedStore(), 3)
		defer func() { cancel(); l.wg.Wait() }()
		l.instance.bounds = newBounds(simBounds)
		useTestClock(l.clock)
		l.engine.SetLimits(l.instance.limits())
		l.engine.MarkJobsComplete()
		r := &releaseTest{leader: l, begin: l.clock.Now()}
		r.list(r.begin, r.entry("w1", 100))
		l.engine.Report(r.entry("w1", 100).ID, r.begin, nil, nil, time.Time{}, r.begin)
		r.submit("a1", r.begin)
		starts := r.starts(r.begin)
		is.Equal(len(starts), 1)
		r.task = starts[0].Task
		l.engine.StartAnswered(starts[0].Worker, r.task, 1, placing.StartAccepted, r.begin)
		test(r, is)
	})
}

func (r *releaseTest) entry(name string, bornMS int64) placing.WorkerEntry {
	return placing.WorkerEntry{ID: placing.IncarnationID(name, bornMS), Name: name, BornMS: bornMS, Address: name, Pool: "pool", Kind: "a", Rack: "r",
		Capacity: jobs.Resources{MilliCores: 64000, MemoryMB: 1 << 18, Accelerators: 8}}
}

func (r *releaseTest) list(now time.Time, entries ...placing.WorkerEntry) {
	r.leader.dispatchers.updateWorkers(r.leader.engine.UpdateWorkers(entries, now), now)
}

func (r *releaseTest) submit(id string, now time.Time) {
	step := jobs.Step{Tasks: 1, EstimateMS: 9000, Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}
	r.leader.engine.ApplyJob(&jobs.Job{Submission: &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 9, Stretch: 3, TargetMS: 1000},
		Steps: []jobs.Step{step}}}, now)
}

// starts makes the records of new placements durable and returns the starts.
func (r *releaseTest) starts(now time.Time) []placing.Start {
	engine := r.leader.engine
	engine.SetListReadAt(now)
	engine.SetEvacuationsReadAt(now)
	engine.Decide(now)
	engine.MarkRecordsDurable(now)
	return engine.Decide(now).Starts
}

// moveWorker lets a delegate release the worker, which another one has from then on.
func (r *releaseTest) moveWorker(worker string, expiry, now time.Time) {
	w := r.leader.dispatchers.workers[worker]
	w.state, w.instance = releasing, "keeper-0"
	release{worker: worker, expiry: expiry}.apply(r.leader, now)
	w.state, w.instance = assigned, ownInstance
}

// Guards against ends that an acknowledgement of the former dispatcher, in flight as the worker was moved,
// discards at the next incarnation.
func TestNoWorkWhileAckOfFormerDispatcherMayArrive(t *testing.T) {
	testRelease(t, func(r *releaseTest, is *is.I) {
		first, later, engine := r.entry("w1", 100), r.entry("w1", 200), r.leader.engine
		engine.Report(first.ID, r.begin, nil, []placing.EndedTask{{Number: 1, Task: r.task, Run: 1, Kind: placing.EndDone}}, time.Time{}, r.begin)
		engine.Decide(r.begin)
		engine.MarkRecordsDurable(r.begin)
		is.Equal(len(engine.Decide(r.begin).Acks), 1)
		r.moveWorker(first.ID, r.begin.Add(simLease), r.begin)
		now := r.begin.Add(700 * time.Millisecond)
		incarnationChange{worker: first.ID, bornMS: 200}.apply(r.leader, now) // the next dispatcher has sent none
		r.list(now, later)
		engine.Report(later.ID, now, nil, nil, time.Time{}, now)
		r.submit("a2", now)
		is.Equal(len(r.starts(now)), 0)
		is.Equal(len(r.starts(r.begin.Add(placing.MaxOrderDelay))), 1)
	})
}

// Guards against a run that counts as over while a renewal lasts that was in flight as its worker was moved.
func TestRenewalInFlightAtReleaseCounts(t *testing.T) {
	testRelease(t, func(r *releaseTest, is *is.I) {
		first, other, l := r.entry("w1", 100), r.entry("w2", 100), r.leader
		at := func(ms int) time.Time { return r.begin.Add(time.Duration(ms) * time.Millisecond) }
		report := HoldReport{Running: []placing.RunningTask{{Task: r.task, Run: 1, Percent: 10}}}
		holdReply{worker: first.ID, report: report, sent: r.begin, expiry: r.begin.Add(placing.LeaseExpiry(simLease))}.apply(l, at(1900))
		r.moveWorker(first.ID, at(1900).Add(placing.LeaseExpiry(simLease)), at(3600))
		r.list(at(3600), other)
		holdFailure{worker: first.ID}.apply(l, at(4300)) // the next dispatcher's link has requested no lease
		for now := at(4300); now.Before(at(1900).Add(simLease)); now = now.Add(50 * time.Millisecond) {
			l.engine.Report(other.ID, now, nil, nil, time.Time{}, now)
			is.Equal(len(r.starts(now)), 0)
		}
	})
}
