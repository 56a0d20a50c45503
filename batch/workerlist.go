package batch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// workerListReadInterval is the interval between reads of the worker list, which changes many times
// a second. A worker that leaves has to be noticed within two seconds.
const workerListReadInterval = 400 * time.Millisecond

// entryReturnTime is how long after an outage of the store entries that expired meanwhile may be absent.
// The platform states about two seconds.
const entryReturnTime = 2500 * time.Millisecond

func (l *leader) newWorkerListFollower() *follower {
	f := l.instance.newFollower(StreamWorkers, 0, &sync.Mutex{}, stateReadWait)
	f.apply = l.applyWorkerList
	f.reset = func() { clear(l.entries) }
	f.readInterval = func() time.Duration { return workerListReadInterval }
	f.pacer = nil // the leader does not yield to the others
	return f
}

// listIncomplete reports whether workers that are alive may be absent from the list.
func (l *leader) listIncomplete(now time.Time) bool {
	f := l.workerList
	f.lock.Lock()
	defer f.lock.Unlock()
	return !f.loaded || f.failures > 0 || now.Sub(f.contactAt) > contactTimeout || now.Sub(f.steadySince) < entryReturnTime
}

func (l *leader) applyWorkerList(batch Batch) {
	for _, record := range batch.Records {
		entry, gone, err := l.instance.decoder.Worker(record)
		if err != nil {
			l.logUnreadableEntry(record, err)
		}
		if err != nil || gone {
			delete(l.entries, record.Key)
			continue
		}
		l.entries[record.Key] = entry
	}
	l.offer(listChangedEvent{})
}

// logUnreadableEntry logs an entry written by another writer. It replaces the worker's own entry,
// which is no longer valid.
func (l *leader) logUnreadableEntry(record jobs.Record, err error) {
	fields := logrus.Fields{"worker": record.Key, "error": err.Error()}
	l.instance.eventLog.write(l.log, "worker_entry_unreadable", fields)
	l.instance.metrics.count("workers.entries_unreadable")
}

// listChangedEvent signals that the worker list was read.
type listChangedEvent struct{}

func (listChangedEvent) apply(l *leader, now time.Time) {
	l.workerList.lock.Lock()
	entries := make([]placing.WorkerEntry, 0, len(l.entries))
	for _, entry := range l.entries {
		if l.pools[entry.Pool] {
			entries = append(entries, entry)
		}
	}
	l.workerList.lock.Unlock()
	l.dispatchers.updateWorkers(l.engine.UpdateWorkers(entries, now), now)
}
