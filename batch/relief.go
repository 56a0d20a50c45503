package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// stalledAfter is how long a group of progress may be on its way before the holder
	// says in the term that it cannot write any. The store refuses when 2 s of work are
	// waiting, so a slow one answers before.
	stalledAfter = 3 * time.Second
	// reliefCheck bounds the append by which another instance finds out whether it can.
	reliefCheck = time.Second
	// reliefPause passes between such an append and the claim: where the part was away for
	// all and is back, the holder's next try succeeds in that time, and it keeps the term.
	reliefPause = patienceMost + time.Second
	// reliefAgain follows a check that did not lead to a claim.
	reliefAgain = 2 * time.Second
	// reliefRest is for how long an instance that could not write progress claims no term
	// of another that cannot, so that the term does not go to and fro between them.
	reliefRest = 30 * time.Second
)

// relief lets an instance claim the term of a holder that cannot write progress, once it
// has found out that it can itself.
type relief struct {
	instance *Instance
	running  sync.WaitGroup
	busy     atomic.Bool
}

// consider begins a check if the holder asks for one.
func (r *relief) consider(ctx context.Context, term jobs.Term) {
	if !term.Stalled || !r.instance.mayRelieve() || r.busy.Swap(true) {
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer r.busy.Store(false)
		if r.instance.couldRelieve(ctx, term.Epoch) {
			r.instance.asked.Store(term.Epoch)
			return
		}
		logstream.Sleep(ctx, reliefAgain)
	}()
}

// mayRelieve reports whether this instance is one that would place next and has not been
// unable to write progress itself a moment ago.
func (i *Instance) mayRelieve() bool {
	stalledAt := i.stalledAt.Load()
	rests := stalledAt != 0 && i.clock.Now().UnixNano()-stalledAt < int64(reliefRest)
	return !rests && i.detail != nil && i.detail.inContact() && i.watchful()
}

// couldRelieve reports whether this instance can write progress while the holder of the
// term of an epoch goes on being unable to.
func (i *Instance) couldRelieve(ctx context.Context, epoch int64) bool {
	err := i.checkProgress(ctx)
	i.log.WithField("epoch", epoch).WithField("result", errorText(err)).Info("progress_checked")
	if err != nil || !logstream.Sleep(ctx, reliefPause) {
		return false
	}
	term := i.term()
	return term.Epoch == epoch && term.Stalled
}

// checkProgress appends a record without a meaning to the part with the progress: reads
// of a part may be answered while appends to it are not.
func (i *Instance) checkProgress(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reliefCheck)
	defer cancel()
	return i.store.Append(ctx, detailPart(i.settings.StoreParts), []jobs.Record{jobs.CheckRecord()}, nil)
}

// progressTried takes how an append of progress goes, which began some time ago. Renewals
// of the term tell the others.
func (w *fencedWriter) progressTried(began time.Time, err error) {
	i := w.leader.instance
	lasts := i.clock.Now().Sub(began)
	stalled := err != nil && lasts >= stalledAfter
	w.lock.Lock()
	changed := stalled != w.stalled
	w.stalled = stalled
	w.lock.Unlock()
	if stalled {
		i.stalledAt.Store(i.clock.Now().UnixNano())
	}
	if !changed {
		return
	}
	log := w.leader.log.WithField("part", w.details.part).WithField("for_ms", lasts.Milliseconds())
	if stalled {
		i.metrics.stalled.Update(1)
		log.WithField("error", err.Error()).Warn("progress_stalled")
		return
	}
	i.metrics.stalled.Update(0)
	log.Info("progress_regained")
}
