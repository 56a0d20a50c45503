package batch

import (
	"sync/atomic"
	"time"

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

	clock            *Clock
	termReadAt       time.Time // when the newest record of the term was read
	formerTerm       jobs.Term // newest record of the term before it; zero if none was read
	formerTermReadAt time.Time // when that was read
}

func newWorkFold(clock *Clock, log *logrus.Entry) *workFold {
	return &workFold{clock: clock, table: jobs.NewTable(), log: log, dirty: map[string]bool{}, signal: make(chan struct{}, 1)}
}

func (w *workFold) apply(part int, batch Batch) {
	for index, record := range batch.Records {
		former := w.table.Term()
		change, err := w.table.Apply(record, part, batch.Offsets[index])
		if err != nil {
			w.log.WithField("error", err.Error()).Error("record_unreadable")
			continue
		}
		if change.TermUpdated {
			w.recordTerm(former)
		}
		if change.JobID != "" && w.trackDirty.Load() {
			w.dirty[change.JobID] = true
		}
	}
	w.wake()
}

// recordTerm records when the term and the one before it were read last. A record is read after it was
// appended.
func (w *workFold) recordTerm(former jobs.Term) {
	if w.table.Term().Epoch != former.Epoch {
		w.formerTerm, w.formerTermReadAt = former, w.termReadAt
	}
	w.termReadAt = w.clock.Now()
}

// wake notifies the leader duty at once.
func (w *workFold) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
