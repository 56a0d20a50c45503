package batch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// listPause is the pause between reads of the workers' list, which changes many times a
// second; a leaving worker must be known in two seconds.
const listPause = 400 * time.Millisecond

func (l *leader) newList() *follower {
	made := l.instance.newFollower(StreamWorkers, 0, &sync.Mutex{}, progressWait)
	made.apply = l.applyList
	made.reset = func() { clear(l.entries) }
	made.gap = func() time.Duration { return listPause }
	return made
}

func (l *leader) applyList(batch Batch) {
	for _, record := range batch.Records {
		entry, gone, err := l.instance.decoder.Worker(record)
		if err != nil {
			l.unreadable(record, err)
		}
		if err != nil || gone {
			delete(l.entries, record.Key)
			continue
		}
		l.entries[record.Key] = entry
	}
	l.offer(listChanged{})
}

// unreadable notes an entry that another writer made. It stands in for the
// worker's own, which does not hold any more.
func (l *leader) unreadable(record jobs.Record, err error) {
	fields := logrus.Fields{"worker": record.Key, "error": err.Error()}
	l.instance.chronicle.write(l.log, "worker_entry_unreadable", fields)
	l.instance.metrics.count("workers.entries_unreadable")
}

// listChanged says that the list of workers was read.
type listChanged struct{}

func (listChanged) apply(l *leader, now time.Time) {
	l.listed.lock.Lock()
	entries := make([]placing.WorkerEntry, 0, len(l.entries))
	for _, entry := range l.entries {
		if l.pools[entry.Pool] {
			entries = append(entries, entry)
		}
	}
	l.listed.lock.Unlock()
	l.drivers.list(l.engine.List(entries, now), now)
}
