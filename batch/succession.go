package batch

import (
	"context"
	"time"

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
