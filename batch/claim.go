package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

// claimTerm tries to win the next term. Whether it was won, the fold tells.
func (i *Instance) claimTerm(ctx context.Context, current jobs.Term) {
	if i.claimed.Epoch <= current.Epoch {
		i.claimed = jobs.Term{Epoch: current.Epoch + 1, Holder: i.holder}
		i.claimSequence = i.randomSequence()
	}
	record, err := jobs.TermRecord(i.claimed)
	if err != nil {
		i.log.WithField("error", err.Error()).Error("term_record")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimAgain)
	defer cancel()
	fence := &Fence{Epoch: i.claimed.Epoch, Sequence: i.claimSequence}
	err = i.store.Append(ctx, statePart, []jobs.Record{record}, fence)
	i.log.WithField("epoch", i.claimed.Epoch).WithField("former", current.Holder).WithField("result", errorText(err)).Info("term_claimed")
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

// placingDuty claims the term when it is vacant and leads while it is held.
func (i *Instance) placingDuty(ctx context.Context) {
	vote := newElection(i.settings.Name, i.holder, claimRank(i.nameHash, i.settings.CPUShare))
	relief := &relief{instance: i}
	defer relief.running.Wait()
	for ctx.Err() == nil && i.settings.NotServed == "" {
		select {
		case <-i.fold.signal:
		case <-time.After(leadTick):
		}
		if ctx.Err() != nil || i.draining.Load() {
			logstream.Sleep(ctx, leadTick)
			continue
		}
		now := i.clock.Now()
		if !i.loaded() || !i.work.inContact() || i.Config() == nil {
			vote.lost()
			continue
		}
		before := vote.term
		vote.see(i.term(), now)
		if vote.held() && vote.term.Epoch == i.claimed.Epoch {
			i.lead(ctx, vote.term, i.claimSequence, formerOf(before, vote.term, i.settings.Name))
			vote.lost()
			i.claimed = jobs.Term{}
			continue
		}
		relief.consider(ctx, vote.term)
		vote.urge(i.asked.Load())
		if vote.claim(i.work.heardAt(), now) {
			i.claimTerm(ctx, vote.term)
		}
	}
}
