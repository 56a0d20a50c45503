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
	// stallTimeout is how long a group of progress may be in flight before the leader marks its term as
	// stalled. The store refuses calls when 2 s of work are queued, so a slow store answers earlier.
	stallTimeout = 3 * time.Second
	// probeTimeout bounds the append by which a standby checks whether it can write progress.
	probeTimeout = time.Second
	// takeoverDelay is the time between that append and the claim. If the part was down for all
	// instances and is up again, the leader's next attempt succeeds in that time, and it keeps the
	// term.
	takeoverDelay = maxCallTimeout + time.Second
	// takeoverRetryInterval follows a check that did not lead to a claim.
	takeoverRetryInterval = 2 * time.Second
	// takeoverBackoff is how long an instance that could not write progress does not claim the term of
	// another one that cannot, so that the term does not alternate between them.
	takeoverBackoff = 30 * time.Second
)

// stallTakeover claims the term of a leader that cannot write progress, once this instance has
// checked that it can.
type stallTakeover struct {
	instance *Instance
	wg       sync.WaitGroup
	busy     atomic.Bool
}

// startIfStalled starts a check if the leader has marked its term as stalled.
func (t *stallTakeover) startIfStalled(ctx context.Context, term jobs.Term) {
	if !term.Stalled || !t.instance.canTakeOver() || t.busy.Swap(true) {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer t.busy.Store(false)
		if t.instance.confirmTakeover(ctx, term.Epoch) {
			t.instance.claimEpoch.Store(term.Epoch)
			return
		}
		logstream.Sleep(ctx, takeoverRetryInterval)
	}()
}

// canTakeOver reports whether this instance is a standby that was not itself unable to write
// progress within takeoverBackoff.
func (i *Instance) canTakeOver() bool {
	stalledAt := i.stalledAt.Load()
	inBackoff := stalledAt != 0 && i.clock.Now().UnixNano()-stalledAt < int64(takeoverBackoff)
	return !inBackoff && i.progress != nil && i.progress.isReachable() && i.isStandby()
}

// confirmTakeover reports whether this instance can write progress, and the leader of the given
// epoch still cannot after takeoverDelay.
func (i *Instance) confirmTakeover(ctx context.Context, epoch int64) bool {
	err := i.probeProgressPart(ctx)
	i.log.WithField("epoch", epoch).WithField("result", errorText(err)).Info("progress_checked")
	if err != nil || !logstream.Sleep(ctx, takeoverDelay) {
		return false
	}
	term := i.term()
	return term.Epoch == epoch && term.Stalled
}

// probeProgressPart appends a record without effect to the part with the progress: reads of a
// part may be answered while appends to it are not.
func (i *Instance) probeProgressPart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return i.store.Append(ctx, progressPart(i.settings.StoreParts), []jobs.Record{jobs.ProbeRecord()}, nil)
}

// recordProgressAttempt records the state of an append of progress that began at startedAt. The
// renewals of the term announce a stall to the other instances.
func (w *fencedWriter) recordProgressAttempt(startedAt time.Time, err error) {
	i := w.leader.instance
	elapsed := i.clock.Now().Sub(startedAt)
	stalled := err != nil && elapsed >= stallTimeout
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
	log := w.leader.log.WithField("part", w.progress.part).WithField("for_ms", elapsed.Milliseconds())
	if stalled {
		i.metrics.stalled.Update(1)
		log.WithField("error", err.Error()).Warn("progress_stalled")
		return
	}
	i.metrics.stalled.Update(0)
	log.Info("progress_regained")
}
