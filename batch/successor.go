package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// successorCheckInterval is how often a leader checks whether it still reaches the store. It is also
	// the interval of requests while no other instance has claimed the term.
	successorCheckInterval = 100 * time.Millisecond
	// claimWait follows the promise of a standby to claim the term. A claim and the reading before the
	// first scheduling pass take 0.2 s.
	claimWait = time.Second
	// claimCheckTimeout bounds the read by which an instance verifies that it reaches the store before
	// it promises to claim.
	claimCheckTimeout = 200 * time.Millisecond
)

// findSuccessor requests that another instance claim the term once the store refuses this leader
// and not the other instance. A leader notices that after two refusals, 0.1 s; the others notice its
// silence after 1.1 s. Until it loses the term the leader keeps its tasks running.
func (l *leader) findSuccessor(ctx context.Context) {
	for ctx.Err() == nil {
		logstream.Sleep(ctx, successorCheckInterval)
		if l.instance.work.isReachable() || ctx.Err() != nil {
			continue
		}
		if l.instance.requestClaim(ctx, l.epoch) {
			l.log.Info("successor_found")
			logstream.Sleep(ctx, claimWait)
		}
	}
}

// requestClaim requests that another instance claim the term that follows epoch. It reports whether
// one has promised to.
func (i *Instance) requestClaim(ctx context.Context, epoch int64) bool {
	call := &relaypb.Call{Body: &relaypb.Call_Claim{Claim: &relaypb.Claim{Epoch: epoch}}}
	for _, address := range i.peerAddresses() {
		answer, err := i.peers.call(ctx, address, call, peerCallTimeout)
		if err == nil && answer.Fate == relaypb.Fate_FATE_DONE {
			return true
		}
	}
	return false
}

// handleClaimRequest promises to claim the term that follows epoch, if this instance reaches the
// store, has enough CPU to lead and is not draining.
func (i *Instance) handleClaimRequest(ctx context.Context, epoch int64) relaypb.Fate {
	lowCPU := claimDelay(i.nameHash, i.settings.CPUShare) >= maxClaimJitter
	if lowCPU || i.draining.Load() || !i.isLoaded() || !i.work.isReachable() {
		return relaypb.Fate_FATE_NOT_DONE
	}
	ctx, cancel := context.WithTimeout(ctx, claimCheckTimeout)
	defer cancel()
	if err := i.work.refresh(ctx, 0); err != nil {
		return relaypb.Fate_FATE_NOT_DONE
	}
	i.claimEpoch.Store(epoch)
	return relaypb.Fate_FATE_DONE
}
