package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// idsInTwoParts returns the IDs of two jobs whose records are in different parts.
func idsInTwoParts() (known, unread string) {
	known = "a1"
	for number := 2; ; number++ {
		unread = fmt.Sprintf("a%d", number)
		if partOf(unread, 8) != partOf(known, 8) {
			return known, unread
		}
	}
}

// idsInOnePart returns the IDs of jobs whose records are in one part.
func idsInOnePart(count int) []string {
	var ids []string
	for number := 1; len(ids) < count; number++ {
		if id := fmt.Sprintf("b%d", number); partOf(id, 8) == 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// submitOnAll submits a job with one task on each of the workers, small enough for others beside it.
func (p *instancePair) submitOnAll(instance, id string, is *is.I) {
	submission := &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000}}
	submission.Steps = []jobs.Step{{Tasks: len(p.fleet.workers), MaxPerWorker: 1, EstimateMS: 1000, Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}}}
	record, err := jobs.SubmissionRecord(submission)
	is.NoErr(err)
	is.NoErr(p.clients[instance].Append(context.Background(), partOf(id, 8), []jobs.Record{record}, nil))
}

// doneRuns returns how many runs have ended as done on all workers.
func (s *simWorkers) doneRuns() int {
	s.sum(func(*simWorker) int { return 0 }) // brings the workers up to date
	s.lock.Lock()
	defer s.lock.Unlock()
	total := 0
	for _, runs := range s.done {
		total += runs
	}
	return total
}

// state returns the state of a job as an instance knows it.
func (p *instancePair) state(instance, id string) jobs.State {
	state, _ := p.instances[instance].cachedState(id)
	return state
}

// Guards against a second start at a change of term: the store turns the next leader away from the
// records of some jobs, and runs of a job that it knows end behind runs of one that it does not.
func TestEndsBehindThoseOfAJobThatTheNextLeaderCannotReadAreNotRunAgain(t *testing.T) {
	withInstancePair(t, func(*instancePair) {}, func(pair *instancePair, is *is.I) {
		known, unread := idsInTwoParts()
		leader, standby := pair.leaderAndStandby(is)
		pair.clients[standby].setReset(partOf(unread, 8), true)
		pair.submitOnAll(leader, unread, is)
		is.True(pair.startsWithin(unread, maxTaskWait))
		time.Sleep(200 * time.Millisecond)
		pair.submitOnAll(leader, known, is)
		is.True(pair.startsWithin(known, maxTaskWait))
		pair.instances[leader].Drain()
		is.True(pair.becomesLeader(standby, failoverTimeout))
		is.Equal(pair.fleet.doneRuns(), 0) // both jobs are still running
		time.Sleep(6 * time.Second)
		is.Equal(pair.state(standby, unread), jobs.State(""))
		is.Equal(pair.fleet.doneRuns(), 2*len(pair.fleet.workers)) // nothing is repeated meanwhile
		pair.clients[standby].setReset(partOf(unread, 8), false)
		time.Sleep(maxTaskWait)
		is.Equal(pair.state(standby, unread), jobs.StateDone)
		is.Equal(pair.state(standby, known), jobs.StateDone)
		is.Equal(pair.fleet.sum(func(w *simWorker) int { return w.doubleRuns }), 0)
		is.Equal(pair.fleet.doneRuns(), 2*len(pair.fleet.workers))
	})
}

// Guards against runs that are stopped, and ends that are acknowledged unread, because a new leader took
// the first page of callers' records for all of them.
func TestJobsBeyondThePageThatTheNextLeaderReadsFirstAreNotRunAgain(t *testing.T) {
	prepare := func(pair *instancePair) {
		pair.fleet.taskTime = 3 * time.Second
		for _, client := range pair.clients {
			client.pageSize = 1
		}
	}
	withInstancePair(t, prepare, func(pair *instancePair, is *is.I) {
		ids := idsInOnePart(6)
		leader, standby := pair.leaderAndStandby(is)
		pair.clients[standby].setReset(partOf(ids[0], 8), true)
		for _, id := range ids {
			pair.submitOnAll(leader, id, is)
		}
		for _, id := range ids {
			is.True(pair.startsWithin(id, maxTaskWait))
		}
		pair.instances[leader].Drain()
		is.True(pair.becomesLeader(standby, failoverTimeout))
		is.Equal(pair.fleet.doneRuns(), 0)
		pair.clients[standby].setDelay(500 * time.Millisecond)
		pair.clients[standby].setReset(partOf(ids[0], 8), false)
		time.Sleep(5 * maxTaskWait)
		for _, id := range ids {
			is.Equal(pair.state(standby, id), jobs.StateDone)
		}
		is.Equal(pair.fleet.sum(func(w *simWorker) int { return w.doubleRuns }), 0)
		is.Equal(pair.fleet.doneRuns(), len(ids)*len(pair.fleet.workers))
		is.Equal(pair.fleet.sum(func(w *simWorker) int { return w.startCount }), len(ids)*len(pair.fleet.workers))
	})
}

// pagedStore answers reads with one record of three.
type pagedStore struct {
	Store
	stuck bool // it returns no record after the first
}

func (s *pagedStore) Read(_ context.Context, _ Stream, _ int, from int64, _ time.Duration) (Batch, error) {
	batch := Batch{NextOffset: from, End: 3}
	if from < batch.End && (from == 0 || !s.stuck) {
		batch.Records, batch.Offsets, batch.NextOffset = []jobs.Record{{Key: "r"}}, []int64{from}, from+1
	}
	return batch, nil
}

// Guards against answers about jobs that were accepted, but are beyond the first page of a read.
func TestARefreshReadsToTheEndOfThePart(t *testing.T) {
	is := is.New(t)
	store := &pagedStore{}
	instance := New(Settings{Name: "a", StoreParts: 8, CPUShare: 1}, store, nil, nil, metrics.NewRegistry(), discardLog())
	is.NoErr(instance.calls[0].refresh(t.Context(), 0))
	is.Equal(instance.calls[0].position(), int64(3))
	store.stuck = true
	is.True(instance.calls[1].refresh(t.Context(), 0) != nil)
}
