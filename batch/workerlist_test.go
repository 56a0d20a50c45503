package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// An entry that another writer made takes the worker of that key out of use, and an
// entry of a pool that nobody named is no worker; the others hold.
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

// entryDecoder reads the pool of a worker as its entry's value; "?" is unreadable.
type entryDecoder struct{ Decoder }

func (entryDecoder) Worker(record jobs.Record) (placing.WorkerEntry, bool, error) {
	if string(record.Value) == "?" {
		return placing.WorkerEntry{}, false, eris.New("unreadable")
	}
	return placing.WorkerEntry{ID: record.Key, Pool: string(record.Value)}, false, nil
}
