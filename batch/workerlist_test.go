package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// An entry written by another writer makes the worker of that key unusable, and an entry of an
// unknown pool is ignored. Other entries stay valid.
func TestEntriesOfAnotherWriterNameNoWorker(t *testing.T) {
	is := is.New(t)
	l := newTestLeader(t.Context(), newPartitionedStore(), 3)
	l.instance.decoder = entryDecoder{}
	l.pools["pool"] = true
	l.applyWorkerList(Batch{Records: []jobs.Record{{Key: "w1", Value: []byte("pool")}, {Key: "w2", Value: []byte("pool")}, {Key: "w3", Value: []byte("other")}}})
	l.applyWorkerList(Batch{Records: []jobs.Record{{Key: "w2", Value: []byte("?")}, {Key: "w4", Value: []byte("?")}, {Key: "", Value: []byte("?")}}})
	is.Equal(len(l.entries), 2)
	l.workerList = l.newWorkerListFollower()
	l.instance.workers = &simClient{fleet: newSimWorkers(0, time.Second), instance: "a"}
	listChangedEvent{}.apply(l, l.clock.Now())
	is.Equal(len(l.dispatchers.workers), 1)
	is.True(l.dispatchers.workers["w1"] != nil)
	is.Equal(metrics.GetOrRegisterCounter("workers.entries_unreadable", l.instance.metrics.registry).Count(), int64(3))
}

// entryDecoder decodes the value of an entry as the pool of the worker; "?" is unreadable.
type entryDecoder struct{ Decoder }

func (entryDecoder) Worker(record jobs.Record) (placing.WorkerEntry, bool, error) {
	if string(record.Value) == "?" {
		return placing.WorkerEntry{}, false, eris.New("unreadable")
	}
	return placing.WorkerEntry{ID: record.Key, Pool: string(record.Value)}, false, nil
}

// Guards against workers that count as gone because a list was not read, or was read before the entries
// that expired in an outage of the store are back.
func TestListIsIncompleteUntilItHasBeenReadForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newTestLeader(ctx, &recordsStore{}, 5)
		useTestClock(l.instance.clock)
		l.workerList = l.newWorkerListFollower()
		incomplete := func() bool { return l.listIncomplete(l.clock.Now()) }
		read := func(duration time.Duration) {
			for range duration / (100 * time.Millisecond) {
				l.workerList.applyBatch(Batch{}, l.clock.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}
		is.True(incomplete()) // it was not read
		is.NoErr(l.workerList.load(ctx))
		is.True(incomplete()) // entries may still return
		read(entryReturnTime)
		is.True(!incomplete())
		l.workerList.recordFailure(errConnectionReset)
		is.True(incomplete())
		read(entryReturnTime - 200*time.Millisecond)
		is.True(incomplete())
		read(400 * time.Millisecond)
		is.True(!incomplete())
		time.Sleep(2 * contactTimeout) // reads are silent
		is.True(incomplete())
	})
}
