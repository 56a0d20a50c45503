package batch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// speedsOf returns the record of the speeds of workers 0 to count-1.
func speedsOf(count int) jobs.Record {
	speeds := &jobs.Speeds{Variance: 0.1}
	for number := range count {
		hash := jobs.IncarnationHash(fmt.Sprintf("w%03d", number))
		speeds.Workers = append(speeds.Workers, jobs.WorkerSpeed{Incarnation: hash, LogSpeed: 0.3, Samples: 4})
	}
	return jobs.SpeedsRecord(speeds)
}

// listWorkers passes a list of workers 0 to count-1 to the leader's engine.
func (l *leader) listWorkers(count int) {
	var entries []placing.WorkerEntry
	for number := range count {
		entries = append(entries, placing.WorkerEntry{ID: fmt.Sprintf("w%03d", number), Pool: "pool"})
	}
	l.engine.UpdateWorkers(entries, l.clock.Now())
}

// loadSpeeds has a leader take over after it has read some records of speeds, and returns the status
// that it shows then.
func loadSpeeds(t *testing.T, workers int, records ...jobs.Record) (l *leader, status Status) {
	ctx, cancel := context.WithCancel(t.Context())
	l = newTestLeader(ctx, newPartitionedStore(), 3)
	for _, record := range records {
		l.instance.fold.apply(7, Batch{Records: []jobs.Record{record}, Offsets: []int64{1}})
	}
	l.engine = placing.New(l.instance.limits(), 3, l.clock.WallMS)
	l.loadEngine(placing.FormerLeaderReleased)
	l.listWorkers(workers)
	l.publishSpeeds(l.clock.Now())
	l.execute(ctx, l.engine.Decide(l.clock.Now()))
	cancel()
	l.wg.Wait()
	return l, l.instance.Status()
}

// A leader knows the speeds that its predecessor recorded before it places anything, and says so.
func TestNewLeaderLoadsSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, status := loadSpeeds(t, 10, speedsOf(7))
		is.Equal(status.Speeds, placing.SpeedsStatus{Significant: true, Known: 7, Unknown: 3})
		is.Equal(l.instance.metrics.knownSpeeds.Value(), int64(7))
		is.Equal(l.instance.metrics.unknownSpeeds.Value(), int64(3))
		is.Equal(countDecisions(l, "speeds_loaded"), int64(1))
		l.instance.withdrawSpeeds()
		is.Equal(l.instance.Status().Speeds, placing.SpeedsStatus{})
		is.Equal(l.instance.metrics.knownSpeeds.Value(), int64(0))
	})
}

// A record of speeds that cannot be read costs the term nothing but what it would have told.
func TestLeaderWorksWithoutReadableSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		corrupt := speedsOf(7)
		corrupt.Value[20]++
		l, status := loadSpeeds(t, 10, corrupt)
		is.Equal(status.Speeds, placing.SpeedsStatus{Unknown: 10})
		is.Equal(countDecisions(l, "speeds_loaded"), int64(0))
	})
}

// A former leader that was frozen writes its speeds late. The store refuses them as it does its
// progress, as they are in the same group.
func TestFormerLeaderCannotReplaceSpeeds(t *testing.T) {
	is := is.New(t)
	store := newPartitionedStore()
	former := newTestWriter(store, 3)
	is.NoErr(former.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{speedsOf(7)}}))
	is.Equal(store.keys(7), []string{"mark", "speeds"})
	current := newTestWriter(store, 4)
	is.NoErr(current.fenceProgress(t.Context()))
	is.Equal(former.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{speedsOf(2)}}), ErrFenced)
	is.Equal(len(slices.DeleteFunc(store.keys(7), func(key string) bool { return key != "speeds" })), 1)
}

// Counting the workers of a large site is not for every pass of the leader.
func TestSpeedsArePublishedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := loadSpeeds(t, 10, speedsOf(7))
		l.listWorkers(5)
		l.publishSpeeds(l.clock.Now().Add(speedsPublishInterval / 2))
		is.Equal(l.instance.Status().Speeds.Unknown, 3)
		l.publishSpeeds(l.clock.Now().Add(speedsPublishInterval + time.Millisecond))
		is.Equal(l.instance.Status().Speeds.Unknown, 0)
	})
}

func countDecisions(l *leader, name string) int64 {
	return metrics.GetOrRegisterCounter("decisions."+name, l.instance.metrics.registry).Count()
}

// knownSpeeds returns how many workers the leader of a pair of instances knows the speed of.
func (p *instancePair) knownSpeeds(leader string) int64 {
	return p.instances[leader].metrics.knownSpeeds.Value()
}

// The speeds outlive two changes of leader: each new one reads them with the progress, before its term
// begins to place.
func TestSpeedsOutliveChangesOfLeader(t *testing.T) {
	record := func(pair *instancePair) jobs.Record {
		speeds := &jobs.Speeds{Variance: 0.1}
		for _, entry := range pair.fleet.entries() {
			speeds.Workers = append(speeds.Workers, jobs.WorkerSpeed{Incarnation: jobs.IncarnationHash(entry.ID), LogSpeed: 0.3, Samples: 4})
		}
		return jobs.SpeedsRecord(speeds)
	}
	prepare := func(pair *instancePair) {
		log := pair.clients["a"].sharedLog
		log.parts[progressPart(8)] = append(log.parts[progressPart(8)], record(pair))
	}
	withInstancePair(t, prepare, func(pair *instancePair, is *is.I) {
		leader, standby := pair.leaderAndStandby(is)
		workers := int64(len(pair.fleet.entries()))
		is.Equal(pair.knownSpeeds(leader), workers)
		for range 2 {
			pair.clients[leader].setStuck(true)
			pair.submit(standby, "a"+leader, is) // progress that the leader cannot write
			is.True(pair.becomesLeader(standby, failoverTimeout))
			time.Sleep(2 * speedsPublishInterval)
			is.Equal(pair.knownSpeeds(standby), workers)
			pair.clients[leader].setStuck(false)
			time.Sleep(takeoverBackoff) // until then an instance that could not write claims no such term
			leader, standby = standby, leader
		}
	})
}
