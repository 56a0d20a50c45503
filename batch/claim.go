package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

// claimTerm tries to win the next term. The fold shows whether it succeeded.
func (i *Instance) claimTerm(ctx context.Context, current jobs.Term) {
	if i.lastClaim.Epoch <= current.Epoch {
		now := i.clock.Now()
		i.lastClaim = jobs.Term{Epoch: current.Epoch + 1, Leader: i.identity, ShortTerms: shortTerms(current),
			LeaseLimitMS: leaseLimit.Milliseconds(), FormerLeasesMS: statedFormerLeases(current, i.bounds.maxGrantedLease(now))}
		i.claimSequence = i.randomSequence()
		i.claimSentAt = now
	}
	record, err := jobs.TermRecord(i.lastClaim)
	if err != nil {
		i.log.WithField("error", err.Error()).Error("term_record")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimInterval)
	defer cancel()
	fence := &Fence{Epoch: i.lastClaim.Epoch, Sequence: i.claimSequence}
	err = i.store.Append(ctx, statePart, []jobs.Record{record}, fence)
	i.log.WithField("epoch", i.lastClaim.Epoch).WithField("former", current.Leader).WithField("result", errorText(err)).Info("term_claimed")
	if err == nil {
		i.refreshTerm(ctx)
	}
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// leaderDuty claims the term when it is vacant and leads while this instance has it.
func (i *Instance) leaderDuty(ctx context.Context) {
	e := newElection(i.settings.Name, i.identity, claimDelay(i.nameHash, i.settings.CPUShare))
	takeover := &stallTakeover{instance: i}
	defer takeover.wg.Wait()
	for ctx.Err() == nil && i.settings.NotServedReason == "" {
		select {
		case <-i.fold.signal:
		case <-time.After(tickInterval):
		}
		if ctx.Err() != nil || i.draining.Load() {
			logstream.Sleep(ctx, tickInterval)
			continue
		}
		now := i.clock.Now()
		if !i.isLoaded() || !i.work.isReachable() || i.Config() == nil {
			e.reset()
			continue
		}
		previous := e.term
		e.observe(i.term(), now)
		if e.isLeader() && e.term.Epoch == i.lastClaim.Epoch {
			i.lead(ctx, e.term, i.claimSequence, previous)
			e.reset()
			i.lastClaim = jobs.Term{}
			continue
		}
		takeover.startIfStalled(ctx, e.term)
		e.requestClaim(i.claimEpoch.Load())
		if e.shouldClaim(i.work.lastAnswer(), now) {
			i.claimTerm(ctx, e.term)
		}
	}
}
