package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// unreachedCase is a leader of term 2 with a run on record at w1; w2 is listed.
type unreachedCase struct {
	is     *is.I
	engine *Engine
	table  *jobs.Table
	offset int64
	job    *jobs.Submission
}

func newUnreachedCase(t *testing.T) *unreachedCase {
	c := &unreachedCase{is: is.New(t), table: jobs.NewTable(), job: testJob(hexID(1), 1, testStep(1, 1))}
	submission, err := jobs.SubmissionRecord(c.job)
	c.is.NoErr(err)
	progress, err := jobs.ProgressRecord(c.job.ID, &jobs.Progress{State: jobs.StateRunning, Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1"}}})
	c.is.NoErr(err)
	c.append(submission, progress)
	c.engine = c.newLeader(2, testStart, nil)
	return c
}

func (c *unreachedCase) append(records ...jobs.Record) {
	for _, record := range records {
		c.offset++
		_, err := c.table.Apply(record, 0, c.offset)
		c.is.NoErr(err)
	}
}

// newLeader returns the leader of a term that reads the records. former states until when former
// leases last, unless it is nil.
func (c *unreachedCase) newLeader(epoch int64, now time.Time, former *Engine) *Engine {
	e := testEngine(epoch)
	if former != nil {
		e.SetFormerLeases(former.FormerLeasesExpireAt())
	}
	e.LoadUnreached(c.table.Unreached())
	e.LoadJobs(c.table.All(), FormerLeaderReleased, now)
	e.MarkJobsComplete()
	return e
}

// list passes the workers that are listed, and returns the names of those that may be polled.
func (c *unreachedCase) list(names ...string) (mayPoll []string) {
	var entries []WorkerEntry
	for _, name := range names {
		entries = append(entries, testWorker(name, "r1-1"))
	}
	for _, entry := range c.engine.UpdateWorkers(entries, testStart) {
		mayPoll = append(mayPoll, entry.ID)
	}
	return mayPoll
}

// decide returns the statement that the next plan records, nil for none.
func (c *unreachedCase) decide() *jobs.Unreached {
	before := c.table.Unreached()
	c.append(c.engine.Decide(testStart).Records...)
	if after := c.table.Unreached(); after != before {
		return after
	}
	return nil
}

// A worker of a statement is polled only once the statement without it is durable, and is never
// stated again in the term.
func TestReturnedWorkerIsPolledOnlyAfterItsStatementIsWithdrawn(t *testing.T) {
	c := newUnreachedCase(t)
	c.is.Equal(c.list("w2"), []string{"w2"})
	c.is.Equal(c.decide(), &jobs.Unreached{Epoch: 2, LeadMS: map[string]int64{"w1": 0}})
	c.is.Equal(c.list("w1", "w2"), []string{"w2"}) // the statement is in flight
	c.engine.MarkRecordsDurable(testStart)
	c.is.Equal(c.list("w1", "w2"), []string{"w2"})
	c.is.Equal(c.decide(), &jobs.Unreached{Epoch: 2})
	c.is.Equal(c.list("w1", "w2"), []string{"w2"}) // the withdrawal is in flight
	c.engine.MarkRecordsDurable(testStart)
	c.is.True(c.engine.Decide(testStart).RelistWorkers)
	c.is.Equal(c.list("w1", "w2"), []string{"w1", "w2"})
	c.list("w2")
	c.is.Equal(c.decide(), nil)
}

// A worker that was listed before it left may have been polled.
func TestWorkerThatWasListedIsNotStatedAsUnreached(t *testing.T) {
	c := newUnreachedCase(t)
	c.is.Equal(c.list("w1", "w2"), []string{"w1", "w2"})
	c.list("w2")
	c.is.Equal(c.decide(), nil)
}

// While the list is incomplete, workers that are alive are absent from it and have to be polled as soon
// as they return.
func TestNoWorkerIsStatedAsUnreachedWhileTheListIsIncomplete(t *testing.T) {
	c := newUnreachedCase(t)
	c.engine.SetListIncomplete(true)
	c.list("w2")
	c.is.Equal(c.decide(), nil)
	c.engine.MarkRecordsDurable(testStart)
	c.engine.SetListIncomplete(false)
	c.list("w2")
	c.is.True(c.decide() != nil)
	c.engine.MarkRecordsDurable(testStart)
	c.engine.SetListIncomplete(true)
	c.list("w2")
	c.is.Equal(c.decide(), nil) // what is stated stays
}

// The time until which leases last at an unreached worker stays the same over all leaders that state it, and
// nothing runs elsewhere before.
func TestLeasesOnAnUnreachedWorkerExpireOnceOverLeaders(t *testing.T) {
	c := newUnreachedCase(t)
	expiry := c.engine.FormerLeasesExpireAt()
	for epoch := int64(3); epoch < 6; epoch++ {
		c.list("w2")
		c.is.True(c.decide() != nil)
		c.engine = c.newLeader(epoch, testStart.Add(time.Duration(epoch)*time.Second), c.engine)
		c.is.True(c.engine.FormerLeasesExpireAt().After(expiry))
	}
	c.list("w2")
	c.engine.Report("w2", testStart, nil, nil, time.Time{}, testStart)
	c.is.Equal(len(startAll(c.engine, expiry.Add(-time.Millisecond))), 0)
	c.is.Equal(len(startAll(c.engine, expiry.Add(time.Second))), 1)
}

// Without the word of the leader just before, or of how long leases last, a worker may have been reached.
func TestLeasesAreWaitedForAnewUnlessTheFormerLeaderStatesTheWorker(t *testing.T) {
	for name, take := range map[string]func(c *unreachedCase) *Engine{
		"a term without a statement between": func(c *unreachedCase) *Engine { return c.newLeader(4, testStart, c.engine) },
		"former leases are not known":        func(c *unreachedCase) *Engine { return c.newLeader(3, testStart, nil) },
		"the statement is withdrawn": func(c *unreachedCase) *Engine {
			c.engine.MarkRecordsDurable(testStart)
			c.list("w1", "w2")
			c.decide()
			return c.newLeader(3, testStart, c.engine)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newUnreachedCase(t)
			c.list("w2")
			c.is.True(c.decide() != nil)
			c.engine = take(c)
			c.engine.SetFormerLeases(testStart.Add(time.Minute))
			c.list("w2")
			c.engine.Report("w2", testStart, nil, nil, time.Time{}, testStart)
			c.is.Equal(len(c.engine.unreached.inherited), 0)
			c.is.Equal(c.engine.nodes["w1"].leasesExpireAt, testStart.Add(LeaseExpiry(testLimits.MaxLease)+testLimits.ReleasedTermTimeout))
		})
	}
}
