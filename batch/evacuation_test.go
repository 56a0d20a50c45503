package batch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// zoneDecoder decodes evacuation requests and ignores other records.
type zoneDecoder struct{ Decoder }

func (zoneDecoder) Config(jobs.Record) (*Config, bool, error) { return nil, false, nil }

func (zoneDecoder) Evacuation(record jobs.Record) (string, bool, bool) {
	zone, ok := strings.CutPrefix(record.Key, "zone/")
	return zone, len(record.Value) > 0, ok
}

func zoneRecord(zone, value string) jobs.Record {
	return jobs.Record{Key: "zone/" + zone, Value: []byte(value)}
}

// applyOperatorRecords applies operators' records to an instance.
func (i *Instance) applyOperatorRecords(records ...jobs.Record) {
	i.operator.lock.Lock()
	defer i.operator.lock.Unlock()
	i.applyOperatorBatch(Batch{Records: records})
}

// recordsStore returns its records as the newest of every stream.
type recordsStore struct {
	downStore
	records []jobs.Record
}

func (s *recordsStore) ReadNewest(context.Context, Stream, int) (Batch, error) {
	return Batch{Records: s.records, NextOffset: 9}, nil
}

func TestEvacuationsFollowOperatorStream(t *testing.T) {
	is := is.New(t)
	store := &recordsStore{}
	instance := New(Settings{Name: "a", StoreParts: 8}, store, zoneDecoder{}, nil, metrics.NewRegistry(), discardLog())
	for _, step := range []struct {
		name   string
		record jobs.Record
		zones  []string
	}{
		{"written", zoneRecord("z1", "{}"), []string{"z1"}},
		{"written again", zoneRecord("z1", "{}"), []string{"z1"}},
		{"a second zone", zoneRecord("z0", "{}"), []string{"z0", "z1"}},
		{"a record of another kind", jobs.Record{Key: "config"}, []string{"z0", "z1"}},
		{"removed", zoneRecord("z1", ""), []string{"z0"}},
		{"removed twice", zoneRecord("z1", ""), []string{"z0"}},
		{"unreadable value", zoneRecord("z1", "\xff{"), []string{"z0", "z1"}},
	} {
		instance.applyOperatorRecords(step.record)
		is.Equal(instance.evacuations.list(), step.zones) // step.name
		is.Equal(instance.Status().Evacuated, step.zones)
	}
	// Once the log has dropped its history, requests that were removed meanwhile no longer appear,
	// and others remain in force.
	store.records = []jobs.Record{zoneRecord("z1", "{}")}
	is.NoErr(instance.operator.load(t.Context()))
	is.Equal(instance.evacuations.list(), []string{"z1"})
	store.records = nil
	is.NoErr(instance.operator.load(t.Context()))
	is.Equal(len(instance.evacuations.list()), 0)
}

// While every zone is evacuated an urgent job gets NotRun with a retry time; other jobs
// are accepted and wait. A job that was accepted before stays accepted.
func TestUrgentJobsAreRefusedWhileEveryZoneIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newPartitionedStore()
		instance := newLoadedInstance(t, store, "a1")
		instance.decoder = zoneDecoder{}
		instance.settings.Zones = []string{"z1", "z2"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, committer := range instance.committers {
			go committer.run(ctx)
		}
		submitUrgent := func(id string) Outcome {
			return instance.Submit(ctx, &jobs.Submission{ID: id, Steps: []jobs.Step{{Tasks: 1}}})
		}
		instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		is.Equal(submitUrgent("a2").Verdict, Accepted)
		instance.applyOperatorRecords(zoneRecord("z2", "{}"))
		refused := submitUrgent("a3")
		is.Equal(refused.Verdict, NotRun)
		is.Equal(refused.RetryAfter, evacuatedRetryAfter)
		is.Equal(submitUrgent("a1").Verdict, Accepted)
		deferrable := &jobs.Submission{ID: "a4", Queue: jobs.Queue{Priority: 1}, Steps: []jobs.Step{{Tasks: 1}}}
		is.Equal(instance.Submit(ctx, deferrable).Verdict, Accepted)
		instance.applyOperatorRecords(zoneRecord("z1", ""))
		is.Equal(submitUrgent("a3").Verdict, Accepted)
	})
}

// A start that is queued in an instance that has read the evacuation is not sent, whether or not
// the leader has read it. The outcome of a start with an unanswered attempt stays unknown.
func TestLinkSendsNoStartToEvacuatedZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  int // attempts before the instance reads the evacuation
		result placing.StartResult
	}{
		{"read before the first attempt", 0, placing.StartEvacuated},
		{"read after an unanswered attempt", 1, placing.StartUnknown},
		{"not read", maxOrderAttempts, placing.StartUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link, workers, answers := scriptedLink(nil)
				link.entry.Zone = "z1"
				link.env.startsAllowed = func(zone string) bool { return zone != "z1" || workers.calls < c.after }
				link.startRun(t.Context(), placing.Start{Worker: "w", Run: 1}, false, nil)
				answer, ok := answers.TryTake()
				is.True(ok)
				is.Equal(answer.(startReply).result, c.result)
				is.Equal(workers.calls, c.after)
			})
		})
	}
}

// An instance that was frozen, or that no longer reads the operator stream, sends no queued start:
// a zone may have been evacuated meanwhile.
func TestInstanceThatHasNotReadSendsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		instance := newLoadedInstance(t, &tailStore{}, "a1")
		useTestClock(instance.clock)
		is.True(instance.mayStartWithoutGrant("z1")) // no bound is set
		instance.SetBounds(Bounds{EvacuationTimeout: 5 * time.Second})
		instance.operator.recordAnswer(instance.clock.Now())
		is.True(instance.mayStartWithoutGrant("z1"))
		time.Sleep(5*time.Second - evacuationStartMargin)
		is.True(!instance.mayStartWithoutGrant("z1"))
		instance.operator.recordAnswer(instance.clock.Now())
		is.True(instance.mayStartWithoutGrant("z1"))
	})
}

// setEvacuated makes all instances read that a zone is evacuated, or no longer is.
func (f *testFleet) setEvacuated(zone, value string) {
	for _, instance := range f.instances {
		instance.applyOperatorRecords(zoneRecord(zone, value))
	}
	f.leader.instance.applyOperatorRecords(zoneRecord(zone, value))
}

// startedIn returns the number of workers of a zone whose last start was after the given time.
func (f *testFleet) startedIn(zone string, after time.Time) int {
	f.workers.lock.Lock()
	defer f.workers.lock.Unlock()
	count := 0
	for id, worker := range f.workers.workers {
		if zoneOfWorker(id) == zone && worker.startedAt.After(after) {
			count++
		}
	}
	return count
}

// inZonedFleet runs a test with few workers, to which the leader dispatches, and with many, to
// which delegates dispatch.
func inZonedFleet(t *testing.T, test func(f *testFleet, is *is.I, workers int)) {
	withAndWithoutDelegates(t, func(f *testFleet, is *is.I, workers int) {
		f.leader.instance.decoder = zoneDecoder{}
		for _, instance := range f.instances {
			instance.decoder = zoneDecoder{}
		}
		test(f, is, workers)
	})
}

// No start reaches a worker of the zone once the instances have read the evacuation, although many
// starts are in flight over slow links. All work ends in other zones, and the zone is used again
// after the evacuation ends.
func TestNoStartReachesEvacuatedZone(t *testing.T) {
	inZonedFleet(t, func(f *testFleet, is *is.I, workers int) {
		latency := 60 * time.Millisecond
		f.workers.setSlow("a", latency)
		for name := range f.instances {
			f.workers.setSlow(name, latency)
		}
		f.submit("a1", 2*workers)
		time.Sleep(latency / 2) // the job's starts are about to be sent
		f.setEvacuated("z1", "{}")
		arrivedBy := time.Now().Add(2 * latency) // starts sent earlier have arrived by then
		time.Sleep(15 * time.Second)
		is.Equal(f.startedIn("z1", arrivedBy), 0)
		is.Equal(f.doneTasks(), 2*workers)
		is.Equal(f.doubleRuns(), 0)
		f.setEvacuated("z1", "")
		reopenedAt := time.Now()
		f.submit("a2", 2*workers)
		time.Sleep(10 * time.Second)
		is.True(f.startedIn("z1", reopenedAt) > 0)
		is.Equal(f.doneTasks(), 4*workers)
	})
}

// A delegate reads the operator stream itself: it sends no start to the zone although the leader
// has not read the evacuation yet.
func TestDelegateStopsStartsBeforeLeaderReadsEvacuation(t *testing.T) {
	inFleet(t, manyWorkers, 8, time.Second, func(f *testFleet, is *is.I) {
		for _, instance := range f.instances {
			instance.decoder = zoneDecoder{}
			instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		}
		begin := time.Now()
		f.submit("a1", 2*manyWorkers)
		time.Sleep(2 * time.Second)
		is.Equal(f.startedIn("z1", begin), 0)
		f.leader.instance.decoder = zoneDecoder{}
		f.leader.instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		time.Sleep(12 * time.Second)
		is.Equal(f.startedIn("z1", begin), 0)
		is.Equal(f.doneTasks(), 2*manyWorkers)
	})
}

// The next leader applies an evacuation that began under a former leader.
func TestNextLeaderAppliesEvacuation(t *testing.T) {
	inZonedFleet(t, func(f *testFleet, is *is.I, workers int) {
		next := f.newLeader(6)
		next.instance.decoder = zoneDecoder{}
		next.instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		next.instance.evacuations.changed.Store(false) // already applied in a former term of this instance
		next.loadEngine(placing.FormerLeaderReleased)
		formerDone := f.loopDone
		f.leader, f.loopDone = next, make(chan struct{})
		f.start()
		<-formerDone
		f.submit("a1", 2*workers)
		begin := time.Now()
		time.Sleep(12 * time.Second)
		is.Equal(f.startedIn("z1", begin), 0)
		is.Equal(f.doneTasks(), 2*workers)
	})
}

// A leader that no longer reads the operator stream starts nothing, and continues once it reads
// again.
func TestHolderThatDoesNotReadTheOperatorsStartsNothing(t *testing.T) {
	inFleet(t, fewWorkers, 0, time.Second, func(f *testFleet, is *is.I) {
		i := f.leader.instance
		i.SetBounds(Bounds{MaxLease: simLease, MaxStopTime: simBounds.MaxStopTime, EvacuationTimeout: 5 * time.Second})
		f.submit("a1", 10)
		time.Sleep(3 * time.Second)
		is.Equal(f.doneTasks(), 0) // the leader has not read the operator stream yet
		i.operator.lock.Lock()
		i.operator.recordAnswer(i.clock.Now())
		i.operator.lock.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(f.doneTasks(), 10)
		time.Sleep(time.Second) // the last read is too old by now
		f.submit("a2", 10)
		time.Sleep(3 * time.Second)
		is.Equal(f.doneTasks(), 10)
	})
}
