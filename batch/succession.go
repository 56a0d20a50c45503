package batch

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// successionLook is how often a holder looks whether it still reaches the store,
	// and asks again while none of the others has taken the term.
	successionLook = 100 * time.Millisecond
	// successionRest follows an answer that the term will be claimed: a claim and
	// the reading before the first decision take 0.2 s.
	successionRest = time.Second
	// claimCheck bounds the read by which an instance makes sure that it reaches the
	// store before it promises to claim.
	claimCheck = 200 * time.Millisecond
	// standTimeout bounds the question to a silent holder: one that is gone must not
	// cost the claim much time, the way there and back takes some milliseconds.
	standTimeout = 100 * time.Millisecond
)

// seekSuccessor has another instance claim the term once this holder is turned
// away by the store and the other is not. A holder knows that after two refusals,
// 0.1 s; the others notice its silence after 1.1 s. Until it is deposed it goes
// on with what runs.
func (l *leader) seekSuccessor(ctx context.Context) {
	for ctx.Err() == nil {
		logstream.Sleep(ctx, successionLook)
		if l.instance.work.inContact() || ctx.Err() != nil {
			continue
		}
		if l.instance.askToClaim(ctx, l.epoch) {
			l.log.Info("successor_found")
			logstream.Sleep(ctx, successionRest)
		}
	}
}

// holderStands asks the holder of a term that has not written for some time whether
// it still reaches the store. While the store takes seconds for an append nobody
// could do better, and each change of the holder stops placing for a second: a day
// with a slow store had three of them in four seconds.
func (i *Instance) holderStands(ctx context.Context, term jobs.Term) bool {
	name, _, _ := strings.Cut(term.Holder, "/")
	i.foldLock.Lock()
	address := i.fold.table.Instances()[name].Address
	i.foldLock.Unlock()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	answer, err := i.helpers.client.Call(ctx, address, &relaypb.Call{Body: &relaypb.Call_Stand{Stand: &relaypb.Stand{Epoch: term.Epoch}}})
	stands := err == nil && answer.Fate == relaypb.Fate_FATE_DONE
	i.metrics.count("term.asked")
	if stands {
		i.chronicle.write(i.log, "holder_stands", logrus.Fields{"epoch": term.Epoch, "holder": term.Holder})
	}
	return stands
}

// relayedStand says whether this instance places under a term and was answered by
// the store lately.
func (i *Instance) relayedStand(epoch int64) relaypb.Fate {
	heard := i.clock.Now().Sub(i.work.heardAt()) < termSilence
	if i.leading.Load() && i.term().Epoch == epoch && heard && !i.draining.Load() {
		return relaypb.Fate_FATE_DONE
	}
	return relaypb.Fate_FATE_NOT_DONE
}

// askToClaim asks other instances to claim the term that follows an epoch, until
// one says that it will.
func (i *Instance) askToClaim(ctx context.Context, epoch int64) bool {
	call := &relaypb.Call{Body: &relaypb.Call_Claim{Claim: &relaypb.Claim{Epoch: epoch}}}
	for _, address := range i.helperAddresses() {
		answer, err := i.helpers.call(ctx, address, call)
		if err == nil && answer.Fate == relaypb.Fate_FATE_DONE {
			return true
		}
	}
	return false
}

// relayedClaim promises to claim the term that follows an epoch, if this instance
// reaches the store, has the processor that placing takes and is to stay.
func (i *Instance) relayedClaim(ctx context.Context, epoch int64) relaypb.Fate {
	weak := claimRank(i.nameHash, i.settings.CPUShare) >= claimSpread
	if weak || i.draining.Load() || !i.loaded() || !i.work.inContact() {
		return relaypb.Fate_FATE_NOT_DONE
	}
	ctx, cancel := context.WithTimeout(ctx, claimCheck)
	defer cancel()
	if err := i.work.refresh(ctx, 0); err != nil {
		return relaypb.Fate_FATE_NOT_DONE
	}
	i.asked.Store(epoch)
	return relaypb.Fate_FATE_DONE
}
