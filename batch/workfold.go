package batch

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// workFold is the state folded from the work stream, with notification of changes.
type workFold struct {
	table      *jobs.Table
	log        *logrus.Entry
	dirty      map[string]bool // jobs that changed since the leader last took them
	trackDirty atomic.Bool     // whether a leader uses dirty
	signal     chan struct{}   // notifies the leader duty; see wake
}

func newWorkFold(log *logrus.Entry) *workFold {
	return &workFold{table: jobs.NewTable(), log: log, dirty: map[string]bool{}, signal: make(chan struct{}, 1)}
}

func (w *workFold) apply(part int, batch Batch) {
	for index, record := range batch.Records {
		change, err := w.table.Apply(record, part, batch.Offsets[index])
		if err != nil {
			w.log.WithField("error", err.Error()).Error("record_unreadable")
			continue
		}
		if change.JobID != "" && w.trackDirty.Load() {
			w.dirty[change.JobID] = true
		}
	}
	w.wake()
}

// wake notifies the leader duty at once.
func (w *workFold) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
