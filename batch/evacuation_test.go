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

// zoneDecoder reads requests to leave a zone alone, and takes other records for none.
type zoneDecoder struct{ Decoder }

func (zoneDecoder) Config(jobs.Record) (*Config, bool, error) { return nil, false, nil }

func (zoneDecoder) Evacuation(record jobs.Record) (string, bool, bool) {
	zone, ok := strings.CutPrefix(record.Key, "zone/")
	return zone, len(record.Value) > 0, ok
}

func zoneRecord(zone, value string) jobs.Record {
	return jobs.Record{Key: "zone/" + zone, Value: []byte(value)}
}

// applyOperatorRecords has an instance read what the operators wrote.
func (i *Instance) applyOperatorRecords(records ...jobs.Record) {
	i.operator.lock.Lock()
	defer i.operator.lock.Unlock()
	i.applyOperator(Batch{Records: records})
}

// recordsStore shows the newest records of a stream.
type recordsStore struct {
	unreachableStore
	records []jobs.Record
}

func (s *recordsStore) Newest(context.Context, Stream, int) (Batch, error) {
	return Batch{Records: s.records, Next: 9}, nil
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
		{"taken back", zoneRecord("z1", ""), []string{"z0"}},
		{"taken back twice", zoneRecord("z1", ""), []string{"z0"}},
		{"not readable", zoneRecord("z1", "\xff{"), []string{"z0", "z1"}},
	} {
		instance.applyOperatorRecords(step.record)
		is.Equal(instance.evacuations.list(), step.zones) // step.name
		is.Equal(instance.Status().Evacuated, step.zones)
	}
	// Once the log has forgotten its history, requests that were removed meanwhile are
	// gone without a word, and others stand.
	store.records = []jobs.Record{zoneRecord("z1", "{}")}
	is.NoErr(instance.operator.load(t.Context()))
	is.Equal(instance.evacuations.list(), []string{"z1"})
	store.records = nil
	is.NoErr(instance.operator.load(t.Context()))
	is.Equal(len(instance.evacuations.list()), 0)
}

// While no zone is left an urgent job is refused as never to run, with a time to come
// back; others are taken and wait. A job that was taken before stays so.
func TestUrgentJobsAreRefusedWhileEveryZoneIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newPartitionedStore()
		instance := standbyOf(t, store, "a1")
		instance.decoder = zoneDecoder{}
		instance.settings.Zones = []string{"z1", "z2"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, committer := range instance.committers {
			go committer.run(ctx)
		}
		urgent := func(id string) Outcome {
			return instance.Submit(ctx, &jobs.Submission{ID: id, Steps: []jobs.Step{{Tasks: 1}}})
		}
		instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		is.Equal(urgent("a2").Verdict, Accepted)
		instance.applyOperatorRecords(zoneRecord("z2", "{}"))
		refused := urgent("a3")
		is.Equal(refused.Verdict, NotRun)
		is.Equal(refused.RetryAfter, evacuatedRetryAfter)
		is.Equal(urgent("a1").Verdict, Accepted)
		patient := &jobs.Submission{ID: "a4", Queue: jobs.Queue{Priority: 1}, Steps: []jobs.Step{{Tasks: 1}}}
		is.Equal(instance.Submit(ctx, patient).Verdict, Accepted)
		instance.applyOperatorRecords(zoneRecord("z1", ""))
		is.Equal(urgent("a3").Verdict, Accepted)
	})
}

// A start that waits in an instance which has read of the evacuation is not sent, whether
// or not the holder of the term knows; one of which a try went unanswered stays open.
func TestLinkSendsNoStartToEvacuatedZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  int // tries until the instance reads of it
		result placing.StartResult
	}{
		{"known before", 0, placing.StartEvacuated},
		{"known after a try without an answer", 1, placing.StartUnknown},
		{"not known", maxOrderAttempts, placing.StartUnknown},
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

// An instance that was frozen, or whose reading has stopped, sends no start that has waited
// in it: a zone may have been evacuated meanwhile.
func TestInstanceThatHasNotReadSendsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		instance := standbyOf(t, &tailStore{}, "a1")
		useTestClock(instance.clock)
		is.True(instance.mayStartWithoutGrant("z1")) // no bound is stated
		instance.SetBounds(Bounds{Evacuate: 5 * time.Second})
		instance.operator.recordAnswer(instance.clock.Now())
		is.True(instance.mayStartWithoutGrant("z1"))
		time.Sleep(5*time.Second - evacuationStartMargin)
		is.True(!instance.mayStartWithoutGrant("z1"))
		instance.operator.recordAnswer(instance.clock.Now())
		is.True(instance.mayStartWithoutGrant("z1"))
	})
}

// setEvacuated has all instances read that a zone is evacuated, or taken back.
func (f *testFleet) setEvacuated(zone, value string) {
	for _, instance := range f.instances {
		instance.applyOperatorRecords(zoneRecord(zone, value))
	}
	f.leader.instance.applyOperatorRecords(zoneRecord(zone, value))
}

// startedIn counts the starts in a zone after a moment.
func (f *testFleet) startedIn(zone string, after time.Time) int {
	f.workers.lock.Lock()
	defer f.workers.lock.Unlock()
	count := 0
	for id, worker := range f.workers.workers {
		if zoneOf(id) == zone && worker.startedAt.After(after) {
			count++
		}
	}
	return count
}

// inZonedFleet runs a test with few workers, held by the holder of the term, and with many,
// held by others for it.
func inZonedFleet(t *testing.T, test func(f *testFleet, is *is.I, workers int)) {
	eitherWayHeld(t, func(f *testFleet, is *is.I, workers int) {
		f.leader.instance.decoder = zoneDecoder{}
		for _, instance := range f.instances {
			instance.decoder = zoneDecoder{}
		}
		test(f, is, workers)
	})
}

// No order reaches a worker of the zone once the instances have read of the evacuation,
// though many starts are on their way then over slow links; all work ends elsewhere, and
// the zone is used again when it is taken back.
func TestNoStartReachesEvacuatedZone(t *testing.T) {
	inZonedFleet(t, func(f *testFleet, is *is.I, workers int) {
		way := 60 * time.Millisecond
		f.workers.setSlow("a", way)
		for name := range f.instances {
			f.workers.setSlow(name, way)
		}
		f.submit("a1", 2*workers)
		time.Sleep(way / 2) // its starts are about to be sent
		f.setEvacuated("z1", "{}")
		sent := time.Now().Add(2 * way) // by then what was sent before has arrived
		time.Sleep(15 * time.Second)
		is.Equal(f.startedIn("z1", sent), 0)
		is.Equal(f.done(), 2*workers)
		is.Equal(f.doubles(), 0)
		f.setEvacuated("z1", "")
		back := time.Now()
		f.submit("a2", 2*workers)
		time.Sleep(10 * time.Second)
		is.True(f.startedIn("z1", back) > 0)
		is.Equal(f.done(), 4*workers)
	})
}

// An instance that keeps workers reads the operators' stream itself: it sends no start to
// the zone though the holder of the term has not read of the evacuation yet.
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
		is.Equal(f.done(), 2*manyWorkers)
	})
}

// The next holder of the term knows of an evacuation that began under a former one.
func TestNextLeaderAppliesEvacuation(t *testing.T) {
	inZonedFleet(t, func(f *testFleet, is *is.I, workers int) {
		next := f.newLeader(6)
		next.instance.decoder = zoneDecoder{}
		next.instance.applyOperatorRecords(zoneRecord("z1", "{}"))
		next.instance.evacuations.changed.Store(false) // a former term of this instance has looked
		next.loadEngine(placing.FormerHandedOver)
		former := f.loopDone
		f.leader, f.loopDone = next, make(chan struct{})
		f.start()
		<-former
		f.submit("a1", 2*workers)
		begin := time.Now()
		time.Sleep(12 * time.Second)
		is.Equal(f.startedIn("z1", begin), 0)
		is.Equal(f.done(), 2*workers)
	})
}

// A holder whose own reading of the operators' stream has stopped starts nothing, and goes
// on once it reads again.
func TestHolderThatDoesNotReadTheOperatorsStartsNothing(t *testing.T) {
	inFleet(t, fewWorkers, 0, time.Second, func(f *testFleet, is *is.I) {
		i := f.leader.instance
		i.SetBounds(Bounds{Lease: simLease, StopWithin: simBounds.StopWithin, Evacuate: 5 * time.Second})
		f.submit("a1", 10)
		time.Sleep(3 * time.Second)
		is.Equal(f.done(), 0) // it has read nothing so far
		i.operator.lock.Lock()
		i.operator.recordAnswer(i.clock.Now())
		i.operator.lock.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(f.done(), 10)
		time.Sleep(time.Second) // what was read is too old by now
		f.submit("a2", 10)
		time.Sleep(3 * time.Second)
		is.Equal(f.done(), 10)
	})
}
